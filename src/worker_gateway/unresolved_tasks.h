#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "base/ids.h"

namespace parsleyline::entry::internal {

/// Stores, for tasks whose outcome is unknown, the incarnation of the worker that they were sent
/// to. After a restart the worker does not know the task, although its earlier incarnation may have
/// run it: only the same incarnation can tell that a task never started. Thread-safe.
class UnresolvedTasks {
 public:
  void Add(FencingToken token, std::optional<std::uint64_t> incarnation);

  /// Whether the report of `incarnation` that `token` never started is reliable.
  bool IsReliable(FencingToken token, std::optional<std::uint64_t> incarnation) const;

  bool Contains(FencingToken token) const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, std::optional<std::uint64_t>> incarnations_;
  /// Tokens from the oldest to the newest.
  std::deque<std::uint64_t> order_;
};

}  // namespace parsleyline::entry::internal
