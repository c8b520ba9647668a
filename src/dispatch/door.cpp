#include "dispatch/door.h"

#include <algorithm>
#include <chrono>

namespace parsleyline::dispatch {
namespace {

// Share of the processors that tasks really use, in thousandths: the rest is lost to fragments,
// slower workers and the gaps between two tasks.
constexpr std::int64_t kUsablePermille = 800;
constexpr std::int64_t kPermille = 1000;
// Bounds of the advice to rejected callers: not at once, and early enough for a second attempt
// within the usual objectives.
constexpr Milliseconds kMinRetryAfter{500};
constexpr Milliseconds kMaxRetryAfter{3000};

}  // namespace

void Backlog::Add(std::uint32_t priority, std::int64_t amount) {
  core_ms[std::min<std::size_t>(priority, kPriorityLevels - 1)] += amount;
}

Duration Backlog::WaitAhead(std::uint32_t priority) const {
  const std::size_t last = std::min<std::size_t>(priority, kPriorityLevels - 1);
  std::int64_t ahead = 0;
  for (std::size_t i = 0; i <= last; ++i) ahead += core_ms[i];
  const std::int64_t usable =
      std::max<std::int64_t>(capacity_millis * kUsablePermille / kPermille, 1);
  return Milliseconds(ahead * kPermille / usable);
}

std::int64_t WorkOf(const job::JobSpec& spec) {
  std::int64_t millis = 0;
  for (const job::StepSpec& it : spec.steps) {
    millis += it.demand.cpu.count() * it.tasks * it.estimate.count();
  }
  return millis / kPermille * spec.OccurrenceCount();
}

Admission Admit(const Backlog& backlog, std::uint32_t priority, Duration chain,
                Duration objective) {
  Admission admission;
  admission.expected_wait = backlog.WaitAhead(priority);
  const Duration slack = objective - chain;
  if (admission.expected_wait <= slack) return admission;
  admission.accepted = false;
  admission.retry_after =
      std::clamp(std::chrono::duration_cast<Milliseconds>(admission.expected_wait - slack),
                 kMinRetryAfter, kMaxRetryAfter);
  return admission;
}

}  // namespace parsleyline::dispatch
