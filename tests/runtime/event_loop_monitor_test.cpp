#include "runtime/event_loop_monitor.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <future>
#include <thread>

#include "tests/support/io_threads.h"

namespace parsleyline::runtime {
namespace {

using testing::IoThreads;
using testing::WaitUntil;

constexpr MonitorOptions kFastOptions{Milliseconds(5), Milliseconds(5), Milliseconds(100),
                                      Milliseconds(60'000)};
constexpr Milliseconds kShortStuckLimit{300};
constexpr int kLoopEnded = 42;

}  // namespace

class EventLoopMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLoopMonitorTest);
  CPPUNIT_TEST(Monitor_HandlerBlocks_ReportsStallAndResumption);
  CPPUNIT_TEST(Monitor_HandlerNeverReturns_EndsProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Monitor_HandlerBlocks_ReportsStallAndResumption() {
    std::atomic<int> stalls{0};
    std::atomic<int> resumptions{0};
    IoThreads threads(1);
    const EventLoopMonitor monitor(threads.io(), kFastOptions,
                                   [&](const StallDetector::Finding& finding) {
                                     if (finding.kind == StallDetector::Kind::kStalled) ++stalls;
                                     if (finding.kind == StallDetector::Kind::kResumed) {
                                       ++resumptions;
                                     }
                                   });
    std::promise<void> release;
    boost::asio::post(threads.io(), [&release] { release.get_future().wait(); });
    const bool stalled = WaitUntil([&stalls] { return stalls > 0; });
    release.set_value();
    CPPUNIT_ASSERT(stalled);
    CPPUNIT_ASSERT(WaitUntil([&resumptions] { return resumptions > 0; }));
  }

  // Guards against a process that is stuck and keeps its connections.
  void Monitor_HandlerNeverReturns_EndsProcess() {
    const pid_t child = fork();
    CPPUNIT_ASSERT(child >= 0);
    if (child == 0) {
      RunBlockedLoop();
      _exit(kLoopEnded);
    }
    int status = 0;
    CPPUNIT_ASSERT(
        WaitUntil([child, &status] { return waitpid(child, &status, WNOHANG) == child; }));
    CPPUNIT_ASSERT(WIFEXITED(status));
    CPPUNIT_ASSERT_EQUAL(EXIT_FAILURE, WEXITSTATUS(status));
  }

 private:
  static void RunBlockedLoop() {
    MonitorOptions options = kFastOptions;
    options.stuck_limit = kShortStuckLimit;
    boost::asio::io_context io;
    const EventLoopMonitor monitor(io, options);
    boost::asio::post(io, [] { std::this_thread::sleep_for(testing::kTestTimeout); });
    io.run_for(testing::kTestTimeout);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopMonitorTest);

}  // namespace parsleyline::runtime
