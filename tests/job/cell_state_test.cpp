#include "job/cell_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace parsleyline::job {
namespace {

const JobId kJob("j");
const QueueId kQueue("q");
const WorkerIncarnation kWorker{WorkerId("w"), UnixMillis(5)};

StepSpec Step(std::uint32_t tasks, std::uint32_t flags = 0) {
  StepSpec step;
  step.tasks = tasks;
  step.demand.cpu = MilliCpu(1000);
  step.flags = flags;
  return step;
}

TaskKey Task(std::uint32_t step, std::uint32_t index) { return {{kJob, 0, step}, index}; }

}  // namespace

class CellStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellStateTest);
  CPPUNIT_TEST(Submit_Repeated_IsOneJob);
  CPPUNIT_TEST(Start_TaskAlreadyStarted_IsStale);
  CPPUNIT_TEST(Start_AfterCancel_IsStale);
  CPPUNIT_TEST(End_OfEarlierRun_ChangesNothing);
  CPPUNIT_TEST(End_AllTasksDone_CompletesJob);
  CPPUNIT_TEST(End_FailedAttemptsTimes_FailsJob);
  CPPUNIT_TEST(End_LostOrStopped_CostsNoAttempt);
  CPPUNIT_TEST(Gang_OneTaskDone_CompletesGang);
  CPPUNIT_TEST(Gang_SeveralTasksFail_CountsOneAttempt);
  CPPUNIT_TEST(LongRunning_TaskDone_WaitsAgain);
  CPPUNIT_TEST(EndedJob_RunsStayOpenUntilTheirEnd);
  CPPUNIT_TEST(Config_LowerVersion_ChangesNothing);
  CPPUNIT_TEST(RegisteredWorker_DelayedReadyReport_KeepsDraining);
  CPPUNIT_TEST(Pending_FirstStartOrCancel_CountsDown);
  CPPUNIT_TEST(Pending_OnlyStartLost_CountsAgain);
  CPPUNIT_TEST(Pending_StartLostAfterProgress_DoesNotCount);
  CPPUNIT_TEST(OpenJobs_EndedJob_IsRemoved);
  CPPUNIT_TEST(Purge_RunningJob_IsKept);
  CPPUNIT_TEST(Snapshot_Restored_GivesSameBytes);
  CPPUNIT_TEST(RemovedQueue_OpenJob_KeepsItsAttempts);
  CPPUNIT_TEST(RemovedQueue_SnapshotRestored_IsKept);
  CPPUNIT_TEST(RemovedQueue_NoOpenJob_IsForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CommandBatch batch;
    batch.config.version = ConfigVersion(3);
    QueueSettings queue;
    queue.id = kQueue;
    queue.max_attempts = 2;
    batch.config.queues.push_back(queue);
    book_.Apply(batch);
  }

  // Guards against a job that is reported as failed after the first failure of a task, because its
  // queue was removed from the configuration.
  void RemovedQueue_OpenJob_KeepsItsAttempts() {
    Submit({Step(1)});
    RemoveQueues(4);
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kFailed);
    CPPUNIT_ASSERT(JobPhase::kRunning == book_.Find(kJob)->phase);
    Start(Task(0, 0), 2);
    End(Task(0, 0), 2, RunEnd::kFailed);
    CPPUNIT_ASSERT(JobPhase::kFailed == book_.Find(kJob)->phase);
  }

  void RemovedQueue_SnapshotRestored_IsKept() {
    Submit({Step(1)});
    RemoveQueues(4);
    RemoveQueues(5);
    CellState restored;
    CPPUNIT_ASSERT(restored.Restore(book_.TakeSnapshot()));
    CPPUNIT_ASSERT(restored.FindQueue(kQueue) != nullptr);
    CPPUNIT_ASSERT_EQUAL(2U, restored.FindQueue(kQueue)->max_attempts);
  }

  void RemovedQueue_NoOpenJob_IsForgotten() {
    RemoveQueues(4);
    CPPUNIT_ASSERT(book_.FindQueue(kQueue) != nullptr);
    RemoveQueues(5);
    CPPUNIT_ASSERT(book_.FindQueue(kQueue) == nullptr);
  }

  // Guards against a second job when a repeated submission of the same id arrives late.
  void Submit_Repeated_IsOneJob() {
    Submit({Step(1)});
    Start(Task(0, 0), 1);
    CommandBatch again;
    again.submits.push_back({kJob, kQueue, {}, UnixMillis(9)});
    CPPUNIT_ASSERT(book_.Apply(again).accepted.empty());
    CPPUNIT_ASSERT(JobPhase::kRunning == book_.Find(kJob)->phase);
  }

  void Start_TaskAlreadyStarted_IsStale() {
    Submit({Step(1)});
    Start(Task(0, 0), 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Start(Task(0, 0), 2).stale_starts.size());
  }

  void Start_AfterCancel_IsStale() {
    Submit({Step(1)});
    Cancel();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Start(Task(0, 0), 1).stale_starts.size());
  }

  void End_OfEarlierRun_ChangesNothing() {
    Submit({Step(1)});
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kLost);
    Start(Task(0, 0), 2);
    End(Task(0, 0), 1, RunEnd::kDone);
    CPPUNIT_ASSERT(TaskPhase::kStarted == book_.FindTask(Task(0, 0))->phase);
  }

  void End_AllTasksDone_CompletesJob() {
    Submit({Step(1), Step(1)});
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kDone);
    CPPUNIT_ASSERT(JobPhase::kRunning == book_.Find(kJob)->phase);
    Start(Task(1, 0), 1);
    End(Task(1, 0), 1, RunEnd::kDone);
    CPPUNIT_ASSERT(JobPhase::kComplete == book_.Find(kJob)->phase);
  }

  void End_FailedAttemptsTimes_FailsJob() {
    Submit({Step(2)});
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kFailed);
    CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
    Start(Task(0, 0), 2);
    End(Task(0, 0), 2, RunEnd::kFailed);
    CPPUNIT_ASSERT(JobPhase::kFailed == book_.Find(kJob)->phase);
  }

  void End_LostOrStopped_CostsNoAttempt() {
    Submit({Step(1)});
    std::uint64_t run = 0;
    for (const RunEnd end :
         {RunEnd::kLost, RunEnd::kStopped, RunEnd::kLeaseExpired, RunEnd::kGangBroken}) {
      Start(Task(0, 0), ++run);
      End(Task(0, 0), run, end);
    }
    CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
    CPPUNIT_ASSERT_EQUAL(0U, book_.FindTask(Task(0, 0))->failures);
  }

  void Gang_OneTaskDone_CompletesGang() {
    Submit({Step(2, static_cast<std::uint32_t>(StepFlag::kGang))});
    Start(Task(0, 0), 1);
    Start(Task(0, 1), 1);
    End(Task(0, 0), 1, RunEnd::kDone);
    CPPUNIT_ASSERT(JobPhase::kComplete == book_.Find(kJob)->phase);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book_.open_runs().size());
  }

  void Gang_SeveralTasksFail_CountsOneAttempt() {
    Submit({Step(2, static_cast<std::uint32_t>(StepFlag::kGang))});
    Start(Task(0, 0), 1);
    Start(Task(0, 1), 1);
    End(Task(0, 0), 1, RunEnd::kFailed);
    End(Task(0, 1), 1, RunEnd::kFailed);
    CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
  }

  void LongRunning_TaskDone_WaitsAgain() {
    Submit({Step(1, static_cast<std::uint32_t>(StepFlag::kLongRunning))});
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kDone);
    CPPUNIT_ASSERT(TaskPhase::kWaiting == book_.FindTask(Task(0, 0))->phase);
  }

  // Guards against a leader that does not know of the active runs of a cancelled job.
  void EndedJob_RunsStayOpenUntilTheirEnd() {
    Submit({Step(1)});
    Start(Task(0, 0), 1);
    Cancel();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book_.open_runs().size());
    End(Task(0, 0), 1, RunEnd::kStopped);
    CPPUNIT_ASSERT(book_.open_runs().empty());
  }

  void Config_LowerVersion_ChangesNothing() {
    CommandBatch batch;
    batch.config.version = ConfigVersion(2);
    CPPUNIT_ASSERT(!book_.Apply(batch).config_changed);
    CPPUNIT_ASSERT(ConfigVersion(3) == book_.config().version);
  }

  // Guards against new tasks for a draining worker after a delayed report that it is ready.
  void RegisteredWorker_DelayedReadyReport_KeepsDraining() {
    CommandBatch batch;
    WorkerReport report;
    report.incarnation = kWorker;
    report.sequence = 2;
    report.state = WorkerState::kDraining;
    batch.reports.push_back(report);
    report.sequence = 3;
    report.state = WorkerState::kReady;
    batch.reports.push_back(report);
    book_.Apply(batch);
    CPPUNIT_ASSERT(WorkerState::kDraining == book_.registered_workers().at(kWorker.worker).state);
  }

  void Pending_FirstStartOrCancel_CountsDown() {
    Submit({Step(2)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, book_.PendingCount(kQueue));
    Start(Task(0, 0), 1);
    Start(Task(0, 1), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, book_.PendingCount(kQueue));
    Cancel();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, book_.PendingCount(kQueue));
  }

  // Guards against a pending count without the jobs whose start orders were lost.
  void Pending_OnlyStartLost_CountsAgain() {
    Submit({Step(2)});
    Start(Task(0, 0), 1);
    Start(Task(0, 1), 1);
    End(Task(0, 0), 1, RunEnd::kLost);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, book_.PendingCount(kQueue));
    End(Task(0, 1), 1, RunEnd::kLost);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, book_.PendingCount(kQueue));
    CPPUNIT_ASSERT(JobPhase::kQueued == book_.Find(kJob)->phase);
    Start(Task(0, 0), 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, book_.PendingCount(kQueue));
  }

  void Pending_StartLostAfterProgress_DoesNotCount() {
    Submit({Step(2)});
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kDone);
    Start(Task(0, 1), 1);
    End(Task(0, 1), 1, RunEnd::kLost);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, book_.PendingCount(kQueue));
    CPPUNIT_ASSERT(JobPhase::kRunning == book_.Find(kJob)->phase);
  }

  // Guards against passes whose duration grows with the number of jobs that ended recently.
  void OpenJobs_EndedJob_IsRemoved() {
    Submit({Step(1)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book_.open_jobs().size());
    CellState restored;
    CPPUNIT_ASSERT(restored.Restore(book_.TakeSnapshot()).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restored.open_jobs().size());
    Cancel();
    CPPUNIT_ASSERT(book_.open_jobs().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book_.jobs().size());
    CPPUNIT_ASSERT(restored.Restore(book_.TakeSnapshot()).has_value());
    CPPUNIT_ASSERT(restored.open_jobs().empty());
  }

  void Purge_RunningJob_IsKept() {
    Submit({Step(1)});
    CommandBatch batch;
    batch.purge.jobs = {kJob};
    book_.Apply(batch);
    CPPUNIT_ASSERT(book_.Find(kJob) != nullptr);
    Cancel();
    book_.Apply(batch);
    CPPUNIT_ASSERT(book_.Find(kJob) == nullptr);
  }

  void Snapshot_Restored_GivesSameBytes() {
    Submit({Step(2)});
    Start(Task(0, 0), 1);
    const std::string snapshot = book_.TakeSnapshot();
    CellState other;
    CPPUNIT_ASSERT(other.Restore(snapshot).has_value());
    CPPUNIT_ASSERT_EQUAL(snapshot, other.TakeSnapshot());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.open_runs().size());
    CPPUNIT_ASSERT(!other.Restore("damaged").has_value());
  }

 private:
  void Submit(std::vector<StepSpec> steps) {
    CommandBatch batch;
    JobSpec spec;
    spec.steps = std::move(steps);
    batch.submits.push_back({kJob, kQueue, spec, UnixMillis(1)});
    book_.Apply(batch);
  }
  AppliedChanges Start(const TaskKey& task, std::uint64_t run) {
    CommandBatch batch;
    batch.starts.push_back({task, RunNumber(run), kWorker});
    return book_.Apply(batch);
  }
  void End(const TaskKey& task, std::uint64_t run, RunEnd end) {
    CommandBatch batch;
    batch.ends.push_back({task, RunNumber(run), end, {}});
    book_.Apply(batch);
  }
  void RemoveQueues(std::uint64_t version) {
    CommandBatch batch;
    batch.config.version = ConfigVersion(version);
    book_.Apply(batch);
  }
  void Cancel() {
    CommandBatch batch;
    batch.cancels.push_back({kJob});
    book_.Apply(batch);
  }

  CellState book_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellStateTest);

}  // namespace parsleyline::job
