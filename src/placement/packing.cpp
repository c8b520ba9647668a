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
struct Spread {
  double smallest = 0;
  double largest = 0;

  double Width() const { return largest - smallest; }
};

Spread SpreadOf(const Resources& free, const Resources& capacity) {
  const auto part = [](std::int64_t amount, std::int64_t total) {
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0;
  };
  const auto [smallest, largest] = std::minmax({part(free.cpu.count(), capacity.cpu.count()),
                                                part(free.memory.count(), capacity.memory.count()),
                                                part(free.slots.count(), capacity.slots.count())});
  return {smallest, largest};
}

// Cost of placing a task on a worker; lower is better. It is low if the task uses most of the
// resource of which the worker has the largest free fraction, so that no resource is left over when
// another one is used up. With equal alignment, the fuller worker has the lower cost.
double Misfit(const Resources& demand, const Worker& worker) {
  const Spread before = SpreadOf(worker.free, worker.spec.capacity);
  const Spread after = SpreadOf(worker.free - demand, worker.spec.capacity);
  return after.Width() - before.Width() + kTightnessWeight * after.smallest;
}

}  // namespace

std::optional<WorkerIndex> PickBestAligned(const Demand& demand, State* state, TimePoint now,
                                           std::uint32_t* candidates) {
  std::optional<WorkerIndex> best;
  double best_score = 0;
  std::uint32_t compared = 0;
  const auto visit = [&](WorkerIndex worker) {
    if (!Admits(*state, demand, worker, now)) return CapacityIndex::Next::kContinue;
    const double score = Misfit(demand.per_task, state->table.at(worker));
    if (!best || score < best_score) {
      best = worker;
      best_score = score;
    }
    return ++compared < kMaxCompared ? CapacityIndex::Next::kContinue : CapacityIndex::Next::kStop;
  };
  state->table.index().Search(demand.per_task, CapacityIndex::Order::kFullestFirst,
                              static_cast<std::uint32_t>(state->random()), visit,
                              [&best] { return best.has_value(); });
  *candidates += compared;
  return best;
}

}  // namespace parsleyline::placement
