#include "dispatch/admission.h"

#include <cppunit/extensions/HelperMacros.h>

namespace parsleyline::dispatch {
namespace {

constexpr Milliseconds kCriticalPath{1000};
constexpr Milliseconds kObjective{3000};

/// Returns a backlog that takes `ms` on ten cores, of which 85% are usable.
Backlog BacklogWithWait(std::int64_t ms) {
  Backlog backlog;
  backlog.capacity_millicores = 10'000;
  backlog.AddWaiting(ExpectedOutcome::kInTime, 0, ms * 85 / 10);
  return backlog;
}

}  // namespace

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(Admission_WaitWithinSlack_Accepts);
  CPPUNIT_TEST(Admission_JobWouldExpire_RejectsWithRetryAfter);
  CPPUNIT_TEST(Admission_JobWouldBeLate_Accepts);
  CPPUNIT_TEST(Admission_LateBehindRunningWork_Rejects);
  CPPUNIT_TEST(Admission_LowerPriorityBacklog_IsIgnored);
  CPPUNIT_TEST(Admission_ExpiredBacklog_IsIgnored);
  CPPUNIT_TEST(Admission_ShortWaitAndTinyObjective_Accepts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Admission_WaitWithinSlack_Accepts() {
    CPPUNIT_ASSERT(DecideAdmission(BacklogWithWait(1900), 0, kCriticalPath, kObjective).accepted);
  }

  void Admission_JobWouldExpire_RejectsWithRetryAfter() {
    const AdmissionDecision admission =
        DecideAdmission(BacklogWithWait(9000), 0, kCriticalPath, kObjective);
    CPPUNIT_ASSERT(!admission.accepted);
    CPPUNIT_ASSERT(admission.retry_after > Milliseconds(0));
  }

  // The job misses its objective, but ends within three times the objective.
  void Admission_JobWouldBeLate_Accepts() {
    CPPUNIT_ASSERT(DecideAdmission(BacklogWithWait(5000), 0, kCriticalPath, kObjective).accepted);
  }

  // A late job starts after all waiting and all running work.
  void Admission_LateBehindRunningWork_Rejects() {
    Backlog backlog = BacklogWithWait(5000);
    backlog.running_core_ms = 4000 * 85 / 10;
    CPPUNIT_ASSERT(!DecideAdmission(backlog, 0, kCriticalPath, kObjective).accepted);
  }

  void Admission_LowerPriorityBacklog_IsIgnored() {
    Backlog backlog = BacklogWithWait(0);
    backlog.AddWaiting(ExpectedOutcome::kInTime, 2, 1'000'000);
    CPPUNIT_ASSERT(DecideAdmission(backlog, 0, kCriticalPath, kObjective).accepted);
    CPPUNIT_ASSERT(!DecideAdmission(backlog, 2, kCriticalPath, kObjective).accepted);
  }

  void Admission_ExpiredBacklog_IsIgnored() {
    Backlog backlog = BacklogWithWait(0);
    backlog.AddWaiting(ExpectedOutcome::kExpired, 0, 1'000'000);
    CPPUNIT_ASSERT(DecideAdmission(backlog, 0, kCriticalPath, kObjective).accepted);
  }

  // Guards against rejecting a job while workers are free: a declared duration that was ten times
  // too low gave an objective of 319 ms, and an expected wait of 274 ms exceeded it.
  void Admission_ShortWaitAndTinyObjective_Accepts() {
    CPPUNIT_ASSERT(
        DecideAdmission(BacklogWithWait(274), 0, Milliseconds(46), Milliseconds(80)).accepted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace parsleyline::dispatch
