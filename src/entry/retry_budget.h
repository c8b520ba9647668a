#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

namespace parsleyline::entry {

/// Limits the retries of each team to a share of its requests by a token bucket, so that retries do
/// not amplify an overload. Thread-safe.
class RetryBudget {
 public:
  /// Each request adds `percent` hundredths of a retry to its team's budget, and each second
  /// `min_per_second` retries.
  RetryBudget(std::uint32_t percent, std::uint32_t min_per_second)
      : percent_(percent), min_per_second_(min_per_second) {}

  void RecordRequest(const TeamId& team, TimePoint now);

  /// Takes one retry from the team's budget. Returns false if the budget is used up.
  bool TryTakeRetry(const TeamId& team, TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint refilled;
  };

  Bucket& Refill(const TeamId& team, TimePoint now);

  std::uint32_t percent_;
  std::uint32_t min_per_second_;
  std::mutex mutex_;
  std::unordered_map<TeamId, Bucket> buckets_;
};

}  // namespace parsleyline::entry
