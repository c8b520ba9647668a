#include "runtime/stall_detector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace parsleyline::runtime {
namespace {

constexpr Milliseconds kLimit{700};
constexpr Milliseconds kInterval{250};

}  // namespace

class StallDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StallDetectorTest);
  CPPUNIT_TEST(Check_LoopRuns_FindsNothing);
  CPPUNIT_TEST(Check_LoopWaits_FindsStallWithoutCpuTime);
  CPPUNIT_TEST(Check_LoopComputes_FindsStallWithCpuTime);
  CPPUNIT_TEST(Check_StallGoesOn_IsFoundWhenDoubled);
  CPPUNIT_TEST(Check_LoopRunsAgain_FindsResumedOnce);
  CPPUNIT_TEST(Check_ProcessSuspended_FindsNoStall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Check_LoopRuns_FindsNothing() {
    for (int i = 0; i < 100; ++i) {
      RunLoop();
      CPPUNIT_ASSERT(!CheckAfter(kInterval));
    }
  }

  void Check_LoopWaits_FindsStallWithoutCpuTime() {
    const auto stall = CheckUntilFound();
    CPPUNIT_ASSERT(stall.has_value());
    CPPUNIT_ASSERT(stall->kind == StallDetector::Kind::kStalled);
    CPPUNIT_ASSERT(stall->duration >= kLimit && stall->duration < kLimit + kInterval);
    CPPUNIT_ASSERT(stall->cpu_time == Duration::zero());
  }

  void Check_LoopComputes_FindsStallWithCpuTime() {
    cpu_time_per_check_ = kInterval;
    const auto stall = CheckUntilFound();
    CPPUNIT_ASSERT(stall.has_value());
    CPPUNIT_ASSERT(stall->kind == StallDetector::Kind::kStalled);
    CPPUNIT_ASSERT(stall->cpu_time >= kLimit);
  }

  // Guards against a line for each check of a process that never runs again.
  void Check_StallGoesOn_IsFoundWhenDoubled() {
    const auto first = CheckUntilFound();
    CPPUNIT_ASSERT(first.has_value());
    const auto second = CheckUntilFound();
    CPPUNIT_ASSERT(second.has_value());
    CPPUNIT_ASSERT(second->duration >= 2 * first->duration);
  }

  void Check_LoopRunsAgain_FindsResumedOnce() {
    CPPUNIT_ASSERT(CheckUntilFound().has_value());
    RunLoop();
    const auto resumed = CheckAfter(kInterval);
    CPPUNIT_ASSERT(resumed.has_value());
    CPPUNIT_ASSERT(resumed->kind == StallDetector::Kind::kResumed);
    CPPUNIT_ASSERT(resumed->duration == last_run_ - TimePoint());
    RunLoop();
    CPPUNIT_ASSERT(!CheckAfter(kInterval));
  }

  // Guards against a suspended process that is taken for a stalled one.
  void Check_ProcessSuspended_FindsNoStall() {
    RunLoop();
    CPPUNIT_ASSERT(!CheckAfter(kInterval));
    const auto suspended = CheckAfter(Milliseconds(7000));
    CPPUNIT_ASSERT(suspended.has_value());
    CPPUNIT_ASSERT(suspended->kind == StallDetector::Kind::kSuspended);
    CPPUNIT_ASSERT(suspended->duration == Milliseconds(7000));
    CPPUNIT_ASSERT(!CheckAfter(kInterval));
    RunLoop();
    CPPUNIT_ASSERT(!CheckAfter(kInterval));
  }

  void setUp() override { CPPUNIT_ASSERT(!CheckAfter(Milliseconds(0))); }

 private:
  // A handler runs shortly after the last check.
  void RunLoop() { last_run_ = now_ + Milliseconds(1); }

  std::optional<StallDetector::Finding> CheckAfter(Milliseconds time) {
    now_ += time;
    cpu_time_ += cpu_time_per_check_;
    return detector_.Check({now_, last_run_, cpu_time_});
  }

  std::optional<StallDetector::Finding> CheckUntilFound() {
    for (int i = 0; i < 100; ++i) {
      if (const auto finding = CheckAfter(kInterval)) return finding;
    }
    return std::nullopt;
  }

  StallDetector detector_{kLimit};
  TimePoint now_;
  TimePoint last_run_;
  Duration cpu_time_{};
  Duration cpu_time_per_check_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StallDetectorTest);

}  // namespace parsleyline::runtime
