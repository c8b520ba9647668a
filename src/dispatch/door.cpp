#include "dispatch/door.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace parsleyline::dispatch {
namespace {

// Share of the CPU capacity that tasks can use, in thousandths. The rest is lost to fragmentation,
// slower workers and the gaps between tasks.
constexpr std::int64_t kUsablePermille = 850;
constexpr std::int64_t kPermille = 1000;
// Shorter expected waits never lead to a rejection. They are within the error of the estimates: a
// few tasks that end early make up for them.
constexpr Milliseconds kShortWait{1000};
// Bounds of `retry_after`. Rejected callers should not retry at once, but early enough for another
// attempt within the usual objectives.
constexpr Milliseconds kMinRetryAfter{500};
constexpr Milliseconds kMaxRetryAfter{3000};

std::size_t Level(std::uint32_t priority) {
  return std::min<std::size_t>(priority, kPriorityLevels - 1);
}

std::int64_t UpTo(const Backlog::ByPriority& work, std::size_t last) {
  return std::accumulate(work.begin(), work.begin() + static_cast<std::ptrdiff_t>(last) + 1,
                         std::int64_t{0});
}

}  // namespace

void Backlog::Add(Prospect prospect, std::uint32_t priority, std::int64_t core_ms) {
  if (prospect == Prospect::kLost) return;
  ByPriority& work = prospect == Prospect::kInTime ? in_time : late;
  work[Level(priority)] += core_ms;
}

Duration Backlog::TimeFor(std::int64_t core_ms) const {
  const std::int64_t usable =
      std::max<std::int64_t>(capacity_millis * kUsablePermille / kPermille, 1);
  return Milliseconds(core_ms * kPermille / usable);
}

Duration Backlog::WaitInTime(std::uint32_t priority) const {
  return TimeFor(UpTo(in_time, Level(priority)));
}

Duration Backlog::WaitLate(std::uint32_t priority) const {
  return TimeFor(running + UpTo(in_time, kPriorityLevels - 1) + UpTo(late, Level(priority)));
}

std::int64_t WorkOf(const job::JobSpec& spec, const DurationModel& durations) {
  std::int64_t millis = 0;
  for (const job::StepSpec& it : spec.steps) {
    millis += it.demand.cpu.count() * it.tasks * (durations.Predict(it.estimate) / Milliseconds(1));
  }
  return millis / kPermille * spec.OccurrenceCount();
}

Admission Admit(const Backlog& backlog, std::uint32_t priority, Duration chain,
                Duration objective) {
  Admission admission;
  admission.expected_wait = backlog.WaitInTime(priority);
  const Duration excess = admission.expected_wait - (objective - chain);
  const Duration late_excess = backlog.WaitLate(priority) - (kLateFactor * objective - chain);
  if (admission.expected_wait < kShortWait) return admission;
  if (excess <= Duration(0) || late_excess <= Duration(0)) return admission;
  admission.accepted = false;
  admission.retry_after =
      std::clamp(std::chrono::duration_cast<Milliseconds>(excess), kMinRetryAfter, kMaxRetryAfter);
  return admission;
}

}  // namespace parsleyline::dispatch
