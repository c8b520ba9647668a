#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "tests/dispatch/coordinator_fixture.h"

namespace parsleyline::dispatch {

using job::RunEnd;

/// Workers that start again under their id and address. Orders that were meant for the earlier
/// incarnation reach the later one, which cannot tell them from its own.
class WorkerRestartTest : public CoordinatorFixture {
  CPPUNIT_TEST_SUITE(WorkerRestartTest);
  CPPUNIT_TEST(Hold_WorkerDoesNotAnswer_CarriesNoLease);
  CPPUNIT_TEST(Successor_CutOffAfterItsFirstReply_KeepsItsRunsForLongestLease);
  CPPUNIT_TEST(Successor_CutOffUnderNewLeader_KeepsItsRunsForLongestLease);
  CPPUNIT_TEST(Successor_RegisteredLongAgo_KeepsItsRunsForOneLeaseUnderNewLeader);
  CPPUNIT_TEST(Start_AnsweredWithOtherClock_KeepsTheRunForLongestLease);
  CPPUNIT_TEST(Start_AnsweredWithHigherClock_KeepsTheRunForLongestLease);
  CPPUNIT_TEST(Start_AnsweredWithOwnClock_KeepsTheRunForOneLease);
  CPPUNIT_TEST(LeaseClock_ReadingOfOtherIncarnation_IsRecognized);
  CPPUNIT_TEST(Successor_ListsRunAsActive_ContinuesIt);
  CPPUNIT_TEST(Successor_ListsRunAsDone_CompletesTheTask);
  CPPUNIT_TEST(Successor_ListsRunAsFailed_CountsTheAttempt);
  CPPUNIT_TEST(Successor_DoesNotListRun_StartsItElsewhere);
  CPPUNIT_TEST(Successor_ListsRunThatIsBeingStopped_StopIsRepeated);
  CPPUNIT_TEST(Successor_ListsGangPartly_StopsTheRest);
  CPPUNIT_TEST(Successor_LeaveOfEarlierIncarnation_KeepsListedRuns);
  CPPUNIT_TEST(Successor_UnderNewLeader_RunOfEarlierIncarnationIsSettledByItsLists);
  CPPUNIT_TEST(Successor_Adopted_OrdersHaveHigherFence);
  CPPUNIT_TEST(Successor_ReplacesWorkerWithoutRuns_OrdersHaveHigherFence);
  CPPUNIT_TEST(Successor_NotConfirmed_WorkerGetsHigherFence);
  CPPUNIT_TEST(Successor_AcceptedHoldForAnother_GetsHigherFence);
  CPPUNIT_TEST(Fence_OfNextTerm_IsHigherThanAllBefore);
  CPPUNIT_TEST(Hold_EndAcknowledgedBefore_DoesNotRepeatIt);
  CPPUNIT_TEST(Hold_WorkerDoesNotAnswer_AcknowledgesNothing);
  CPPUNIT_TEST(Successor_HoldUnanswered_WorkerGetsNoTaskUntilItAnswers);
  CPPUNIT_TEST(Start_AnsweredWithOtherClock_WorkerGetsNoTaskUntilItAnswers);
  CPPUNIT_TEST(Start_RefusedWithOtherClock_WorkerGetsNoTaskUntilItAnswers);
  CPPUNIT_TEST(LostRun_ListedAsActive_TaskWaitsForItsEnd);
  CPPUNIT_TEST(LostRun_ListedWhileNextStartIsRecorded_StartIsNotSent);
  CPPUNIT_TEST(LostRun_ListedAgainBeforeItsEndIsRecorded_StaysCharged);
  CPPUNIT_TEST(LostRun_ListedByUnreportedSuccessor_TaskWaitsForItsEnd);
  CPPUNIT_TEST(LostRun_OfEndedJobListed_WorkerGetsNoTaskUntilItsEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a lease that the next incarnation takes without the leader knowing of it.
  void Hold_WorkerDoesNotAnswer_CarriesNoLease() {
    AddWorker("w1");
    Advance(1000);
    CPPUNIT_ASSERT(outbox_->holds.at(WorkerId("w1")).lease_end > WorkerMillis(0));
    FailHold("w1");
    Advance(300);
    CPPUNIT_ASSERT_EQUAL(WorkerMillis(0), outbox_->holds.at(WorkerId("w1")).lease_end);
  }

  // Guards against a second run of a task while the first one is active under a lease that was
  // meant for the earlier incarnation of its worker.
  void Successor_CutOffAfterItsFirstReply_KeepsItsRunsForLongestLease() {
    StartOnSuccessor();
    FailHold("w1");
    AssertStartsElsewhereAfter(kMaxLease);
  }

  // The same if another leader takes over in between.
  void Successor_CutOffUnderNewLeader_KeepsItsRunsForLongestLease() {
    StartOnSuccessor();
    coordinator_->BecomeLeader(Fence(2));
    AddWorker("w2");
    FailHold("w1");
    AssertStartsElsewhereAfter(kMaxLease);
  }

  void Successor_RegisteredLongAgo_KeepsItsRunsForOneLeaseUnderNewLeader() {
    const job::RunKey run = StartOnSuccessor();
    for (int i = 0; i < 20; ++i) {
      Advance(1000);
      AnswerHold("w1", {ActiveOf(run, static_cast<std::uint32_t>(i))}, {}, kSuccessor);
      AnswerW2();
    }
    coordinator_->BecomeLeader(Fence(2));
    AddWorker("w2");
    FailHold("w1");
    AssertStartsElsewhereAfter(kLease);
  }

  // Guards against a second run of a task while the first one is active on an incarnation of which
  // the leader has not heard.
  void Start_AnsweredWithOtherClock_KeepsTheRunForLongestLease() {
    AddWorker("w1");
    Advance(100);
    RestartWorker("w1");
    AssertRunIsKeptForLongestLease();
  }

  // The same if the clock does not begin at 0.
  void Start_AnsweredWithHigherClock_KeepsTheRunForLongestLease() {
    AddWorker("w1");
    Advance(100);
    RestartWorker("w1", 2 * UnixNow().value());
    AssertRunIsKeptForLongestLease();
  }

  void Start_AnsweredWithOwnClock_KeepsTheRunForOneLease() {
    AddWorker("w1");
    Submit("j", Spec(1, 1000));
    Reply(outbox_->starts.back(), OrderOutcome::kAccepted);
    AddWorker("w2");
    FailHold("w1");
    AssertStartsElsewhereAfter(kLease);
  }

  void LeaseClock_ReadingOfOtherIncarnation_IsRecognized() {
    constexpr std::int64_t kReading = 100'000;
    LeaseClock clock;
    const TimePoint now = clock_.Now();
    clock.RecordReading(WorkerMillis(kReading), now);
    const auto origin_of = [&](std::int64_t advance) {
      return clock.OriginOf(WorkerMillis(kReading + advance), now + Milliseconds(1000));
    };
    CPPUNIT_ASSERT(origin_of(1000) == ReadingOrigin::kThis);
    CPPUNIT_ASSERT(origin_of(-500) == ReadingOrigin::kThis);
    CPPUNIT_ASSERT(origin_of(10'000) == ReadingOrigin::kOther);
    CPPUNIT_ASSERT(origin_of(-10'000) == ReadingOrigin::kOther);
    LeaseClock young;
    young.RecordReading(WorkerMillis(500), now);
    CPPUNIT_ASSERT(young.OriginOf(WorkerMillis(900), now + Milliseconds(1000)) ==
                   ReadingOrigin::kUnclear);
  }

  // Guards against a second run of a task while the first one is active: the next incarnation has
  // accepted a start that was meant for the earlier one.
  void Successor_ListsRunAsActive_ContinuesIt() {
    const job::RunKey run = StartOnRestartedW1().run;
    ReportSuccessor();
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    Advance(200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    CPPUNIT_ASSERT(outbox_->stops.empty());
    AnswerHold("w1", {}, {EndOf(run, RunEnd::kDone, 1)}, kSuccessor);
    CPPUNIT_ASSERT(PhaseOf("j") == job::JobPhase::kComplete);
  }

  // Guards against a start after the task was done.
  void Successor_ListsRunAsDone_CompletesTheTask() {
    const job::RunKey run = StartOnRestartedW1().run;
    ReportSuccessor();
    AnswerHold("w1", {}, {EndOf(run, RunEnd::kDone, 1)}, kSuccessor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    CPPUNIT_ASSERT(PhaseOf("j") == job::JobPhase::kComplete);
  }

  // Guards against more attempts than the queue allows.
  void Successor_ListsRunAsFailed_CountsTheAttempt() {
    const job::RunKey run = StartOnRestartedW1().run;
    ReportSuccessor();
    AnswerHold("w1", {}, {EndOf(run, RunEnd::kFailed, 1)}, kSuccessor);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, cell_state_->FindTask(run.task)->failures);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
  }

  void Successor_DoesNotListRun_StartsItElsewhere() {
    StartOnRestartedW1();
    ReportSuccessor();
    AnswerHold("w1", {}, {}, kSuccessor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
  }

  // Guards against a run that goes on although its job is cancelled, because the earlier
  // incarnation has confirmed its stop.
  void Successor_ListsRunThatIsBeingStopped_StopIsRepeated() {
    const job::RunKey run = StartOnRestartedW1().run;
    coordinator_->Cancel(job::JobId("j"), [](ResultCode) {});
    CommitAll();
    Reply(outbox_->starts.back(), OrderOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
    Reply(outbox_->stops.back(), OrderOutcome::kAccepted);
    ReportSuccessor();
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->stops.size());
    CPPUNIT_ASSERT(outbox_->stops.back().to.incarnation.started_at == job::UnixMillis(kSuccessor));
  }

  void Successor_ListsGangPartly_StopsTheRest() {
    AddWorker("w1");
    Submit("g", Spec(2, 1000, static_cast<std::uint32_t>(job::StepFlag::kGang)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    ReportSuccessor();
    AnswerHold("w1", {ActiveOf(outbox_->starts.front().run)}, {}, kSuccessor);
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
    CPPUNIT_ASSERT(outbox_->stops.front().run == outbox_->starts.front().run);
  }

  // The same as for a successor that has reported, if only its answer shows it.
  void Successor_LeaveOfEarlierIncarnation_KeepsListedRuns() {
    const job::RunKey run = StartOnRestartedW1().run;
    ReceiveLeave("w1");
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    ReportSuccessor();
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    CPPUNIT_ASSERT(outbox_->stops.empty());
  }

  // Guards against a second run under a leader that finds the start recorded for an incarnation
  // that has ended.
  void Successor_UnderNewLeader_RunOfEarlierIncarnationIsSettledByItsLists() {
    const job::RunKey run = StartOnRestartedW1().run;
    ReportSuccessor();
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    coordinator_->BecomeLeader(Fence(2));
    CommitAll();
    AnswerW2();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    CPPUNIT_ASSERT(outbox_->stops.empty());
    AnswerHold("w1", {}, {EndOf(run, RunEnd::kDone, 1)}, kSuccessor);
    CPPUNIT_ASSERT(PhaseOf("j") == job::JobPhase::kComplete);
  }

  // Guards against a start or a lease that was meant for the earlier incarnation and is carried out
  // by the later one seconds after that one was adopted.
  void Successor_Adopted_OrdersHaveHigherFence() {
    const Fence earlier = StartOnRestartedW1().fence;
    ReportSuccessor();
    const Fence first = outbox_->holds.at(WorkerId("w1")).fence;
    CPPUNIT_ASSERT(first > earlier);
    AnswerHold("w1", {}, {}, kSuccessor);
    Advance(100);
    CPPUNIT_ASSERT(outbox_->holds.at(WorkerId("w1")).fence >= first);
    Submit("next", Spec(8, 1000));
    const auto is_for_successor = [](const StartOrder& it) {
      return it.to.incarnation.started_at == job::UnixMillis(kSuccessor);
    };
    const auto start =
        std::find_if(outbox_->starts.begin(), outbox_->starts.end(), is_for_successor);
    CPPUNIT_ASSERT(start != outbox_->starts.end() && start->fence >= first);
  }

  void Successor_ReplacesWorkerWithoutRuns_OrdersHaveHigherFence() {
    AddWorker("w1");
    Advance(1000);
    FailHold("w1");
    const Fence earlier = outbox_->holds.at(WorkerId("w1")).fence;
    ReportSuccessor();
    CPPUNIT_ASSERT(outbox_->holds.at(WorkerId("w1")).to.incarnation.started_at ==
                   job::UnixMillis(kSuccessor));
    CPPUNIT_ASSERT(outbox_->holds.at(WorkerId("w1")).fence > earlier);
  }

  // Guards against a worker that refuses all orders after a report of another writer, because it
  // has accepted the hold that was to confirm the report.
  void Successor_NotConfirmed_WorkerGetsHigherFence() {
    AddWorker("w1");
    Advance(1000);
    const HoldOrder in_flight = outbox_->holds.at(WorkerId("w1"));
    coordinator_->OnWorkerReport(Report("w1", 4000, kSuccessor), [](ResultCode) {});
    CommitAll();
    const Fence claim = outbox_->holds.at(WorkerId("w1")).fence;
    AnswerHold("w1");
    outbox_->holds[WorkerId("w1")] = in_flight;
    AnswerHold("w1");
    Advance(100);
    CPPUNIT_ASSERT(outbox_->holds.at(WorkerId("w1")).fence > claim);
  }

  // The same if the reports of several incarnations are settled in another order.
  void Successor_AcceptedHoldForAnother_GetsHigherFence() {
    AddWorker("w1");
    ReportSuccessor();
    AnswerHold("w1", {}, {}, kSuccessor);
    coordinator_->OnWorkerReport(Report("other", 4000, 1), [](ResultCode) {});
    CommitAll();
    const Fence highest = outbox_->holds.at(WorkerId("other")).fence;
    Advance(100);
    FailHold("w1", OrderOutcome::kFenced);
    Advance(300);
    CPPUNIT_ASSERT(outbox_->holds.at(WorkerId("w1")).fence > highest);
  }

  void Fence_OfNextTerm_IsHigherThanAllBefore() {
    constexpr std::uint64_t kManyRestarts = 1'000'000;
    CPPUNIT_ASSERT(FirstFence(8) > Fence(FirstFence(7).value() + kManyRestarts));
    CPPUNIT_ASSERT(FirstFence(8) > FirstFence(7));
  }

  // Guards against ends of the next incarnation that are removed before the leader has read them,
  // because a hold brings the number of an end of the earlier one.
  void Hold_EndAcknowledgedBefore_DoesNotRepeatIt() {
    EndOneRunOnW1();
    CPPUNIT_ASSERT_EQUAL(EndNumber(1), outbox_->holds.at(WorkerId("w1")).acknowledged);
    AnswerHold("w1");
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(EndNumber(0), outbox_->holds.at(WorkerId("w1")).acknowledged);
  }

  void Hold_WorkerDoesNotAnswer_AcknowledgesNothing() {
    EndOneRunOnW1();
    FailHold("w1");
    Advance(300);
    CPPUNIT_ASSERT_EQUAL(EndNumber(0), outbox_->holds.at(WorkerId("w1")).acknowledged);
    AnswerHold("w1");
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(EndNumber(1), outbox_->holds.at(WorkerId("w1")).acknowledged);
  }

  // Guards against tasks that are given to an incarnation that has ended, because the reply to the
  // hold that was to confirm its successor is lost.
  void Successor_HoldUnanswered_WorkerGetsNoTaskUntilItAnswers() {
    AddWorker("w1");
    Advance(1000);
    const HoldOrder in_flight = outbox_->holds.at(WorkerId("w1"));
    ReportSuccessor();
    FailHold("w1");
    outbox_->holds[WorkerId("w1")] = in_flight;
    AssertGetsNoTaskUntilW1Answers(0);
  }

  void Start_AnsweredWithOtherClock_WorkerGetsNoTaskUntilItAnswers() {
    const StartOrder start = StartOnRestartedW1();
    RestartWorker("w1", 2 * UnixNow().value());
    Reply(start, OrderOutcome::kAccepted);
    FailHold("w2");
    AssertGetsNoTaskUntilW1Answers(1);
  }

  void Start_RefusedWithOtherClock_WorkerGetsNoTaskUntilItAnswers() {
    AddWorker("w1");
    Advance(1000);
    Submit("j", Spec(1, 1000));
    RestartWorker("w1", 2 * UnixNow().value());
    Reply(outbox_->starts.back(), OrderOutcome::kLeaseExpired);
    Advance(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  // Guards against a third run of a task that starts while the first one, which was taken for lost
  // and whose start was carried out late, is still being stopped.
  void LostRun_ListedAsActive_TaskWaitsForItsEnd() {
    const job::RunKey run = LoseRunOnW1();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    Reply(outbox_->starts.back(), OrderOutcome::kNoCapacity);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    AnswerHold("w1", {}, {EndOf(run, RunEnd::kStopped, 1)}, kSuccessor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, outbox_->starts.size());
  }

  void LostRun_ListedWhileNextStartIsRecorded_StartIsNotSent() {
    AddWorker("w1");
    Submit("j", Spec(1, 1000));
    const job::RunKey run = outbox_->starts.back().run;
    ReportSuccessor();
    AnswerHoldWithoutCommit("w1", {});
    coordinator_->RunSchedulingPass();
    ApplyNextBatch();
    coordinator_->RunSchedulingPass();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->batches.front().starts.size());
    AnswerHoldWithoutCommit("w1", {ActiveOf(run)});
    CommitAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

  // Guards against more tasks than a worker can hold: a run that is being stopped still counts.
  void LostRun_ListedAgainBeforeItsEndIsRecorded_StaysCharged() {
    AddWorker("w1");
    Submit("j", Spec(1, 4000));
    const job::RunKey run = outbox_->starts.back().run;
    ReportSuccessor();
    AnswerHoldWithoutCommit("w1", {});
    outbox_->holds.clear();
    coordinator_->RunSchedulingPass();
    AnswerHoldWithoutCommit("w1", {ActiveOf(run)});
    CommitAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->stops.size());
  }

  // The same if the list is that of an incarnation which has not reported yet.
  void LostRun_ListedByUnreportedSuccessor_TaskWaitsForItsEnd() {
    const job::RunKey run = StartOnRestartedW1().run;
    Reply(outbox_->starts.back(), OrderOutcome::kNoCapacity);
    const StartOrder second = outbox_->starts.back();
    CPPUNIT_ASSERT(second.run != run);
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    Reply(second, OrderOutcome::kNoCapacity);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    ReportSuccessor();
    AnswerHold("w1", {}, {EndOf(run, RunEnd::kStopped, 1)}, kSuccessor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, outbox_->starts.size());
  }

  // The same if the demand of the run is not known any more.
  void LostRun_OfEndedJobListed_WorkerGetsNoTaskUntilItsEnd() {
    AddWorker("w1");
    Submit("j", Spec(1, 3000));
    const job::RunKey run = outbox_->starts.back().run;
    coordinator_->Cancel(job::JobId("j"), [](ResultCode) {});
    CommitAll();
    ReportSuccessor();
    AnswerHold("w1", {}, {}, kSuccessor);
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    Advance(100);
    CPPUNIT_ASSERT(Submit("next", Spec(1, 2000)) == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    AnswerHold("w1", {}, {EndOf(run, RunEnd::kStopped, 1)}, kSuccessor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
  }

 private:
  static constexpr std::int64_t kSuccessor = 2;
  static constexpr Milliseconds kMaxLease = Policy().max_lease;

  /// Checks that a start which w1 answers with its present clock counts as active until the longest
  /// possible lease has ended.
  void AssertRunIsKeptForLongestLease() {
    Submit("j", Spec(1, 1000));
    Reply(outbox_->starts.back(), OrderOutcome::kAccepted);
    AddWorker("w2");
    FailHold("w1");
    AssertStartsElsewhereAfter(kMaxLease);
  }

  void ReportSuccessor() {
    RestartWorker("w1");
    coordinator_->OnWorkerReport(Report("w1", 4000, kSuccessor), [](ResultCode) {});
    CommitAll();
  }

  /// Sends a start to w1, which has restarted without the leader knowing of it. w2 has room for the
  /// task as well.
  StartOrder StartOnRestartedW1() {
    AddWorker("w1");
    Advance(1000);
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    AddWorker("w2");
    return outbox_->starts.back();
  }

  /// Sends a start to w1, whose successor does not list it, so that the task starts again.
  job::RunKey LoseRunOnW1() {
    const job::RunKey run = StartOnRestartedW1().run;
    ReportSuccessor();
    AnswerHold("w1", {}, {}, kSuccessor);
    return run;
  }

  /// Checks that a task starts only after w1 has answered a hold. `starts` were sent before.
  void AssertGetsNoTaskUntilW1Answers(std::size_t starts) {
    Submit("next", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(starts, outbox_->starts.size());
    clock_starts_.erase("w1");
    AnswerHold("w1");
    CPPUNIT_ASSERT_EQUAL(starts + 1, outbox_->starts.size());
  }

  /// Lists the end of a run on w1, which the next hold acknowledges.
  void EndOneRunOnW1() {
    AddWorker("w1");
    Submit("j", Spec(1, 1000));
    const job::RunKey run = outbox_->starts.back().run;
    Reply(outbox_->starts.back(), OrderOutcome::kAccepted);
    AnswerHold("w1", {}, {EndOf(run, RunEnd::kDone, 1)});
    Advance(100);
  }

  void AnswerHoldWithoutCommit(const std::string& name, std::vector<ActiveRun> active) {
    HoldReply reply;
    reply.outcome = OrderOutcome::kAccepted;
    reply.started_at = job::UnixMillis(kSuccessor);
    reply.clock = ClockOf(name);
    reply.active = std::move(active);
    coordinator_->OnHoldReply(outbox_->holds.at(WorkerId(name)), reply);
  }

  /// Starts a task on the second incarnation of w1, which lists it. w2 has room for it as well.
  job::RunKey StartOnSuccessor() {
    AddWorker("w1");
    Advance(1000);
    ReportSuccessor();
    AnswerHold("w1", {}, {}, kSuccessor);
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    const job::RunKey run = outbox_->starts.back().run;
    Reply(outbox_->starts.back(), OrderOutcome::kAccepted);
    AnswerHold("w1", {ActiveOf(run)}, {}, kSuccessor);
    AddWorker("w2");
    return run;
  }

  /// Checks that the only run, whose worker w1 is silent from now on, is started again when a lease
  /// of this length that was taken now has ended, and not before.
  void AssertStartsElsewhereAfter(Milliseconds lease) {
    const Milliseconds latest =
        std::chrono::duration_cast<Milliseconds>(LatestLeaseEnd(TimePoint(), lease) - TimePoint());
    const std::size_t starts = outbox_->starts.size();
    for (Milliseconds passed{0}; passed + Milliseconds(1000) < latest;
         passed += Milliseconds(500)) {
      Advance(500);
      AnswerW2();
      CPPUNIT_ASSERT_EQUAL(starts, outbox_->starts.size());
    }
    Advance(1500);
    AnswerW2();
    CPPUNIT_ASSERT_EQUAL(starts + 1, outbox_->starts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerRestartTest);

}  // namespace parsleyline::dispatch
