#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "tests/transport/rpc_fixture.h"
#include "transport/http2_session.h"

namespace parsleyline::transport {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kBodyBytes = std::size_t{1} << 20U;
// Together the bodies exceed the largest send buffer of a socket many times over.
constexpr std::size_t kBodies = 4;
// The peers read multiples of this size, because not every remainder leaves a socket full.
constexpr std::size_t kReadStepBytes = 10'000;
constexpr std::size_t kPeers = 20;
constexpr Milliseconds kFillTime{50};
constexpr int kReceiveBufferBytes = 4096;
constexpr int kSegmentBytes = 536;

// Lets the peer send without limit on the connection and 4 MiB on each stream.
constexpr char kLargeWindow[] = "\x00\x00\x04\x08\x00\x00\x00\x00\x00\x7f\x00\x00\x00";

class IgnoredEvents : public Http2Session::Events {
 public:
  void OnMessage(std::int32_t /*stream*/, Http2Message /*message*/) override {}
  void OnBodyRejected(std::int32_t /*stream*/, ResultCode /*code*/) override {}
  void OnStreamClosed(std::int32_t /*stream*/, std::uint32_t /*http2_error*/) override {}
  void OnPingAck() override {}
  void OnSettings() override {}
  void OnGoAway(std::uint32_t /*http2_error*/) override {}
};

// Returns the first bytes of a peer that allows more output than a socket buffers and, as a client,
// requests `calls` bodies.
std::string FirstBytes(Http2Role role, std::size_t calls) {
  IgnoredEvents events;
  Http2Session session(role, {kBodyBytes, kBodies * kBodyBytes, 1000}, &events);
  for (std::size_t i = 0; i < calls; ++i) {
    session.SubmitRequest("blob", std::to_string(kBodyBytes), kDefaultCallTimeout).value();
  }
  std::string bytes;
  CPPUNIT_ASSERT(session.TakeOutput(&bytes, std::size_t{1} << 20U).has_value());
  return bytes.append(kLargeWindow, sizeof(kLargeWindow) - 1);
}

// Makes the peer of `socket` use a small send buffer, which it cannot fill with one write.
void UseSmallBuffers(int socket) {
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
}

// Neither pings nor TCP_USER_TIMEOUT close a connection during a test.
RpcOptions PatientOptions() {
  RpcOptions options;
  options.ping_timeout = Milliseconds(120'000);
  return options;
}

}  // namespace

// A process with one thread and an RPC server and client in it, a second process that answers, and
// raw sockets of peers
// that stop reading.
class UnreadOutputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnreadOutputTest);
  CPPUNIT_TEST(Server_PeersStopReadingResponses_ServesOthers);
  CPPUNIT_TEST(Client_PeersStopReadingRequests_ReachesOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  UnreadOutputTest() : server_(threads_.io(), PatientOptions()) {
    server_.RegisterHandler("blob", [](const RpcRequest& request, const RpcResponseCallback& done) {
      done(std::string(std::stoul(request.body), 'b'));
    });
    server_.RegisterHandler("echo", [](const RpcRequest& request, const RpcResponseCallback& done) {
      done(request.body);
    });
    port_ = server_.Listen(kLoopback, 0).value();
  }

  // Guards against an event loop that waits until a peer reads its responses.
  void Server_PeersStopReadingResponses_ServesOthers() {
    RpcClient other(other_threads_.io(), kLoopback, port_, PatientOptions());
    std::vector<tcp::socket> peers;
    for (std::size_t i = 1; i <= kPeers; ++i) {
      tcp::socket& peer = peers.emplace_back(io_, tcp::v4());
      UseSmallBuffers(peer.native_handle());
      peer.connect({asio::ip::make_address(kLoopback), port_});
      asio::write(peer, asio::buffer(FirstBytes(Http2Role::kClient, kBodies)));
      ReadBytes(peer, i * kReadStepBytes);
      CheckIsReached(other);
    }
  }

  // Guards against an event loop that waits until a peer reads its requests.
  void Client_PeersStopReadingRequests_ReachesOthers() {
    RpcServer other(other_threads_.io(), PatientOptions());
    other.RegisterHandler("echo", [](const RpcRequest& request, const RpcResponseCallback& done) {
      done(request.body);
    });
    RpcClient to_other(threads_.io(), kLoopback, other.Listen(kLoopback, 0).value(),
                       PatientOptions());
    tcp::acceptor acceptor(io_, tcp::endpoint(asio::ip::make_address(kLoopback), 0));
    UseSmallBuffers(acceptor.native_handle());
    std::vector<std::unique_ptr<RpcClient>> clients;
    std::vector<tcp::socket> peers;
    for (std::size_t i = 1; i <= kPeers; ++i) {
      clients.push_back(std::make_unique<RpcClient>(
          threads_.io(), kLoopback, acceptor.local_endpoint().port(), PatientOptions()));
      for (std::size_t body = 0; body < kBodies; ++body) {
        clients.back()->Call("blob", std::string(kBodyBytes, 'r'), kDefaultCallTimeout,
                             [](const Result<std::string>&) {});
      }
      tcp::socket& peer = peers.emplace_back(io_);
      acceptor.accept(peer);
      asio::write(peer, asio::buffer(FirstBytes(Http2Role::kServer, 0)));
      ReadBytes(peer, i * kReadStepBytes);
      CheckIsReached(to_other);
    }
  }

 private:
  static void ReadBytes(tcp::socket& socket, std::size_t size) {
    std::string bytes(size, '\0');
    asio::read(socket, asio::buffer(bytes));
  }

  // Makes calls while the process fills the socket of a peer that has stopped reading.
  static void CheckIsReached(RpcClient& client) {
    const TimePoint end = std::chrono::steady_clock::now() + kFillTime;
    while (std::chrono::steady_clock::now() < end) {
      const auto result = CallAndWait(client, "echo", "a");
      CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().message, result.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("a"), *result);
    }
  }

  IoThreads threads_{1};
  IoThreads other_threads_{1};
  asio::io_context io_;
  RpcServer server_;
  std::uint16_t port_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadOutputTest);

}  // namespace parsleyline::transport
