#pragma once

#include <optional>

#include "base/clock.h"
#include "base/units.h"

namespace parsleyline::runtime {

/// Decides from periodic checks whether the handlers of an event loop run, and whether a loop that
/// stands still waits, computes, or belongs to a process that was suspended. Has no clock or thread
/// of its own.
class StallDetector {
 public:
  enum class Kind {
    /// No handler has run for the limit or longer.
    kStalled,
    /// Handlers run again.
    kResumed,
    /// The checks themselves paused for the limit or longer, so the whole process did not run.
    kSuspended,
  };
  /// What is known at the time of a check.
  struct Sample {
    TimePoint now;
    /// The last time at which a handler ran.
    TimePoint last_run;
    /// Processor time that the process has used so far.
    Duration cpu_time{};
  };
  struct Finding {
    Kind kind = Kind::kStalled;
    Duration duration{};
    /// Processor time used meanwhile. A loop that waits uses hardly any.
    Duration cpu_time{};
  };

  explicit StallDetector(Milliseconds limit) : limit_(limit) {}

  /// Returns what changed since the previous check, if anything. A stall is reported again each
  /// time its duration has doubled.
  std::optional<Finding> Check(const Sample& sample);

 private:
  /// Starts to measure the silence of the loop at `since`.
  void Restart(TimePoint since, Duration cpu_time);

  const Milliseconds limit_;
  std::optional<TimePoint> last_check_;
  TimePoint silent_since_;
  Duration cpu_time_at_start_{};
  /// Silence after which the stall is reported next.
  Duration next_report_{};
  bool reported_ = false;
};

}  // namespace parsleyline::runtime
