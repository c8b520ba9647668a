#include "scheduler/domain_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/scheduler/scheduler_fixture.h"

namespace parsleyline::scheduler {

using wire::RequestState;
using wire::TaskOutcome;

class DomainSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainSchedulerTest);
  CPPUNIT_TEST(Submit_KnownKeyOtherBody_IsRejected);
  CPPUNIT_TEST(Submit_QueuedKeyOtherBody_IsRejected);
  CPPUNIT_TEST(Submit_Repeated_GetsTheSameGrant);
  CPPUNIT_TEST(Submit_ResentAndExpired_RejectionIsRecorded);
  CPPUNIT_TEST(Submit_Rejected_NeverGrantedLater);
  CPPUNIT_TEST(Submit_NotLeader_NamesLeader);
  CPPUNIT_TEST(Cancel_Queued_RejectsForGood);
  CPPUNIT_TEST(Cancel_Running_ReportsState);
  CPPUNIT_TEST(Finish_Repeated_ReleasesOnce);
  CPPUNIT_TEST(Finish_LostThenWorkerRestarts_GetsReply);
  CPPUNIT_TEST(Worker_SilentOrDraining_GetsNoTasks);
  CPPUNIT_TEST(Worker_DrainedByOperator_StaysDrainedAfterFailover);
  CPPUNIT_TEST(Worker_Restarted_FreesItsTasks);
  CPPUNIT_TEST(Worker_OldIncarnationAnnounces_IsRejected);
  CPPUNIT_TEST(Worker_RunsUnknownTask_IsChargedAndToldToStop);
  CPPUNIT_TEST(Worker_SilentWithTask_ChargeEndsAfterLeases);
  CPPUNIT_TEST(Worker_HeardAfterTaskWasLost_MustRefuseTask);
  CPPUNIT_TEST(Charge_AfterFailover_NeverExceedsCapacity);
  CPPUNIT_TEST(Ledger_NotIdempotent_KeptForRetention);
  CPPUNIT_TEST(Replay_AllCommands_GivesSameState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    fixture_ = std::make_unique<SchedulerFixture>();
    fixture_->Announce(SchedulerFixture::Worker("w"));
  }

  // Guards against a caller that gets the result of a request with the same key but another body.
  void Submit_KnownKeyOtherBody_IsRejected() {
    fixture_->Grant(RequestWithKey("a"));
    wire::Submit other = RequestWithKey("a");
    other.body_digest = 2;
    ExpectRejected(fixture_->Submit(other), ResultCode::kKeyConflict);
  }

  // Guards against the same failure while the first request is still queued.
  void Submit_QueuedKeyOtherBody_IsRejected() {
    FillWorker();
    const auto first = fixture_->Submit(RequestWithKey("a"));
    wire::Submit other = RequestWithKey("a");
    other.body_digest = 2;
    ExpectRejected(fixture_->Submit(other), ResultCode::kKeyConflict);
    CPPUNIT_ASSERT(first->empty());
    CPPUNIT_ASSERT(fixture_->State("a") == RequestState::kQueued);
  }

  // Guards against a resent submission that is granted a second time.
  void Submit_Repeated_GetsTheSameGrant() {
    const wire::TaskGrant grant = fixture_->Grant(RequestWithKey("a"));
    wire::Submit again = RequestWithKey("a");
    again.attempt = 1;
    CPPUNIT_ASSERT(fixture_->Grant(again).token == grant.token);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, fixture_->Row("w").running);
  }

  // Guards against a rejection without a ledger record although another leader may know the
  // request, because its submission was resent.
  void Submit_ResentAndExpired_RejectionIsRecorded() {
    FillWorker();
    const auto first = fixture_->Submit(SchedulerFixture::Request("a"));
    wire::Submit again = SchedulerFixture::Request("a");
    again.attempt = 1;
    const auto second = fixture_->Submit(again);
    fixture_->Wait(Milliseconds(30001));
    ExpectRejected(first, ResultCode::kDeadlineExceeded);
    ExpectRejected(second, ResultCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(fixture_->State("a") == RequestState::kRejected);
  }

  // Guards against a rejected request that is granted later, when a large enough worker has joined
  // or another leader was elected.
  void Submit_Rejected_NeverGrantedLater() {
    wire::Submit large = RequestWithKey("a");
    large.spec.resources.cpu = MilliCpu(3000);
    ExpectRejected(fixture_->Submit(large), ResultCode::kCanNeverFit);
    wire::Announcement worker = SchedulerFixture::Worker("big");
    worker.capacity.cpu = MilliCpu(8000);
    fixture_->Announce(worker);
    large.attempt = 1;
    ExpectRejected(fixture_->Submit(large), ResultCode::kCanNeverFit);
    fixture_->log.StepDown();
    fixture_->log.BecomeLeader();
    ExpectRejected(fixture_->Submit(large), ResultCode::kCanNeverFit);
  }

  // Guards against calls that get no reply after the loss of leadership, and against decisions of a
  // replica that is not the leader.
  void Submit_NotLeader_NamesLeader() {
    FillWorker();
    const auto queued = fixture_->Submit(SchedulerFixture::Request("a"));
    fixture_->log.StepDown(NodeId("other"));
    const auto later = fixture_->Submit(SchedulerFixture::Request("b"));
    for (const auto& replies : {queued, later}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies->size());
      CPPUNIT_ASSERT(replies->front().error().code == ResultCode::kNotLeader);
      CPPUNIT_ASSERT_EQUAL(std::string("other"), replies->front().error().message);
    }
  }

  // Guards against a cancelled request that is granted when capacity is freed or when it is resent.
  void Cancel_Queued_RejectsForGood() {
    const auto token = FillWorker();
    const auto waiting = fixture_->Submit(SchedulerFixture::Request("a"));
    ExpectRejected(fixture_->Cancel("a"), ResultCode::kCancelled);
    ExpectRejected(waiting, ResultCode::kCancelled);
    fixture_->Finish("fill0", token, TaskOutcome::kDone);
    fixture_->Wait(kQueueRetry);
    ExpectRejected(fixture_->Submit(SchedulerFixture::Request("a")), ResultCode::kCancelled);
  }

  // Guards against a running request that is reported as rejected because it was cancelled.
  void Cancel_Running_ReportsState() {
    fixture_->Grant(SchedulerFixture::Request("a"));
    CPPUNIT_ASSERT(fixture_->Cancel("a")->front()->state == RequestState::kRunning);
    CPPUNIT_ASSERT(fixture_->Cancel("b")->front().error().code == ResultCode::kNotFound);
  }

  // Guards against a repeated report that releases the charge of another task.
  void Finish_Repeated_ReleasesOnce() {
    const auto token = fixture_->Grant(SchedulerFixture::Request("a")).token;
    fixture_->Grant(SchedulerFixture::Request("b"));
    for (int i = 0; i < 3; ++i) {
      const auto replies = fixture_->Finish("a", token, TaskOutcome::kDone);
      CPPUNIT_ASSERT(replies->front()->state == RequestState::kDone);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, fixture_->Row("w").running);
    }
  }

  // Guards against an entry daemon that gets no reply to its report of a lost task.
  void Finish_LostThenWorkerRestarts_GetsReply() {
    const auto token = fixture_->Grant(SchedulerFixture::Request("a")).token;
    const auto replies = fixture_->Finish("a", token, TaskOutcome::kLost);
    CPPUNIT_ASSERT(replies->empty());
    fixture_->Announce(SchedulerFixture::Worker("w", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies->size());
    CPPUNIT_ASSERT(replies->front()->state == RequestState::kUnknown);
  }

  // Guards against tasks that are placed on a silent or draining worker.
  void Worker_SilentOrDraining_GetsNoTasks() {
    fixture_->Wait(Milliseconds(1501));
    const auto waiting = fixture_->Submit(SchedulerFixture::Request("a"));
    CPPUNIT_ASSERT(waiting->empty());
    wire::Announcement worker = SchedulerFixture::Worker("w");
    worker.state = wire::WorkerState::kDraining;
    fixture_->Announce(worker);
    fixture_->Wait(kQueueRetry);
    CPPUNIT_ASSERT(waiting->empty());
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), fixture_->Row("w").state);
    fixture_->Announce(SchedulerFixture::Worker("w"));
    fixture_->Wait(kQueueRetry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting->size());
  }

  // Guards against an operator's drain that is undone by a failover or by the state that the worker
  // announces.
  void Worker_DrainedByOperator_StaysDrainedAfterFailover() {
    CPPUNIT_ASSERT(fixture_->scheduler.SetWorkerState({WorkerId("w"), wire::WorkerState::kDraining})
                       .has_value());
    fixture_->log.StepDown();
    fixture_->log.BecomeLeader();
    fixture_->Announce(SchedulerFixture::Worker("w"));
    CPPUNIT_ASSERT(fixture_->Submit(SchedulerFixture::Request("a"))->empty());
    CPPUNIT_ASSERT(
        fixture_->scheduler.SetWorkerState({WorkerId("w"), wire::WorkerState::kReady}).has_value());
    fixture_->Wait(kQueueRetry);
    CPPUNIT_ASSERT(fixture_->State("a") == RequestState::kRunning);
  }

  // Guards against tasks of a previous incarnation that stay charged.
  void Worker_Restarted_FreesItsTasks() {
    FillWorker();
    fixture_->Announce(SchedulerFixture::Worker("w", 2));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fixture_->Row("w").running);
    CPPUNIT_ASSERT(fixture_->State("fill0") == RequestState::kUnknown);
    CPPUNIT_ASSERT(fixture_->Grant(SchedulerFixture::Request("a")).incarnation == Incarnation(2));
  }

  // Guards against a delayed announcement of a previous incarnation that renews leases or replaces
  // the registration of the current one.
  void Worker_OldIncarnationAnnounces_IsRejected() {
    fixture_->Announce(SchedulerFixture::Worker("w", 2));
    CPPUNIT_ASSERT(fixture_->Announce(SchedulerFixture::Worker("w", 1)).code ==
                   ResultCode::kOutOfRange);
    CPPUNIT_ASSERT(fixture_->Grant(SchedulerFixture::Request("a")).incarnation == Incarnation(2));
  }

  // Guards against new tasks that are placed into capacity that an unknown task uses.
  void Worker_RunsUnknownTask_IsChargedAndToldToStop() {
    const FencingToken foreign(99);
    wire::Announcement worker = SchedulerFixture::Worker("w");
    worker.running = {{foreign, MilliCpu(1500), Mebibytes(100)}};
    CPPUNIT_ASSERT(fixture_->Announce(worker).stop == std::vector{foreign});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, fixture_->Row("w").charged.cpu.count());
    const auto waiting = fixture_->Submit(SchedulerFixture::Request("a"));
    CPPUNIT_ASSERT(waiting->empty());
    fixture_->Announce(SchedulerFixture::Worker("w"));
    fixture_->Wait(kQueueRetry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting->size());
  }

  // Guards against a charge that is released while a silent worker may still run the task, and
  // against a charge that is never released.
  void Worker_SilentWithTask_ChargeEndsAfterLeases() {
    const auto token = fixture_->Grant(SchedulerFixture::Request("a")).token;
    wire::Announcement worker = SchedulerFixture::Worker("w");
    worker.running = {{token, MilliCpu(1000), Mebibytes(100)}};
    fixture_->Announce(worker);
    fixture_->Wait(Milliseconds(10499));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, fixture_->Row("w").running);
    fixture_->Wait(Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fixture_->Row("w").running);
    CPPUNIT_ASSERT(fixture_->State("a") == RequestState::kUnknown);
  }

  // Guards against a worker that exceeds its capacity because it starts a lost task after it was
  // silent: the dispatch was in flight, and other tasks have the capacity.
  void Worker_HeardAfterTaskWasLost_MustRefuseTask() {
    const auto token = fixture_->Grant(SchedulerFixture::Request("a")).token;
    fixture_->Wait(Milliseconds(20500));
    CPPUNIT_ASSERT(fixture_->State("a") == RequestState::kUnknown);
    wire::Announcement worker = SchedulerFixture::Worker("w");
    CPPUNIT_ASSERT(fixture_->Announce(worker).stop == std::vector{token});
    fixture_->log.StepDown();
    fixture_->log.BecomeLeader();
    const wire::AnnounceResult result = fixture_->Announce(worker);
    CPPUNIT_ASSERT(result.stop == std::vector{token});
    worker.acknowledged_response = result.response_number;
    CPPUNIT_ASSERT(fixture_->Announce(worker).stop.empty());
    worker.acknowledged_response = 0;
    CPPUNIT_ASSERT(fixture_->Announce(worker).stop.empty());
  }

  // Guards against a new leader that does not charge the running tasks.
  void Charge_AfterFailover_NeverExceedsCapacity() {
    FillWorker();
    for (int i = 0; i < 3; ++i) {
      fixture_->log.StepDown();
      fixture_->log.BecomeLeader();
      fixture_->Submit(SchedulerFixture::Request("a" + std::to_string(i)));
      const wire::WorkerRow row = fixture_->Row("w");
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, row.running);
      CPPUNIT_ASSERT(row.charged.FitsInto(row.capacity));
    }
  }

  // Guards against a record of a non-idempotent request that is removed early, so that a resent
  // submission runs it again.
  void Ledger_NotIdempotent_KeptForRetention() {
    const auto token = fixture_->Grant(RequestWithKey("a")).token;
    fixture_->Finish("a", token, TaskOutcome::kDone);
    fixture_->Wait(Milliseconds(3600000));
    CPPUNIT_ASSERT(fixture_->State("a") == RequestState::kDone);
    fixture_->Wait(Milliseconds(1));
    CPPUNIT_ASSERT(fixture_->State("a") == RequestState::kNone);
  }

  // Guards against replicas whose state differs after they applied the same records or restored a
  // snapshot.
  void Replay_AllCommands_GivesSameState() {
    const auto token = FillWorker();
    fixture_->Finish("fill0", token, TaskOutcome::kDone);
    const auto replica = fixture_->Replay();
    DomainScheduler restored(SchedulerOptions(), fixture_->clock, [] {});
    CPPUNIT_ASSERT(restored.Restore(replica->TakeSnapshot()).has_value());
    for (DomainScheduler* it : {replica.get(), &restored}) {
      raft::InMemoryLog log;
      it->SetLog(&log);
      log.Start(it);
      CPPUNIT_ASSERT(it->Query({RequestId("fill0")})->state == RequestState::kDone);
      CPPUNIT_ASSERT(it->Query({RequestId("fill1")})->state == RequestState::kRunning);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, it->ListWorkers()->workers.at(0).running);
    }
  }

 private:
  // The queue offers a request that did not fit again within this time.
  static constexpr Milliseconds kQueueRetry{100};

  static wire::Submit RequestWithKey(const std::string& id) {
    wire::Submit submit = SchedulerFixture::Request(id);
    submit.idempotency_key = "key";
    return submit;
  }

  static void ExpectRejected(const SchedulerFixture::Replies& replies, ResultCode code) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies->size());
    CPPUNIT_ASSERT(replies->front().has_value());
    CPPUNIT_ASSERT(replies->front()->state == RequestState::kRejected);
    CPPUNIT_ASSERT(replies->front()->code == code);
  }

  // Fills the worker with two tasks and returns the token of the first one.
  FencingToken FillWorker() {
    const auto token = fixture_->Grant(SchedulerFixture::Request("fill0")).token;
    fixture_->Grant(SchedulerFixture::Request("fill1"));
    return token;
  }

  std::unique_ptr<SchedulerFixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainSchedulerTest);

}  // namespace parsleyline::scheduler
