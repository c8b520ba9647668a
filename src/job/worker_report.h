#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "job/cell_config.h"

namespace parsleyline::job {

/// One incarnation of a worker process. A restart under the same name begins another one.
struct WorkerIncarnation {
  WorkerId worker;
  /// Start time of this incarnation. A later one proves that an earlier one has ended.
  UnixMillis started_at;

  auto operator<=>(const WorkerIncarnation&) const = default;
  auto Fields() { return std::tie(worker, started_at); }
};

enum class WorkerState : std::uint8_t { kReady = 0, kDraining = 1 };
constexpr std::uint8_t MaxValue(WorkerState /*type*/) { return 1; }

/// State of a worker as reported by itself.
struct WorkerReport {
  WorkerIncarnation incarnation;
  /// "ip:port" to which orders are sent.
  std::string address;
  DomainId domain;
  PoolId pool;
  WorkerState state = WorkerState::kReady;
  Resources capacity;
  /// Labels of the worker, including its rack.
  std::vector<std::string> labels;
  RackId rack;
  /// Increases with each report of an incarnation.
  std::uint64_t sequence = 0;
  /// Minimum time until a draining worker leaves.
  Milliseconds drain_remaining{0};

  auto Fields() {
    return std::tie(incarnation, address, domain, pool, state, capacity, labels, rack, sequence,
                    drain_remaining);
  }
};

}  // namespace parsleyline::job
