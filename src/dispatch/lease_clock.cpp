#include "dispatch/lease_clock.h"

#include <algorithm>
#include <chrono>

namespace parsleyline::dispatch {
namespace {

constexpr std::int64_t kPermille = 1000;

// Returns the real time after which the slowest permitted clock has advanced by `span`.
Duration OnSlowestClock(Duration span) {
  return span * kPermille / (kPermille - kSlowClockPermille);
}

}  // namespace

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
  if (assumed_lease_at_ != TimePoint() &&
      now < assumed_lease_at_ + OnSlowestClock(kLease) + kLeaseMargin) {
    return false;
  }
  if (!has_reading_) return true;
  const Milliseconds left(longest_lease_.value() - reading_.value());
  return now >= reading_received_ + OnSlowestClock(std::max(left, Milliseconds(0))) + kLeaseMargin;
}

}  // namespace parsleyline::dispatch
