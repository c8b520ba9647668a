#include "dispatch/lease_clock.h"

#include <algorithm>
#include <chrono>

namespace parsleyline::dispatch {
namespace {

constexpr std::int64_t kPermille = 1000;
// A reading arrives at most this long after it was taken, because calls time out before. Replies
// may overtake each other.
constexpr Milliseconds kMaxReplyDelay{2000};

// Returns the real time after which the slowest permitted clock has advanced by `span`.
Duration OnSlowestClock(Duration span) {
  return span * kPermille / (kPermille - kSlowClockPermille);
}

}  // namespace

TimePoint LatestLeaseEnd(TimePoint granted_at, Milliseconds length) {
  return granted_at + OnSlowestClock(length) + kLeaseMargin;
}

void LeaseClock::AssumeLease(TimePoint now, Milliseconds length) {
  assumed_lease_end_ = std::max(assumed_lease_end_, LatestLeaseEnd(now, length));
}

// The clock of another incarnation begins anew, mostly at a value that is far from this one's. If
// it begins at 0, it shows less than the time since the last reading, before which it cannot have
// started.
ReadingOrigin LeaseClock::OriginOf(WorkerMillis reading, TimePoint received) const {
  if (!has_reading_) return ReadingOrigin::kUnclear;
  const Milliseconds advance(reading.value() - reading_.value());
  const Duration max_advance = received - reading_received_ + kMaxReplyDelay;
  if (advance < -kMaxReplyDelay || advance > max_advance) return ReadingOrigin::kOther;
  return Milliseconds(reading.value()) > max_advance ? ReadingOrigin::kThis
                                                     : ReadingOrigin::kUnclear;
}

void LeaseClock::RecordReading(WorkerMillis reading, TimePoint received) {
  if (has_reading_ && reading < reading_) return;
  has_reading_ = true;
  reading_ = reading;
  reading_received_ = received;
}

WorkerMillis LeaseClock::GrantLease(TimePoint now) {
  if (!has_reading_) return WorkerMillis();
  const auto passed = std::chrono::duration_cast<Milliseconds>(now - reading_received_);
  const WorkerMillis end(reading_.value() + (passed + kLease).count());
  longest_lease_ = std::max(longest_lease_, end);
  return end;
}

bool LeaseClock::HasExpired(TimePoint now) const {
  if (now < assumed_lease_end_) return false;
  if (!has_reading_) return true;
  const Milliseconds left(longest_lease_.value() - reading_.value());
  return now >= LatestLeaseEnd(reading_received_, std::max(left, Milliseconds(0)));
}

}  // namespace parsleyline::dispatch
