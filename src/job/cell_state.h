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

  auto Fields() { return std::tie(phase, run, worker, failures, checkpoint); }
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
  /// Returns a job to JobPhase::kQueued if all its runs were lost and may never have begun.
  void RequeueIfNotBegun(Job* job);
  void CompleteTask(Job* job, const EndRecord& record, AppliedChanges* changes);
  void RecordTaskFailure(Job* job, const EndRecord& record, AppliedChanges* changes);
  void EndJob(Job* job, JobPhase phase, AppliedChanges* changes);
  StepState* MutableStep(const StepKey& key);

  std::unordered_map<JobId, Job> jobs_;
  std::unordered_set<JobId> open_jobs_;
  std::unordered_map<QueueId, std::uint64_t> pending_;
  std::map<RunKey, OpenRun> open_runs_;
  std::map<WorkerId, WorkerReport> registered_workers_;
  CellConfig config_;
  /// Queues that the configuration no longer has. Their accepted jobs still run.
  std::map<QueueId, QueueSettings> removed_queues_;
};

}  // namespace parsleyline::job
