#include "queue/estimators.h"

#include <algorithm>
#include <cmath>

namespace parsleyline::queue {

namespace {
// Weights of a new observation, as in the round-trip time estimator of RFC 6298.
constexpr double kMeanGain = 0.125;
constexpr double kDeviationGain = 0.25;
constexpr double kDeviations = 2;

// Whenever the busy time exceeds this window, the weight of all observations so far is halved.
constexpr double kRateWindowMs = 10000;
// Shortest busy time after which the rate is used. The rate of a shorter time depends on a few
// tasks only.
constexpr double kMinBusyMs = 500;
// Estimate for a queue that does not drain at all, and the upper limit of all estimates.
constexpr double kMaxWaitMs = 24.0 * 3600 * 1000;
}  // namespace

void RunTimeEstimator::Observe(Milliseconds run_time) {
  const double ms = static_cast<double>(run_time.count());
  if (samples_++ == 0) {
    mean_ms_ = ms;
    return;
  }
  deviation_ms_ += kDeviationGain * (std::abs(ms - mean_ms_) - deviation_ms_);
  mean_ms_ += kMeanGain * (ms - mean_ms_);
}

std::optional<Milliseconds> RunTimeEstimator::Estimate() const {
  if (samples_ == 0) return std::nullopt;
  return Milliseconds(std::llround(mean_ms_ + kDeviations * deviation_ms_));
}

void DrainRateEstimator::Advance(TimePoint now, bool was_busy) {
  if (was_busy && now > last_) {
    busy_ms_ += std::chrono::duration<double, std::milli>(now - last_).count();
  }
  last_ = std::max(last_, now);
  while (busy_ms_ > kRateWindowMs) {
    busy_ms_ /= 2;
    drained_ /= 2;
  }
}

std::optional<Milliseconds> DrainRateEstimator::TimeToDrain(std::uint64_t tasks) const {
  if (busy_ms_ < kMinBusyMs) return std::nullopt;
  const double per_ms = drained_ / busy_ms_;
  const double wait = per_ms > 0 ? static_cast<double>(tasks) / per_ms : kMaxWaitMs;
  return Milliseconds(std::llround(std::min(wait, kMaxWaitMs)));
}

}  // namespace parsleyline::queue
