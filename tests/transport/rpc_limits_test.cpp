#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "tests/transport/fault_fixture.h"

namespace parsleyline::transport {

class RpcLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RpcLimitsTest);
  CPPUNIT_TEST(Shutdown_CallsInFlight_EndBeforeCallbackRuns);
  CPPUNIT_TEST(Shutdown_NoCalls_CallbackRuns);
  CPPUNIT_TEST(Call_TooManyInFlight_IsOverloaded);
  CPPUNIT_TEST(Call_ServerAllowsFewerInFlight_IsOverloaded);
  CPPUNIT_TEST(Call_BodyTooLargeOnEitherSide_IsRejected);
  CPPUNIT_TEST(Call_UnsentBytesBeyondBound_IsOverloaded);
  CPPUNIT_TEST(Call_IncompleteRequestsBeyondBound_IsOverloaded);
  CPPUNIT_TEST(Connection_PeerReadsTooSlowly_IsClosed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a shutdown that interrupts a call or accepts new ones.
  void Shutdown_CallsInFlight_EndBeforeCallbackRuns() {
    constexpr std::size_t kCalls = 50;
    FaultFixture fixture;
    CallResults answers(kCalls);
    for (std::size_t i = 0; i < kCalls; ++i) {
      fixture.client().Call("keep", std::to_string(i), kDefaultCallTimeout, answers.Callback(i));
    }
    CPPUNIT_ASSERT(fixture.WaitForHeldCalls(kCalls));
    const auto stopped = std::make_shared<std::atomic<bool>>(false);
    fixture.server().Shutdown([stopped] { *stopped = true; });
    // These calls are rejected, first on the open connection and then because the server accepts no
    // connections. None of them runs.
    for (int i = 0; i < 20; ++i) {
      const auto refused = CallAndWait(fixture.client(), "echo", "late");
      CPPUNIT_ASSERT(!refused);
    }
    CPPUNIT_ASSERT_EQUAL(0, fixture.Handled("late"));
    CPPUNIT_ASSERT(!*stopped);
    fixture.RespondToHeldCalls();
    CPPUNIT_ASSERT(answers.WaitForAll());
    for (std::size_t i = 0; i < kCalls; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::to_string(i), answers.at(i).value());
    }
    CPPUNIT_ASSERT(WaitUntil([stopped] { return stopped->load(); }));
  }

  void Shutdown_NoCalls_CallbackRuns() {
    FaultFixture fixture;
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "a").has_value());
    const auto stopped = std::make_shared<std::atomic<int>>(0);
    fixture.server().Shutdown([stopped] { ++*stopped; });
    fixture.server().Shutdown([stopped] { ++*stopped; });
    CPPUNIT_ASSERT(WaitUntil([stopped] { return *stopped == 2; }));
  }

  // Guards against an unlimited number of calls in memory.
  void Call_TooManyInFlight_IsOverloaded() {
    RpcOptions options = FastPingOptions();
    options.max_in_flight = 4;
    FaultFixture fixture(options);
    // After this call, the client has received the limit of the server, which is higher.
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "first").has_value());
    CallResults answers(4);
    for (std::size_t i = 0; i < 4; ++i) {
      fixture.client().Call("keep", "x", kDefaultCallTimeout, answers.Callback(i));
    }
    ASSERT_CODE(ResultCode::kOverloaded, CallAndWait(fixture.client(), "echo", "fifth"));
    CPPUNIT_ASSERT(fixture.WaitForHeldCalls(4));
    fixture.RespondToHeldCalls();
    CPPUNIT_ASSERT(answers.WaitForAll());
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "sixth").has_value());
    CPPUNIT_ASSERT_EQUAL(0, fixture.Handled("fifth"));
  }

  // Guards against a server that enforces its limit only for clients with the same limit.
  void Call_ServerAllowsFewerInFlight_IsOverloaded() {
    RpcOptions server_options = FastPingOptions();
    server_options.max_in_flight = 4;
    FaultFixture fixture(FastPingOptions(), server_options);
    constexpr std::size_t kCalls = 20;
    CallResults answers(kCalls);
    std::atomic<std::size_t> refused{0};
    for (std::size_t i = 0; i < kCalls; ++i) {
      fixture.client().Call("keep", "x", kDefaultCallTimeout,
                            [&refused, done = answers.Callback(i)](Result<std::string> result) {
                              if (!result) ++refused;
                              done(std::move(result));
                            });
    }
    CPPUNIT_ASSERT(WaitUntil([&refused] { return refused == kCalls - 4; }));
    CPPUNIT_ASSERT(fixture.WaitForHeldCalls(4));
    fixture.RespondToHeldCalls();
    CPPUNIT_ASSERT(answers.WaitForAll());
    for (std::size_t i = 0; i < kCalls; ++i) {
      if (!answers.at(i)) ASSERT_CODE(ResultCode::kOverloaded, answers.at(i));
    }
  }

  void Call_BodyTooLargeOnEitherSide_IsRejected() {
    RpcOptions small = FastPingOptions();
    small.max_body_bytes = 1000;
    const std::string large(100000, 'x');
    FaultFixture small_server(FastPingOptions(), small);
    ASSERT_CODE(ResultCode::kBodyTooLarge, CallAndWait(small_server.client(), "echo", large));
    CPPUNIT_ASSERT(CallAndWait(small_server.client(), "echo", "ok").has_value());
    FaultFixture small_client(small, FastPingOptions());
    ASSERT_CODE(ResultCode::kBodyTooLarge, CallAndWait(small_client.client(), "echo", large));
    ASSERT_CODE(ResultCode::kBodyTooLarge, CallAndWait(small_client.client(), "blob", "100000"));
    CPPUNIT_ASSERT(CallAndWait(small_client.client(), "echo", "ok").has_value());
  }

  // Guards against memory usage that grows while the server doesn't read requests.
  void Call_UnsentBytesBeyondBound_IsOverloaded() {
    RpcOptions options = SlowPingOptions();
    options.max_buffered_bytes = std::size_t{4} << 20U;
    FaultFixture fixture(options, SlowPingOptions());
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "a").has_value());
    fixture.proxy().Drop(Direction::kToTarget);
    constexpr std::size_t kCalls = 60;
    const std::string body(std::size_t{1} << 20U, 'x');
    CallResults answers(kCalls);
    std::atomic<int> overloaded{0};
    for (std::size_t i = 0; i < kCalls; ++i) {
      fixture.client().Call("echo", body, kDefaultCallTimeout,
                            [&overloaded, done = answers.Callback(i)](Result<std::string> result) {
                              if (!result && result.error().code == ResultCode::kOverloaded) {
                                ++overloaded;
                              }
                              done(std::move(result));
                            });
    }
    CPPUNIT_ASSERT(WaitUntil([&overloaded] { return overloaded > 0; }));
    fixture.proxy().Heal();
    CPPUNIT_ASSERT(answers.WaitForAll());
    CPPUNIT_ASSERT(answers.EachCompletedOnce());
  }

  // Guards against memory usage that grows with incomplete requests.
  void Call_IncompleteRequestsBeyondBound_IsOverloaded() {
    RpcOptions server_options;
    server_options.max_buffered_bytes = 100000;
    server_options.max_body_bytes = 200000;
    FaultFixture fixture(RpcOptions(), server_options);
    ASSERT_CODE(ResultCode::kOverloaded,
                CallAndWait(fixture.client(), "keep", std::string(150000, 'x')));
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "ok").has_value());
  }

  // Guards against memory usage that grows with responses that the peer doesn't read.
  void Connection_PeerReadsTooSlowly_IsClosed() {
    RpcOptions server_options = SlowPingOptions();
    server_options.max_buffered_bytes = std::size_t{4} << 20U;
    FaultFixture fixture(SlowPingOptions(), server_options);
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "a").has_value());
    fixture.proxy().Drop(Direction::kToClient);
    constexpr std::size_t kCalls = 60;
    CallResults answers(kCalls);
    for (std::size_t i = 0; i < kCalls; ++i) {
      fixture.client().Call("blob", "1000000", kDefaultCallTimeout, answers.Callback(i));
    }
    CPPUNIT_ASSERT(WaitUntil([&fixture] { return fixture.Handled("1000000") >= 5; }));
    // The callback runs once the server has closed the connection. The client detects that after
    // the proxy is healed.
    const auto stopped = std::make_shared<std::atomic<bool>>(false);
    fixture.server().Shutdown([stopped] { *stopped = true; });
    CPPUNIT_ASSERT(WaitUntil([stopped] { return stopped->load(); }));
    fixture.proxy().Heal();
    CPPUNIT_ASSERT(answers.WaitForAll());
    CPPUNIT_ASSERT(answers.EachCompletedOnce());
    std::size_t closed = 0;
    for (std::size_t i = 0; i < kCalls; ++i) {
      const auto answer = answers.at(i);
      if (answer) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000000}, answer->size());
      } else {
        ASSERT_CODE(ResultCode::kConnectionClosed, answer);
        ++closed;
      }
    }
    CPPUNIT_ASSERT(closed > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcLimitsTest);

}  // namespace parsleyline::transport
