#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

#include "placement/strategy.h"

namespace parsleyline::placement {

namespace {

// Limit of fitting workers that are compared for one task, starting with the emptiest.
constexpr std::uint32_t kMaxCompared = 16;
// Limit while every compared worker is in a rack that already has a task of the demand.
constexpr std::uint32_t kMaxComparedForRack = 256;

class ServiceStrategy : public Strategy {
 public:
  Choice Choose(const Demand& demand, PlacementState* state, TimePoint now) override {
    Choice choice;
    TentativeCharges holds(&state->table);
    std::map<RackIndex, std::uint32_t> chosen_in_rack;
    while (choice.workers.size() < demand.tasks) {
      const auto best = PickOne(demand, state, chosen_in_rack, now, &choice.candidates);
      if (!best) {
        return Choice{{}, choice.candidates, "no_room"};
      }
      choice.workers.push_back(*best);
      if (demand.tasks > 1) {
        holds.Add(*best, demand.per_task);
        ++chosen_in_rack[state->table.at(*best).rack];
      }
    }
    choice.reason = "spread";
    return choice;
  }

 private:
  static std::optional<WorkerIndex> PickOne(const Demand& demand, PlacementState* state,
                                            const std::map<RackIndex, std::uint32_t>& in_rack,
                                            TimePoint now, std::uint32_t* candidates) {
    std::optional<WorkerIndex> best;
    std::tuple<std::uint32_t, double, std::uint32_t> best_key;
    std::uint32_t compared = 0;
    const auto visit = [&](WorkerIndex index) {
      if (!CanStart(*state, demand, index, now)) return CapacityIndex::Next::kContinue;
      const Worker& worker = state->table.at(index);
      const auto it = in_rack.find(worker.rack);
      const std::tuple key{it == in_rack.end() ? 0 : it->second, HighestUtilization(worker),
                           state->table.TasksInRack(worker.rack)};
      if (!best || key < best_key) {
        best = index;
        best_key = key;
      }
      ++compared;
      const bool in_new_rack = std::get<0>(best_key) == 0;
      const bool enough = compared >= (in_new_rack ? kMaxCompared : kMaxComparedForRack);
      return enough ? CapacityIndex::Next::kStop : CapacityIndex::Next::kContinue;
    };
    state->table.capacity_index().Search(demand.per_task, CapacityIndex::Order::kEmptiestFirst,
                                         static_cast<std::uint32_t>(state->random()), visit,
                                         [&best] { return best.has_value(); });
    *candidates += compared;
    return best;
  }

  // Returns the highest utilization over processors, memory and slots, from 0 to 1.
  static double HighestUtilization(const Worker& worker) {
    const auto utilization = [](std::int64_t free, std::int64_t capacity) {
      return capacity > 0 ? 1.0 - static_cast<double>(free) / static_cast<double>(capacity) : 0.0;
    };
    const Resources& capacity = worker.spec.capacity;
    return std::max({utilization(worker.free.cpu.count(), capacity.cpu.count()),
                     utilization(worker.free.memory.count(), capacity.memory.count()),
                     utilization(worker.free.slots.count(), capacity.slots.count())});
  }
};

}  // namespace

std::unique_ptr<Strategy> MakeServiceStrategy() { return std::make_unique<ServiceStrategy>(); }

}  // namespace parsleyline::placement
