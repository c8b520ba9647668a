#include "http/server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <future>
#include <mutex>
#include <random>
#include <string>

#include "tests/http/raw_peer.h"

namespace parsleyline::http {

using testing::HttpResponse;
using testing::IoThreads;
using testing::RawSocket;
using testing::WaitFor;

namespace {

constexpr auto kHeaderEnd = "\r\n\r\n";

std::string GetRequest(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

class ServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerTest);
  CPPUNIT_TEST(Request_WellFormed_ReachesHandler);
  CPPUNIT_TEST(Requests_Pipelined_AreAnsweredInOrder);
  CPPUNIT_TEST(Request_Malformed_Is400);
  CPPUNIT_TEST(Header_TooLarge_Is431);
  CPPUNIT_TEST(Body_TooLarge_Is413);
  CPPUNIT_TEST(ErrorResponse_PeerStillSends_IsNotReset);
  CPPUNIT_TEST(PartialRequest_TimedOut_Is408);
  CPPUNIT_TEST(Connection_IdleTooLong_IsClosed);
  CPPUNIT_TEST(Connection_PeerReadsTooSlowly_IsClosed);
  CPPUNIT_TEST(PartialRequests_Many_DoNotBlockOthers);
  CPPUNIT_TEST(Connections_AllBusy_NewOneIs503);
  CPPUNIT_TEST(Continue_Expected_IsSent);
  CPPUNIT_TEST(ResponseCallback_Dropped_Is500);
  CPPUNIT_TEST(Shutdown_RequestInFlight_IsAnswered);
  CPPUNIT_TEST(RandomInput_ManyConnections_LeavesServerWorking);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    options_ = ServerOptions();
    server_ = nullptr;
    handled_requests_ = 0;
  }

  void tearDown() override {
    held_requests_.clear();
    if (threads_) threads_->Stop();
    server_.reset();
    threads_.reset();
  }

  // Guards against losing or not decoding parts of a request.
  void Request_WellFormed_ReachesHandler() {
    Start();
    auto peer = RawSocket::Connect(port_);
    peer.Send(
        "POST /a%20b?x=1%2B1&y HTTP/1.1\r\nHost: x\r\nX-Key: V\r\nContent-Length: 3\r\n\r\nabc");
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "POST /a b x=1+1 y= V abc"));
  }

  // Guards against sending a fast response before an earlier slow one on the same connection.
  void Requests_Pipelined_AreAnsweredInOrder() {
    Start();
    auto peer = RawSocket::Connect(port_);
    peer.Send(GetRequest("/hold") + GetRequest("/one") + GetRequest("/two"));
    RespondToHeldRequest("first");
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "first"));
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "GET /one"));
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "GET /two"));
  }

  // Guards against passing malformed requests to the handler, and against accepting a body whose
  // length another HTTP implementation would interpret differently (request smuggling).
  void Request_Malformed_Is400() {
    Start();
    const std::string host = " HTTP/1.1\r\nHost: x\r\n";
    for (const std::string& bytes :
         {std::string("\x16\x03\x01 nonsense\r\n\r\n"), std::string("GET / HTTP/9.9\r\n\r\n"),
          "GET /%zz" + host + "\r\n", "GET /a%00b" + host + "\r\n", "GET http://x/" + host + "\r\n",
          "POST /" + host + "Content-Length: x\r\n\r\n",
          "POST /" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
          "POST /" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "POST /" + host + "Transfer-Encoding: gzip\r\n\r\nabc",
          "POST /" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
      auto peer = RawSocket::Connect(port_);
      peer.Send(bytes);
      const std::string answer = peer.ReadToEnd();
      CPPUNIT_ASSERT_MESSAGE(bytes + " -> " + answer, Contains(answer, "HTTP/1.1 400 "));
      CPPUNIT_ASSERT(Contains(answer, "\"malformed_http\""));
    }
    CPPUNIT_ASSERT_EQUAL(0, handled_requests_.load());
  }

  // Guards against memory usage that grows with the header without limit.
  void Header_TooLarge_Is431() {
    Start();
    auto peer = RawSocket::Connect(port_);
    peer.Send("GET / HTTP/1.1\r\nX: " + std::string(9000, 'a') + kHeaderEnd);
    CPPUNIT_ASSERT(Contains(peer.ReadToEnd(), "HTTP/1.1 431 "));
    auto fits = RawSocket::Connect(port_);
    fits.Send("GET / HTTP/1.1\r\nX: " + std::string(7900, 'a') + kHeaderEnd);
    CPPUNIT_ASSERT(Contains(fits.ReadMessage(), "HTTP/1.1 200 "));
  }

  // Guards against memory usage that grows without limit with a body, of declared length or
  // chunked.
  void Body_TooLarge_Is413() {
    Start();
    const std::string body(options_.max_body_bytes + 1, 'b');
    auto declared = RawSocket::Connect(port_);
    declared.Send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + kHeaderEnd +
                  body);
    CPPUNIT_ASSERT(Contains(declared.ReadToEnd(), "HTTP/1.1 413 "));
    auto chunked = RawSocket::Connect(port_);
    chunked.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n40001\r\n" + body + "\r\n");
    CPPUNIT_ASSERT(Contains(chunked.ReadToEnd(), "HTTP/1.1 413 "));
    auto fits = RawSocket::Connect(port_);
    fits.Send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size() - 1) + kHeaderEnd +
              body.substr(1));
    CPPUNIT_ASSERT(Contains(fits.ReadMessage(), "HTTP/1.1 200 "));
  }

  // Guards against resetting the connection while the peer still sends: peers on systems other than
  // Linux lose the error response then.
  void ErrorResponse_PeerStillSends_IsNotReset() {
    Start();
    auto peer = RawSocket::Connect(port_);
    peer.Send("POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n");
    CPPUNIT_ASSERT(Contains(peer.ReadToEnd(), "HTTP/1.1 413 "));
    for (int i = 0; i < 3; ++i) CPPUNIT_ASSERT(peer.Send(std::string(1000, 'b')));
    peer.Close();
    CPPUNIT_ASSERT(WaitFor([&] { return server_->ConnectionCount() == 0; }));
  }

  // Guards against connections that stay open forever after an incomplete header or body.
  void PartialRequest_TimedOut_Is408() {
    options_.header_timeout = Milliseconds(50);
    options_.body_timeout = Milliseconds(50);
    Start();
    auto header = RawSocket::Connect(port_);
    header.Send("GET / HTTP/1.1\r\nHos");
    CPPUNIT_ASSERT(Contains(header.ReadToEnd(), "HTTP/1.1 408 "));
    auto body = RawSocket::Connect(port_);
    body.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    CPPUNIT_ASSERT(Contains(body.ReadToEnd(), "HTTP/1.1 408 "));
    CPPUNIT_ASSERT_EQUAL(0, handled_requests_.load());
  }

  // Guards against idle connections that stay open forever.
  void Connection_IdleTooLong_IsClosed() {
    options_.idle_timeout = Milliseconds(50);
    Start();
    auto silent = RawSocket::Connect(port_);
    CPPUNIT_ASSERT_EQUAL(std::string(), silent.ReadToEnd());
    CPPUNIT_ASSERT(silent.closed());
    auto used = RawSocket::Connect(port_);
    used.Send(GetRequest("/"));
    CPPUNIT_ASSERT(Contains(used.ReadToEnd(), "200"));
    CPPUNIT_ASSERT(used.closed());
    CPPUNIT_ASSERT(WaitFor([&] { return server_->ConnectionCount() == 0; }));
  }

  // Guards against a peer that doesn't read its response and so occupies its memory forever.
  void Connection_PeerReadsTooSlowly_IsClosed() {
    options_.write_timeout = Milliseconds(100);
    Start();
    auto slow = RawSocket::Connect(port_);
    slow.ShrinkReceiveBuffer();
    slow.Send(GetRequest("/large"));
    CPPUNIT_ASSERT(WaitFor([&] { return handled_requests_ == 1; }));
    auto other = RawSocket::Connect(port_);
    other.Send(GetRequest("/other"));
    CPPUNIT_ASSERT(Contains(other.ReadMessage(), "GET /other"));
    other.Close();
    CPPUNIT_ASSERT(WaitFor([&] { return server_->ConnectionCount() == 0; }));
  }

  // Guards against silent peers that occupy all connections. The one that has waited longest for a
  // complete request must be evicted.
  void PartialRequests_Many_DoNotBlockOthers() {
    options_.max_connections = 20;
    // The timeouts are too long to close a connection during the test.
    options_.idle_timeout = options_.header_timeout = options_.body_timeout = Milliseconds(600000);
    Start();
    std::deque<RawSocket> half;
    for (int i = 0; i < 60; ++i) {
      half.push_back(RawSocket::Connect(port_));
      const std::string body = "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc";
      half.back().Send(i % 2 == 0 ? std::string("GET / HT") : i % 3 == 0 ? std::string() : body);
    }
    auto peer = RawSocket::Connect(port_);
    peer.Send(GetRequest("/mine"));
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "GET /mine"));
    CPPUNIT_ASSERT(WaitFor([&] { return server_->ConnectionCount() <= 20; }));
  }

  // Guards against evicting a connection whose request is being handled.
  void Connections_AllBusy_NewOneIs503() {
    options_.max_connections = 1;
    Start();
    auto busy = RawSocket::Connect(port_);
    busy.Send(GetRequest("/hold"));
    CPPUNIT_ASSERT(WaitFor([&] { return handled_requests_ == 1; }));
    auto late = RawSocket::Connect(port_);
    CPPUNIT_ASSERT(Contains(late.ReadToEnd(), "HTTP/1.1 503 "));
    RespondToHeldRequest("held");
    CPPUNIT_ASSERT(Contains(busy.ReadMessage(), "held"));
  }

  // Guards against a missing interim response, for which clients such as curl wait before they send
  // a large body.
  void Continue_Expected_IsSent() {
    Start();
    auto peer = RawSocket::Connect(port_);
    peer.Send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    CPPUNIT_ASSERT(Contains(peer.ReadUntil(kHeaderEnd), "HTTP/1.1 100 "));
    peer.Send("abc");
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "abc"));
  }

  // Guards against a client that waits forever because the handler dropped the request or threw.
  void ResponseCallback_Dropped_Is500() {
    Start();
    auto peer = RawSocket::Connect(port_);
    peer.Send(GetRequest("/drop"));
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "HTTP/1.1 500 "));
    peer.Send(GetRequest("/throw"));
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "HTTP/1.1 500 "));
  }

  // Guards against a shutdown that interrupts a request, or that waits for idle connections.
  void Shutdown_RequestInFlight_IsAnswered() {
    Start();
    auto idle = RawSocket::Connect(port_);
    auto busy = RawSocket::Connect(port_);
    busy.Send(GetRequest("/hold"));
    CPPUNIT_ASSERT(
        WaitFor([&] { return handled_requests_ == 1 && server_->ConnectionCount() == 2; }));
    std::promise<void> done;
    server_->Shutdown([&] { done.set_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string(), idle.ReadToEnd());
    auto future = done.get_future();
    CPPUNIT_ASSERT(future.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    RespondToHeldRequest("held");
    const std::string answer = busy.ReadToEnd();
    CPPUNIT_ASSERT(Contains(answer, "held") && Contains(answer, "Connection: close"));
    CPPUNIT_ASSERT(future.wait_for(testing::kTestTimeout) == std::future_status::ready);
  }

  // Guards against input that crashes or blocks the server. The seed is fixed.
  void RandomInput_ManyConnections_LeavesServerWorking() {
    options_.header_timeout = Milliseconds(200);
    options_.body_timeout = Milliseconds(200);
    Start();
    std::mt19937 random(20261204);
    for (int i = 0; i < 400; ++i) {
      auto peer = RawSocket::Connect(port_);
      peer.SetTimeout(Milliseconds(5));
      peer.Send(Mutate(random));
      if (i % 3 == 0) peer.ReadToEnd();
      if (i % 5 == 0) peer.Reset();
    }
    auto peer = RawSocket::Connect(port_);
    peer.Send(GetRequest("/still"));
    CPPUNIT_ASSERT(Contains(peer.ReadMessage(), "GET /still"));
    peer.Close();
    CPPUNIT_ASSERT(WaitFor([&] { return server_->ConnectionCount() == 0; }));
  }

 private:
  void Start() {
    threads_ = std::make_unique<IoThreads>();
    server_ = std::make_unique<Server>(
        threads_->io(),
        [this](Request request, ResponseCallback respond) { Handle(request, std::move(respond)); },
        options_);
    const auto port = server_->Listen("127.0.0.1", 0);
    CPPUNIT_ASSERT(port.has_value());
    port_ = *port;
  }

  void Handle(const Request& request, ResponseCallback respond) {
    ++handled_requests_;
    if (request.path == "/drop") return;
    if (request.path == "/throw") throw std::runtime_error("thrown by the test");
    if (request.path == "/hold") {
      const std::lock_guard lock(mutex_);
      return held_requests_.push_back(std::move(respond));
    }
    Response response;
    response.body = request.method + " " + request.path;
    for (const auto& [name, value] : request.query) response.body += " " + name + "=" + value;
    const auto key = request.headers.find("x-key");
    if (key != request.headers.end()) response.body += " " + key->second;
    if (!request.body.empty()) response.body += " " + request.body;
    if (request.path == "/large") response.body.assign(std::size_t{32} << 20U, 'x');
    respond(std::move(response));
  }

  void RespondToHeldRequest(const std::string& body) {
    CPPUNIT_ASSERT(WaitFor([&] {
      const std::lock_guard lock(mutex_);
      return !held_requests_.empty();
    }));
    const std::lock_guard lock(mutex_);
    Response response;
    response.body = body;
    held_requests_.front()(response);
    held_requests_.pop_front();
  }

  static std::string Mutate(std::mt19937& random) {
    std::string bytes =
        "POST /v1/requests?x=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nabcde\r\n0\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde";
    const unsigned changes = random() % 12;
    for (unsigned i = 0; i < changes; ++i) {
      const std::size_t at = random() % bytes.size();
      const auto byte = static_cast<char>(random() % 256);
      switch (random() % 3) {
        case 0:
          bytes[at] = byte;
          break;
        case 1:
          bytes.insert(at, 1 + random() % 40, byte);
          break;
        default:
          bytes.erase(at, 1 + random() % 20);
      }
      if (bytes.empty()) bytes = "x";
    }
    return bytes;
  }

  ServerOptions options_;
  std::unique_ptr<IoThreads> threads_;
  std::unique_ptr<Server> server_;
  std::uint16_t port_ = 0;
  std::atomic<int> handled_requests_ = 0;
  std::mutex mutex_;
  std::deque<ResponseCallback> held_requests_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

}  // namespace parsleyline::http
