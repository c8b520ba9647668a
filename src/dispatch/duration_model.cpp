#include "dispatch/duration_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace parsleyline::dispatch {
namespace {

// Predictions equal the declared durations until this many tasks have been observed.
constexpr double kMinObservations = 12;
// Older observations fade out, because a new one never weighs less than 1 / this.
constexpr double kObservationWindow = 300;
constexpr double kMicrosPerMilli = 1000;
// No prediction is longer, so that calculations with it do not overflow.
constexpr Microseconds kMaxPrediction = std::chrono::hours(24 * 365);

}  // namespace

void DurationModel::Moments::Add(double value, double weight) {
  const double delta = value - mean;
  mean += weight * delta;
  variance = (1 - weight) * (variance + weight * delta * delta);
}

void DurationModel::Observe(Milliseconds declared, Duration actual) {
  const double actual_ms = static_cast<double>(actual / Microseconds(1)) / kMicrosPerMilli;
  if (declared <= Milliseconds(0) || actual_ms <= 0) return;
  observation_count_ = std::min(observation_count_ + 1, kObservationWindow);
  log_duration_.Add(std::log(actual_ms), 1 / observation_count_);
  log_error_.Add(std::log(actual_ms / static_cast<double>(declared.count())),
                 1 / observation_count_);
}

Duration DurationModel::Predict(Milliseconds declared) const {
  if (observation_count_ < kMinObservations || declared <= Milliseconds(0)) return declared;
  const double total_variance = log_duration_.variance + log_error_.variance;
  const double declared_weight = total_variance <= 0 ? 1 : log_duration_.variance / total_variance;
  const double by_declared = std::log(static_cast<double>(declared.count())) + log_error_.mean;
  const double log_ms = declared_weight * by_declared + (1 - declared_weight) * log_duration_.mean;
  const double us = std::exp(log_ms) * kMicrosPerMilli;
  return us < kMaxPrediction.count() ? Microseconds(std::llround(us)) : kMaxPrediction;
}

}  // namespace parsleyline::dispatch
