#pragma once

#include <cstdint>

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

/// Returns when a lease of `length` that a worker took at `granted_at` at the latest has certainly
/// ended, with all runs under it.
TimePoint LatestLeaseEnd(TimePoint granted_at, Milliseconds length);

/// Which incarnation of a worker has sent a reading of its clock.
enum class ReadingOrigin : std::uint8_t {
  kThis,
  kOther,
  /// The clocks of both may show it.
  kUnclear,
};

/// Tracks the clock of one incarnation of a worker and the longest lease granted to it. Leases end
/// at a time of the worker's clock, so that the clocks need not be synchronized.
class LeaseClock {
 public:
  /// Records a reading of the worker's clock that was received at `received`.
  void RecordReading(WorkerMillis reading, TimePoint received);
  /// Assumes that orders which this leader did not send to this incarnation gave it a lease of
  /// `length` at `now`.
  void AssumeLease(TimePoint now, Milliseconds length);

  bool HasReading() const { return has_reading_; }
  /// Tells which incarnation of the worker has sent `reading`, which was received at `received`.
  ReadingOrigin OriginOf(WorkerMillis reading, TimePoint received) const;
  /// Grants a lease that begins now, and returns its end. Returns 0 before the first reading.
  WorkerMillis GrantLease(TimePoint now);
  /// Tells whether all leases have expired even on the slowest permitted clock.
  bool HasExpired(TimePoint now) const;

 private:
  bool has_reading_ = false;
  /// Last reading, and when it was received.
  WorkerMillis reading_;
  TimePoint reading_received_;
  /// Latest end of a granted lease.
  WorkerMillis longest_lease_;
  /// When the leases that others may have granted have certainly ended.
  TimePoint assumed_lease_end_;
};

}  // namespace parsleyline::dispatch
