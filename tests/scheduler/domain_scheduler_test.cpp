#include "scheduler/domain_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/scheduler/scheduler_fixture.h"

namespace parsleyline::scheduler {

using wire::RequestState;
using wire::TaskOutcome;

class DomainSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainSchedulerTest);
  CPPUNIT_TEST(Submit_KnownKeyOtherBody_IsRefused);
  CPPUNIT_TEST(Submit_QueuedKeyOtherBody_IsRefused);
  CPPUNIT_TEST(Submit_Repeated_GetsTheSameGrant);
  CPPUNIT_TEST(Submit_ResentAndExpired_RejectionIsRecorded);
  CPPUNIT_TEST(Submit_Rejected_NeverGrantedLater);
  CPPUNIT_TEST(Submit_NotLeader_NamesLeader);
  CPPUNIT_TEST(Cancel_Queued_RejectsForGood);
  CPPUNIT_TEST(Cancel_Running_ReportsState);
  CPPUNIT_TEST(Finish_Repeated_ReleasesOnce);
  CPPUNIT_TEST(Finish_LostThenWorkerRestarts_IsAnswered);
  CPPUNIT_TEST(Worker_SilentOrDraining_GetsNoTasks);
  CPPUNIT_TEST(Worker_DrainedByOperator_StaysDrainedAfterFailover);
  CPPUNIT_TEST(Worker_Restarted_FreesItsTasks);
  CPPUNIT_TEST(Worker_OldIncarnationAnnounces_IsRefused);
  CPPUNIT_TEST(Worker_RunsUnknownTask_IsChargedAndToldToStop);
  CPPUNIT_TEST(Worker_SilentWithTask_ChargeEndsAfterLeases);
  CPPUNIT_TEST(Charge_AfterFailover_NeverExceedsCapacity);
  CPPUNIT_TEST(Ledger_NotIdempotent_KeptForRetention);
  CPPUNIT_TEST(Replay_AllCommands_GivesSameState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    f_ = std::make_unique<SchedulerFixture>();
    f_->Announce(SchedulerFixture::Worker("w"));
  }

  // Guards against a caller who gets the answer to another body.
  void Submit_KnownKeyOtherBody_IsRefused() {
    f_->Grant(Keyed("a"));
    wire::Submit other = Keyed("a");
    other.body_digest = 2;
    ExpectRejected(f_->Submit(other), ResultCode::kKeyConflict);
  }

  // Guards against the same while the first request waits in the queue.
  void Submit_QueuedKeyOtherBody_IsRefused() {
    Fill();
    const auto first = f_->Submit(Keyed("a"));
    wire::Submit other = Keyed("a");
    other.body_digest = 2;
    ExpectRejected(f_->Submit(other), ResultCode::kKeyConflict);
    CPPUNIT_ASSERT(first->empty());
    CPPUNIT_ASSERT(f_->State("a") == RequestState::kQueued);
  }

  // Guards against a resend that starts the work a second time.
  void Submit_Repeated_GetsTheSameGrant() {
    const wire::TaskGrant grant = f_->Grant(Keyed("a"));
    wire::Submit again = Keyed("a");
    again.attempt = 1;
    CPPUNIT_ASSERT(f_->Grant(again).token == grant.token);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, f_->Row("w").running);
  }

  // Guards against an unrecorded refusal of a request that another leader may know of.
  void Submit_ResentAndExpired_RejectionIsRecorded() {
    Fill();
    const auto first = f_->Submit(SchedulerFixture::Request("a"));
    wire::Submit again = SchedulerFixture::Request("a");
    again.attempt = 1;
    const auto second = f_->Submit(again);
    f_->Wait(Milliseconds(30001));
    ExpectRejected(first, ResultCode::kDeadlineExceeded);
    ExpectRejected(second, ResultCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(f_->State("a") == RequestState::kRejected);
  }

  // Guards against work that runs after its caller was told that it never will.
  void Submit_Rejected_NeverGrantedLater() {
    wire::Submit large = Keyed("a");
    large.spec.resources.cpu = MilliCpu(3000);
    ExpectRejected(f_->Submit(large), ResultCode::kCanNeverFit);
    wire::Announcement worker = SchedulerFixture::Worker("big");
    worker.capacity.cpu = MilliCpu(8000);
    f_->Announce(worker);
    large.attempt = 1;
    ExpectRejected(f_->Submit(large), ResultCode::kCanNeverFit);
    f_->log.StepDown();
    f_->log.BecomeLeader();
    ExpectRejected(f_->Submit(large), ResultCode::kCanNeverFit);
  }

  // Guards against calls that hang or are decided by a replica that does not lead.
  void Submit_NotLeader_NamesLeader() {
    Fill();
    const auto queued = f_->Submit(SchedulerFixture::Request("a"));
    f_->log.StepDown(NodeId("other"));
    const auto later = f_->Submit(SchedulerFixture::Request("b"));
    for (const auto& answers : {queued, later}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers->size());
      CPPUNIT_ASSERT(answers->front().error().code == ResultCode::kNotLeader);
      CPPUNIT_ASSERT_EQUAL(std::string("other"), answers->front().error().message);
    }
  }

  // Guards against a cancelled request that is granted when room appears or when it is resent.
  void Cancel_Queued_RejectsForGood() {
    const auto token = Fill();
    const auto waiting = f_->Submit(SchedulerFixture::Request("a"));
    ExpectRejected(f_->Cancel("a"), ResultCode::kCancelled);
    ExpectRejected(waiting, ResultCode::kCancelled);
    f_->Finish("fill0", token, TaskOutcome::kDone);
    f_->Wait(kQueueRetry);
    ExpectRejected(f_->Submit(SchedulerFixture::Request("a")), ResultCode::kCancelled);
  }

  // Guards against a running request that is reported as never run.
  void Cancel_Running_ReportsState() {
    f_->Grant(SchedulerFixture::Request("a"));
    CPPUNIT_ASSERT(f_->Cancel("a")->front()->state == RequestState::kRunning);
    CPPUNIT_ASSERT(f_->Cancel("b")->front().error().code == ResultCode::kNotFound);
  }

  // Guards against a repeated report that frees the room of another task.
  void Finish_Repeated_ReleasesOnce() {
    const auto token = f_->Grant(SchedulerFixture::Request("a")).token;
    f_->Grant(SchedulerFixture::Request("b"));
    for (int i = 0; i < 3; ++i) {
      const auto answers = f_->Finish("a", token, TaskOutcome::kDone);
      CPPUNIT_ASSERT(answers->front()->state == RequestState::kDone);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, f_->Row("w").running);
    }
  }

  // Guards against an entry daemon that waits in vain for the end of a lost task.
  void Finish_LostThenWorkerRestarts_IsAnswered() {
    const auto token = f_->Grant(SchedulerFixture::Request("a")).token;
    const auto answers = f_->Finish("a", token, TaskOutcome::kLost);
    CPPUNIT_ASSERT(answers->empty());
    f_->Announce(SchedulerFixture::Worker("w", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers->size());
    CPPUNIT_ASSERT(answers->front()->state == RequestState::kUnknown);
  }

  // Guards against new work on workers that leave or are gone.
  void Worker_SilentOrDraining_GetsNoTasks() {
    f_->Wait(Milliseconds(1501));
    const auto waiting = f_->Submit(SchedulerFixture::Request("a"));
    CPPUNIT_ASSERT(waiting->empty());
    wire::Announcement worker = SchedulerFixture::Worker("w");
    worker.state = wire::WorkerState::kDraining;
    f_->Announce(worker);
    f_->Wait(kQueueRetry);
    CPPUNIT_ASSERT(waiting->empty());
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), f_->Row("w").state);
    f_->Announce(SchedulerFixture::Worker("w"));
    f_->Wait(kQueueRetry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting->size());
  }

  // Guards against an operator's drain that a failover or the worker's own state undoes.
  void Worker_DrainedByOperator_StaysDrainedAfterFailover() {
    CPPUNIT_ASSERT(
        f_->scheduler.SetWorkerState({WorkerId("w"), wire::WorkerState::kDraining}).has_value());
    f_->log.StepDown();
    f_->log.BecomeLeader();
    f_->Announce(SchedulerFixture::Worker("w"));
    CPPUNIT_ASSERT(f_->Submit(SchedulerFixture::Request("a"))->empty());
    CPPUNIT_ASSERT(
        f_->scheduler.SetWorkerState({WorkerId("w"), wire::WorkerState::kReady}).has_value());
    f_->Wait(kQueueRetry);
    CPPUNIT_ASSERT(f_->State("a") == RequestState::kRunning);
  }

  // Guards against room that stays charged for tasks of a dead process.
  void Worker_Restarted_FreesItsTasks() {
    Fill();
    f_->Announce(SchedulerFixture::Worker("w", 2));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, f_->Row("w").running);
    CPPUNIT_ASSERT(f_->State("fill0") == RequestState::kUnknown);
    CPPUNIT_ASSERT(f_->Grant(SchedulerFixture::Request("a")).incarnation == Incarnation(2));
  }

  // Guards against a delayed announcement that renews leases or brings back a dead process.
  void Worker_OldIncarnationAnnounces_IsRefused() {
    f_->Announce(SchedulerFixture::Worker("w", 2));
    CPPUNIT_ASSERT(f_->Announce(SchedulerFixture::Worker("w", 1)).code == ResultCode::kOutOfRange);
    CPPUNIT_ASSERT(f_->Grant(SchedulerFixture::Request("a")).incarnation == Incarnation(2));
  }

  // Guards against work that the log does not know and that shares its room with new tasks.
  void Worker_RunsUnknownTask_IsChargedAndToldToStop() {
    const FencingToken foreign(99);
    wire::Announcement worker = SchedulerFixture::Worker("w");
    worker.running = {{foreign, MilliCpu(1500), Mebibytes(100)}};
    CPPUNIT_ASSERT(f_->Announce(worker).stop == std::vector{foreign});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, f_->Row("w").charged.cpu.count());
    const auto waiting = f_->Submit(SchedulerFixture::Request("a"));
    CPPUNIT_ASSERT(waiting->empty());
    f_->Announce(SchedulerFixture::Worker("w"));
    f_->Wait(kQueueRetry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting->size());
  }

  // Guards against room that is given away while a silent worker may still run its tasks, and
  // against room that is never freed.
  void Worker_SilentWithTask_ChargeEndsAfterLeases() {
    const auto token = f_->Grant(SchedulerFixture::Request("a")).token;
    wire::Announcement worker = SchedulerFixture::Worker("w");
    worker.running = {{token, MilliCpu(1000), Mebibytes(100)}};
    f_->Announce(worker);
    f_->Wait(Milliseconds(10499));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, f_->Row("w").running);
    f_->Wait(Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, f_->Row("w").running);
    CPPUNIT_ASSERT(f_->State("a") == RequestState::kUnknown);
  }

  // Guards against a new leader that forgets what runs.
  void Charge_AfterFailover_NeverExceedsCapacity() {
    Fill();
    for (int i = 0; i < 3; ++i) {
      f_->log.StepDown();
      f_->log.BecomeLeader();
      f_->Submit(SchedulerFixture::Request("a" + std::to_string(i)));
      const wire::WorkerRow row = f_->Row("w");
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, row.running);
      CPPUNIT_ASSERT(row.charged.FitsInto(row.capacity));
    }
  }

  // Guards against a record that is forgotten early, so that a resend runs the work again.
  void Ledger_NotIdempotent_KeptForRetention() {
    const auto token = f_->Grant(Keyed("a")).token;
    f_->Finish("a", token, TaskOutcome::kDone);
    f_->Wait(Milliseconds(3600000));
    CPPUNIT_ASSERT(f_->State("a") == RequestState::kDone);
    f_->Wait(Milliseconds(1));
    CPPUNIT_ASSERT(f_->State("a") == RequestState::kNone);
  }

  // Guards against replicas that differ, by records or by a snapshot.
  void Replay_AllCommands_GivesSameState() {
    const auto token = Fill();
    f_->Finish("fill0", token, TaskOutcome::kDone);
    const auto replica = f_->Replay();
    DomainScheduler restored(SchedulerOptions(), f_->clock, [] {});
    CPPUNIT_ASSERT(restored.Restore(replica->TakeSnapshot()).has_value());
    for (DomainScheduler* it : {replica.get(), &restored}) {
      raft::InMemoryLog log;
      it->SetLog(&log);
      log.Start(it);
      CPPUNIT_ASSERT(it->Query({RequestId("fill0")})->state == RequestState::kDone);
      CPPUNIT_ASSERT(it->Query({RequestId("fill1")})->state == RequestState::kRunning);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, it->Workers()->workers.at(0).running);
    }
  }

 private:
  // The queue offers a request that did not fit again after at most this time.
  static constexpr Milliseconds kQueueRetry{100};

  static wire::Submit Keyed(const std::string& id) {
    wire::Submit submit = SchedulerFixture::Request(id);
    submit.idempotency_key = "key";
    return submit;
  }

  static void ExpectRejected(const SchedulerFixture::Answers& answers, ResultCode code) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers->size());
    CPPUNIT_ASSERT(answers->front().has_value());
    CPPUNIT_ASSERT(answers->front()->state == RequestState::kRejected);
    CPPUNIT_ASSERT(answers->front()->code == code);
  }

  // Fills the worker and returns the token of the first task.
  FencingToken Fill() {
    const auto token = f_->Grant(SchedulerFixture::Request("fill0")).token;
    f_->Grant(SchedulerFixture::Request("fill1"));
    return token;
  }

  std::unique_ptr<SchedulerFixture> f_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainSchedulerTest);

}  // namespace parsleyline::scheduler
