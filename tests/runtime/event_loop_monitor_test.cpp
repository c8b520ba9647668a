#include "runtime/event_loop_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <future>

#include "tests/support/io_threads.h"

namespace parsleyline::runtime {
namespace {

using testing::IoThreads;
using testing::WaitUntil;

constexpr MonitorOptions kFastOptions{Milliseconds(5), Milliseconds(5), Milliseconds(100)};

}  // namespace

class EventLoopMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLoopMonitorTest);
  CPPUNIT_TEST(Monitor_HandlerBlocks_ReportsStallAndResumption);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopMonitorTest);

}  // namespace parsleyline::runtime
