#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "placement/placement.h"

namespace parsleyline::placement {

/// Returns the part of `available` that work of this kind may use on a worker with this total
/// capacity. Batch and gang work must leave the headroom for services.
inline Resources WithoutHeadroom(Resources available, const Resources& capacity, Kind kind,
                                 const PlacementOptions& options) {
  if (kind == Kind::kService) return available;
  available.cpu -= MilliCpu(capacity.cpu.count() * options.service_headroom_permille / 1000);
  return available;
}

/// Returns how many tasks of the same size fit into `available`, but at most `max_tasks`.
inline std::int64_t CountFittingTasks(const Resources& per_task, const Resources& available,
                                      std::int64_t max_tasks) {
  std::int64_t n = max_tasks;
  const auto limit = [&n](std::int64_t need, std::int64_t have) {
    if (need > 0) n = std::min(n, std::max<std::int64_t>(have, 0) / need);
    if (need <= 0 && have < 0) n = 0;
  };
  limit(per_task.cpu.count(), available.cpu.count());
  limit(per_task.memory.count(), available.memory.count());
  limit(per_task.accelerators.count(), available.accelerators.count());
  limit(per_task.slots.count(), available.slots.count());
  return n;
}

}  // namespace parsleyline::placement
