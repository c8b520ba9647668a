#include "entry/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace parsleyline::entry {
namespace {

// Capacity of a team's budget, as seconds of its minimum rate.
constexpr double kCapacitySeconds = 10;
constexpr double kPercent = 100;

}  // namespace

RetryBudget::Bucket& RetryBudget::Refill(const TeamId& team, TimePoint now) {
  const double limit = min_per_second_ * kCapacitySeconds;
  const auto [it, inserted] = buckets_.try_emplace(team, Bucket{limit, now});
  Bucket& bucket = it->second;
  const double elapsed = std::chrono::duration<double>(now - bucket.refilled).count();
  bucket.tokens = std::min(limit, bucket.tokens + elapsed * min_per_second_);
  bucket.refilled = now;
  return bucket;
}

void RetryBudget::RecordRequest(const TeamId& team, TimePoint now) {
  const std::lock_guard lock(mutex_);
  Bucket& bucket = Refill(team, now);
  bucket.tokens = std::min(min_per_second_ * kCapacitySeconds, bucket.tokens + percent_ / kPercent);
}

bool RetryBudget::TryTakeRetry(const TeamId& team, TimePoint now) {
  const std::lock_guard lock(mutex_);
  Bucket& bucket = Refill(team, now);
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace parsleyline::entry
