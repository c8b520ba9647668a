#include "worker_gateway/unresolved_tasks.h"

namespace parsleyline::entry::internal {
namespace {

/// Takes about 4 MB. The oldest tasks are removed first; the entry daemon has queried them long
/// before.
constexpr std::size_t kMaxTasks = 32768;

}  // namespace

void UnresolvedTasks::Add(FencingToken token, std::optional<std::uint64_t> incarnation) {
  const std::lock_guard lock(mutex_);
  if (!incarnations_.emplace(token.value(), incarnation).second) return;
  order_.push_back(token.value());
  if (order_.size() <= kMaxTasks) return;
  incarnations_.erase(order_.front());
  order_.pop_front();
}

bool UnresolvedTasks::IsReliable(FencingToken token,
                                 std::optional<std::uint64_t> incarnation) const {
  const std::lock_guard lock(mutex_);
  const auto it = incarnations_.find(token.value());
  if (it == incarnations_.end()) return true;
  return incarnation && it->second == incarnation;
}

bool UnresolvedTasks::Contains(FencingToken token) const {
  const std::lock_guard lock(mutex_);
  return incarnations_.count(token.value()) > 0;
}

}  // namespace parsleyline::entry::internal
