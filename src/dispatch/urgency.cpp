#include "dispatch/urgency.h"

#include <algorithm>
#include <vector>

namespace parsleyline::dispatch {
namespace {

constexpr std::int64_t kPermille = 1000;

template <typename IsDone, typename Cost>
Duration LongestChain(const job::JobSpec& spec, IsDone is_done, Cost cost) {
  std::vector<Duration> ends(spec.steps.size(), Duration(0));
  Duration longest(0);
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    Duration begin(0);
    for (const std::uint32_t it : spec.steps[i].depends_on) {
      if (it < i) begin = std::max(begin, ends[it]);
    }
    ends[i] = is_done(i) ? begin : begin + cost(i);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

Duration StepTime(const job::StepSpec& step, const job::QueueSettings& queue,
                  const DurationModel& durations) {
  const Duration advice =
      queue.needs_ticket != 0 ? AdviceTime(queue.advisor, kUsualAdviceWorkers) : Duration(0);
  return durations.Predict(step.estimate) + advice;
}

}  // namespace

Duration AdviceTime(const job::AdvisorSettings& advisor, std::int64_t workers) {
  return Microseconds(advisor.call_base_us + workers * advisor.call_per_worker_us);
}

Duration RemainingChain(const job::JobSpec& spec, const job::OccurrenceState& occurrence,
                        const job::QueueSettings& queue, const DurationModel& durations) {
  return LongestChain(
      spec, [&occurrence](std::size_t i) { return occurrence.steps[i].IsDone(); },
      [&](std::size_t i) {
        const bool begun = occurrence.steps[i].Waiting() == 0;
        return begun ? durations.Predict(spec.steps[i].estimate)
                     : StepTime(spec.steps[i], queue, durations);
      });
}

Duration WholeChain(const job::JobSpec& spec, const job::QueueSettings& queue,
                    const DurationModel& durations) {
  return LongestChain(
      spec, [](std::size_t) { return false; },
      [&](std::size_t i) { return StepTime(spec.steps[i], queue, durations); });
}

Duration Objective(const job::JobSpec& spec, const job::QueueSettings& queue,
                   const DurationModel& durations) {
  return WholeChain(spec, queue, durations) * queue.slack_permille / kPermille +
         queue.latency_target;
}

Urgency UrgencyOf(TimePoint now, TimePoint accepted, Duration objective, Duration remaining,
                  std::uint32_t priority) {
  const Duration slack = accepted + objective - now - remaining;
  if (slack >= Duration(0)) return {Prospect::kInTime, priority, slack};
  const Duration late_slack = accepted + kLateFactor * objective - now - remaining;
  if (late_slack >= Duration(0)) return {Prospect::kLate, priority, late_slack};
  return {Prospect::kLost, priority, -late_slack};
}

Urgency Ordered(const Urgency& urgency, WaitingOrder order, TimePoint accepted) {
  if (order == WaitingOrder::kProspect) return urgency;
  const std::uint32_t priority = order == WaitingOrder::kPriority ? urgency.priority : 0;
  return {Prospect::kInTime, priority, accepted.time_since_epoch()};
}

}  // namespace parsleyline::dispatch
