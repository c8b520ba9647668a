#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result_code.h"
#include "wire/messages.h"

namespace parsleyline::config_tree {

/// Maximum number of accepted edits whose replies are kept for repeated requests, which is about
/// five hours at 19,000 edits per day. An edit that is repeated later is rejected, because the
/// revision that it expects is outdated by then.
inline constexpr std::size_t kMaxAcceptedReplies = 4096;

/// Maximum number of rejected edits whose replies are kept. They are limited separately, so that an
/// author whose edits are rejected cannot evict the replies to accepted edits.
inline constexpr std::size_t kMaxRejectedReplies = 1024;

/// The settings tree: a JSON document with revisions that changes deterministically, so that it can
/// be the state of a replicated log.
///
/// A team may edit the subtree "/teams/<team>". The author "operator" may edit the whole tree. An
/// edit carries an operation id and the revision that it expects. If several edits expect the same
/// revision, the first one is accepted and the others are rejected. If an edit is repeated, it gets
/// the same reply as the first time, even if it was rejected then. Performs no I/O and is not
/// thread-safe.
class ConfigTree {
 public:
  /// Keeps at most `history_limit` accepted edits for History().
  explicit ConfigTree(std::size_t history_limit = 2000);
  ~ConfigTree();

  /// Applies one edit. The reply depends only on the edits applied before.
  wire::SettingsEditReply Apply(const wire::SettingsEdit& edit);

  /// Returns the number of edits accepted so far.
  Revision revision() const;

  /// Returns the whole tree as JSON text.
  std::string ToJson() const;

  /// Returns the JSON text at a path such as "/teams/suva/weight".
  Result<std::string> Get(std::string_view path) const;

  /// Returns the accepted edits that led to revisions later than `from` and are still kept.
  wire::SettingsHistory History(Revision from) const;

  /// Serializes the complete state: tree, revision, history and replies by operation id.
  std::string TakeSnapshot() const;
  /// Replaces the complete state with a snapshot. On failure the state does not change.
  Result<void> Restore(std::string_view snapshot);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::config_tree
