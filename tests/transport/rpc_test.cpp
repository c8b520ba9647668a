#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>
#include <thread>

#include "tests/transport/rpc_fixture.h"

namespace parsleyline::transport {

class RpcTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RpcTest);
  CPPUNIT_TEST(Call_Echo_ReturnsBodyAndRemainingTime);
  CPPUNIT_TEST(Call_HandlerFails_ReturnsSameError);
  CPPUNIT_TEST(Call_UnknownMethod_IsNotFound);
  CPPUNIT_TEST(Call_HandlerThrowsOrDropsReply_IsInternalError);
  CPPUNIT_TEST(Call_ManyFromManyThreads_EachGetsItsOwnResponseOnce);
  CPPUNIT_TEST(Call_LargeBodies_ArriveComplete);
  CPPUNIT_TEST(Call_NobodyListens_IsNeverSent);
  CPPUNIT_TEST(Call_HandlerTooSlow_TimesOut);
  CPPUNIT_TEST(Close_CallInFlight_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    threads_ = std::make_unique<IoThreads>();
    server_ = std::make_unique<RpcServer>(threads_->io());
    server_->RegisterHandler(
        "echo", [](RpcRequest request, const RpcResponseCallback& reply) { reply(request.body); });
    server_->RegisterHandler("remaining",
                             [](const RpcRequest& request, const RpcResponseCallback& reply) {
                               reply(std::to_string(request.remaining.count()));
                             });
    server_->RegisterHandler("fail",
                             [](const RpcRequest& request, const RpcResponseCallback& reply) {
                               reply(Fail(ResultCode::kQueueFull, request.body));
                             });
    server_->RegisterHandler("throw", [](const RpcRequest&, const RpcResponseCallback&) {
      throw std::runtime_error("from the handler");
    });
    server_->RegisterHandler("drop", [](const RpcRequest&, const RpcResponseCallback&) {});
    server_->RegisterHandler("keep", [this](const RpcRequest&, const RpcResponseCallback& reply) {
      const std::lock_guard lock(mutex_);
      held_calls_.push_back(reply);
    });
    const auto port = server_->Listen(kLoopback, 0);
    CPPUNIT_ASSERT(port.has_value());
    port_ = *port;
    client_ = std::make_unique<RpcClient>(threads_->io(), kLoopback, port_);
  }

  void tearDown() override {
    client_.reset();
    server_.reset();
    threads_.reset();
    held_calls_.clear();
  }

  // Guards against losing the body, and against not passing the deadline to the handler.
  void Call_Echo_ReturnsBodyAndRemainingTime() {
    const std::string body("a\0b", 3);
    CPPUNIT_ASSERT_EQUAL(body, CallAndWait(*client_, "echo", body).value());
    CPPUNIT_ASSERT_EQUAL(std::string(), CallAndWait(*client_, "echo", "").value());
    const int remaining = std::stoi(CallAndWait(*client_, "remaining", "").value());
    CPPUNIT_ASSERT(remaining > 0 && remaining <= kDefaultCallTimeout.count());
  }

  // Guards against changing the code or message of an error on the way to the caller.
  void Call_HandlerFails_ReturnsSameError() {
    const std::string text = "queue \"x\" is full\n\x01\xff";
    const auto result = CallAndWait(*client_, "fail", text);
    ASSERT_CODE(ResultCode::kQueueFull, result);
    CPPUNIT_ASSERT_EQUAL(text, result.error().message);
    ASSERT_CODE(ResultCode::kQueueFull, CallAndWait(*client_, "fail", ""));
  }

  void Call_UnknownMethod_IsNotFound() {
    ASSERT_CODE(ResultCode::kNotFound, CallAndWait(*client_, "nonsense", "x"));
  }

  // Guards against a caller that waits until its deadline because the handler threw or didn't
  // respond.
  void Call_HandlerThrowsOrDropsReply_IsInternalError() {
    ASSERT_CODE(ResultCode::kInternal, CallAndWait(*client_, "throw", ""));
    ASSERT_CODE(ResultCode::kInternal, CallAndWait(*client_, "drop", ""));
  }

  // Guards against responses that are lost, delivered twice or delivered to another call.
  void Call_ManyFromManyThreads_EachGetsItsOwnResponseOnce() {
    constexpr std::size_t kThreads = 4;
    constexpr std::size_t kCalls = 2000;
    CallResults answers(kThreads * kCalls);
    std::vector<std::thread> callers;
    for (std::size_t t = 0; t < kThreads; ++t) {
      callers.emplace_back([this, t, &answers] {
        for (std::size_t i = t * kCalls; i < (t + 1) * kCalls; ++i) {
          client_->Call("echo", std::to_string(i), kDefaultCallTimeout, answers.Callback(i));
        }
      });
    }
    for (auto& caller : callers) caller.join();
    CPPUNIT_ASSERT(answers.WaitForAll());
    CPPUNIT_ASSERT(answers.EachCompletedOnce());
    for (std::size_t i = 0; i < kThreads * kCalls; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::to_string(i), answers.at(i).value());
    }
  }

  // Guards against losing parts of bodies that exceed a flow-control window, a frame or a write.
  void Call_LargeBodies_ArriveComplete() {
    constexpr std::size_t kCalls = 8;
    CallResults answers(kCalls);
    const auto body = [](std::size_t i) {
      return std::string((std::size_t{7} << 20U) + i, static_cast<char>('a' + i));
    };
    for (std::size_t i = 0; i < kCalls; ++i) {
      client_->Call("echo", body(i), kDefaultCallTimeout, answers.Callback(i));
    }
    CPPUNIT_ASSERT(answers.WaitForAll());
    for (std::size_t i = 0; i < kCalls; ++i) CPPUNIT_ASSERT(body(i) == answers.at(i).value());
  }

  // Guards against reporting that a call may have run although the connection attempt failed.
  void Call_NobodyListens_IsNeverSent() {
    RpcClient client(threads_->io(), kLoopback, 1);
    ASSERT_CODE(ResultCode::kConnectionFailed, CallAndWait(client, "echo", "x"));
    RpcClient unparsable(threads_->io(), "localhost", 1);
    ASSERT_CODE(ResultCode::kConnectionFailed, CallAndWait(unparsable, "echo", "x"));
  }

  // Guards against a call that never completes, and against delivering a late response to another
  // call.
  void Call_HandlerTooSlow_TimesOut() {
    ASSERT_CODE(ResultCode::kCallTimeout, CallAndWait(*client_, "keep", "x", Milliseconds(50)));
    {
      const std::lock_guard lock(mutex_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held_calls_.size());
      held_calls_[0](std::string("late"));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("next"), CallAndWait(*client_, "echo", "next").value());
  }

  // Guards against calls that never complete when their client is closed.
  void Close_CallInFlight_Fails() {
    CallResults answers(1);
    client_->Call("keep", "x", kDefaultCallTimeout, answers.Callback(0));
    CPPUNIT_ASSERT(WaitUntil([this] {
      const std::lock_guard lock(mutex_);
      return held_calls_.size() == 1;
    }));
    client_->Close();
    CPPUNIT_ASSERT(answers.WaitForAll());
    ASSERT_CODE(ResultCode::kConnectionClosed, answers.at(0));
    ASSERT_CODE(ResultCode::kConnectionFailed, CallAndWait(*client_, "echo", "x"));
  }

 private:
  std::mutex mutex_;
  std::vector<RpcResponseCallback> held_calls_;
  std::unique_ptr<IoThreads> threads_;
  std::unique_ptr<RpcServer> server_;
  std::unique_ptr<RpcClient> client_;
  std::uint16_t port_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcTest);

}  // namespace parsleyline::transport
