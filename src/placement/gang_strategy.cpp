#include "placement/packing.h"
#include "placement/strategy.h"

namespace parsleyline::placement {

namespace {

class GangStrategy : public Strategy {
 public:
  Choice Choose(const Demand& demand, PlacementState* state, TimePoint now) override {
    Choice choice = PlaceAll(demand, state, now);
    if (!choice.workers.empty()) {
      state->reservation.Release(demand.job);
      choice.reason = "gang_fit";
      return choice;
    }
    choice.reason = state->reservation.Acquire(demand, now) ? "reserved" : "no_room";
    return choice;
  }

 private:
  static Choice PlaceAll(const Demand& demand, PlacementState* state, TimePoint now) {
    Choice choice;
    TentativeCharges holds(&state->table);
    while (choice.workers.size() < demand.tasks) {
      const auto best = ChooseBestAligned(demand, state, now, &choice.candidates);
      if (!best) return Choice{{}, choice.candidates, {}};
      // Fills the worker before the next search, because a gang does not benefit from spreading.
      do {
        choice.workers.push_back(*best);
        holds.Add(*best, demand.per_task);
      } while (choice.workers.size() < demand.tasks && CanStart(*state, demand, *best, now));
    }
    return choice;
  }
};

}  // namespace

std::unique_ptr<Strategy> MakeGangStrategy() { return std::make_unique<GangStrategy>(); }

}  // namespace parsleyline::placement
