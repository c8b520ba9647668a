#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "job/cell_config.h"

namespace parsleyline::job {

/// One lifetime of a worker. A worker that starts again under its name is another lifetime.
struct WorkerIncarnation {
  WorkerId worker;
  /// Time at which this lifetime began; a higher one proves that a lower one has ended.
  UnixMillis started_at;

  auto operator<=>(const WorkerIncarnation&) const = default;
  auto Fields() { return std::tie(worker, started_at); }
};

enum class WorkerState : std::uint8_t { kReady = 0, kDraining = 1 };
constexpr std::uint8_t MaxValue(WorkerState /*type*/) { return 1; }

/// What a worker says of itself.
struct WorkerReport {
  WorkerIncarnation incarnation;
  /// "ip:port" that takes orders.
  std::string address;
  DomainId domain;
  PoolId pool;
  WorkerState state = WorkerState::kReady;
  Resources capacity;
  /// What the worker is marked with; includes its rack.
  std::vector<std::string> labels;
  RackId rack;
  /// Rises with each report of a lifetime.
  std::uint64_t sequence = 0;
  /// Least time that a draining worker still serves.
  Milliseconds drain_remaining{0};

  auto Fields() {
    return std::tie(incarnation, address, domain, pool, state, capacity, labels, rack, sequence,
                    drain_remaining);
  }
};

}  // namespace parsleyline::job
