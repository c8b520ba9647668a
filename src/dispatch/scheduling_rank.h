#pragma once

#include <cstdint>
#include <tuple>

#include "base/clock.h"
#include "dispatch/duration_model.h"
#include "dispatch/policy.h"
#include "job/cell_config.h"
#include "job/cell_state.h"

namespace parsleyline::dispatch {

/// Assumed number of workers in an advisor call, for the time that the call adds to the critical
/// path of a job.
inline constexpr std::int64_t kTypicalWorkersPerCall = 30;
/// A job that misses its objective but ends within this many times the objective is late,
/// which counts for less. After that it is expired.
inline constexpr int kLateFactor = 3;

/// Returns the expected duration of an advisor call that names `workers` workers.
Duration AdvisorCallDuration(const job::AdvisorSettings& advisor, std::int64_t workers);

/// Returns the expected duration of the critical path of the steps that `occurrence` has not done
/// yet, with one advisor call for each step that has waiting tasks and no wait for free capacity.
Duration RemainingCriticalPath(const job::JobSpec& spec, const job::OccurrenceState& occurrence,
                               const job::QueueSettings& queue, const DurationModel& durations);
/// Returns the expected duration of the critical path of a job that has not begun.
Duration CriticalPath(const job::JobSpec& spec, const job::QueueSettings& queue,
                      const DurationModel& durations);

/// Returns the latency objective of a job: the time after its submission within which it should
/// end.
Duration LatencyObjective(const job::JobSpec& spec, const job::QueueSettings& queue,
                          const DurationModel& durations);

/// How a job is expected to end, compared with its latency objective.
enum class ExpectedOutcome : std::uint8_t { kInTime = 0, kLate = 1, kExpired = 2 };

/// Sort key of the waiting steps; the lowest is scheduled first. Work that can still meet its
/// objective precedes work that cannot, so that under overload a backlog of late work does not make
/// the rest late too. Then the priority of the queue decides, then the slack.
struct SchedulingRank {
  ExpectedOutcome outcome = ExpectedOutcome::kInTime;
  std::uint32_t priority = 0;
  /// Time that the job can wait without missing its objective, or without expiring if it can only
  /// be late. For an expired job, the time by which it has exceeded that, so that the one that
  /// missed it last comes first.
  Duration slack{0};

  auto operator<=>(const SchedulingRank&) const = default;
};

/// Returns the rank of a job that was accepted at `accepted` and needs `remaining` on its critical
/// path.
SchedulingRank ComputeRank(TimePoint now, TimePoint accepted, Duration objective,
                           Duration remaining, std::uint32_t priority);

/// Returns the rank that corresponds to `order`. Orders other than kExpectedOutcome are baselines.
SchedulingRank RankUnder(const SchedulingRank& rank, SchedulingOrder order, TimePoint accepted);

}  // namespace parsleyline::dispatch
