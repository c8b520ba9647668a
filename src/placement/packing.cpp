#include "placement/packing.h"

#include <algorithm>

namespace parsleyline::placement {

namespace {

// Limit of fitting workers that are compared for one task. The search starts at the fullest
// workers, where a good fit is most likely.
constexpr std::uint32_t kMaxCompared = 32;

// Weight of the tightness relative to the alignment. In `bench_placement packing`, a weight of 0.1
// filled 97.8% of a fleet with workers of three sizes and a weight of 1 filled 94.1%. Minimizing
// the sum of squares of the free capacity instead filled 90.8%.
constexpr double kTightnessWeight = 0.1;

// Smallest and largest free fraction over processors, memory and slots.
struct FreeFractionRange {
  double smallest = 0;
  double largest = 0;

  double Width() const { return largest - smallest; }
};

FreeFractionRange FreeFractionRangeOf(const Resources& free, const Resources& capacity) {
  const auto fraction = [](std::int64_t amount, std::int64_t total) {
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0;
  };
  const auto [smallest, largest] =
      std::minmax({fraction(free.cpu.count(), capacity.cpu.count()),
                   fraction(free.memory.count(), capacity.memory.count()),
                   fraction(free.slots.count(), capacity.slots.count())});
  return {smallest, largest};
}

// Cost of placing a task on a worker; lower is better. It is low if the task uses most of the
// resource of which the worker has the largest free fraction, so that no resource is left over when
// another one is used up. With equal alignment, the fuller worker has the lower cost.
double PlacementCost(const Resources& demand, const Worker& worker) {
  const FreeFractionRange before = FreeFractionRangeOf(worker.free, worker.spec.capacity);
  const FreeFractionRange after = FreeFractionRangeOf(worker.free - demand, worker.spec.capacity);
  return after.Width() - before.Width() + kTightnessWeight * after.smallest;
}

}  // namespace

std::optional<WorkerIndex> ChooseBestAligned(const Demand& demand, PlacementState* state,
                                             TimePoint now, std::uint32_t* candidates) {
  std::optional<WorkerIndex> best;
  double lowest_cost = 0;
  std::uint32_t compared = 0;
  const auto visit = [&](WorkerIndex worker) {
    if (!CanStart(*state, demand, worker, now)) return CapacityIndex::Next::kContinue;
    const double cost = PlacementCost(demand.per_task, state->table.at(worker));
    if (!best || cost < lowest_cost) {
      best = worker;
      lowest_cost = cost;
    }
    return ++compared < kMaxCompared ? CapacityIndex::Next::kContinue : CapacityIndex::Next::kStop;
  };
  state->table.capacity_index().Search(demand.per_task, CapacityIndex::Order::kFullestFirst,
                                       static_cast<std::uint32_t>(state->random()), visit,
                                       [&best] { return best.has_value(); });
  *candidates += compared;
  return best;
}

}  // namespace parsleyline::placement
