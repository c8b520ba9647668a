#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "placement/placement.h"

namespace parsleyline::placement {

/// Position of a worker in the WorkerTable. Reused after the worker is removed.
using WorkerIndex = std::uint32_t;

/// Index of workers by free capacity. It groups the workers by the free fraction of their scarcest
/// resource, so that a search starts position the fullest or emptiest workers and skips groups in
/// which a task cannot fit.
class CapacityIndex {
 public:
  /// Direction of a search.
  enum class Order : std::uint8_t { kFullestFirst, kEmptiestFirst };

  /// Whether a search continues after a visited worker.
  enum class Next : std::uint8_t { kContinue, kStop };

  /// Adds a worker, or moves it to the group of its free capacity.
  void Update(WorkerIndex worker, const Resources& free, const Resources& capacity);

  /// Removes a worker, so that no search finds it.
  void Remove(WorkerIndex worker);

  /// Calls `visit(worker)` for each worker on which `size` fits, until it returns kStop. If `size`
  /// needs no accelerator, workers with free accelerators come last, and only if `found()` is false
  /// by then. `start` rotates the order within a group, so that equal workers are chosen evenly.
  /// `visit` must not change the index.
  template <typename Visit, typename Found>
  void Search(const Resources& size, Order order, std::uint32_t start, const Visit& visit,
              const Found& found);

 private:
  // Number of groups for workers without free accelerators, and again for workers with them. The
  // first group holds the workers that have no free processors, memory or slots.
  static constexpr std::size_t kGroupsPerPool = 33;
  static constexpr std::uint32_t kNotIndexed = ~std::uint32_t{0};

  struct Entry {
    WorkerIndex worker = 0;
    Resources free;
  };
  struct Group {
    std::vector<Entry> entries;
    /// Upper bound of the free amount of each resource over the entries.
    Resources bound;
  };
  struct Location {
    std::uint32_t group = kNotIndexed;
    std::uint32_t position = 0;
  };

  static std::uint32_t GroupOf(const Resources& free, const Resources& capacity);
  static void RaiseBound(Resources* bound, const Resources& free);
  static void RecomputeBound(Group* group);

  template <typename Visit>
  Next SearchGroup(Group* group, const Resources& size, std::uint32_t start, const Visit& visit);
  template <typename Visit>
  Next SearchPool(std::size_t pool, const Resources& size, Order order, std::uint32_t start,
                  const Visit& visit);

  /// Groups of workers without free accelerators, then groups of workers with them.
  std::array<Group, 2 * kGroupsPerPool> groups_;
  /// Where each worker is, by WorkerIndex.
  std::vector<Location> locations_;
};

template <typename Visit, typename Found>
void CapacityIndex::Search(const Resources& size, Order order, std::uint32_t start,
                           const Visit& visit, const Found& found) {
  if (size.accelerators.count() <= 0) {
    if (SearchPool(0, size, order, start, visit) == Next::kStop || found()) return;
  }
  SearchPool(1, size, order, start, visit);
}

template <typename Visit>
CapacityIndex::Next CapacityIndex::SearchPool(std::size_t pool, const Resources& size, Order order,
                                              std::uint32_t start, const Visit& visit) {
  const bool needs_every_resource =
      size.cpu.count() > 0 && size.memory.count() > 0 && size.slots.count() > 0;
  const std::size_t lowest = needs_every_resource ? 1 : 0;
  for (std::size_t n = lowest; n < kGroupsPerPool; ++n) {
    const std::size_t level = order == Order::kFullestFirst ? n : kGroupsPerPool - 1 - n + lowest;
    Group& group = groups_[pool * kGroupsPerPool + level];
    if (group.entries.empty() || !size.FitsInto(group.bound)) continue;
    if (SearchGroup(&group, size, start, visit) == Next::kStop) return Next::kStop;
  }
  return Next::kContinue;
}

template <typename Visit>
CapacityIndex::Next CapacityIndex::SearchGroup(Group* group, const Resources& size,
                                               std::uint32_t start, const Visit& visit) {
  const std::size_t n = group->entries.size();
  std::size_t position = start % n;
  bool any_fits = false;
  for (std::size_t i = 0; i < n; ++i) {
    const Entry& entry = group->entries[position];
    if (++position == n) position = 0;
    if (!size.FitsInto(entry.free)) continue;
    any_fits = true;
    if (visit(entry.worker) == Next::kStop) return Next::kStop;
  }
  if (!any_fits) RecomputeBound(group);
  return Next::kContinue;
}

}  // namespace parsleyline::placement
