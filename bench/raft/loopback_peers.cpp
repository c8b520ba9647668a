#include "bench/raft/loopback_peers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

namespace parsleyline::bench {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;

// Messages to a peer are dropped if its queue would exceed this size.
constexpr std::size_t kMaxQueuedBytes = std::size_t{16} << 20U;

struct FrameHeader {
  std::uint32_t length = 0;
  char from[12] = {};
};

}  // namespace

// Each pair of processes uses one connection per direction: a process connects to its peers to send
// messages, and accepts connections to receive them. All state is accessed on one strand.
struct LoopbackPeers::Impl : std::enable_shared_from_this<LoopbackPeers::Impl> {
  struct Outgoing {
    explicit Outgoing(const Strand& strand) : socket(strand) {}
    tcp::socket socket;
    bool connected = false;
    bool busy = false;
    std::string queued;
    std::string writing;
  };
  struct Incoming {
    explicit Incoming(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    FrameHeader header;
    std::string body;
  };

  Impl(asio::io_context& io, NodeId name, std::map<NodeId, std::uint16_t> all, Receiver callback)
      : self(std::move(name)),
        ports(std::move(all)),
        receiver(std::move(callback)),
        strand(asio::make_strand(io)),
        acceptor(strand, {asio::ip::address_v4::loopback(), ports.at(self)}) {}

  void Accept();
  void Read(const std::shared_ptr<Incoming>& peer);
  void Flush(const NodeId& to);

  const NodeId self;
  const std::map<NodeId, std::uint16_t> ports;
  const Receiver receiver;
  Strand strand;
  tcp::acceptor acceptor;
  std::map<NodeId, std::unique_ptr<Outgoing>> outgoing;
};

void LoopbackPeers::Impl::Accept() {
  acceptor.async_accept(strand, [self = shared_from_this()](auto ec, tcp::socket socket) {
    if (ec) return;
    socket.set_option(tcp::no_delay(true));
    self->Read(std::make_shared<Incoming>(std::move(socket)));
    self->Accept();
  });
}

void LoopbackPeers::Impl::Read(const std::shared_ptr<Incoming>& peer) {
  const auto on_body = [self = shared_from_this(), peer](auto ec, std::size_t) {
    if (ec) return;
    self->receiver(NodeId(peer->header.from), std::move(peer->body));
    self->Read(peer);
  };
  const auto on_header = [peer, on_body](auto ec, std::size_t) {
    if (ec) return;
    peer->body.assign(peer->header.length, '\0');
    asio::async_read(peer->socket, asio::buffer(peer->body), on_body);
  };
  asio::async_read(peer->socket, asio::buffer(&peer->header, sizeof(FrameHeader)), on_header);
}

void LoopbackPeers::Impl::Flush(const NodeId& to) {
  Outgoing& peer = *outgoing.at(to);
  if (peer.busy || peer.queued.empty()) return;
  peer.busy = true;
  const auto done = [self = shared_from_this(), to](bool ok) {
    Outgoing& ended = *self->outgoing.at(to);
    ended.busy = false;
    ended.connected = ok;
    if (!ok) ended.socket = tcp::socket(self->strand);
    if (ok) self->Flush(to);
  };
  if (!peer.connected) {
    peer.socket.async_connect({asio::ip::address_v4::loopback(), ports.at(to)},
                              [done, &peer](auto ec) {
                                if (!ec) peer.socket.set_option(tcp::no_delay(true));
                                done(!ec);
                              });
    return;
  }
  peer.writing = std::exchange(peer.queued, {});
  asio::async_write(peer.socket, asio::buffer(peer.writing),
                    [done](auto ec, std::size_t) { done(!ec); });
}

LoopbackPeers::LoopbackPeers(asio::io_context& io, NodeId self,
                             std::map<NodeId, std::uint16_t> ports, Receiver receiver)
    : impl_(std::make_shared<Impl>(io, std::move(self), std::move(ports), std::move(receiver))) {
  impl_->Accept();
}

LoopbackPeers::~LoopbackPeers() = default;

void LoopbackPeers::Send(const NodeId& to, std::string bytes) {
  asio::post(impl_->strand, [impl = impl_, to, data = std::move(bytes)] {
    auto& peer = impl->outgoing[to];
    if (peer == nullptr) peer = std::make_unique<Impl::Outgoing>(impl->strand);
    if (peer->queued.size() + data.size() > kMaxQueuedBytes) return;
    FrameHeader header;
    header.length = static_cast<std::uint32_t>(data.size());
    std::strncpy(header.from, impl->self.value().c_str(), sizeof(header.from) - 1);
    peer->queued.append(reinterpret_cast<const char*>(&header), sizeof(header)).append(data);
    impl->Flush(to);
  });
}

}  // namespace parsleyline::bench
