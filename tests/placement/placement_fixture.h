#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "placement/placement.h"

namespace parsleyline::placement {

inline Resources Size(std::int64_t cpu, std::int64_t memory, std::int64_t accelerators = 0,
                      std::int64_t slots = 1) {
  return {MilliCpu(cpu), Mebibytes(memory), Accelerators(accelerators), Slots(slots)};
}

/// A Placement with helpers for tests. The time is `now`, which only the test changes.
class PlacementFixture {
 public:
  explicit PlacementFixture(PlacementOptions options = {}) : placement(options) {}

  void AddWorkers(int n, const Resources& capacity, int per_rack = 8) {
    for (int i = 0; i < n; ++i) {
      placement.UpsertWorker({Name(i), RackId("rack" + std::to_string(i / per_rack)), capacity});
    }
  }

  static WorkerId Name(int i) { return WorkerId("w" + std::to_string(i)); }
  static Demand Work(Kind kind, const Resources& size, std::uint32_t tasks = 1,
                     const std::string& job = "job", Milliseconds estimate = Milliseconds(0)) {
    return {kind, size, tasks, estimate, RequestId(job)};
  }

  /// Places and charges a demand. Returns the chosen workers.
  std::vector<WorkerId> Place(const Demand& demand) {
    const auto decision = placement.Choose(demand, now);
    for (const auto& worker : decision.workers) Charge(worker, demand.per_task);
    return decision.workers;
  }

  FencingToken Charge(const WorkerId& worker, const Resources& size) {
    placement.Charge(FencingToken(++last_token), worker, size);
    return FencingToken(last_token);
  }

  Placement::WorkerView View(const WorkerId& id) const {
    const auto views = placement.Workers();
    const auto it =
        std::find_if(views.begin(), views.end(), [&](const auto& v) { return v.spec.id == id; });
    return it == views.end() ? Placement::WorkerView{} : *it;
  }

  Placement placement;
  TimePoint now{std::chrono::hours(1)};
  std::uint64_t last_token = 0;
};

}  // namespace parsleyline::placement
