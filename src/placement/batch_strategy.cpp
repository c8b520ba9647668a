#include "placement/packing.h"
#include "placement/strategy.h"

namespace parsleyline::placement {

namespace {

class BatchStrategy : public Strategy {
 public:
  Choice Choose(const Demand& demand, PlacementState* state, TimePoint now) override {
    Choice choice;
    TentativeCharges holds(&state->table);
    while (choice.workers.size() < demand.tasks) {
      const auto best = ChooseBestAligned(demand, state, now, &choice.candidates);
      if (!best) {
        return Choice{{}, choice.candidates, "no_room"};
      }
      choice.workers.push_back(*best);
      if (demand.tasks > 1) holds.Add(*best, demand.per_task);
    }
    choice.reason = "best_fit";
    return choice;
  }
};

}  // namespace

std::unique_ptr<Strategy> MakeBatchStrategy() { return std::make_unique<BatchStrategy>(); }

}  // namespace parsleyline::placement
