#include "http/client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "tests/http/raw_peer.h"

namespace parsleyline::http {

using testing::FakeServer;
using testing::HttpResponse;
using testing::IoThreads;
using testing::RawSocket;
using testing::WaitFor;

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(Response_Whole_IsDelivered);
  CPPUNIT_TEST(Response_Truncated_IsNotDelivered);
  CPPUNIT_TEST(Response_WithExtraBytes_IsNotDelivered);
  CPPUNIT_TEST(Response_WithoutLength_IsNotDelivered);
  CPPUNIT_TEST(Response_Malformed_IsNotDelivered);
  CPPUNIT_TEST(Response_TooLarge_IsNotDelivered);
  CPPUNIT_TEST(Request_TimedOut_DoesNotArriveLater);
  CPPUNIT_TEST(Response_Late_ReachesNobody);
  CPPUNIT_TEST(Response_ForAnother_ClosesConnection);
  CPPUNIT_TEST(Connection_Reset_MayHaveSent);
  CPPUNIT_TEST(Connection_Refused_HasNotSent);
  CPPUNIT_TEST(Connection_ClosedWhileIdle_IsNotUsed);
  CPPUNIT_TEST(Connection_BytesWhileIdle_IsNotUsed);
  CPPUNIT_TEST(Connection_ReusedThenClosed_IsNotRetried);
  CPPUNIT_TEST(Pool_Full_RequestsWait);
  CPPUNIT_TEST(Pool_Full_WaitHonoursTimeout);
  CPPUNIT_TEST(Abandon_RequestInFlight_Fails);
  CPPUNIT_TEST(Close_RequestsPending_AllFail);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    client_.reset();
    threads_.reset();
    server_.reset();
  }

  // Guards against a connection that is opened anew for each request.
  void Response_Whole_IsDelivered() {
    Serve([](RawSocket& peer, int) {
      while (!peer.ReadMessage().empty()) peer.Send(HttpResponse("hello"));
    });
    for (int i = 0; i < 3; ++i) {
      const ClientResult result = Call();
      CPPUNIT_ASSERT(result.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), result->body);
    }
    CPPUNIT_ASSERT_EQUAL(1, server_->connections());
  }

  // Guards against part of a response that a caller takes for the whole.
  void Response_Truncated_IsNotDelivered() {
    ServeOnce("HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nabc");
    AssertMaybeSent(Call(), ResultCode::kConnectionClosed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client_->ConnectionCount());
  }

  // Guards against a response whose length was stated too small.
  void Response_WithExtraBytes_IsNotDelivered() {
    ServeOnce(HttpResponse("abc") + "def");
    AssertMaybeSent(Call(), ResultCode::kMalformedMessage);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client_->ConnectionCount());
  }

  // Guards against a cut connection that looks like the end of a response.
  void Response_WithoutLength_IsNotDelivered() {
    ServeOnce("HTTP/1.1 200 X\r\n\r\nabc");
    AssertMaybeSent(Call(), ResultCode::kMalformedMessage);
  }

  // Guards against bytes that are not HTTP and against interim responses.
  void Response_Malformed_IsNotDelivered() {
    ServeOnce("nonsense\r\n\r\n");
    AssertMaybeSent(Call(), ResultCode::kMalformedMessage);
    tearDown();
    ServeOnce("HTTP/1.1 102 Processing\r\n\r\n");
    AssertMaybeSent(Call(), ResultCode::kMalformedMessage);
  }

  // Guards against memory that grows with a response.
  void Response_TooLarge_IsNotDelivered() {
    options_.max_body_bytes = 100;
    ServeOnce(HttpResponse(std::string(101, 'x')));
    AssertMaybeSent(Call(), ResultCode::kMalformedMessage);
  }

  // Guards against a task that reaches a slow worker after it was reported as not answered.
  void Request_TimedOut_DoesNotArriveLater() {
    std::promise<void> promise;
    auto timed_out = promise.get_future().share();
    Serve([this, timed_out](RawSocket& peer, int) {
      peer.ShrinkReceiveBuffer();
      timed_out.wait();
      received_ = peer.ReadMessage().size();
      ++events_;
    });
    ClientRequest request;
    request.method = "POST";
    request.body.assign(std::size_t{300} << 10U, 'x');
    const std::size_t size = request.body.size();
    AssertMaybeSent(Call(Milliseconds(200), std::move(request)), ResultCode::kCallTimeout);
    promise.set_value();
    CPPUNIT_ASSERT(WaitFor([&] { return events_ == 1; }));
    CPPUNIT_ASSERT(received_ < size);
  }

  // Guards against the answer to one request that is taken for the answer to the next one.
  void Response_Late_ReachesNobody() {
    options_.max_connections = 1;
    std::promise<void> late;
    auto timed_out = late.get_future().share();
    Serve([timed_out](RawSocket& peer, int number) {
      peer.ReadMessage();
      if (number == 1) {
        timed_out.wait();
        // Another request arrives here if the connection is used again.
        peer.ReadMessage();
      }
      peer.Send(HttpResponse(number == 1 ? "first" : "second"));
    });
    AssertMaybeSent(Call(Milliseconds(50)), ResultCode::kCallTimeout);
    late.set_value();
    const ClientResult second = Call();
    CPPUNIT_ASSERT(second.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("second"), second->body);
  }

  // Guards against a connection that is used again after it mixed up responses.
  void Response_ForAnother_ClosesConnection() {
    ServeOnce(HttpResponse("yours"));
    ClientRequest request;
    request.matches = [](const ClientResponse& response) { return response.body == "mine"; };
    AssertMaybeSent(Call(Milliseconds(5000), request), ResultCode::kMalformedMessage);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client_->ConnectionCount());
  }

  // Guards against a broken connection that is reported as "not sent".
  void Connection_Reset_MayHaveSent() {
    Serve([](RawSocket& peer, int) {
      peer.ReadMessage();
      peer.Reset();
    });
    AssertMaybeSent(Call(), ResultCode::kConnectionClosed);
  }

  // Guards against a doubt where there is none: the task may be granted again at once.
  void Connection_Refused_HasNotSent() {
    Serve([](RawSocket&, int) {});
    server_.reset();
    const ClientResult result = Call();
    CPPUNIT_ASSERT(!result);
    CPPUNIT_ASSERT(result.error().sent == Sent::kNo);
    CPPUNIT_ASSERT(result.error().error.code == ResultCode::kConnectionFailed);
  }

  // Guards against a request that is sent into a connection known to be closed.
  void Connection_ClosedWhileIdle_IsNotUsed() {
    Serve([this](RawSocket& peer, int) {
      peer.ReadMessage();
      peer.Send(HttpResponse("x"));
      peer.Close();
      ++events_;
    });
    for (int i = 1; i <= 5; ++i) {
      CPPUNIT_ASSERT(Call().has_value());
      CPPUNIT_ASSERT(WaitFor([&] { return events_ == i; }));
    }
  }

  // Guards against bytes out of turn that the next request takes for its answer.
  void Connection_BytesWhileIdle_IsNotUsed() {
    Serve([this](RawSocket& peer, int number) {
      peer.ReadMessage();
      peer.Send(HttpResponse("answer " + std::to_string(number)));
      // The peer waits until the first answer was taken.
      if (number == 1) {
        WaitFor([&] { return first_done_.load(); });
        peer.Send(HttpResponse("out of turn"));
        ++events_;
      }
      peer.ReadToEnd();
    });
    CPPUNIT_ASSERT(Call().has_value());
    first_done_ = true;
    CPPUNIT_ASSERT(WaitFor([&] { return events_ == 1; }));
    const ClientResult second = Call();
    CPPUNIT_ASSERT(second.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("answer 2"), second->body);
  }

  // Guards against a request that is sent twice because its reused connection broke.
  void Connection_ReusedThenClosed_IsNotRetried() {
    Serve([this](RawSocket& peer, int) {
      peer.ReadMessage();
      ++events_;
      peer.Send(HttpResponse("x"));
      if (!peer.ReadMessage().empty()) ++events_;
    });
    CPPUNIT_ASSERT(Call().has_value());
    AssertMaybeSent(Call(), ResultCode::kConnectionClosed);
    CPPUNIT_ASSERT_EQUAL(2, events_.load());
    CPPUNIT_ASSERT_EQUAL(1, server_->connections());
  }

  // Guards against more connections than the peer allows.
  void Pool_Full_RequestsWait() {
    options_.max_connections = 3;
    Serve([this](RawSocket& peer, int) {
      most_open_ = std::max(most_open_.load(), ++open_);
      while (!peer.ReadMessage().empty()) peer.Send(HttpResponse("x"));
      --open_;
    });
    std::vector<std::future<ClientResult>> calls;
    for (int i = 0; i < 50; ++i) calls.push_back(Begin(Milliseconds(10000)));
    for (auto& call : calls) CPPUNIT_ASSERT(call.get().has_value());
    CPPUNIT_ASSERT_EQUAL(3, most_open_.load());
  }

  // Guards against a request that waits for a connection beyond its deadline.
  void Pool_Full_WaitHonoursTimeout() {
    options_.max_connections = 1;
    Serve([](RawSocket& peer, int) { peer.ReadToEnd(); });
    auto busy = Begin(Milliseconds(1000));
    auto waiting = Begin(Milliseconds(50));
    ClientRequest request;
    request.start_timeout = Milliseconds(50);
    auto start = Begin(Milliseconds(900), request);
    for (auto* call : {&waiting, &start}) {
      const ClientResult result = call->get();
      CPPUNIT_ASSERT(!result && result.error().sent == Sent::kNo);
    }
    CPPUNIT_ASSERT(busy.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    AssertMaybeSent(busy.get(), ResultCode::kCallTimeout);
  }

  // Guards against a silent connection that keeps its caller and its place in the pool.
  void Abandon_RequestInFlight_Fails() {
    Serve([](RawSocket& peer, int) { peer.ReadToEnd(); });
    std::promise<ClientResult> promise;
    const auto number = client_->Send({}, Milliseconds(20000), [&](ClientResult result) {
      promise.set_value(std::move(result));
    });
    CPPUNIT_ASSERT(WaitFor([&] { return server_->connections() == 1; }));
    client_->AbortRequest(number);
    auto future = promise.get_future();
    CPPUNIT_ASSERT(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    AssertMaybeSent(future.get(), ResultCode::kConnectionSilent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client_->ConnectionCount());
  }

  // Guards against callers that never hear of their requests when a worker is forgotten.
  void Close_RequestsPending_AllFail() {
    options_.max_connections = 1;
    Serve([](RawSocket& peer, int) { peer.ReadToEnd(); });
    auto sent = Begin(Milliseconds(20000));
    CPPUNIT_ASSERT(WaitFor([&] { return server_->connections() == 1; }));
    auto waiting = Begin(Milliseconds(20000));
    client_->Close();
    AssertMaybeSent(sent.get(), ResultCode::kConnectionClosed);
    const ClientResult result = waiting.get();
    CPPUNIT_ASSERT(!result && result.error().sent == Sent::kNo);
  }

 private:
  void Serve(FakeServer::ConnectionHandler behaviour) {
    server_ = std::make_unique<FakeServer>(std::move(behaviour));
    threads_ = std::make_unique<IoThreads>();
    client_ = std::make_unique<Client>(threads_->io(), "127.0.0.1", server_->port(), options_);
  }

  void ServeOnce(const std::string& bytes) {
    Serve([bytes](RawSocket& peer, int) {
      peer.ReadMessage();
      peer.Send(bytes);
      peer.ShutdownWrite();
      peer.ReadToEnd();
    });
  }

  std::future<ClientResult> Begin(Milliseconds timeout, ClientRequest request = {}) {
    auto promise = std::make_shared<std::promise<ClientResult>>();
    auto future = promise->get_future();
    client_->Send(std::move(request), timeout,
                  [promise](ClientResult result) { promise->set_value(std::move(result)); });
    return future;
  }

  ClientResult Call(Milliseconds timeout = Milliseconds(5000), ClientRequest request = {}) {
    return Begin(timeout, std::move(request)).get();
  }

  static void AssertMaybeSent(const ClientResult& result, ResultCode code) {
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(code), static_cast<int>(result.error().error.code));
    CPPUNIT_ASSERT(result.error().sent == Sent::kMaybe);
  }

  ClientOptions options_;
  // Written by the threads of the fake server, which outlive the test function.
  std::atomic<bool> first_done_ = false;
  std::atomic<int> open_ = 0;
  std::atomic<int> most_open_ = 0;
  std::atomic<int> events_ = 0;
  std::atomic<std::size_t> received_ = 0;
  std::unique_ptr<FakeServer> server_;
  std::unique_ptr<IoThreads> threads_;
  std::unique_ptr<Client> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace parsleyline::http
