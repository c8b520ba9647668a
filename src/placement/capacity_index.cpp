#include "placement/capacity_index.h"

#include <algorithm>

namespace parsleyline::placement {

namespace {
double Fraction(std::int64_t free, std::int64_t capacity) {
  return capacity > 0 ? static_cast<double>(free) / static_cast<double>(capacity) : 0;
}
}  // namespace

void CapacityIndex::Update(WorkerIndex worker, const Resources& free, const Resources& capacity) {
  if (locations_.size() <= worker) locations_.resize(worker + 1);
  const std::uint32_t group = GroupOf(free, capacity);
  if (locations_[worker].group != group) {
    Remove(worker);
    auto& entries = groups_[group].entries;
    locations_[worker] = {group, static_cast<std::uint32_t>(entries.size())};
    entries.push_back({worker, free});
  }
  groups_[group].entries[locations_[worker].position].free = free;
  RaiseBound(&groups_[group].bound, free);
}

void CapacityIndex::Remove(WorkerIndex worker) {
  if (locations_.size() <= worker || locations_[worker].group == kNotIndexed) return;
  const Location place = locations_[worker];
  Group& group = groups_[place.group];
  group.entries[place.position] = group.entries.back();
  locations_[group.entries[place.position].worker].position = place.position;
  group.entries.pop_back();
  if (group.entries.empty()) group.bound = Resources{};
  locations_[worker] = Location{};
}

std::uint32_t CapacityIndex::GroupOf(const Resources& free, const Resources& capacity) {
  const double scarcest = std::min({Fraction(free.cpu.count(), capacity.cpu.count()),
                                    Fraction(free.memory.count(), capacity.memory.count()),
                                    Fraction(free.slots.count(), capacity.slots.count())});
  const std::uint32_t first_group = free.accelerators.count() > 0 ? kGroupsPerPool : 0;
  if (scarcest <= 0) return first_group;
  constexpr auto kSteps = static_cast<double>(kGroupsPerPool - 1);
  const auto level = static_cast<std::uint32_t>(std::min(scarcest, 1.0) * kSteps);
  return first_group + std::clamp<std::uint32_t>(level, 1, kGroupsPerPool - 1);
}

void CapacityIndex::RaiseBound(Resources* bound, const Resources& free) {
  bound->cpu = std::max(bound->cpu, free.cpu);
  bound->memory = std::max(bound->memory, free.memory);
  bound->accelerators = std::max(bound->accelerators, free.accelerators);
  bound->slots = std::max(bound->slots, free.slots);
}

void CapacityIndex::RecomputeBound(Group* group) {
  group->bound = Resources{};
  for (const Entry& entry : group->entries) RaiseBound(&group->bound, entry.free);
}

}  // namespace parsleyline::placement
