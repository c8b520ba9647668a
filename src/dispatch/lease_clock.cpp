#include "dispatch/lease_clock.h"

#include <algorithm>
#include <chrono>

namespace parsleyline::dispatch {
namespace {

constexpr std::int64_t kPermille = 1000;
// A reading arrives at most this long after it was taken, because calls time out before.
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

bool LeaseClock::IsOwnReading(WorkerMillis reading, TimePoint received) const {
  const Duration max_age_of_later = received - reading_received_ + kMaxReplyDelay;
  return has_reading_ && Milliseconds(reading.value()) > max_age_of_later;
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
