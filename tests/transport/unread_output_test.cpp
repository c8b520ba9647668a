#include <cppunit/extensions/HelperMacros.h>

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
#include "tests/support/unread_peer.h"
#include "tests/transport/rpc_fixture.h"

namespace parsleyline::transport {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using testing::FirstBytes;
using testing::UseSmallBuffers;

constexpr std::size_t kBodyBytes = std::size_t{1} << 20U;
// Together the bodies exceed the send buffer of a socket many times over, but not the window of an
// HTTP/2 connection.
constexpr std::size_t kBodies = 3;
// The peers read multiples of this size, because not every remainder leaves a socket full.
constexpr std::size_t kReadStepBytes = 10'000;
constexpr std::size_t kPeers = 20;
constexpr Milliseconds kFillTime{50};

// Neither pings nor TCP_USER_TIMEOUT close a connection during a test.
RpcOptions PatientOptions() {
  RpcOptions options;
  options.ping_timeout = Milliseconds(120'000);
  return options;
}

}  // namespace

// One thread with an RPC server and clients, another one that stands for a second process, and raw
// sockets of peers that stop reading.
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
      asio::write(peer, asio::buffer(FirstBytes(Http2Role::kClient, "blob",
                                                std::to_string(kBodyBytes), kBodies)));
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
      asio::write(peer, asio::buffer(FirstBytes(Http2Role::kServer, "", "", 0)));
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
