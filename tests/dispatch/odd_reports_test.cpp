#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/dispatch/coordinator_fixture.h"

namespace parsleyline::dispatch {

/// Reports that are valid one by one, but that no correct worker sends.
class OddReportsTest : public CoordinatorFixture {
  CPPUNIT_TEST_SUITE(OddReportsTest);
  CPPUNIT_TEST(Report_WorkerNeverAnswers_GetsNoTask);
  CPPUNIT_TEST(Report_OtherAddressOfAnsweringWorker_IsIgnored);
  CPPUNIT_TEST(Report_OtherAddressOfSilentWorker_ReplacesIt);
  CPPUNIT_TEST(Report_SameStartAtAddressOfAnsweringWorker_IsIgnored);
  CPPUNIT_TEST(Report_SameStartAtAddressOfSilentWorker_ReplacesIt);
  CPPUNIT_TEST(Report_StartInTheFuture_IsRejected);
  CPPUNIT_TEST(Report_DrainingAfterHugeSequence_DrainsTheWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a worker that exists on paper only and attracts all tasks.
  void Report_WorkerNeverAnswers_GetsNoTask() {
    AddWorker("w1");
    SendReport(Report("phantom", 10'000'000));
    Submit("j", Spec(2, 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    for (const StartOrder& it : outbox_->starts) {
      CPPUNIT_ASSERT(it.to.incarnation.worker == WorkerId("w1"));
    }
  }

  // Guards against a worker that is lost because another writer reported its id with an address
  // where nobody answers.
  void Report_OtherAddressOfAnsweringWorker_IsIgnored() {
    AddWorker("w1");
    SendReport(ElsewhereReport(9));
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(Report("w1").address, outbox_->starts.at(0).to.address);
  }

  void Report_OtherAddressOfSilentWorker_ReplacesIt() {
    SendReport(ElsewhereReport(std::uint64_t{1} << 53U));
    FailHold("w1");
    SendReport(Report("w1"));
    Advance(300);
    CPPUNIT_ASSERT_EQUAL(Report("w1").address, outbox_->holds.at(WorkerId("w1")).to.address);
  }

  // Guards against a worker that is lost because another writer reported a copy of it.
  void Report_SameStartAtAddressOfAnsweringWorker_IsIgnored() {
    AddWorker("w1");
    SendReport(CopyOfW1());
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  void Report_SameStartAtAddressOfSilentWorker_ReplacesIt() {
    AddWorker("w1");
    Advance(1000);
    FailHold("w1");
    SendReport(CopyOfW1());
    CPPUNIT_ASSERT(!cell_state_->registered_workers().contains(WorkerId("w1")));
    CPPUNIT_ASSERT(cell_state_->registered_workers().contains(WorkerId("copy")));
  }

  // Guards against a worker that is outdated for ever because another writer reported its id with a
  // start time that no clock has reached.
  void Report_StartInTheFuture_IsRejected() {
    AddWorker("w1");
    constexpr std::int64_t kYearMs = 365LL * 24 * 3600 * 1000;
    SendReport(Report("w1", 4000, UnixNow().value() + kYearMs));
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  // Guards against tasks on a worker that leaves, because another writer's report has a higher
  // sequence number than all of its own.
  void Report_DrainingAfterHugeSequence_DrainsTheWorker() {
    AddWorker("w1");
    WorkerReport odd = Report("w1");
    odd.sequence = std::uint64_t{1} << 53U;
    SendReport(odd);
    WorkerReport draining = Report("w1");
    draining.sequence = 2;
    draining.state = WorkerState::kDraining;
    SendReport(draining);
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT(outbox_->starts.empty());
    CPPUNIT_ASSERT(cell_state_->registered_workers().at(WorkerId("w1")).state ==
                   WorkerState::kDraining);
  }

 private:
  void SendReport(const WorkerReport& report) {
    coordinator_->OnWorkerReport(report, [](ResultCode) {});
    CommitAll();
  }

  static WorkerReport ElsewhereReport(std::uint64_t sequence) {
    WorkerReport report = Report("w1");
    report.address = "10.9.9.9:9";
    report.sequence = sequence;
    return report;
  }

  static WorkerReport CopyOfW1() {
    WorkerReport report = Report("copy");
    report.address = Report("w1").address;
    return report;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddReportsTest);

}  // namespace parsleyline::dispatch
