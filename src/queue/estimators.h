#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/units.h"

namespace parsleyline::queue {

/// Estimates run times as their moving average plus twice their mean deviation.
class RunTimeEstimator {
 public:
  void Observe(Milliseconds run_time);

  /// Returns the estimate; empty before the first observation.
  std::optional<Milliseconds> Estimate() const;

 private:
  std::uint64_t samples_ = 0;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;
};

/// Rate at which tasks leave a queue. Only time in which the queue is not empty counts, because an
/// empty queue does not show how fast it would be served.
class DrainRateEstimator {
 public:
  /// Advances the measurement to `now`. Call before each change of the queue. `was_busy` tells
  /// whether the queue was not empty since the last call.
  void Advance(TimePoint now, bool was_busy);

  /// Records that tasks left the queue to be run.
  void RecordDrained(std::uint64_t tasks) { drained_ += static_cast<double>(tasks); }

  /// Returns the expected time until `tasks` have left the queue; empty while the rate is unknown.
  std::optional<Milliseconds> TimeToDrain(std::uint64_t tasks) const;

 private:
  TimePoint last_;
  /// Tasks that left the queue within `busy_ms_`.
  double drained_ = 0;
  double busy_ms_ = 0;
};

}  // namespace parsleyline::queue
