#pragma once

#include "base/clock.h"
#include "base/units.h"

namespace parsleyline::dispatch {

/// Predicts how long tasks of one queue take from their declared times and from what was observed.
/// Declared times that have proved exact are used as they are; the less they say, the more the
/// prediction is the usual duration of the queue.
class DurationModel {
 public:
  void Observe(Milliseconds declared, Duration real);
  Duration Predict(Milliseconds declared) const;

 private:
  /// Mean and variance of a logarithm, with older observations fading out.
  struct Moments {
    double mean = 0;
    double variance = 0;
    void Add(double value, double weight);
  };

  double count_ = 0;
  Moments real_;
  /// Of the quotient of the real and the declared time.
  Moments error_;
};

}  // namespace parsleyline::dispatch
