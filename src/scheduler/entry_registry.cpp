#include "scheduler/entry_registry.h"

#include <algorithm>

namespace parsleyline::scheduler {
namespace {

// The connections of a worker are divided into at least this many shares, so that up to four entry
// daemons can register and expire without changing the share of the others.
constexpr std::uint32_t kMinConnectionShares = 4;

}  // namespace

wire::EntryHeartbeatReply EntryRegistry::RecordHeartbeat(const wire::EntryHeartbeat& heartbeat,
                                                         TimePoint now) {
  entries_[heartbeat.entry] = {heartbeat, now};
  return List(now);
}

wire::EntryHeartbeatReply EntryRegistry::List(TimePoint now) {
  std::erase_if(entries_, [&](const auto& row) { return row.second.last_heartbeat + ttl_ < now; });

  wire::EntryHeartbeatReply reply;
  for (const auto& [id, entry] : entries_) reply.entries.push_back(entry.heartbeat);
  const auto shares = std::max(kMinConnectionShares, static_cast<std::uint32_t>(entries_.size()));
  reply.connections_per_worker = std::max(1U, connections_per_worker_ / shares);
  return reply;
}

}  // namespace parsleyline::scheduler
