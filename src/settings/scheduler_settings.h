#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "placement/placement.h"
#include "settings/cell.h"
#include "settings/fault.h"

namespace parsleyline::settings {

/// Name of the Raft group that replicates the settings tree.
inline constexpr std::string_view kSettingsGroup = "settings";
/// Prefix of the Raft group names of failure domains: "domain:<domain>".
inline constexpr std::string_view kDomainGroupPrefix = "domain:";

/// One Raft group and the schedulers that vote in it.
struct RaftGroup {
  std::string name;
  /// Failure domain of the group; empty for the settings group.
  DomainId domain;
  std::vector<NodeId> voters;

  bool operator==(const RaftGroup&) const = default;
};

/// Settings of a scheduler daemon. docs/settings.md describes each key.
struct SchedulerSettings {
  NodeId node;
  DomainId domain;
  Listener rpc;
  /// Serves /metrics, /healthz and /readyz.
  Listener http;
  std::string data_folder;
  /// All schedulers of the cell, this one included.
  std::vector<SchedulerAddress> schedulers;
  /// All failure domains of the cell.
  std::vector<DomainId> domains;
  std::vector<RaftGroup> groups;
  std::uint32_t threads = 2;

  Milliseconds heartbeat{50};
  Milliseconds election_min{300};
  Milliseconds election_max{600};
  std::uint64_t compaction_bytes = 8388608;

  Milliseconds worker_ttl{1500};
  Milliseconds lease_service{2000};
  Milliseconds lease_batch{10000};
  Milliseconds lease_gang{10000};
  Milliseconds clock_margin{500};
  Milliseconds ledger_retention{3600000};
  std::uint64_t ledger_max_entries = 500000;
  Milliseconds entry_ttl{1500};
  placement::PlacementOptions placement;

  Milliseconds stop_timeout{30000};
  Milliseconds ping_interval{500};
  Milliseconds ping_timeout{1000};
  Milliseconds call_timeout{1000};
};

/// Parses and checks the settings in JSON text.
Loaded<SchedulerSettings> ParseSchedulerSettings(std::string_view text);

/// Parses and checks the settings in a file.
Loaded<SchedulerSettings> LoadSchedulerSettings(const std::string& file);

}  // namespace parsleyline::settings
