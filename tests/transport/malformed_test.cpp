#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <random>

#include "tests/transport/fault_fixture.h"
#include "transport/http2_session.h"

namespace parsleyline::transport {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t kSeed = 99;

// Records the events of a session.
class EventRecorder : public Http2Session::Events {
 public:
  void OnMessage(std::int32_t /*stream*/, Http2Message message) override {
    messages.push_back(std::move(message));
  }
  void OnBodyRejected(std::int32_t /*stream*/, ResultCode /*code*/) override {}
  void OnStreamClosed(std::int32_t /*stream*/, std::uint32_t /*http2_error*/) override {
    ++closed_streams;
  }
  void OnPingAck() override {}
  void OnSettings() override {}
  void OnGoAway(std::uint32_t /*http2_error*/) override {}

  std::size_t closed_streams = 0;
  std::vector<Http2Message> messages;
};

Http2Limits Limits() { return {std::size_t{1} << 20U, std::size_t{4} << 20U, 1000}; }

std::string Output(Http2Session& session) {
  std::string out;
  session.TakeOutput(&out, std::size_t{1} << 30U);
  return out;
}

// Returns the byte stream of a client that sends several requests.
std::string ClientStream() {
  EventRecorder events;
  Http2Session session(Http2Role::kClient, Limits(), &events);
  std::string bytes = Output(session);
  for (int i = 0; i < 5; ++i) {
    session.SubmitRequest("echo", std::string(static_cast<std::size_t>(i) * 200, 'r'),
                          Milliseconds(1000));
    session.SubmitPing();
    bytes += Output(session);
  }
  return bytes;
}

// Returns the byte stream of a server that responds to the requests of ClientStream().
std::string ServerStream() {
  EventRecorder events;
  Http2Session session(Http2Role::kServer, Limits(), &events);
  std::string bytes = Output(session);
  session.Receive(ClientStream());
  for (std::int32_t stream = 1; stream <= 9; stream += 2) {
    session.SubmitResponse(stream, std::string(300, 's'));
    bytes += Output(session);
  }
  return bytes;
}

// Changes, removes, duplicates or truncates bytes at random positions.
std::string Mutate(std::string bytes, std::mt19937& random) {
  std::uniform_int_distribution<int> changes(1, 6);
  for (int i = changes(random); i > 0 && !bytes.empty(); --i) {
    const std::size_t at = random() % bytes.size();
    const std::size_t size = std::min<std::size_t>(random() % 40, bytes.size() - at);
    switch (random() % 5) {
      case 0:
        bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
        break;
      case 2:
        bytes.erase(at, size);
        break;
      case 3:
        bytes.insert(at, bytes.substr(at, size));
        break;
      default:
        bytes.resize(at);
    }
  }
  return bytes;
}

std::string RandomBytes(std::mt19937& random) {
  std::string bytes(random() % 2000, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random());
  return bytes;
}

// Returns a frame of valid length with random type, flags, stream and payload.
std::string RandomFrame(std::mt19937& random) {
  const std::size_t size = random() % 64;
  std::string frame = {0, 0, static_cast<char>(size), static_cast<char>(random() % 12),
                       static_cast<char>(random())};
  frame += {0, 0, 0, static_cast<char>(random() % 12)};
  for (std::size_t i = 0; i < size; ++i) frame += static_cast<char>(random());
  return frame;
}

std::string RandomInput(const std::string& valid, std::size_t intact, std::mt19937& random) {
  switch (random() % 4) {
    case 0:
      return RandomBytes(random);
    case 1: {
      std::string bytes = valid.substr(0, intact);
      for (int i = 0; i < 20; ++i) bytes += RandomFrame(random);
      return bytes;
    }
    default:
      return valid.substr(0, intact) + Mutate(valid.substr(intact), random);
  }
}

// Length of the connection preface, which stays intact, so that the input reaches later code.
constexpr std::size_t kClientPrefaceBytes = 24;

}  // namespace

class MalformedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedTest);
  CPPUNIT_TEST(Session_StreamResetWithinResponse_DeliversNothing);
  CPPUNIT_TEST(Session_MutatedStreams_StaysWithinLimits);
  CPPUNIT_TEST(Server_MalformedConnections_KeepsServingOthers);
  CPPUNIT_TEST(Client_MalformedResponses_FailsCallsAndRecovers);
  CPPUNIT_TEST(Server_PeerSendsNothing_IsClosed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against delivering a part of a response when its stream is reset.
  void Session_StreamResetWithinResponse_DeliversNothing() {
    EventRecorder client_events;
    EventRecorder server_events;
    Http2Session client(Http2Role::kClient, Limits(), &client_events);
    Http2Session server(Http2Role::kServer, Limits(), &server_events);
    const std::int32_t stream = client.SubmitRequest("echo", "x", Milliseconds(1000)).value();
    CPPUNIT_ASSERT(server.Receive(Output(client)).has_value());
    server.SubmitResponse(stream, std::string(std::size_t{1} << 20U, 's'));
    std::string part;
    CPPUNIT_ASSERT(server.TakeOutput(&part, 40000).has_value());
    server.Reset(stream, NGHTTP2_INTERNAL_ERROR);
    CPPUNIT_ASSERT(client.Receive(part + Output(server)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client_events.closed_streams);
    CPPUNIT_ASSERT(client_events.messages.empty());
  }

  // Guards against crashes and against messages larger than the limit. Uses no sockets, so that
  // many inputs can be tested.
  void Session_MutatedStreams_StaysWithinLimits() {
    std::mt19937 random(kSeed);
    const std::string requests = ClientStream();
    const std::string answers = ServerStream();
    std::size_t accepted = 0;
    for (int i = 0; i < 4000; ++i) {
      const bool server = i % 2 == 0;
      EventRecorder events;
      Http2Limits limits = Limits();
      limits.max_body_bytes = 500;
      Http2Session session(server ? Http2Role::kServer : Http2Role::kClient, limits, &events);
      if (!server) {
        for (int call = 0; call < 5; ++call) session.SubmitRequest("echo", "x", Milliseconds(1));
        Output(session);
      }
      const std::string input =
          RandomInput(server ? requests : answers, server ? kClientPrefaceBytes : 0, random);
      for (std::size_t at = 0; at < input.size();) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 300, input.size() - at);
        if (!session.Receive(std::string_view(input).substr(at, size))) break;
        at += size;
        Output(session);
      }
      for (const auto& message : events.messages) CPPUNIT_ASSERT(message.body.size() <= 500);
      accepted += events.messages.size();
    }
    // Enough messages must stay valid to test the code behind the framing too.
    CPPUNIT_ASSERT(accepted > 1000);
  }

  // Guards against malformed input on one connection that affects the calls on others.
  void Server_MalformedConnections_KeepsServingOthers() {
    std::mt19937 random(kSeed);
    FaultFixture fixture;
    const std::string requests = ClientStream();
    asio::io_context io;
    for (int i = 0; i < 150; ++i) {
      tcp::socket socket(io);
      socket.connect({asio::ip::make_address(kLoopback), fixture.port()});
      error_code ignored;
      asio::write(socket, asio::buffer(RandomInput(requests, kClientPrefaceBytes, random)),
                  ignored);
      const std::string body = "good" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(body, CallAndWait(fixture.client(), "echo", body).value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.proxy().Stats().accepted_total);
  }

  // Guards against malformed responses that crash the client or leave calls pending.
  void Client_MalformedResponses_FailsCallsAndRecovers() {
    std::mt19937 random(kSeed);
    IoThreads threads(1);
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address(kLoopback), 0));
    RpcClient client(threads.io(), kLoopback, acceptor.local_endpoint().port(), FastPingOptions());
    const std::string valid = ServerStream();
    constexpr std::size_t kCalls = 5;
    for (int i = 0; i < 100; ++i) {
      CallResults answers(kCalls);
      for (std::size_t call = 0; call < kCalls; ++call) {
        client.Call("echo", "x", Milliseconds(3000), answers.Callback(call));
      }
      tcp::socket socket(io);
      acceptor.accept(socket);
      error_code ignored;
      asio::write(socket, asio::buffer(RandomInput(valid, 0, random)), ignored);
      socket.shutdown(tcp::socket::shutdown_send, ignored);
      CPPUNIT_ASSERT(answers.WaitForAll());
      CPPUNIT_ASSERT(answers.EachCompletedOnce());
      // Reads until the client has closed the connection, so that the next call opens a new one.
      std::array<char, 4096> rest;
      while (!ignored) socket.read_some(asio::buffer(rest), ignored);
    }
  }

  // Guards against connections that stay open although the peer never sends anything.
  void Server_PeerSendsNothing_IsClosed() {
    FaultFixture fixture;
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address(kLoopback), fixture.port()});
    error_code ec;
    std::array<char, 4096> rest;
    while (!ec) socket.read_some(asio::buffer(rest), ec);
    CPPUNIT_ASSERT(ec == asio::error::eof || ec == asio::error::connection_reset);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedTest);

}  // namespace parsleyline::transport
