#include "placement/strategy.h"

#include "placement/fit.h"

namespace parsleyline::placement {

bool CanStart(const PlacementState& state, const Demand& demand, WorkerIndex worker,
              TimePoint now) {
  const Worker& w = state.table.at(worker);
  const Resources usable = WithoutHeadroom(w.free, w.spec.capacity, demand.kind, state.options);
  return demand.per_task.FitsInto(usable) && state.reservation.AllowsStart(demand, worker, now);
}

TentativeCharges::~TentativeCharges() {
  for (const auto& [worker, resources] : charges_) table_->AddFree(worker, resources);
}

void TentativeCharges::Add(WorkerIndex worker, const Resources& resources) {
  table_->SubtractFree(worker, resources);
  charges_.emplace_back(worker, resources);
}

}  // namespace parsleyline::placement
