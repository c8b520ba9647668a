#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <random>

#include "tests/transport/fault_fixture.h"

namespace parsleyline::transport {
namespace {

constexpr std::uint32_t kSeed = 20261204;

struct FaultCase {
  const char* name;
  const char* command;
};

constexpr std::array<FaultCase, 14> kFaults = {{
    {"delayed requests", "delay to_target 20 20"},
    {"delayed answers", "delay to_client 20 20"},
    {"dropped requests", "drop to_target"},
    {"dropped answers", "drop to_client"},
    {"partition", "drop both"},
    {"silent connection", "silence"},
    {"truncated requests", "truncate to_target 5000"},
    {"truncated requests, within the first frames", "truncate to_target 60"},
    {"truncated answers", "truncate to_client 5000"},
    {"truncated answers, within the first frames", "truncate to_client 30"},
    {"cut answer", "cut_answer 100"},
    {"reset", "reset"},
    {"closed", "close"},
    {"refused", "refuse"},
}};

bool IsTransportError(ResultCode code) {
  return code == ResultCode::kConnectionFailed || code == ResultCode::kConnectionClosed ||
         code == ResultCode::kConnectionSilent || code == ResultCode::kCallTimeout;
}

std::string Body(std::mt19937& random, std::size_t number) {
  std::uniform_int_distribution<std::size_t> size(0, 400);
  return std::to_string(number) + ":" + std::string(size(random), 'x');
}

}  // namespace

class RpcFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RpcFaultTest);
  CPPUNIT_TEST(Calls_EachFaultOnBusyConnection_CompleteOnceWithTheirOwnResponse);
  CPPUNIT_TEST(Call_ResponseTruncated_IsNotDelivered);
  CPPUNIT_TEST(Call_ConnectionSilentEachWay_FailsSilentAndNextSucceeds);
  CPPUNIT_TEST(Server_RequestsDropped_ClosesConnection);
  CPPUNIT_TEST(Ping_IdleConnection_IsSent);
  CPPUNIT_TEST(Call_BodiesSlowerThanPingTimeout_AreDelivered);
  CPPUNIT_TEST(Call_DroppedPastDeadline_TimesOut);
  CPPUNIT_TEST(Call_WaitsForConnectPastDeadline_IsNeverSent);
  CPPUNIT_TEST(Call_PeerRestarts_IsReachedSoon);
  CPPUNIT_TEST(Call_StreamIdsUsedUp_UsesNewConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards, under each fault, against responses that are lost, delivered twice or delivered to
  // another call, against requests that run twice, and against kConnectionFailed for a request that
  // ran.
  void Calls_EachFaultOnBusyConnection_CompleteOnceWithTheirOwnResponse() {
    for (const FaultCase& fault : kFaults) RunFaultCase(fault);
  }

  // Guards against delivering a response whose end was not received.
  void Call_ResponseTruncated_IsNotDelivered() {
    FaultFixture fixture;
    for (int i = 0; i < 20; ++i) {
      fixture.proxy().CutAnswer(1000);
      const auto result = CallAndWait(fixture.client(), "blob", "50000");
      ASSERT_CODE(ResultCode::kConnectionClosed, result);
    }
  }

  // Guards against a client that keeps a connection which is silent in one or both directions. The
  // ping timeout of the server is longer, because its close would reach the client if only requests
  // are dropped.
  void Call_ConnectionSilentEachWay_FailsSilentAndNextSucceeds() {
    for (const char* command : {"drop to_target", "drop to_client", "drop both", "silence"}) {
      FaultFixture fixture(FastPingOptions(), SlowPingOptions());
      CPPUNIT_ASSERT_EQUAL(std::string("a"), CallAndWait(fixture.client(), "echo", "a").value());
      fixture.proxy().RunCommand(command);
      ASSERT_CODE(ResultCode::kConnectionSilent, CallAndWait(fixture.client(), "echo", "b"));
      fixture.proxy().Heal();
      CPPUNIT_ASSERT_EQUAL(std::string("c"), CallAndWait(fixture.client(), "echo", "c").value());
      CPPUNIT_ASSERT(fixture.Handled("b") <= 1);
    }
  }

  // Guards against a server that keeps a silent connection. The client detects that the server has
  // closed it.
  void Server_RequestsDropped_ClosesConnection() {
    FaultFixture fixture(SlowPingOptions(), FastPingOptions());
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "a").has_value());
    fixture.proxy().Drop(Direction::kToTarget);
    ASSERT_CODE(ResultCode::kConnectionClosed, CallAndWait(fixture.client(), "echo", "b"));
  }

  // Guards against pinging only while calls are in flight.
  void Ping_IdleConnection_IsSent() {
    FaultFixture fixture;
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "a").has_value());
    const auto bytes = fixture.proxy().Stats().to_target_bytes;
    // While no call is made, only pings and their acknowledgements of 17 bytes each are sent.
    CPPUNIT_ASSERT(WaitUntil(
        [&fixture, bytes] { return fixture.proxy().Stats().to_target_bytes >= bytes + 10 * 17; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.proxy().Stats().accepted_total);
  }

  // Guards against taking a slow connection for a silent one because the acknowledgement of a ping
  // is queued behind large bodies.
  void Call_BodiesSlowerThanPingTimeout_AreDelivered() {
    for (const Direction direction : {Direction::kToTarget, Direction::kToClient}) {
      FaultFixture fixture;
      fixture.proxy().Throttle(direction, 10'000'000);
      constexpr std::size_t kCalls = 16;
      const std::string body(std::size_t{1} << 20U, 'x');
      CallResults answers(kCalls);
      for (std::size_t i = 0; i < kCalls; ++i) {
        fixture.client().Call("echo", body, kDefaultCallTimeout, answers.Callback(i));
      }
      CPPUNIT_ASSERT(answers.WaitForAll());
      for (std::size_t i = 0; i < kCalls; ++i) {
        const auto answer = answers.at(i);
        CPPUNIT_ASSERT_MESSAGE(answer ? "" : answer.error().message, answer && *answer == body);
      }
    }
  }

  void Call_DroppedPastDeadline_TimesOut() {
    FaultFixture fixture;
    CPPUNIT_ASSERT(CallAndWait(fixture.client(), "echo", "a").has_value());
    fixture.proxy().Drop(Direction::kToClient);
    ASSERT_CODE(ResultCode::kCallTimeout,
                CallAndWait(fixture.client(), "echo", "b", Milliseconds(30)));
  }

  // Guards against a call that waits for a connection beyond its deadline.
  void Call_WaitsForConnectPastDeadline_IsNeverSent() {
    RpcOptions options = FastPingOptions();
    options.max_backoff = Milliseconds(60000);
    FaultFixture fixture(options);
    fixture.proxy().RefuseNew();
    // Failed attempts increase the backoff beyond the timeout of the last call.
    Result<std::string> result;
    for (int i = 0; i < 7; ++i) result = CallAndWait(fixture.client(), "echo", "x");
    result = CallAndWait(fixture.client(), "echo", "x", Milliseconds(20));
    ASSERT_CODE(ResultCode::kConnectionFailed, result);
    CPPUNIT_ASSERT(result.error().message.find("deadline") != std::string::npos);
  }

  // Guards against a backoff that delays calls to a restarted peer too long.
  void Call_PeerRestarts_IsReachedSoon() {
    FaultFixture fixture;
    fixture.proxy().RefuseNew();
    for (int i = 0; i < 12; ++i) {
      ASSERT_CODE(ResultCode::kConnectionFailed, CallAndWait(fixture.client(), "echo", "x"));
    }
    fixture.proxy().AcceptNew();
    const auto start = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(std::string("y"), CallAndWait(fixture.client(), "echo", "y").value());
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < Milliseconds(1000));
  }

  // Guards against a client that can't make calls when the stream ids of its connection are used
  // up.
  void Call_StreamIdsUsedUp_UsesNewConnection() {
    RpcOptions options = FastPingOptions();
    options.max_calls_per_connection = 10;
    FaultFixture fixture(options);
    constexpr std::size_t kCalls = 100;
    CallResults answers(kCalls);
    for (std::size_t i = 0; i < kCalls; ++i) {
      fixture.client().Call("echo", std::to_string(i), kDefaultCallTimeout, answers.Callback(i));
    }
    CPPUNIT_ASSERT(answers.WaitForAll());
    for (std::size_t i = 0; i < kCalls; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::to_string(i), answers.at(i).value());
    }
    CPPUNIT_ASSERT(fixture.proxy().Stats().accepted_total >= 10);
  }

 private:
  static void RunFaultCase(const FaultCase& fault) {
    std::mt19937 random(kSeed);
    constexpr std::size_t kCalls = 300;
    FaultFixture fixture;
    CallResults answers(kCalls);
    std::vector<std::string> bodies;
    for (std::size_t i = 0; i < kCalls; ++i) {
      bodies.push_back(Body(random, i));
      if (i == kCalls / 3) {
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), fixture.proxy().RunCommand(fault.command));
      }
      fixture.client().Call("echo", bodies[i], Milliseconds(2000), answers.Callback(i));
    }
    CPPUNIT_ASSERT_MESSAGE(fault.name, answers.WaitForAll());
    CheckResults(fault, fixture, bodies, answers);
    fixture.proxy().Heal();
    CPPUNIT_ASSERT_MESSAGE(fault.name, WaitUntil([&fixture] {
                             return CallAndWait(fixture.client(), "echo", "healed").has_value();
                           }));
    CPPUNIT_ASSERT_MESSAGE(fault.name, answers.EachCompletedOnce());
  }

  static void CheckResults(const FaultCase& fault, FaultFixture& fixture,
                           const std::vector<std::string>& bodies, CallResults& answers) {
    for (std::size_t i = 0; i < bodies.size(); ++i) {
      const auto answer = answers.at(i);
      const int handled = fixture.Handled(bodies[i]);
      CPPUNIT_ASSERT_MESSAGE(fault.name, handled <= 1);
      if (answer) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, bodies[i], *answer);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, 1, handled);
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(fault.name, IsTransportError(answer.error().code));
      if (answer.error().code == ResultCode::kConnectionFailed) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, 0, handled);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcFaultTest);

}  // namespace parsleyline::transport
