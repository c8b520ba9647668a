#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "config_tree/reply_cache.h"
#include "wire/messages.h"

namespace parsleyline::config_tree {

/// The content of a snapshot of ConfigTree, encoded by wire::Encode().
struct TreeState {
  static constexpr std::uint32_t kFormatVersion = 1;

  std::uint32_t format_version = kFormatVersion;
  Revision revision;
  /// The whole tree as JSON text.
  std::string tree;
  std::vector<wire::SettingsHistoryRow> history;
  std::vector<CachedReply> accepted_replies;
  std::vector<CachedReply> rejected_replies;

  auto Fields() {
    return std::tie(format_version, revision, tree, history, accepted_replies, rejected_replies);
  }
};

}  // namespace parsleyline::config_tree
