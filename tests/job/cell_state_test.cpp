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
  CPPUNIT_TEST(End_DoneOfLostRun_CompletesTask);
  CPPUNIT_TEST(End_DoneOfLostGangRun_CompletesGang);
  CPPUNIT_TEST(End_AllTasksDone_CompletesJob);
  CPPUNIT_TEST(End_FailedAttemptsTimes_FailsJob);
  CPPUNIT_TEST(End_LostOrStopped_CostsNoAttempt);
  CPPUNIT_TEST(Gang_OneTaskDone_CompletesGang);
  CPPUNIT_TEST(Gang_SeveralTasksFail_CountsOneAttempt);
  CPPUNIT_TEST(LongRunning_TaskDone_WaitsAgain);
  CPPUNIT_TEST(EndedJob_RunsStayOpenUntilTheirEnd);
  CPPUNIT_TEST(Config_LowerVersion_ChangesNothing);
  CPPUNIT_TEST(RegisteredWorker_DelayedReadyReport_KeepsDraining);
  CPPUNIT_TEST(RegisteredWorker_RemovedAndReportedInOneBatch_IsKept);
  CPPUNIT_TEST(Pending_FirstStartOrCancel_CountsDown);
  CPPUNIT_TEST(Pending_OnlyStartLost_CountsAgain);
  CPPUNIT_TEST(Pending_StartLostAfterProgress_DoesNotCount);
  CPPUNIT_TEST(OpenJobs_EndedJob_IsRemoved);
  CPPUNIT_TEST(Purge_RunningJob_IsKept);
  CPPUNIT_TEST(Snapshot_Restored_GivesSameBytes);
  CPPUNIT_TEST(RemovedQueue_OpenJob_KeepsItsAttempts);
  CPPUNIT_TEST(RemovedQueue_SnapshotRestored_IsKept);
  CPPUNIT_TEST(RemovedQueue_NoOpenJob_IsForgotten);
  CPPUNIT_TEST(Crash_ThirdWorkerUnderOneTask_FailsJob);
  CPPUNIT_TEST(Crash_UnderDifferentTasks_FailsNothing);
  CPPUNIT_TEST(Crash_UnderDoneTask_FailsNothing);
  CPPUNIT_TEST(Crash_NamedTwiceInOneRecord_CountsOnce);
  CPPUNIT_TEST(Silence_WorkerCrashed_Counts);
  CPPUNIT_TEST(Silence_WorkerAnswersAgain_IsForgotten);
  CPPUNIT_TEST(Silence_WorkerLeft_IsForgotten);
  CPPUNIT_TEST(Silence_OfThreeWorkers_AllowsTwoMoreStarts);
  CPPUNIT_TEST(Crash_LongAfterStarts_AllowsTwoMoreStarts);
  CPPUNIT_TEST(Crash_LastStartsEndOtherwise_FailsJob);
  CPPUNIT_TEST(Crash_LastStartIsDone_CompletesJob);
  CPPUNIT_TEST(Snapshot_CrashesAndSilences_AreRestored);
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

  // Guards against runs that a new leader takes for lost, because their worker is missing among the
  // registered ones: it was removed and reported again within one batch.
  void RegisteredWorker_RemovedAndReportedInOneBatch_IsKept() {
    WorkerReport report;
    report.incarnation = kWorker;
    CommandBatch batch;
    batch.reports.push_back(report);
    book_.Apply(batch);
    batch.ended_incarnations.push_back(kWorker);
    book_.Apply(batch);
    CPPUNIT_ASSERT(book_.registered_workers().contains(kWorker.worker));
    batch.reports.clear();
    book_.Apply(batch);
    CPPUNIT_ASSERT(book_.registered_workers().empty());
  }

  // Guards against a task that runs twice, because the run that was taken for lost had completed
  // it.
  void End_DoneOfLostRun_CompletesTask() {
    Submit({Step(2)});
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kLost);
    Start(Task(0, 0), 2);
    End(Task(0, 0), 1, RunEnd::kDone);
    const StepState& step = *book_.FindStep({kJob, 0, 0});
    CPPUNIT_ASSERT(TaskPhase::kDone == step.tasks[0].phase);
    CPPUNIT_ASSERT_EQUAL(1U, step.done);
    CPPUNIT_ASSERT_EQUAL(0U, step.started);
    End(Task(0, 0), 2, RunEnd::kStopped);
    CPPUNIT_ASSERT_EQUAL(1U, step.done);
    CPPUNIT_ASSERT_EQUAL(1U, step.WaitingCount());
  }

  void End_DoneOfLostGangRun_CompletesGang() {
    Submit({Step(2, static_cast<std::uint32_t>(StepFlag::kGang)), Step(1)});
    for (std::uint32_t i = 0; i < 2; ++i) Start(Task(0, i), 1);
    for (std::uint32_t i = 0; i < 2; ++i) End(Task(0, i), 1, RunEnd::kLost);
    for (std::uint32_t i = 0; i < 2; ++i) Start(Task(0, i), 2);
    End(Task(0, 1), 1, RunEnd::kDone);
    const StepState& step = *book_.FindStep({kJob, 0, 0});
    CPPUNIT_ASSERT(step.IsDone());
    CPPUNIT_ASSERT_EQUAL(0U, step.WaitingCount());
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
    for (const RunEnd it : {RunEnd::kFailed, RunEnd::kStopped, RunEnd::kLeaseExpired, RunEnd::kLost,
                            RunEnd::kGangBroken, RunEnd::kGangIncomplete}) {
      End(Task(0, 0), 1, it);
      CPPUNIT_ASSERT(TaskPhase::kStarted == book_.FindTask(Task(0, 0))->phase);
      CPPUNIT_ASSERT_EQUAL(0U, book_.FindTask(Task(0, 0))->failures);
    }
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

  // Guards against a task that takes down one worker after the other.
  void Crash_ThirdWorkerUnderOneTask_FailsJob() {
    Submit({Step(2)});
    Crash(1, {Task(0, 0)});
    Crash(2, {Task(0, 0)});
    CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
    const AppliedChanges changes = Crash(3, {Task(0, 0)});
    CPPUNIT_ASSERT(JobPhase::kFailed == book_.Find(kJob)->phase);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.ended.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.given_up.size());
    CPPUNIT_ASSERT(changes.given_up[0].task == Task(0, 0));
  }

  // Guards against giving up wide jobs because of unrelated crashes.
  void Crash_UnderDifferentTasks_FailsNothing() {
    Submit({Step(4, static_cast<std::uint32_t>(StepFlag::kGang))});
    for (std::uint32_t i = 0; i < 4; ++i) Crash(i, {Task(0, i)});
    Crash(4, {Task(0, 0), Task(0, 1), Task(0, 2)});
    CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
  }

  void Crash_UnderDoneTask_FailsNothing() {
    Submit({Step(1), Step(1)});
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kDone);
    for (std::int64_t i = 0; i < 4; ++i) Crash(i, {Task(0, 0)});
    CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
  }

  // Guards against counting one crash for two runs of a task, the first of which was taken for
  // lost.
  void Crash_NamedTwiceInOneRecord_CountsOnce() {
    Submit({Step(1)});
    Silence(1, Task(0, 0));
    Crash(1, {Task(0, 0), Task(0, 0)});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, book_.FindTask(Task(0, 0))->crashes);
  }

  // Guards against crashes that go unnoticed because the lease expired before the worker returned.
  void Silence_WorkerCrashed_Counts() {
    Submit({Step(1)});
    for (std::int64_t i = 0; i < 3; ++i) {
      Silence(i, Task(0, 0));
      Crash(i, {});
    }
    CPPUNIT_ASSERT(JobPhase::kFailed == book_.Find(kJob)->phase);
  }

  void Silence_WorkerAnswersAgain_IsForgotten() {
    Submit({Step(1)});
    Silence(1, Task(0, 0));
    CPPUNIT_ASSERT(book_.IsSilent(Incarnation(1)));
    CommandBatch batch;
    batch.returned_incarnations.push_back(Incarnation(1));
    book_.Apply(batch);
    CPPUNIT_ASSERT(!book_.IsSilent(Incarnation(1)));
    Crash(1, {});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, book_.FindTask(Task(0, 0))->crashes);
  }

  void Silence_WorkerLeft_IsForgotten() {
    Submit({Step(1)});
    Silence(1, Task(0, 0));
    CommandBatch batch;
    batch.ended_incarnations.push_back(Incarnation(1));
    book_.Apply(batch);
    CPPUNIT_ASSERT(book_.FindTask(Task(0, 0))->silent_workers.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, book_.FindTask(Task(0, 0))->crashes);
  }

  // Guards against more starts than allowed while it is not known yet that the workers crashed.
  void Silence_OfThreeWorkers_AllowsTwoMoreStarts() {
    Submit({Step(1)});
    Crash(1, {Task(0, 0)});
    for (std::uint64_t i = 1; i <= 4; ++i) {
      CPPUNIT_ASSERT(!book_.FindTask(Task(0, 0))->IsHeldBack());
      Start(Task(0, 0), i);
      Silence(static_cast<std::int64_t>(i + 1), Task(0, 0));
      End(Task(0, 0), i, RunEnd::kLost);
    }
    CPPUNIT_ASSERT(book_.FindTask(Task(0, 0))->IsHeldBack());
    CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
  }

  // Guards against giving up a task because of three crashes that other tasks have caused.
  void Crash_LongAfterStarts_AllowsTwoMoreStarts() {
    Submit({Step(1)});
    for (std::uint64_t i = 1; i <= 5; ++i) {
      CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Start(Task(0, 0), i).starts.size());
      Crash(static_cast<std::int64_t>(i), {Task(0, 0)}, false);
      End(Task(0, 0), i, RunEnd::kLost);
    }
    CPPUNIT_ASSERT(JobPhase::kFailed == book_.Find(kJob)->phase);
  }

  // Guards against more starts than allowed because some runs end in another way than by a crash.
  void Crash_LastStartsEndOtherwise_FailsJob() {
    Submit({Step(1)});
    for (std::int64_t i = 1; i <= 3; ++i) Crash(i, {Task(0, 0)}, false);
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kStopped);
    CPPUNIT_ASSERT(!book_.Find(kJob)->HasEnded());
    Start(Task(0, 0), 2);
    End(Task(0, 0), 2, RunEnd::kStopped);
    CPPUNIT_ASSERT(JobPhase::kFailed == book_.Find(kJob)->phase);
  }

  void Crash_LastStartIsDone_CompletesJob() {
    Submit({Step(1)});
    for (std::int64_t i = 1; i <= 3; ++i) Crash(i, {Task(0, 0)}, false);
    Start(Task(0, 0), 1);
    End(Task(0, 0), 1, RunEnd::kLost);
    Start(Task(0, 0), 2);
    End(Task(0, 0), 2, RunEnd::kDone);
    CPPUNIT_ASSERT(JobPhase::kComplete == book_.Find(kJob)->phase);
  }

  // Guards against crashes that a replica forgets when it restarts.
  void Snapshot_CrashesAndSilences_AreRestored() {
    Submit({Step(1)});
    Crash(1, {Task(0, 0)});
    Crash(2, {Task(0, 0)});
    Silence(3, Task(0, 0));
    CellState other;
    CPPUNIT_ASSERT(other.Restore(book_.TakeSnapshot()).has_value());
    CPPUNIT_ASSERT(other.IsSilent(Incarnation(3)));
    CommandBatch batch;
    batch.crashes.push_back({Incarnation(3), {}});
    other.Apply(batch);
    CPPUNIT_ASSERT(JobPhase::kFailed == other.Find(kJob)->phase);
  }

 private:
  static WorkerIncarnation Incarnation(std::int64_t started_at) {
    return {WorkerId("w"), UnixMillis(started_at)};
  }
  /// Records a crash just after the start of the tasks, or later.
  AppliedChanges Crash(std::int64_t started_at, const std::vector<TaskKey>& tasks,
                       bool starting = true) {
    CommandBatch batch;
    batch.crashes.push_back({Incarnation(started_at), {}});
    for (const TaskKey& it : tasks) {
      batch.crashes[0].tasks.push_back({it, starting ? 1U : 0U});
    }
    return book_.Apply(batch);
  }
  void Silence(std::int64_t started_at, const TaskKey& task) {
    CommandBatch batch;
    batch.silences.push_back({task, Incarnation(started_at), 1});
    book_.Apply(batch);
  }
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
