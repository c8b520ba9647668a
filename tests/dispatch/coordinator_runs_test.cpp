#include "tests/dispatch/coordinator_fixture.h"

namespace parsleyline::dispatch {

using job::JobPhase;
using job::RunEnd;
using job::StepFlag;

constexpr auto kGang = static_cast<std::uint32_t>(StepFlag::kGang);

/// What becomes of runs whose orders, answers or workers are lost.
class CoordinatorRunsTest : public CoordinatorFixture {
  CPPUNIT_TEST_SUITE(CoordinatorRunsTest);
  CPPUNIT_TEST(Start_RecordNotDurable_IsNotSent);
  CPPUNIT_TEST(End_RecordNotDurable_IsNotAcknowledged);
  CPPUNIT_TEST(Start_Unanswered_IsStoppedBeforeItStartsAgain);
  CPPUNIT_TEST(Start_UnansweredButListed_GoesOn);
  CPPUNIT_TEST(Start_NeverSent_StartsAgainElsewhere);
  CPPUNIT_TEST(Stop_ListSentBefore_ProvesNothing);
  CPPUNIT_TEST(SilentWorker_LeaseNotOver_KeepsItsRuns);
  CPPUNIT_TEST(NewLifetime_RunsOfTheOldOne_StartAgain);
  CPPUNIT_TEST(NewLeader_WorkerNotRead_GetsNoStart);
  CPPUNIT_TEST(NewLeader_RecordedStartNotListed_IsStoppedFirst);
  CPPUNIT_TEST(Pending_StartNotConfirmed_StillCounts);
  CPPUNIT_TEST(DrainingWorker_WaitingTask_IsNotStartedThere);
  CPPUNIT_TEST(Gang_RoomForPartOnly_StartsNothing);
  CPPUNIT_TEST(Gang_MemberRefused_OthersAreStopped);
  CPPUNIT_TEST(CancelledJob_ActiveRun_IsStopped);
  CPPUNIT_TEST(UnknownRun_InList_IsStopped);
  CPPUNIT_TEST(Standstill_NoProgress_IsStopped);
  CPPUNIT_TEST(StoodStill_LeadershipNotProved_DecidesNothing);
  CPPUNIT_TEST(SlowWorker_FarBehindTheFleet_LosesItsTasks);
  CPPUNIT_TEST(EstimatesTooLow_AllWorkersAlike_NothingMoves);
  CPPUNIT_TEST(DrainingWorker_RunThatCannotEndThere_IsMoved);
  CPPUNIT_TEST(Gang_TicketsForEnoughWorkers_StartsThere);
  CPPUNIT_TEST(Advice_LongCall_NamesFullWorkersToo);
  CPPUNIT_TEST(Proposal_LogBusy_IsRepeated);
  CPPUNIT_TEST(CompleteGang_OtherMembers_AreNotStopped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a start that a new leader would not know of.
  void Start_RecordNotDurable_IsNotSent() {
    AddWorker("w1");
    coordinator_->Submit(job::JobId("j"), *book_->config().Find(job::QueueId("urgent")),
                         Spec(1, 1000), [](const SubmitResult&) {});
    coordinator_->RunSchedulingPass();
    const auto submit = outbox_->batches.front();
    outbox_->batches.pop_front();
    coordinator_->OnApplied(submit, book_->Apply(submit));
    coordinator_->RunSchedulingPass();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->batches.front().starts.size());
    CPPUNIT_ASSERT(outbox_->starts.empty());
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  // Guards against an end that the worker forgets before the log knows it.
  void End_RecordNotDurable_IsNotAcknowledged() {
    const StartOrder order = StartOne("w1");
    AnswerHold("w1", {ActiveOf(order.run)});
    HoldReply reply;
    reply.outcome = OrderOutcome::kAccepted;
    reply.started_at = job::UnixMillis(1);
    reply.clock = WorkerMillis(UnixNow().value());
    reply.finished = {EndOf(order.run, RunEnd::kDone, 1)};
    const HoldOrder hold = outbox_->holds.at(WorkerId("w1"));
    outbox_->holds.clear();
    coordinator_->OnHoldReply(hold, reply);
    coordinator_->RunSchedulingPass();
    CPPUNIT_ASSERT(outbox_->holds.empty());
    Commit();
    CPPUNIT_ASSERT(EndNumber(1) == outbox_->holds.at(WorkerId("w1")).acknowledged);
    CPPUNIT_ASSERT(JobPhase::kComplete == PhaseOf("j"));
  }

  // Guards against a count that leaves out jobs whose orders were lost with an earlier leader.
  void Pending_StartNotConfirmed_StillCounts() {
    const job::QueueId queue("urgent");
    const StartOrder order = StartOne("w1");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, coordinator_->PendingCount(queue));
    Reply(order, OrderOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, coordinator_->PendingCount(queue));
  }

  // Guards against two runs of a task when an order is carried out seconds later.
  void Start_Unanswered_IsStoppedBeforeItStartsAgain() {
    const StartOrder order = StartOne("w1");
    AddWorker("w2");
    Reply(order, OrderOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
    Reply(outbox_->stops.front(), OrderOutcome::kAccepted);
    AnswerHold("w1");  // Sent before the stop.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    AnswerHold("w1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    CPPUNIT_ASSERT(outbox_->starts.back().run.run == job::RunNumber(2));
  }

  void Start_UnansweredButListed_GoesOn() {
    const StartOrder order = StartOne("w1");
    AnswerHold("w1", {ActiveOf(order.run)});
    Reply(order, OrderOutcome::kUnknown);
    CPPUNIT_ASSERT(outbox_->stops.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  void Start_NeverSent_StartsAgainElsewhere() {
    const StartOrder order = StartOne("w1");
    Reply(order, OrderOutcome::kNotSent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    CPPUNIT_ASSERT(outbox_->stops.empty());
  }

  // Guards against a list that was on its way while the stop overtook it.
  void Stop_ListSentBefore_ProvesNothing() {
    const StartOrder order = StartOne("w1");
    Reply(order, OrderOutcome::kAccepted);
    AnswerHold("w1");  // Sent before the start was confirmed: absence proves nothing.
    CPPUNIT_ASSERT(outbox_->stops.empty());
  }

  // Guards against a second run while a worker that is cut off still works on the first.
  void SilentWorker_LeaseNotOver_KeepsItsRuns() {
    const StartOrder order = StartOne("w1");
    Reply(order, OrderOutcome::kAccepted);
    AnswerHold("w1", {ActiveOf(order.run)});
    AddWorker("w2");
    FailHold("w1");
    Advance(kLease.count() - 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    Advance(1500);
    coordinator_->OnWorkerReport(Report("w2"), [](ResultCode) {});
    AnswerHold("w2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    CPPUNIT_ASSERT(outbox_->starts.back().to.incarnation.worker == WorkerId("w2"));
  }

  void NewLifetime_RunsOfTheOldOne_StartAgain() {
    const StartOrder order = StartOne("w1");
    Reply(order, OrderOutcome::kAccepted);
    AddWorker("w1", 4000, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    CPPUNIT_ASSERT(outbox_->starts.back().to.incarnation.started_at == job::UnixMillis(2));
  }

  // Guards against starts on a worker whose room the new leader does not know.
  void NewLeader_WorkerNotRead_GetsNoStart() {
    AddWorker("w1");
    coordinator_->BecomeLeader(Fence(2));
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT(outbox_->starts.empty());
    AnswerHold("w1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    CPPUNIT_ASSERT(outbox_->starts.front().fence == Fence(2));
  }

  // Guards against a second run when the order of the leader before is still under way.
  void NewLeader_RecordedStartNotListed_IsStoppedFirst() {
    StartOne("w1");
    coordinator_->BecomeLeader(Fence(2));
    Commit();
    AnswerHold("w1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
  }

  void DrainingWorker_WaitingTask_IsNotStartedThere() {
    AddWorker("w1");
    WorkerReport report = Report("w1");
    report.state = WorkerState::kDraining;
    report.sequence = 2;
    coordinator_->OnWorkerReport(report, [](ResultCode) {});
    Commit();
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT(outbox_->starts.empty());
  }

  // Guards against gang members that wait in vain for the others.
  void Gang_RoomForPartOnly_StartsNothing() {
    AddWorker("w1", 2000);
    Submit("j", Spec(3, 1000, kGang));
    CPPUNIT_ASSERT(outbox_->starts.empty());
    AddWorker("w2", 2000);
    Advance(100);  // A gang without room is looked at again after a moment.
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, outbox_->starts.size());
    for (const StartOrder& it : outbox_->starts) CPPUNIT_ASSERT(it.run.run == job::RunNumber(1));
  }

  void Gang_MemberRefused_OthersAreStopped() {
    AddWorker("w1", 2000);
    Submit("j", Spec(2, 1000, kGang));
    Reply(outbox_->starts[0], OrderOutcome::kAccepted);
    Reply(outbox_->starts[1], OrderOutcome::kUnhealthy);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
    CPPUNIT_ASSERT(outbox_->stops[0].run == outbox_->starts[0].run);
  }

  void CancelledJob_ActiveRun_IsStopped() {
    const StartOrder order = StartOne("w1");
    Reply(order, OrderOutcome::kAccepted);
    ResultCode code = ResultCode::kInternal;
    coordinator_->Cancel(job::JobId("j"), [&code](ResultCode result) { code = result; });
    Commit();
    CPPUNIT_ASSERT(code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
    CPPUNIT_ASSERT(JobPhase::kCancelled == PhaseOf("j"));
  }

  void UnknownRun_InList_IsStopped() {
    AddWorker("w1");
    const job::RunKey late{{{job::JobId("gone"), 0, 0}, 0}, job::RunNumber(1)};
    AnswerHold("w1", {ActiveOf(late)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
    CPPUNIT_ASSERT(outbox_->stops[0].run == late);
  }

  // Guards against tasks that stand still on a worker that answers as if all were well.
  void Standstill_NoProgress_IsStopped() {
    const StartOrder order = StartOne("w1");
    Reply(order, OrderOutcome::kAccepted);
    for (int i = 0; i < 6; ++i) {
      AnswerHold("w1", {ActiveOf(order.run, 30)});
      Advance(500);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
  }

  // Guards against decisions of a leader that was frozen while another took over.
  void StoodStill_LeadershipNotProved_DecidesNothing() {
    const StartOrder order = StartOne("w1");
    Reply(order, OrderOutcome::kAccepted);
    AnswerHold("w1", {ActiveOf(order.run, 30)});
    clock_.Advance(Milliseconds(7000));
    coordinator_->Tick();
    coordinator_->RunSchedulingPass();
    CPPUNIT_ASSERT(outbox_->stops.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->batches.size());
    CPPUNIT_ASSERT(outbox_->batches.front().IsEmpty());
  }

  // Guards against tasks that crawl on a slow worker until their job is lost.
  void SlowWorker_FarBehindTheFleet_LosesItsTasks() {
    PlayPaces(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, outbox_->stops.size());
    for (const StopOrder& it : outbox_->stops) {
      CPPUNIT_ASSERT(it.to.incarnation.worker == WorkerId("w1"));
    }
  }

  // Guards against moving sound tasks whose estimates are far too low.
  void EstimatesTooLow_AllWorkersAlike_NothingMoves() {
    PlayPaces(1);
    CPPUNIT_ASSERT(outbox_->stops.empty());
  }

  // Guards against work that is thrown away when its worker leaves.
  void DrainingWorker_RunThatCannotEndThere_IsMoved() {
    const StartOrder order = StartOne("w1");
    Reply(order, OrderOutcome::kAccepted);
    AnswerHold("w1", {ActiveOf(order.run, 10)});
    WorkerReport report = Report("w1");
    report.state = WorkerState::kDraining;
    report.drain_remaining = Milliseconds(500);
    report.sequence = 2;
    coordinator_->OnWorkerReport(report, [](ResultCode) {});
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
  }

  // Guards against a gang that fetches tickets over and over, because the tightest workers change
  // while the advisor answers.
  void Gang_TicketsForEnoughWorkers_StartsThere() {
    job::CellConfig config = DefaultConfig();
    config.version = job::ConfigVersion(2);
    config.queues[0].needs_ticket = 1;
    config.queues[0].advisor = {20'000, 200, Milliseconds(1000)};
    PutConfig(config);
    coordinator_->RegisterAdvisorClient(NodeId("c"));
    AddWorker("w3", 2000);
    Submit("j", Spec(2, 2000, kGang));
    ApproveAll(Milliseconds(300));
    Advance(4000);  // Nobody is left to ask, so that both new workers are asked about together.
    AnswerHold("w3");
    AddWorker("w1");
    AddWorker("w2");
    coordinator_->RegisterAdvisorClient(NodeId("c"));
    Advance(100);
    ApproveAll(Milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    for (const StartOrder& it : outbox_->starts) {
      CPPUNIT_ASSERT(it.to.incarnation.worker != WorkerId("w3"));
    }
  }

  // Guards against batch jobs that ask ten times about the few workers that have room just then,
  // and keep all callers of the advisor busy.
  void Advice_LongCall_NamesFullWorkersToo() {
    job::CellConfig config = DefaultConfig();
    config.version = job::ConfigVersion(2);
    for (job::QueueSettings& it : config.queues) it.needs_ticket = 1;
    config.queues[0].advisor = {12'000, 200, Milliseconds(2000)};
    config.queues[1].advisor = {120'000, 4000, Milliseconds(2000)};
    PutConfig(config);
    coordinator_->RegisterAdvisorClient(NodeId("c"));
    AddWorker("free", 4000);
    for (int i = 0; i < 20; ++i) AddWorker("small" + std::to_string(i), 100);
    Submit("long", Spec(1, 1000), "batch");
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, outbox_->questions.back().second.workers.size());
    CPPUNIT_ASSERT(WorkerId("free") == outbox_->questions.back().second.workers.front());
    coordinator_->OnAdvisorReply(NodeId("c"), outbox_->questions.back().second, AdvisorReply());
    Submit("short", Spec(1, 1000), "urgent");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->questions.back().second.workers.size());
  }

  // Guards against a leader that stops working for good because its log was busy once.
  void Proposal_LogBusy_IsRepeated() {
    AddWorker("w1");
    outbox_->proposal = ProposalResult::kBusy;
    ResultCode code = ResultCode::kInternal;
    coordinator_->Submit(job::JobId("j"), *book_->config().Find(job::QueueId("urgent")),
                         Spec(1, 1000), [&code](const SubmitResult& it) { code = it.code; });
    coordinator_->RunSchedulingPass();
    CPPUNIT_ASSERT(coordinator_->IsLeader());
    outbox_->proposal = ProposalResult::kAccepted;
    Commit();
    CPPUNIT_ASSERT(code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  void CompleteGang_OtherMembers_AreNotStopped() {
    AddWorker("w1", 2000);
    Submit("j", Spec(2, 1000, kGang));
    for (const StartOrder& it : std::vector<StartOrder>(outbox_->starts)) {
      Reply(it, OrderOutcome::kAccepted);
    }
    AnswerHold("w1", {}, {EndOf(outbox_->starts[0].run, RunEnd::kDone, 1)});
    CPPUNIT_ASSERT(JobPhase::kComplete == PhaseOf("j"));
    CPPUNIT_ASSERT(outbox_->stops.empty());
  }

 private:
  /// Runs twelve tasks that take ten times their estimate on three workers. The first worker is
  /// `slowness` times as slow as the others.
  void PlayPaces(std::uint32_t slowness) {
    for (const char* it : {"w1", "w2", "w3"}) AddWorker(it);
    Submit("j", Spec(12, 1000), "batch");
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, outbox_->starts.size());
    for (const StartOrder& it : std::vector<StartOrder>(outbox_->starts)) {
      Reply(it, OrderOutcome::kAccepted);
    }
    for (std::uint32_t second = 1; second <= 5; ++second) {
      for (const char* name : {"w1", "w2", "w3"}) {
        std::vector<ActiveRun> active;
        const std::uint32_t pace = name == std::string("w1") ? slowness : 1;
        for (const StartOrder& it : outbox_->starts) {
          if (it.to.incarnation.worker != WorkerId(name)) continue;
          active.push_back(ActiveOf(it.run, second * 10 / pace));
        }
        AnswerHold(name, active);
      }
      Advance(1000);
    }
  }

  StartOrder StartOne(const std::string& worker) {
    AddWorker(worker);
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    return outbox_->starts.front();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorRunsTest);

}  // namespace parsleyline::dispatch
