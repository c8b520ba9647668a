#pragma once

#include <string>

#include "base/ids.h"

namespace parsleyline::raft {

/// Sends the messages of one group to other nodes. Messages may be lost, duplicated and reordered,
/// but reordering lowers the throughput.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  /// Sends a message without blocking. The receiving node passes the bytes to RaftGroup::Receive().
  virtual void Send(const NodeId& to, std::string bytes) = 0;
};

}  // namespace parsleyline::raft
