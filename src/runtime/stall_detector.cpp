#include "runtime/stall_detector.h"

#include <utility>

namespace parsleyline::runtime {

std::optional<StallDetector::Finding> StallDetector::Check(const Sample& sample) {
  const auto last_check = std::exchange(last_check_, sample.now);
  if (!last_check) {
    Restart(sample.now, sample.cpu_time);
    return std::nullopt;
  }
  const Duration cpu_time = sample.cpu_time - cpu_time_at_start_;
  const Duration pause = sample.now - *last_check;
  if (pause >= limit_) {
    Restart(sample.now, sample.cpu_time);
    return Finding{Kind::kSuspended, pause, cpu_time};
  }
  if (sample.last_run > silent_since_) {
    const Finding resumed{Kind::kResumed, sample.last_run - silent_since_, cpu_time};
    const bool was_reported = reported_;
    Restart(sample.last_run, sample.cpu_time);
    return was_reported ? std::make_optional(resumed) : std::nullopt;
  }
  const Duration silence = sample.now - silent_since_;
  if (silence < next_report_) return std::nullopt;
  reported_ = true;
  next_report_ = 2 * silence;
  return Finding{Kind::kStalled, silence, cpu_time};
}

void StallDetector::Restart(TimePoint since, Duration cpu_time) {
  silent_since_ = since;
  cpu_time_at_start_ = cpu_time;
  next_report_ = limit_;
  reported_ = false;
}

}  // namespace parsleyline::runtime
