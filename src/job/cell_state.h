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

enum class TaskPhase : std::uint8_t { kWaiting = 0, kStarted = 1, kDone = 2 };
constexpr std::uint8_t MaxValue(TaskPhase /*type*/) { return 2; }

/// What the log knows of one task.
struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the last run; 0 before the first.
  RunNumber run;
  /// Where the last run was started.
  WorkerIncarnation worker;
  /// Runs that ended as failed.
  std::uint32_t failures = 0;
  /// Saved progress for the next run.
  std::string checkpoint;

  auto Fields() { return std::tie(phase, run, worker, failures, checkpoint); }
};

struct StepState {
  std::vector<TaskState> tasks;
  std::uint32_t done = 0;
  std::uint32_t started = 0;
  /// Highest run number of a gang, and its runs that failed.
  RunNumber gang_run;
  std::uint32_t gang_failures = 0;
  /// Run whose failure has been counted already.
  RunNumber failed_run;

  bool IsDone() const { return done == tasks.size(); }
  std::uint32_t Waiting() const {
    return static_cast<std::uint32_t>(tasks.size()) - done - started;
  }
  auto Fields() { return std::tie(tasks, done, started, gang_run, gang_failures, failed_run); }
};

enum class JobPhase : std::uint8_t {
  kQueued = 0,
  kRunning = 1,
  kComplete = 2,
  kFailed = 3,
  kCancelled = 4
};
constexpr std::uint8_t MaxValue(JobPhase /*type*/) { return 4; }
const char* Name(JobPhase phase);

/// A run that was ordered and whose end has not been recorded. It may outlive its job.
struct OpenRun {
  TaskKey task;
  RunNumber run;
  WorkerIncarnation worker;
  Resources demand;
  std::uint32_t flags = 0;

  auto Fields() { return std::tie(task, run, worker, demand, flags); }
};

/// Names one run of one task.
struct RunKey {
  TaskKey task;
  RunNumber run;

  auto operator<=>(const RunKey&) const = default;
};

struct OccurrenceState {
  std::vector<StepState> steps;

  auto Fields() { return std::tie(steps); }
};

/// A job as the log knows it. A job that has ended keeps its phase; its spec is dropped.
struct Job {
  JobId id;
  QueueId queue;
  JobSpec spec;
  UnixMillis accepted_at;
  JobPhase phase = JobPhase::kQueued;
  std::vector<OccurrenceState> occurrences;

  bool HasEnded() const { return phase >= JobPhase::kComplete; }
  /// Tells whether a run has left a trace: a task that is done or failed, or saved progress. A run
  /// that was ordered and lost may never have begun.
  bool HasProgress() const;
  auto Fields() { return std::tie(id, queue, spec, accepted_at, phase, occurrences); }
};

/// What one applied batch changed, for the leader that schedules.
struct AppliedChanges {
  std::vector<JobId> accepted;
  std::vector<JobId> cancelled;
  /// Jobs that reached complete or failed.
  std::vector<JobId> ended;
  /// Ends that were taken note of, including those of runs that no longer matter.
  std::vector<EndRecord> ends;
  std::vector<StartRecord> starts;
  /// Starts that no longer apply, for example because the job has been cancelled before.
  std::vector<StartRecord> void_starts;
  bool config_changed = false;
};

/// The replicated state of jobs and configuration. Deterministic and without I/O: the same batches
/// give the same state on every replica.
class CellState {
 public:
  AppliedChanges Apply(const CommandBatch& batch);

  std::string TakeSnapshot() const;
  Result<void> Restore(std::string_view snapshot);

  const Job* Find(const JobId& id) const;
  const CellConfig& config() const { return config_; }
  const std::unordered_map<JobId, Job>& jobs() const { return jobs_; }
  /// Jobs that have not ended. Far fewer than all that are kept for their callers to ask about.
  const std::unordered_set<JobId>& open_jobs() const { return open_jobs_; }
  /// Workers that have announced themselves and have not left, with the newest state recorded.
  const std::map<WorkerId, WorkerReport>& roster() const { return roster_; }
  const std::map<RunKey, OpenRun>& open_runs() const { return open_runs_; }
  const TaskState* FindTask(const TaskKey& key) const;
  const StepState* FindStep(const StepKey& key) const;
  /// Accepted jobs of a queue, without due times, of which no task has started.
  std::uint64_t PendingCount(const QueueId& queue) const;

 private:
  void ApplyReport(const WorkerReport& report);
  void ApplySubmit(const SubmitRecord& record, AppliedChanges* changes);
  void ApplyEnd(const EndRecord& record, AppliedChanges* changes);
  void ApplyCancel(const CancelRecord& record, AppliedChanges* changes);
  void ApplyStart(const StartRecord& record, AppliedChanges* changes);
  /// Puts a job back in the queue if its only runs were lost before they left a trace.
  void RequeueIfUntouched(Job* job);
  void FinishTask(Job* job, const EndRecord& record, AppliedChanges* changes);
  void FailTask(Job* job, const EndRecord& record, AppliedChanges* changes);
  void EndJob(Job* job, JobPhase phase, AppliedChanges* changes);
  StepState* MutableStep(const StepKey& key);

  std::unordered_map<JobId, Job> jobs_;
  std::unordered_set<JobId> open_jobs_;
  std::unordered_map<QueueId, std::uint64_t> pending_;
  std::map<RunKey, OpenRun> open_runs_;
  std::map<WorkerId, WorkerReport> roster_;
  CellConfig config_;
};

}  // namespace parsleyline::job
