#pragma once

#include "base/clock.h"
#include "base/units.h"

namespace parsleyline::dispatch {

/// Predicts how long tasks of one queue take, from their declared durations and the durations of
/// earlier tasks. Accurate declared durations are corrected only by their mean error; the less
/// accurate they are, the closer the prediction is to the mean duration in the queue.
class DurationModel {
 public:
  /// Adds a task that has ended. Ignored without a declared duration.
  void Observe(Milliseconds declared, Duration actual);
  /// Returns the expected duration of a task with this declared duration.
  Duration Predict(Milliseconds declared) const;

 private:
  /// Exponentially weighted mean and variance of a logarithm.
  struct Moments {
    double mean = 0;
    double variance = 0;
    void Add(double value, double weight);
  };

  /// Number of observations, at most the number over which older ones fade out.
  double observation_count_ = 0;
  /// Of the actual duration.
  Moments log_duration_;
  /// Of the ratio of the actual to the declared duration.
  Moments log_error_;
};

}  // namespace parsleyline::dispatch
