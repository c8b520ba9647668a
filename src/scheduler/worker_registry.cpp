#include "scheduler/worker_registry.h"

#include <tuple>
#include <utility>

#include "wire/codec.h"
#include "wire/codec_impl.h"

namespace parsleyline::scheduler {

/// Serialized form of one worker.
struct WorkerSnapshotRow {
  RegisterWorker registration;
  wire::WorkerState operator_state = wire::WorkerState::kReady;
  std::vector<FencingToken> lost_tasks;

  auto Fields() { return std::tie(registration, operator_state, lost_tasks); }
};

/// Serialized form of a WorkerRegistry.
struct WorkerSnapshot {
  std::vector<WorkerSnapshotRow> rows;

  auto Fields() { return std::tie(rows); }
};

}  // namespace parsleyline::scheduler

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::WorkerSnapshot);

namespace parsleyline::scheduler {

placement::Availability RegisteredWorker::Availability() const {
  if (silent) return placement::Availability::kSilent;
  const bool draining = registration.announced_state == wire::WorkerState::kDraining ||
                        operator_state == wire::WorkerState::kDraining;
  return draining ? placement::Availability::kDraining : placement::Availability::kReady;
}

Incarnation WorkerRegistry::Register(const RegisterWorker& registration, TimePoint now) {
  RegisteredWorker& worker = workers_[registration.worker];
  const Incarnation previous = worker.registration.incarnation;
  if (previous != registration.incarnation) worker.lost_tasks.clear();
  worker.registration = registration;
  worker.last_announced = now;
  worker.silent = false;
  return previous < registration.incarnation ? previous : Incarnation();
}

void WorkerRegistry::SetOperatorState(const WorkerId& worker, wire::WorkerState state) {
  const auto it = workers_.find(worker);
  if (it != workers_.end()) it->second.operator_state = state;
}

void WorkerRegistry::Remove(const WorkerId& worker) { workers_.erase(worker); }

void WorkerRegistry::AddLostTask(const WorkerId& worker, Incarnation incarnation,
                                 FencingToken token) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.registration.incarnation != incarnation) return;
  it->second.lost_tasks.insert(token);
}

void WorkerRegistry::RemoveLostTasks(const WorkerId& worker,
                                     const std::vector<FencingToken>& tokens) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  for (const FencingToken token : tokens) it->second.lost_tasks.erase(token);
}

const RegisteredWorker* WorkerRegistry::Find(const WorkerId& worker) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() ? &it->second : nullptr;
}

bool WorkerRegistry::RecordAnnouncement(const WorkerId& worker, TimePoint now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return false;
  it->second.last_announced = now;
  return std::exchange(it->second.silent, false);
}

std::vector<WorkerId> WorkerRegistry::MarkSilent(TimePoint limit) {
  std::vector<WorkerId> silent;
  for (auto& [id, worker] : workers_) {
    if (worker.silent || worker.last_announced >= limit) continue;
    worker.silent = true;
    silent.push_back(id);
  }
  return silent;
}

std::vector<WorkerId> WorkerRegistry::AnnouncedBefore(TimePoint limit) const {
  std::vector<WorkerId> found;
  for (const auto& [id, worker] : workers_) {
    if (worker.last_announced < limit) found.push_back(id);
  }
  return found;
}

void WorkerRegistry::MarkAllAnnounced(TimePoint now) {
  for (auto& [id, worker] : workers_) {
    worker.last_announced = now;
    worker.silent = false;
  }
}

std::string WorkerRegistry::TakeSnapshot() const {
  WorkerSnapshot snapshot;
  for (const auto& [id, worker] : workers_) {
    snapshot.rows.push_back({worker.registration,
                             worker.operator_state,
                             {worker.lost_tasks.begin(), worker.lost_tasks.end()}});
  }
  return wire::Encode(snapshot);
}

Result<void> WorkerRegistry::Restore(std::string_view bytes, TimePoint now) {
  const auto snapshot = wire::Decode<WorkerSnapshot>(bytes);
  if (!snapshot) return tl::make_unexpected(snapshot.error());
  workers_.clear();
  for (const WorkerSnapshotRow& row : snapshot->rows) {
    Register(row.registration, now);
    SetOperatorState(row.registration.worker, row.operator_state);
    for (const FencingToken token : row.lost_tasks) {
      AddLostTask(row.registration.worker, row.registration.incarnation, token);
    }
  }
  return {};
}

}  // namespace parsleyline::scheduler
