#include "tests/dispatch/coordinator_fixture.h"

namespace parsleyline::dispatch {
namespace {

constexpr std::uint32_t kGang = static_cast<std::uint32_t>(job::StepFlag::kGang);

}  // namespace

/// Tests of workers whose capacity changes while they run.
class CoordinatorCapacityTest : public CoordinatorFixture {
  CPPUNIT_TEST_SUITE(CoordinatorCapacityTest);
  CPPUNIT_TEST(Capacity_Shrinks_NextTaskIsNotStarted);
  CPPUNIT_TEST(Capacity_ShrinksBelowCharges_NothingStartsUntilItGrows);
  CPPUNIT_TEST(Capacity_ShrinksWhileStartIsRecorded_OrderIsNotSent);
  CPPUNIT_TEST(Capacity_MemoryShrinksWhileStartIsRecorded_OrderIsNotSent);
  CPPUNIT_TEST(Capacity_ReportsOutOfOrder_NewestOneCounts);
  CPPUNIT_TEST(Capacity_ShrinksBeforeLeaderChange_NewLeaderUsesIt);
  CPPUNIT_TEST(Capacity_GrowsBeforeLeaderChange_NewLeaderUsesIt);
  CPPUNIT_TEST(Capacity_Unchanged_IsNotRecordedAgain);
  CPPUNIT_TEST(Capacity_ShrinksUnderReservation_GangStartsElsewhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starts beyond the capacity that the worker has reported last.
  void Capacity_Shrinks_NextTaskIsNotStarted() {
    AddWorker("w1", 4000);
    ReportCapacity("w1", 1000, 2);
    Submit("j", Spec(1, 2000));
    CPPUNIT_ASSERT(outbox_->starts.empty());
    ReportCapacity("w1", 2000, 3);
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  // Guards against starts on a worker whose runs need more than it has left.
  void Capacity_ShrinksBelowCharges_NothingStartsUntilItGrows() {
    AddWorker("w1", 4000);
    Submit("j", Spec(1, 3000));
    Reply(outbox_->starts[0], OrderOutcome::kAccepted);
    ReportCapacity("w1", 2000, 2);
    SubmitAccepted("k", Spec(1, 100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    ReportCapacity("w1", 4000, 3);
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
  }

  // Guards against an order that exceeds a capacity reported after the start was proposed.
  void Capacity_ShrinksWhileStartIsRecorded_OrderIsNotSent() {
    AddWorker("w1", 4000);
    SubmitWithoutCommit("j", Spec(1, 3000));
    coordinator_->OnWorkerReport(Resized("w1", 2000, 2), [](ResultCode) {});
    CommitAll();
    CPPUNIT_ASSERT(outbox_->starts.empty());
    ReportCapacity("w1", 4000, 3);
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  // The same for memory.
  void Capacity_MemoryShrinksWhileStartIsRecorded_OrderIsNotSent() {
    AddWorker("w1", 4000);
    SubmitWithoutCommit("j", Spec(1, 3000));
    WorkerReport report = Resized("w1", 4000, 2);
    report.capacity.memory = Mebibytes(5);
    coordinator_->OnWorkerReport(report, [](ResultCode) {});
    CommitAll();
    CPPUNIT_ASSERT(outbox_->starts.empty());
  }

  // Guards against a delayed report that brings an old capacity back.
  void Capacity_ReportsOutOfOrder_NewestOneCounts() {
    AddWorker("w1", 4000);
    ReportCapacity("w1", 1000, 5);
    ReportCapacity("w1", 4000, 4);
    Submit("j", Spec(1, 2000));
    CPPUNIT_ASSERT(outbox_->starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, RecordedCpu("w1"));
  }

  // Guards against a new leader that starts tasks in the capacity of a worker's first report.
  void Capacity_ShrinksBeforeLeaderChange_NewLeaderUsesIt() {
    AddWorker("w1", 4000);
    ReportCapacity("w1", 1000, 2);
    coordinator_->BecomeLeader(Fence(2));
    CommitAll();
    AnswerHold("w1");
    Submit("j", Spec(1, 2000));
    CPPUNIT_ASSERT(outbox_->starts.empty());
  }

  // Guards against a new leader that leaves capacity unused.
  void Capacity_GrowsBeforeLeaderChange_NewLeaderUsesIt() {
    AddWorker("w1", 1000);
    ReportCapacity("w1", 4000, 2);
    coordinator_->BecomeLeader(Fence(2));
    CommitAll();
    AnswerHold("w1");
    Submit("j", Spec(1, 2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  // Guards against a log record for each report of each worker.
  void Capacity_Unchanged_IsNotRecordedAgain() {
    AddWorker("w1", 4000);
    coordinator_->OnWorkerReport(Resized("w1", 4000, 2), [](ResultCode) {});
    coordinator_->RunSchedulingPass();
    CPPUNIT_ASSERT(outbox_->batches.empty());
  }

  // Guards against a gang that waits for a reserved worker that has become too small.
  void Capacity_ShrinksUnderReservation_GangStartsElsewhere() {
    AddWorker("w1", 4000);
    Submit("a", Spec(1, 2000));
    Reply(outbox_->starts[0], OrderOutcome::kAccepted);
    SubmitAccepted("g", Spec(2, 2000, kGang));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    ReportCapacity("w1", 2000, 2);
    AddWorker("w2", 4000);
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, outbox_->starts.size());
    CPPUNIT_ASSERT(outbox_->starts.back().to.incarnation.worker == WorkerId("w2"));
  }

 private:
  static WorkerReport Resized(const std::string& name, std::int64_t cpu, std::uint64_t sequence) {
    WorkerReport report = Report(name, cpu);
    report.sequence = sequence;
    return report;
  }

  void ReportCapacity(const std::string& name, std::int64_t cpu, std::uint64_t sequence) {
    coordinator_->OnWorkerReport(Resized(name, cpu, sequence), [](ResultCode) {});
    CommitAll();
  }

  /// Submits a job after the backlog of the earlier ones has been computed.
  void SubmitAccepted(const std::string& id, const job::JobSpec& spec) {
    Advance(100);
    CPPUNIT_ASSERT(Submit(id, spec) == ResultCode::kOk);
  }

  /// Submits a job and proposes its start, which is not committed.
  void SubmitWithoutCommit(const std::string& id, const job::JobSpec& spec) {
    coordinator_->Submit(job::JobId(id), *cell_state_->config().Find(job::QueueId("urgent")), spec,
                         [](const SubmitResult&) {});
    coordinator_->RunSchedulingPass();
    const job::CommandBatch submit = outbox_->batches.front();
    outbox_->batches.pop_front();
    coordinator_->OnApplied(submit, cell_state_->Apply(submit));
    coordinator_->RunSchedulingPass();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->batches.front().starts.size());
  }

  std::int64_t RecordedCpu(const std::string& name) const {
    return cell_state_->registered_workers().at(WorkerId(name)).capacity.cpu.count();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorCapacityTest);

}  // namespace parsleyline::dispatch
