#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/result_code.h"
#include "job/job_records.h"

namespace parsleyline::job {

/// State of a task. The numbers are stored in snapshots.
enum class TaskPhase : std::uint8_t { kWaiting = 0, kStarted = 1, kDone = 2 };
constexpr std::uint8_t MaxValue(TaskPhase /*type*/) { return 2; }

/// A task is given up, and its job fails, when this many workers have crashed just after they had
/// started it.
constexpr std::uint32_t kMaxStartingCrashes = 3;
/// After this many crashes at any time in its runs, a task starts at most kMaxLastStarts times
/// more.
constexpr std::uint32_t kCrashesToLastStarts = 3;
constexpr std::uint32_t kMaxLastStarts = 2;

/// A worker whose lease expired under a run of a task.
struct SilentWorker {
  WorkerIncarnation worker;
  /// 1 if the run had only just started when the worker fell silent.
  std::uint32_t starting = 0;

  auto Fields() { return std::tie(worker, starting); }
};

/// Replicated state of a task.
struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the last run; 0 before the first one.
  RunNumber run;
  /// Worker of the last run.
  WorkerIncarnation worker;
  /// Number of runs that failed.
  std::uint32_t failures = 0;
  /// Saved progress that the next run resumes from.
  std::string checkpoint;

  /// Number of workers that crashed while a run of the task may have been active on them, and of
  /// those that had only just started it. Most tasks only share a worker with the one that crashes
  /// it.
  std::uint32_t crashes = 0;
  std::uint32_t starting_crashes = 0;
  /// Starts since kCrashesToLastStarts workers have crashed, or may have.
  std::uint32_t last_starts = 0;
  /// Workers whose lease expired under a run of the task and that have not answered since.
  std::vector<SilentWorker> silent_workers;

  /// Tells whether the task may only start kMaxLastStarts times more.
  bool IsInLastStarts() const { return crashes + silent_workers.size() >= kCrashesToLastStarts; }
  /// Tells whether the task has to wait until it is known whether its silent workers have crashed.
  bool IsHeldBack() const { return IsInLastStarts() && last_starts >= kMaxLastStarts; }
  /// Tells whether the task must not start any more, because workers crash under it. A run that is
  /// active may still complete it.
  bool IsGivenUp() const {
    return phase == TaskPhase::kWaiting &&
           (starting_crashes >= kMaxStartingCrashes ||
            (crashes >= kCrashesToLastStarts && last_starts >= kMaxLastStarts));
  }
  auto Fields() {
    return std::tie(phase, run, worker, failures, checkpoint, crashes, starting_crashes,
                    last_starts, silent_workers);
  }
};

/// Replicated state of a step of one occurrence.
struct StepState {
  std::vector<TaskState> tasks;
  /// Number of tasks that are done, and that are started.
  std::uint32_t done = 0;
  std::uint32_t started = 0;
  /// Highest run number of a gang, and the number of its runs that failed.
  RunNumber gang_run;
  std::uint32_t gang_failures = 0;
  /// Last run that `gang_failures` counts. Several tasks of one run may fail.
  RunNumber last_failed_run;

  bool IsDone() const { return done == tasks.size(); }
  std::uint32_t WaitingCount() const {
    return static_cast<std::uint32_t>(tasks.size()) - done - started;
  }
  auto Fields() { return std::tie(tasks, done, started, gang_run, gang_failures, last_failed_run); }
};

/// State of a job. The numbers are stored in snapshots.
enum class JobPhase : std::uint8_t {
  kQueued = 0,
  kRunning = 1,
  kComplete = 2,
  kFailed = 3,
  kCancelled = 4
};
constexpr std::uint8_t MaxValue(JobPhase /*type*/) { return 4; }
const char* Name(JobPhase phase);

/// A run whose start is recorded and whose end is not. It may outlive its job.
struct OpenRun {
  TaskKey task;
  RunNumber run;
  WorkerIncarnation worker;
  Resources demand;
  std::uint32_t flags = 0;

  auto Fields() { return std::tie(task, run, worker, demand, flags); }
};

/// Identifies a run of a task.
struct RunKey {
  TaskKey task;
  RunNumber run;

  auto operator<=>(const RunKey&) const = default;
};

/// Replicated state of one occurrence of a job.
struct OccurrenceState {
  std::vector<StepState> steps;

  auto Fields() { return std::tie(steps); }
};

/// Replicated state of a job. A job that has ended keeps its phase, but not its spec and
/// occurrences.
struct Job {
  JobId id;
  QueueId queue;
  JobSpec spec;
  UnixMillis accepted_at;
  JobPhase phase = JobPhase::kQueued;
  std::vector<OccurrenceState> occurrences;

  bool HasEnded() const { return phase >= JobPhase::kComplete; }
  /// Tells whether a run has certainly begun, because a task is done or failed or has saved
  /// progress. A run that was started and lost may never have begun.
  bool HasProgress() const;
  auto Fields() { return std::tie(id, queue, spec, accepted_at, phase, occurrences); }
};

/// A task that was given up because of the workers that crashed under it.
struct GivenUpTask {
  TaskKey task;
  std::uint32_t crashes = 0;
};

/// Changes by one applied batch, for the leader.
struct AppliedChanges {
  std::vector<JobId> accepted;
  std::vector<JobId> cancelled;
  /// Jobs that became complete or failed.
  std::vector<JobId> ended;
  /// All ends in the batch, including those that changed no task.
  std::vector<EndRecord> ends;
  std::vector<StartRecord> starts;
  /// Starts that were not applied, for example because the job was cancelled before.
  std::vector<StartRecord> stale_starts;
  /// Ends of runs that were taken for lost and have completed their task all the same. Later runs
  /// of the task, or of its gang, are not needed any more.
  std::vector<EndRecord> late_completions;
  /// Tasks that were given up; their jobs are in `ended`.
  std::vector<GivenUpTask> given_up;
  bool config_changed = false;
};

/// The replicated state of a cell: its jobs, runs, registered workers and configuration.
/// Deterministic and without I/O, so that the same batches result in the same state on each
/// replica.
class CellState {
 public:
  /// Applies a committed batch.
  AppliedChanges Apply(const CommandBatch& batch);

  std::string TakeSnapshot() const;
  Result<void> Restore(std::string_view snapshot);

  const Job* Find(const JobId& id) const;
  const CellConfig& config() const { return config_; }
  /// Returns the settings of a queue: those of the configuration in force, or the last ones of a
  /// queue that was removed while jobs of it may be open. Null for an unknown queue.
  const QueueSettings* FindQueue(const QueueId& id) const;
  const std::unordered_map<JobId, Job>& jobs() const { return jobs_; }
  /// Jobs that have not ended. Far fewer than jobs(), which keeps ended jobs for queries of
  /// callers.
  const std::unordered_set<JobId>& open_jobs() const { return open_jobs_; }
  /// Workers that have reported and have not left, with their last recorded report.
  const std::map<WorkerId, WorkerReport>& registered_workers() const { return registered_workers_; }
  const std::map<RunKey, OpenRun>& open_runs() const { return open_runs_; }
  const TaskState* FindTask(const TaskKey& key) const;
  const StepState* FindStep(const StepKey& key) const;
  /// Tells whether the lease of the incarnation expired under a run and the incarnation has neither
  /// answered nor ended since.
  bool IsSilent(const WorkerIncarnation& worker) const { return silent_tasks_.contains(worker); }
  /// Returns the number of accepted jobs of a queue, timed jobs excluded, of which no task has
  /// started.
  std::uint64_t PendingCount(const QueueId& queue) const;

 private:
  void ApplyConfig(const CommandBatch& batch);
  void ApplyReport(const WorkerReport& report);
  void ApplySubmit(const SubmitRecord& record, AppliedChanges* changes);
  void ApplyEnd(const EndRecord& record, AppliedChanges* changes);
  void ApplyCancel(const CancelRecord& record, AppliedChanges* changes);
  void ApplyStart(const StartRecord& record, AppliedChanges* changes);
  void ApplySilence(const SilenceRecord& record);
  void ApplyCrash(const CrashRecord& record, AppliedChanges* changes);
  /// Removes the notes that the lease of an incarnation expired. Returns the tasks that had one.
  std::vector<CrashedTask> RemoveSilences(const WorkerIncarnation& worker);
  /// Adds the silent workers of the tasks of a restored job to the index.
  void IndexSilences(const Job& job);
  void CountCrash(const CrashedTask& crashed, AppliedChanges* changes);
  /// Fails the job if the task must not start any more.
  void GiveUpIfCrashing(const TaskKey& key, AppliedChanges* changes);
  /// Returns a job to JobPhase::kQueued if all its runs were lost and may never have begun.
  void RequeueIfNotBegun(Job* job);
  void CompleteTask(Job* job, const EndRecord& record, AppliedChanges* changes);
  void RecordTaskFailure(Job* job, const EndRecord& record, AppliedChanges* changes);
  void EndJob(Job* job, JobPhase phase, AppliedChanges* changes);
  StepState* MutableStep(const StepKey& key);
  TaskState* MutableTask(const TaskKey& key);

  std::unordered_map<JobId, Job> jobs_;
  std::unordered_set<JobId> open_jobs_;
  std::unordered_map<QueueId, std::uint64_t> pending_;
  std::map<RunKey, OpenRun> open_runs_;
  std::map<WorkerId, WorkerReport> registered_workers_;
  /// Index of TaskState::silent_workers. May also hold tasks of jobs that have ended.
  std::map<WorkerIncarnation, std::vector<TaskKey>> silent_tasks_;
  CellConfig config_;
  /// Queues that the configuration no longer has. Their accepted jobs still run.
  std::map<QueueId, QueueSettings> removed_queues_;
};

}  // namespace parsleyline::job
