#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/ids.h"
#include "raft/peer_sender.h"
#include "transport/rpc.h"

namespace parsleyline::cell {

/// RPC connections to the other processes of the cell. A process is named by its IP number, and all
/// listen on the same port, so that a name is all it takes to reach one.
class Peers : public raft::PeerSender {
 public:
  Peers(boost::asio::io_context& io, NodeId self, std::uint16_t rpc_port);

  const NodeId& self() const { return self_; }
  transport::RpcClient& Client(const NodeId& node);
  /// Sends a Raft message.
  void Send(const NodeId& to, std::string bytes) override;

 private:
  boost::asio::io_context& io_;
  const NodeId self_;
  const std::uint16_t rpc_port_;
  std::map<NodeId, std::unique_ptr<transport::RpcClient>> clients_;
};

}  // namespace parsleyline::cell
