#include "dispatch/scheduling_rank.h"

#include <algorithm>
#include <vector>

namespace parsleyline::dispatch {
namespace {

constexpr std::int64_t kPermille = 1000;
// Durations of jobs stop here, so that no calculation with them overflows.
constexpr Duration kMaxPath = std::chrono::hours(24 * 365);

template <typename IsDone, typename Cost>
Duration LongestPath(const job::JobSpec& spec, IsDone is_done, Cost cost) {
  std::vector<Duration> ends(spec.steps.size(), Duration(0));
  Duration longest(0);
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    Duration start(0);
    for (const std::uint32_t it : spec.steps[i].depends_on) {
      if (it < i) start = std::max(start, ends[it]);
    }
    ends[i] = is_done(i) ? start : std::min(start + cost(i), kMaxPath);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

Duration StepDuration(const job::StepSpec& step, const job::QueueSettings& queue,
                      const DurationModel& durations) {
  const Duration call_duration = queue.needs_ticket != 0
                                     ? AdvisorCallDuration(queue.advisor, kTypicalWorkersPerCall)
                                     : Duration(0);
  return durations.Predict(step.estimate) + call_duration;
}

}  // namespace

Duration AdvisorCallDuration(const job::AdvisorSettings& advisor, std::int64_t workers) {
  return Microseconds(advisor.call_base_us + workers * advisor.call_per_worker_us);
}

Duration RemainingCriticalPath(const job::JobSpec& spec, const job::OccurrenceState& occurrence,
                               const job::QueueSettings& queue, const DurationModel& durations) {
  return LongestPath(
      spec, [&occurrence](std::size_t i) { return occurrence.steps[i].IsDone(); },
      [&](std::size_t i) {
        const bool has_started = occurrence.steps[i].WaitingCount() == 0;
        return has_started ? durations.Predict(spec.steps[i].estimate)
                           : StepDuration(spec.steps[i], queue, durations);
      });
}

Duration CriticalPath(const job::JobSpec& spec, const job::QueueSettings& queue,
                      const DurationModel& durations) {
  return LongestPath(
      spec, [](std::size_t) { return false; },
      [&](std::size_t i) { return StepDuration(spec.steps[i], queue, durations); });
}

Duration LatencyObjective(const job::JobSpec& spec, const job::QueueSettings& queue,
                          const DurationModel& durations) {
  const Duration path = CriticalPath(spec, queue, durations);
  const bool overflows = queue.slack_permille > 0 && path > Duration::max() / queue.slack_permille;
  const Duration scaled = overflows ? kMaxPath : path * queue.slack_permille / kPermille;
  return std::min(scaled, kMaxPath) + queue.latency_target;
}

SchedulingRank ComputeRank(TimePoint now, TimePoint accepted, Duration objective,
                           Duration remaining, std::uint32_t priority) {
  const Duration slack = accepted + objective - now - remaining;
  if (slack >= Duration(0)) return {ExpectedOutcome::kInTime, priority, slack};
  const Duration late_slack = accepted + kLateFactor * objective - now - remaining;
  if (late_slack >= Duration(0)) return {ExpectedOutcome::kLate, priority, late_slack};
  return {ExpectedOutcome::kExpired, priority, -late_slack};
}

SchedulingRank RankUnder(const SchedulingRank& rank, SchedulingOrder order, TimePoint accepted) {
  if (order == SchedulingOrder::kExpectedOutcome) return rank;
  const std::uint32_t priority = order == SchedulingOrder::kPriority ? rank.priority : 0;
  return {ExpectedOutcome::kInTime, priority, accepted.time_since_epoch()};
}

}  // namespace parsleyline::dispatch
