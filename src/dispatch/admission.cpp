#include "dispatch/admission.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace parsleyline::dispatch {
namespace {

// Share of the CPU capacity that tasks can use, in thousandths. The rest is lost to fragmentation,
// slower workers and the gaps between tasks.
constexpr std::int64_t kUsablePermille = 850;
constexpr std::int64_t kPermille = 1000;
// Sums of work stop here, so that no calculation with a sum overflows.
constexpr std::int64_t kMaxCoreMs = 1'000'000'000'000;
constexpr Milliseconds kMaxWait = std::chrono::hours(24 * 365);
// Shorter expected waits never lead to a rejection. They are within the error of the estimates: a
// few tasks that end early make up for them.
constexpr Milliseconds kMinRejectedWait{1000};
// Bounds of `retry_after`. Rejected callers should not retry at once, but early enough for another
// attempt within the usual objectives.
constexpr Milliseconds kMinRetryAfter{500};
constexpr Milliseconds kMaxRetryAfter{3000};

/// Returns the CPU time of tasks in microseconds of a core. The exact integer may overflow.
double CpuMicros(MilliCpu cpu, std::int64_t tasks, Duration duration) {
  return static_cast<double>(cpu.count()) * static_cast<double>(tasks) *
         static_cast<double>(duration / Milliseconds(1));
}

std::int64_t ToCoreMs(double core_us) {
  const double core_ms = core_us / static_cast<double>(kPermille);
  return core_ms < static_cast<double>(kMaxCoreMs) ? static_cast<std::int64_t>(core_ms)
                                                   : kMaxCoreMs;
}

std::size_t PriorityLevel(std::uint32_t priority) {
  return std::min<std::size_t>(priority, kPriorityLevels - 1);
}

std::int64_t SumUpTo(const Backlog::ByPriority& work, std::size_t last) {
  return std::accumulate(work.begin(), work.begin() + static_cast<std::ptrdiff_t>(last) + 1,
                         std::int64_t{0});
}

}  // namespace

void Backlog::AddWaiting(ExpectedOutcome outcome, std::uint32_t priority, std::int64_t core_ms) {
  if (outcome == ExpectedOutcome::kExpired) return;
  ByPriority& work = outcome == ExpectedOutcome::kInTime ? in_time_core_ms : late_core_ms;
  std::int64_t& sum = work[PriorityLevel(priority)];
  sum = std::min(sum + std::min(core_ms, kMaxCoreMs), kMaxCoreMs);
}

Duration Backlog::ProcessingTime(std::int64_t core_ms) const {
  const std::int64_t usable =
      std::max<std::int64_t>(capacity_millicores * kUsablePermille / kPermille, 1);
  return std::min(Milliseconds(std::min(core_ms, kMaxCoreMs) * kPermille / usable), kMaxWait);
}

Duration Backlog::ExpectedInTimeWait(std::uint32_t priority) const {
  return ProcessingTime(SumUpTo(in_time_core_ms, PriorityLevel(priority)));
}

Duration Backlog::ExpectedLateWait(std::uint32_t priority) const {
  return ProcessingTime(running_core_ms + SumUpTo(in_time_core_ms, kPriorityLevels - 1) +
                        SumUpTo(late_core_ms, PriorityLevel(priority)));
}

std::int64_t CpuWork(MilliCpu cpu, std::int64_t tasks, Duration duration) {
  return ToCoreMs(CpuMicros(cpu, tasks, duration));
}

std::int64_t ExpectedCpuWork(const job::JobSpec& spec, const DurationModel& durations) {
  double core_us = 0;
  for (const job::StepSpec& it : spec.steps) {
    core_us += CpuMicros(it.demand.cpu, it.tasks, durations.Predict(it.estimate));
  }
  return std::min(ToCoreMs(core_us) * spec.OccurrenceCount(), kMaxCoreMs);
}

AdmissionDecision DecideAdmission(const Backlog& backlog, std::uint32_t priority,
                                  Duration critical_path, Duration objective) {
  AdmissionDecision decision;
  decision.expected_wait = backlog.ExpectedInTimeWait(priority);
  const Duration excess = decision.expected_wait - (objective - critical_path);
  const Duration late_excess =
      backlog.ExpectedLateWait(priority) - (kLateFactor * objective - critical_path);
  if (decision.expected_wait < kMinRejectedWait) return decision;
  if (excess <= Duration(0) || late_excess <= Duration(0)) return decision;
  decision.accepted = false;
  decision.retry_after =
      std::clamp(std::chrono::duration_cast<Milliseconds>(excess), kMinRetryAfter, kMaxRetryAfter);
  return decision;
}

}  // namespace parsleyline::dispatch
