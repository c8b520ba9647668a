#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "settings/cell.h"
#include "settings/fault.h"

namespace parsleyline::settings {

/// Settings of an entry daemon. docs/settings.md describes each key.
struct EntrySettings {
  NodeId node;
  DomainId domain;
  Listener http;
  Listener rpc;
  /// All schedulers of the cell.
  std::vector<SchedulerAddress> schedulers;
  /// All failure domains of the cell.
  std::vector<DomainId> domains;
  std::uint32_t threads = 4;

  std::size_t max_header_bytes = 8192;
  std::size_t max_body_bytes = 262144;
  Milliseconds header_timeout{5000};
  Milliseconds body_timeout{10000};
  Milliseconds idle_timeout{60000};
  std::size_t max_connections = 4096;

  std::size_t max_in_flight = 20000;
  std::uint32_t connections_per_worker = 64;
  std::uint32_t retry_budget_percent = 10;
  std::uint32_t retry_budget_min_per_second = 10;

  Milliseconds call_timeout{1000};
  Milliseconds ping_interval{500};
  Milliseconds ping_timeout{1000};
  Milliseconds stop_timeout{30000};
  Milliseconds announce_batch{20};
  Milliseconds heartbeat_interval{200};
};

/// Parses and checks the settings in JSON text.
Loaded<EntrySettings> ParseEntrySettings(std::string_view text);

/// Parses and checks the settings in a file.
Loaded<EntrySettings> LoadEntrySettings(const std::string& file);

}  // namespace parsleyline::settings
