#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "wire/messages.h"

namespace parsleyline::config_tree {

/// Digest of the parts of an edit that must be equal when it is repeated.
struct EditDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const EditDigest&) const = default;
  auto Fields() { return std::tie(high, low); }
};

/// Returns the digest of an edit without its operation id and time. JSON values that differ only in
/// whitespace or in the order of keys have the same digest.
EditDigest ComputeDigest(const wire::SettingsEdit& edit);

/// An operation id with the digest of its edit and the reply to it.
struct CachedReply {
  OperationId operation;
  EditDigest digest;
  wire::SettingsEditReply reply;

  auto Fields() { return std::tie(operation, digest, reply); }
};

/// The replies to the most recent edits. Evicts the oldest reply when it is full.
class ReplyCache {
 public:
  explicit ReplyCache(std::size_t limit) : limit_(limit) {}

  /// Returns the reply to an operation id, or null if there is none.
  const CachedReply* Find(const OperationId& operation) const;
  /// Adds a reply to an operation id that is not in the cache.
  void Add(CachedReply cached);
  /// Returns all replies from oldest to newest.
  std::vector<CachedReply> Replies() const { return {replies_.begin(), replies_.end()}; }

 private:
  std::size_t limit_;
  std::deque<CachedReply> replies_;
  /// Number of replies that were added before each operation, including those evicted since.
  std::unordered_map<OperationId, std::uint64_t> positions_;
  /// Number of replies evicted so far.
  std::uint64_t evicted_ = 0;
};

}  // namespace parsleyline::config_tree
