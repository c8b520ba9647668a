#include "placement/worker_table.h"

#include <algorithm>

namespace parsleyline::placement {

namespace {
bool IsSame(const WorkerSpec& a, const WorkerSpec& b) {
  return a.rack == b.rack && a.capacity == b.capacity;
}
}  // namespace

bool WorkerTable::Upsert(const WorkerSpec& spec) {
  const auto known = Find(spec.id);
  if (known && IsSame(workers_[*known].spec, spec)) return false;
  const WorkerIndex index = known ? *known : AllocateIndex();
  Worker& worker = workers_[index];
  if (known) {
    AdjustCapacity(worker.spec.capacity, -1);
    tasks_by_rack_[worker.rack] -= static_cast<std::uint32_t>(worker.charges.size());
  } else {
    worker = Worker{};
    worker.present = true;
    by_id_.emplace(spec.id, index);
  }
  worker.spec = spec;
  worker.rack = FindOrAddRack(spec.rack);
  worker.free = spec.capacity - worker.charged;
  tasks_by_rack_[worker.rack] += static_cast<std::uint32_t>(worker.charges.size());
  AdjustCapacity(spec.capacity, 1);
  UpdateIndex(index);
  return true;
}

void WorkerTable::Remove(WorkerIndex index) {
  Worker& worker = workers_[index];
  for (const ChargeRecord& charge : worker.charges) worker_by_token_.erase(charge.token);
  tasks_by_rack_[worker.rack] -= static_cast<std::uint32_t>(worker.charges.size());
  total_charged_ -= worker.charged;
  AdjustCapacity(worker.spec.capacity, -1);
  by_id_.erase(worker.spec.id);
  worker = Worker{};
  capacity_index_.Remove(index);
  free_positions_.push_back(index);
}

void WorkerTable::SetAvailability(WorkerIndex index, Availability availability) {
  workers_[index].availability = availability;
  UpdateIndex(index);
}

void WorkerTable::SetProbation(WorkerIndex index, bool on_probation) {
  workers_[index].on_probation = on_probation;
  UpdateIndex(index);
}

void WorkerTable::Charge(FencingToken token, WorkerIndex index, const Resources& resources,
                         TimePoint expected_end) {
  if (!worker_by_token_.emplace(token, index).second) return;
  Worker& worker = workers_[index];
  worker.charges.push_back({token, resources, expected_end});
  worker.charged += resources;
  total_charged_ += resources;
  ++tasks_by_rack_[worker.rack];
  SubtractFree(index, resources);
}

void WorkerTable::Release(FencingToken token) {
  const auto it = worker_by_token_.find(token);
  if (it == worker_by_token_.end()) return;
  const WorkerIndex index = it->second;
  worker_by_token_.erase(it);
  Worker& worker = workers_[index];
  const auto charge = std::find_if(worker.charges.begin(), worker.charges.end(),
                                   [token](const ChargeRecord& c) { return c.token == token; });
  const Resources resources = charge->resources;
  *charge = worker.charges.back();
  worker.charges.pop_back();
  worker.charged -= resources;
  total_charged_ -= resources;
  --tasks_by_rack_[worker.rack];
  AddFree(index, resources);
}

void WorkerTable::SubtractFree(WorkerIndex index, const Resources& resources) {
  workers_[index].free -= resources;
  UpdateIndex(index);
}

void WorkerTable::AddFree(WorkerIndex index, const Resources& resources) {
  workers_[index].free += resources;
  UpdateIndex(index);
}

std::optional<WorkerIndex> WorkerTable::Find(const WorkerId& id) const {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return std::nullopt;
  return it->second;
}

RackIndex WorkerTable::FindOrAddRack(const RackId& rack) {
  const auto [it, added] =
      rack_indexes_.emplace(rack, static_cast<RackIndex>(tasks_by_rack_.size()));
  if (added) tasks_by_rack_.push_back(0);
  return it->second;
}

WorkerIndex WorkerTable::AllocateIndex() {
  if (free_positions_.empty()) {
    workers_.emplace_back();
    return static_cast<WorkerIndex>(workers_.size() - 1);
  }
  const WorkerIndex index = free_positions_.back();
  free_positions_.pop_back();
  return index;
}

void WorkerTable::UpdateIndex(WorkerIndex index) {
  const Worker& worker = workers_[index];
  if (worker.IsOpen()) {
    capacity_index_.Update(index, worker.free, worker.spec.capacity);
  } else {
    capacity_index_.Remove(index);
  }
}

void WorkerTable::AdjustCapacity(const Resources& capacity, int change) {
  const auto it = workers_by_capacity_.emplace(capacity, 0).first;
  if (change > 0) {
    ++it->second;
    total_capacity_ += capacity;
    return;
  }
  total_capacity_ -= capacity;
  if (--it->second == 0) workers_by_capacity_.erase(it);
}

}  // namespace parsleyline::placement
