#pragma once

#include "base/clock.h"
#include "dispatch/messages.h"

namespace parsleyline::dispatch {

/// Length of the lease that each order renews. Longer than a change of leader takes, short enough
/// that the tasks of a silent worker soon run elsewhere.
inline constexpr Milliseconds kLease{5000};
/// A worker's clock may run this much slow, in thousandths.
inline constexpr std::int64_t kSlowClockPermille = 20;
/// Spare time beyond the computed end of a lease, for the worker to end its tasks.
inline constexpr Milliseconds kLeaseMargin{300};

/// What is known of the clock of one lifetime of a worker, and of the longest lease given on it.
class LeaseClock {
 public:
  /// Notes a reading that was taken before `received`.
  void Read(WorkerMillis reading, TimePoint received);
  /// Assumes that an earlier leader may have given a full lease until `now`.
  void AssumeLeaseAt(TimePoint now) { assumed_at_ = now; }

  bool HasReading() const { return has_reading_; }
  /// Returns the end of a lease that begins now, and remembers it as given.
  WorkerMillis GiveLease(TimePoint now);
  /// Returns the end of the longest lease that was given, without a new one. For a worker that does
  /// not answer: attempts to reach it must not put off the end of its lease.
  WorkerMillis GivenLease() const { return longest_; }
  /// Tells whether every lease has run out, even on the slowest permitted clock.
  bool HasLapsed(TimePoint now) const;

 private:
  bool has_reading_ = false;
  WorkerMillis reading_;
  TimePoint received_;
  WorkerMillis longest_;
  TimePoint assumed_at_;
};

}  // namespace parsleyline::dispatch
