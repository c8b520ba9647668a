#include <chrono>
#include <cstdio>

#include "bench/placement/commands.h"
#include "bench/placement/workload.h"

namespace parsleyline::bench {

namespace {

using Wall = std::chrono::steady_clock;

constexpr int kQueued = 100000;
constexpr int kTeams = 140;
constexpr int kSteps = 50000;

double Micros(Wall::duration d) { return std::chrono::duration<double, std::micro>(d).count(); }

// Measures steps of one task end, one arrival and one dispatch with a long queue. With `distinct`,
// all demands differ, so that the queue can rarely conclude from one demand that did not fit that
// another one does not fit either.
void MeasureOne(bool distinct, std::uint64_t seed) {
  Random random(seed);
  queue::QueuePolicy policy;
  for (auto& kind : policy.kinds) kind.max_queued = kQueued;
  queue::FairQueue queue(policy);
  const Resources fleet = MixedFleet(2000).Total();
  queue.SetFleetCapacity(fleet);
  TimePoint now(std::chrono::hours(1));
  int pushed = 0;
  const auto push = [&] {
    Job job = DrawJob(kAllKinds.at(random() % 3), &random);
    if (distinct) job.request.per_task.memory += Mebibytes(static_cast<int>(random() % 1000));
    job.request.id = RequestId("job" + std::to_string(++pushed));
    job.request.team = TeamId("team" + std::to_string(random() % kTeams));
    job.request.enqueued = now;
    job.request.deadline = now + std::chrono::hours(1);
    static_cast<void>(queue.Push(job.request, now));
  };
  Resources free_capacity = fleet;
  std::vector<queue::QueuedRequest> running;
  std::size_t tries = 0;
  const auto try_place = [&](const queue::QueuedRequest& request) {
    ++tries;
    Resources total;
    for (std::uint32_t i = 0; i < request.tasks; ++i) total += request.per_task;
    if (!total.FitsInto(free_capacity)) return false;
    free_capacity -= total;
    running.push_back(request);
    return true;
  };
  for (int i = 0; i < kQueued + 12000; ++i) {
    push();
    if (i == 12000) queue.Dispatch(now, 100000, try_place);
  }
  tries = 0;
  std::vector<double> push_times;
  std::vector<double> dispatch_times;
  std::size_t placed = 0;
  for (int i = 0; i < kSteps; ++i) {
    now += Microseconds(100);
    std::swap(running[random() % running.size()], running.back());
    const queue::QueuedRequest ended = running.back();
    running.pop_back();
    Resources total;
    for (std::uint32_t t = 0; t < ended.tasks; ++t) total += ended.per_task;
    free_capacity += total;
    queue.RemoveRunning(ended.team, ended.kind, total, ended.estimate);
    const auto start = Wall::now();
    push();
    const auto middle = Wall::now();
    placed += queue.Dispatch(now, 1000, try_place);
    push_times.push_back(Micros(middle - start));
    dispatch_times.push_back(Micros(Wall::now() - middle));
  }
  const auto start = Wall::now();
  for (int i = 0; i < kSteps; ++i) queue.Dispatch(now, 1000, try_place);
  const double idle = Micros(Wall::now() - start) / kSteps;
  std::printf("| %s | %zu | %.2f | %.1f / %.1f | %.1f / %.1f | %.2f | %.2f | %.2f |\n",
              distinct ? "all different" : "few sizes", queue.size(),
              static_cast<double>(placed) / kSteps, Quantile(&push_times, 0.5),
              Quantile(&push_times, 0.99), Quantile(&dispatch_times, 0.5),
              Quantile(&dispatch_times, 0.99), Quantile(&dispatch_times, 0.999),
              static_cast<double>(tries) / kSteps, idle);
}

}  // namespace

void MeasureQueue(std::uint64_t seed) {
  std::printf(
      "| demands | queued | placed per dispatch | push p50 / p99 us | dispatch p50 / p99 us | "
      "dispatch p99.9 us | tries per dispatch | dispatch without change us |\n"
      "|---|---|---|---|---|---|---|---|\n");
  MeasureOne(false, seed);
  MeasureOne(true, seed);
}

}  // namespace parsleyline::bench
