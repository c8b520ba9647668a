#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/ids.h"
#include "raft/peer_sender.h"
#include "transport/rpc.h"

namespace parsleyline::cell {

/// RPC clients for the other processes of the cell, created on first use. A node id is the IP
/// address of the process, and all processes listen on the same RPC port.
class Peers : public raft::PeerSender {
 public:
  Peers(boost::asio::io_context& io, NodeId self, std::uint16_t rpc_port);

  const NodeId& self() const { return self_; }
  transport::RpcClient& ClientFor(const NodeId& node);
  /// Sends a Raft message.
  void Send(const NodeId& to, std::string bytes) override;

 private:
  boost::asio::io_context& io_;
  const NodeId self_;
  const std::uint16_t rpc_port_;
  std::map<NodeId, std::unique_ptr<transport::RpcClient>> clients_;
};

}  // namespace parsleyline::cell
