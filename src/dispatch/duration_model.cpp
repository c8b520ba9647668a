#include "dispatch/duration_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace parsleyline::dispatch {
namespace {

// Predictions equal the declared durations until this many tasks have been observed.
constexpr double kMinObservations = 12;
// Older observations fade out, because a new one never weighs less than 1 / this.
constexpr double kMemory = 300;
constexpr double kMicrosPerMilli = 1000;

}  // namespace

void DurationModel::Moments::Add(double value, double weight) {
  const double delta = value - mean;
  mean += weight * delta;
  variance = (1 - weight) * (variance + weight * delta * delta);
}

void DurationModel::Observe(Milliseconds declared, Duration real) {
  const double real_ms = static_cast<double>(real / Microseconds(1)) / kMicrosPerMilli;
  if (declared <= Milliseconds(0) || real_ms <= 0) return;
  count_ = std::min(count_ + 1, kMemory);
  real_.Add(std::log(real_ms), 1 / count_);
  error_.Add(std::log(real_ms / static_cast<double>(declared.count())), 1 / count_);
}

Duration DurationModel::Predict(Milliseconds declared) const {
  if (count_ < kMinObservations || declared <= Milliseconds(0)) return declared;
  const double spread = real_.variance + error_.variance;
  const double trust = spread <= 0 ? 1 : real_.variance / spread;
  const double by_declared = std::log(static_cast<double>(declared.count())) + error_.mean;
  const double log_ms = trust * by_declared + (1 - trust) * real_.mean;
  return Microseconds(std::llround(std::exp(log_ms) * kMicrosPerMilli));
}

}  // namespace parsleyline::dispatch
