#pragma once

#include "base/clock.h"
#include "dispatch/messages.h"

namespace parsleyline::dispatch {

/// Length of the lease that each hold and start order extends. Longer than a change of leader
/// takes, and short enough that the tasks of a silent worker soon run elsewhere.
inline constexpr Milliseconds kLease{5000};
/// The clock of a worker may be slow by this, in thousandths.
inline constexpr std::int64_t kSlowClockPermille = 20;
/// Time after the expiry of a lease in which the worker ends its tasks.
inline constexpr Milliseconds kLeaseMargin{300};

/// Tracks the clock of one incarnation of a worker and the longest lease granted to it. Leases end
/// at a time of the worker's clock, so that the clocks need not be synchronized.
class LeaseClock {
 public:
  /// Records a reading of the worker's clock that was received at `received`.
  void RecordReading(WorkerMillis reading, TimePoint received);
  /// Assumes that an earlier leader granted a full lease at `now`.
  void AssumeLeaseAt(TimePoint now) { assumed_lease_at_ = now; }

  bool HasReading() const { return has_reading_; }
  /// Grants a lease that begins now, and returns its end. Returns 0 before the first reading.
  WorkerMillis GrantLease(TimePoint now);
  /// Returns the end of the longest lease that was granted, without extending it. For a worker that
  /// does not answer, because attempts to reach it must not delay the expiry of its lease.
  WorkerMillis LongestLease() const { return longest_lease_; }
  /// Tells whether all leases have expired even on the slowest permitted clock.
  bool HasExpired(TimePoint now) const;

 private:
  bool has_reading_ = false;
  /// Last reading, and when it was received.
  WorkerMillis reading_;
  TimePoint reading_received_;
  /// Latest end of a granted lease.
  WorkerMillis longest_lease_;
  /// When an earlier leader may have granted a lease.
  TimePoint assumed_lease_at_;
};

}  // namespace parsleyline::dispatch
