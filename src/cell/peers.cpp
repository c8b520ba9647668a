#include "cell/peers.h"

#include <utility>

#include "cell/messages.h"
#include "wire/codec.h"

namespace parsleyline::cell {
namespace {

// A Raft message that is not acknowledged within this time counts as lost.
constexpr Milliseconds kRaftMessageTimeout{1000};
// A connection whose ping is not answered within this time is replaced. Well below the time limits
// of callers.
constexpr Milliseconds kPingTimeout{600};
constexpr Milliseconds kPingInterval{500};
constexpr Milliseconds kConnectTimeout{500};

}  // namespace

Peers::Peers(boost::asio::io_context& io, NodeId self, std::uint16_t rpc_port)
    : io_(io), self_(std::move(self)), rpc_port_(rpc_port) {}

transport::RpcClient& Peers::ClientFor(const NodeId& node) {
  auto& client = clients_[node];
  if (client == nullptr) {
    transport::RpcOptions options;
    options.ping_interval = kPingInterval;
    options.ping_timeout = kPingTimeout;
    options.connect_timeout = kConnectTimeout;
    client = std::make_unique<transport::RpcClient>(io_, node.value(), rpc_port_, options);
  }
  return *client;
}

void Peers::Send(const NodeId& to, std::string bytes) {
  ClientFor(to).Call(kRaftMethod, wire::Encode(RaftEnvelope{self_, std::move(bytes)}),
                     kRaftMessageTimeout, [](const Result<std::string>&) {});
}

}  // namespace parsleyline::cell
