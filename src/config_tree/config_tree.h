#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result_code.h"
#include "wire/messages.h"

namespace parsleyline::config_tree {

/// Accepted edits whose replies are kept for resends, about five hours at 19,000 edits per day. A
/// later resend is refused because its expected revision is old.
inline constexpr std::size_t kKeptAcceptedReplies = 4096;

/// Refused edits whose replies are kept. They are counted apart, so that refused edits of one
/// author never displace the reply to an accepted one.
inline constexpr std::size_t kKeptRefusedReplies = 1024;

/// The settings tree as a deterministic state machine: a JSON document with revisions.
///
/// "/teams/<team>" belongs to the team, everything else to the author "operator", who may edit the
/// whole tree. An edit names the revision that it expects and an operation id; of two edits that
/// expect the same revision the first one wins, and a resend of an edit gets its first reply again,
/// also when that was a refusal. Free of I/O; not thread-safe: the owner serialises calls.
class ConfigTree {
 public:
  explicit ConfigTree(std::size_t history_limit = 2000);
  ~ConfigTree();

  /// Applies one edit and tells the outcome, which depends only on the edits applied before.
  wire::SettingsEditReply Apply(const wire::SettingsEdit& edit);

  Revision revision() const;

  /// Returns the whole tree as JSON text.
  std::string ToJson() const;

  /// Returns the JSON text at a path such as "/teams/suva/weight".
  Result<std::string> Get(std::string_view path) const;

  /// Returns the accepted edits that made revisions above `from`, as far as they are kept.
  wire::SettingsHistory History(Revision from) const;

  /// Whole state as bytes: tree, revision, history and replies to known operation ids.
  std::string TakeSnapshot() const;
  Result<void> Restore(std::string_view snapshot);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::config_tree
