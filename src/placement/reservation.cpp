#include "placement/reservation.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "placement/fit.h"

namespace parsleyline::placement {

namespace {
// Limit of the tasks that are counted for one worker. It only keeps sums from overflowing.
constexpr std::int64_t kMaxTasksPerWorker = 1 << 16;

// Start times that are considered for a reservation, in milliseconds from now. Most are about 1.5
// times the previous one, which keeps their number small.
constexpr std::array<Milliseconds::rep, 20> kStartDelaysMs = {
    50,   75,   110,  165,  250,   375,   560,   840,   1260,   1900,
    2850, 4270, 6400, 9600, 14400, 21600, 32400, 64800, 259200, 3600000};

// Shortest time between two plans of a reservation. A plan is updated often because tasks rarely
// end when they are expected to: with a plan that was kept until its start, a gang of 64 tasks took
// 15 s to start on 384 slots where 64 tasks ended per second.
constexpr Milliseconds kPlanInterval{50};

// Time for which a gang may not reserve again after its reservation expired, so that other gangs
// can, in percent of the reservation timeout.
constexpr int kReservationPausePercent = 20;
}  // namespace

bool Reservation::Acquire(const Demand& gang, TimePoint now) {
  Expire(now);
  if (IsHeldBy(gang.job)) {
    if (plan_is_stale_ || now >= planned_at_ + kPlanInterval) Plan(gang, now);
    return true;
  }
  if (holder_) return false;
  if (last_expired_holder_ == gang.job && now < next_reservation_allowed_) return false;
  holder_ = gang.job;
  expiry_ = now + options_.reservation_timeout;
  Plan(gang, now);
  return true;
}

void Reservation::Release(const RequestId& job) {
  if (!IsHeldBy(job)) return;
  holder_.reset();
  planned_tasks_.clear();
}

void Reservation::Expire(TimePoint now) {
  if (!holder_ || now < expiry_) return;
  last_expired_holder_ = holder_;
  next_reservation_allowed_ = now + options_.reservation_timeout * kReservationPausePercent / 100;
  Release(*last_expired_holder_);
}

bool Reservation::AllowsStart(const Demand& demand, WorkerIndex worker, TimePoint now) const {
  if (!holder_ || *holder_ == demand.job) return true;
  const auto it = planned_tasks_.find(worker);
  if (it == planned_tasks_.end()) return true;
  // Backfilling: the task ends before the gang starts. An estimate of zero means that the run time
  // is unknown.
  if (demand.estimate.count() > 0 && now + demand.estimate <= planned_start_) return true;
  // Otherwise the planned tasks must still fit into the capacity that is free now. Capacity that
  // running tasks are expected to free does not count, because most of the tasks that are close to
  // their estimate exceed it.
  return CountFittingTasks(per_task_, table_->at(worker).free - demand.per_task,
                           kMaxTasksPerWorker) >= it->second;
}

// Chooses the earliest start time at which the gang fits, counting only running tasks with a known
// expected end, and then as few workers as possible. If there is no such time, the workers on which
// most tasks fit now are reserved and `planned_start_` is now, so that no task counts as ending
// before the gang starts.
void Reservation::Plan(const Demand& gang, TimePoint now) {
  plan_is_stale_ = false;
  planned_at_ = now;
  per_task_ = gang.per_task;
  planned_tasks_.clear();
  planned_start_ = now;
  const std::int64_t tasks = gang.tasks;
  const auto start = EarliestStart(tasks, now);

  // Prefers the workers on which most tasks of the gang fit now, then those on which most fit at
  // the start. A heap, because only a few of the workers are taken.
  std::vector<std::tuple<std::int64_t, std::int64_t, WorkerIndex>> candidates;
  for (WorkerIndex i = 0; i < table_->capacity(); ++i) {
    const Worker& worker = table_->at(i);
    if (!worker.IsOpen()) continue;
    const auto n = CountFittingGangTasks(
        worker, start ? ExpectedFreeAt(worker, *start) : worker.spec.capacity);
    if (n > 0) candidates.emplace_back(CountFittingGangTasks(worker, worker.free), n, i);
  }
  std::make_heap(candidates.begin(), candidates.end());
  for (std::int64_t planned = 0; planned < tasks && !candidates.empty(); candidates.pop_back()) {
    std::pop_heap(candidates.begin(), candidates.end());
    const auto [free_now, n, worker] = candidates.back();
    planned_tasks_[worker] = std::min(n, tasks - planned);
    planned += n;
    if (start) {
      planned_start_ = std::max(planned_start_,
                                ExpectedFitTime(table_->at(worker), planned_tasks_[worker], now));
    }
  }
}

// Returns when this number of tasks of the gang is expected to fit on the worker, or `now` if that
// is unknown.
TimePoint Reservation::ExpectedFitTime(const Worker& worker, std::int64_t tasks,
                                       TimePoint now) const {
  std::vector<TimePoint> ends{now};
  for (const ChargeRecord& charge : worker.charges) ends.push_back(charge.expected_end);
  std::sort(ends.begin(), ends.end());
  const auto it = std::find_if(ends.begin(), ends.end(), [&](TimePoint end) {
    return end >= now && CountFittingGangTasks(worker, ExpectedFreeAt(worker, end)) >= tasks;
  });
  return it == ends.end() ? now : *it;
}

// Returns the first of the start times at which this number of tasks of the gang is expected to fit
// on all workers together. Sums up how many more tasks fit after each step in one pass over the
// running tasks.
std::optional<TimePoint> Reservation::EarliestStart(std::int64_t tasks, TimePoint now) const {
  const auto step_of = [now](TimePoint end) {
    const auto* it = std::lower_bound(
        kStartDelaysMs.begin(), kStartDelaysMs.end(), end,
        [now](Milliseconds::rep ms, TimePoint t) { return now + Milliseconds(ms) < t; });
    return static_cast<std::size_t>(it - kStartDelaysMs.begin());
  };
  std::array<std::int64_t, kStartDelaysMs.size()> more_tasks{};
  std::vector<std::pair<std::size_t, const ChargeRecord*>> ends;
  for (WorkerIndex i = 0; i < table_->capacity(); ++i) {
    const Worker& worker = table_->at(i);
    if (!worker.IsOpen() || CountFittingGangTasks(worker, worker.spec.capacity) == 0) continue;
    ends.clear();
    for (const ChargeRecord& charge : worker.charges) {
      if (!IsExpectedToEndBy(charge, charge.expected_end)) continue;
      const std::size_t step = step_of(charge.expected_end);
      if (step < kStartDelaysMs.size()) ends.emplace_back(step, &charge);
    }
    std::sort(ends.begin(), ends.end());
    Resources free_capacity = worker.free;
    std::int64_t n = CountFittingGangTasks(worker, free_capacity);
    more_tasks[0] += n;
    for (const auto& [step, charge] : ends) {
      free_capacity += charge->resources;
      const std::int64_t after = CountFittingGangTasks(worker, free_capacity);
      more_tasks.at(step) += after - n;
      n = after;
    }
  }
  std::int64_t total = 0;
  for (std::size_t step = 0; step < kStartDelaysMs.size(); ++step) {
    total += more_tasks.at(step);
    if (total >= tasks) return now + Milliseconds(kStartDelaysMs.at(step));
  }
  return std::nullopt;
}

std::int64_t Reservation::CountFittingGangTasks(const Worker& worker,
                                                const Resources& free_capacity) const {
  return CountFittingTasks(
      per_task_, WithoutHeadroom(free_capacity, worker.spec.capacity, Kind::kGang, options_),
      kMaxTasksPerWorker);
}

// Returns whether the task is expected to end by `when`. The end of a task that has exceeded its
// estimate is unknown: a plan that expects such tasks to end immediately would wait for the slowest
// tasks of the fleet.
bool Reservation::IsExpectedToEndBy(const ChargeRecord& charge, TimePoint when) const {
  return charge.expected_end > planned_at_ && charge.expected_end <= when;
}

Resources Reservation::ExpectedFreeAt(const Worker& worker, TimePoint when) const {
  Resources free = worker.free;
  for (const ChargeRecord& charge : worker.charges) {
    if (IsExpectedToEndBy(charge, when)) free += charge.resources;
  }
  return free;
}

}  // namespace parsleyline::placement
