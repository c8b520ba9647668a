#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "raft/peer_sender.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::bench {

/// Sends messages between the processes of a benchmark over TCP on 127.0.0.1. Each message is
/// preceded by its length and the name of the sender.
class LoopbackPeers : public raft::PeerSender {
 public:
  using Receiver = std::function<void(const NodeId& from, std::string bytes)>;

  LoopbackPeers(boost::asio::io_context& io, NodeId self, std::map<NodeId, std::uint16_t> ports,
                Receiver receiver);
  ~LoopbackPeers() override;

  void Send(const NodeId& to, std::string bytes) override;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::bench
