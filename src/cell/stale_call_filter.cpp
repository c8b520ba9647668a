#include "cell/stale_call_filter.h"

#include <algorithm>

namespace parsleyline::cell {
namespace {

// Running clients send a heartbeat twice a second. No network holds bytes back for this long.
constexpr Milliseconds kClientRetention{120'000};
constexpr Milliseconds kRemovalInterval{10'000};

}  // namespace

bool StaleCallFilter::Admit(const CallOrigin& origin, TimePoint now) {
  if (now >= next_removal_) {
    next_removal_ = now + kRemovalInterval;
    std::erase_if(clients_,
                  [now](const auto& it) { return now - it.second.last_call > kClientRetention; });
  }
  Client& client = clients_[origin.client];
  client.last_call = now;
  if (origin.epoch < client.epoch) return false;
  client.epoch = origin.epoch;
  return true;
}

}  // namespace parsleyline::cell
