#pragma once

#include <cstdint>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "wire/messages.h"

namespace parsleyline::scheduler {

/// Registered entry daemons of one failure domain, and how many connections each of them may open
/// to a worker. Kept by the leader only; not replicated.
class EntryRegistry {
 public:
  EntryRegistry(std::uint32_t connections_per_worker, Milliseconds ttl)
      : connections_per_worker_(connections_per_worker), ttl_(ttl) {}

  /// Registers an entry daemon, or extends its registration. Returns the same as List().
  wire::EntryHeartbeatReply RecordHeartbeat(const wire::EntryHeartbeat& heartbeat, TimePoint now);

  /// Removes entry daemons whose registration has expired and returns the others.
  wire::EntryHeartbeatReply List(TimePoint now);

 private:
  struct Entry {
    wire::EntryHeartbeat heartbeat;
    TimePoint last_heartbeat;
  };

  std::uint32_t connections_per_worker_;
  Milliseconds ttl_;
  std::map<NodeId, Entry> entries_;
};

}  // namespace parsleyline::scheduler
