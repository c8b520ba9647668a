#pragma once

#include <string>
#include <string_view>

#include "base/ids.h"

// Names of the RPC methods of the scheduler daemon.
namespace parsleyline::wire {

inline constexpr std::string_view kSubmitMethod = "submit";
inline constexpr std::string_view kFinishMethod = "finish";
inline constexpr std::string_view kCancelMethod = "cancel";
inline constexpr std::string_view kQueryMethod = "query";
inline constexpr std::string_view kAnnounceMethod = "announce";
inline constexpr std::string_view kHeartbeatMethod = "heartbeat";
inline constexpr std::string_view kEntriesMethod = "entries";
inline constexpr std::string_view kWorkerStateMethod = "worker_state";
inline constexpr std::string_view kWorkersMethod = "workers";
inline constexpr std::string_view kQueuesMethod = "queues";
inline constexpr std::string_view kStatusMethod = "status";

inline constexpr std::string_view kSettingsEditMethod = "settings_edit";
inline constexpr std::string_view kSettingsWatchMethod = "settings_watch";
inline constexpr std::string_view kSettingsHistoryMethod = "settings_history";

/// Forwards an HTTP request from one entry daemon to another.
inline constexpr std::string_view kForwardMethod = "forward";

/// Delivers a Raft message to a replica of the group in the method's scope.
inline constexpr std::string_view kRaftMethod = "raft";

/// Returns the name of `method` for one failure domain or Raft group. The scope is needed because a
/// scheduler daemon may host replicas of several.
inline std::string ScopedMethod(std::string_view scope, std::string_view method) {
  return std::string(scope) + "/" + std::string(method);
}

}  // namespace parsleyline::wire
