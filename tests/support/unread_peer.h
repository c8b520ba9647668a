#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>

#include "transport/http2_session.h"

namespace parsleyline::testing {

/// Makes the peer of an unconnected or listening socket use a small send buffer, which it cannot
/// fill with one write.
inline void UseSmallBuffers(int socket) {
  constexpr int kReceiveBufferBytes = 4096;
  constexpr int kSegmentBytes = 536;
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
}

/// Returns the first bytes of an HTTP/2 peer: its settings and, as a client, `calls` requests.
inline std::string FirstBytes(transport::Http2Role role, const std::string& method,
                              const std::string& body, std::size_t calls) {
  struct IgnoredEvents : transport::Http2Session::Events {
    void OnMessage(std::int32_t /*stream*/, transport::Http2Message /*message*/) override {}
    void OnBodyRejected(std::int32_t /*stream*/, ResultCode /*code*/) override {}
    void OnStreamClosed(std::int32_t /*stream*/, std::uint32_t /*http2_error*/) override {}
    void OnPingAck() override {}
    void OnSettings() override {}
    void OnGoAway(std::uint32_t /*http2_error*/) override {}
  };
  constexpr std::size_t kMaxBytes = std::size_t{64} << 20U;
  constexpr std::uint32_t kMaxStreams = 10'000;
  constexpr Milliseconds kTimeout{15'000};
  IgnoredEvents events;
  transport::Http2Session session(role, {kMaxBytes, kMaxBytes, kMaxStreams}, &events);
  for (std::size_t i = 0; i < calls; ++i) session.SubmitRequest(method, body, kTimeout).value();
  std::string bytes;
  return session.TakeOutput(&bytes, kMaxBytes) ? bytes : std::string();
}

/// An RPC client that makes many calls at once, reads a part of the responses and then stops
/// reading, while its connection stays open.
class UnreadPeer : public std::enable_shared_from_this<UnreadPeer> {
 public:
  /// `output` is what it sends, see FirstBytes().
  UnreadPeer(boost::asio::io_context& io, std::string output, std::size_t read_bytes)
      : socket_(io, boost::asio::ip::tcp::v4()),
        output_(std::move(output)),
        input_(read_bytes, '\0') {
    UseSmallBuffers(socket_.native_handle());
  }

  void Start(const boost::asio::ip::tcp::endpoint& server) {
    socket_.async_connect(server, [self = shared_from_this()](ErrorCode ec) {
      if (!ec) self->SendCalls();
    });
  }
  void Close() {
    ErrorCode ignored;
    socket_.close(ignored);
  }

 private:
  using ErrorCode = boost::system::error_code;

  void SendCalls() {
    boost::asio::async_write(socket_, boost::asio::buffer(output_),
                             [self = shared_from_this()](ErrorCode, std::size_t) {});
    boost::asio::async_read(socket_, boost::asio::buffer(input_),
                            [self = shared_from_this()](ErrorCode, std::size_t) {});
  }

  boost::asio::ip::tcp::socket socket_;
  const std::string output_;
  std::string input_;
};

}  // namespace parsleyline::testing
