#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "job/cell_config.h"
#include "job/job_spec.h"
#include "job/worker_report.h"

namespace parsleyline::job {

/// How a run ended. The numbers are stored in the log.
enum class RunEnd : std::uint8_t {
  kDone = 0,
  /// Failed because of the task or the worker.
  kFailed = 1,
  /// Stopped on request.
  kStopped = 2,
  /// Ended by the worker because its lease expired.
  kLeaseExpired = 3,
  /// Ended because another task of the gang ended.
  kGangBroken = 4,
  /// Ended because the other tasks of the gang did not start in time.
  kGangIncomplete = 5,
  /// Proved not to run and never to start any more; the worker reported no end.
  kLost = 6,
};
constexpr std::uint8_t MaxValue(RunEnd /*type*/) { return 6; }
const char* Name(RunEnd end);

/// Accepts a job.
struct SubmitRecord {
  JobId job;
  QueueId queue;
  JobSpec spec;
  /// Wall-clock time of the leader that accepted the job.
  UnixMillis accepted_at;

  auto Fields() { return std::tie(job, queue, spec, accepted_at); }
};

/// Starts one run. Durable before the start order is sent.
struct StartRecord {
  TaskKey task;
  RunNumber run;
  WorkerIncarnation worker;

  auto Fields() { return std::tie(task, run, worker); }
};

/// Ends one run.
struct EndRecord {
  TaskKey task;
  RunNumber run;
  RunEnd end = RunEnd::kDone;
  /// Saved progress that the next run resumes from; empty if there is none.
  std::string checkpoint;

  auto Fields() { return std::tie(task, run, end, checkpoint); }
};

/// Notes that the lease of a worker expired under a run of a task. The worker may have crashed, or
/// be unreachable.
struct SilenceRecord {
  TaskKey task;
  WorkerIncarnation worker;
  /// 1 if the run had only just started when the worker fell silent.
  std::uint32_t starting = 0;

  auto Fields() { return std::tie(task, worker, starting); }
};

/// A task of which a run may have been active on a worker that crashed.
struct CrashedTask {
  TaskKey task;
  /// 1 if the run had only just started when the worker fell silent.
  std::uint32_t starting = 0;

  auto Fields() { return std::tie(task, starting); }
};

/// Notes that an incarnation of a worker ended without leaving, and under which tasks.
struct CrashRecord {
  WorkerIncarnation worker;
  /// Does not name the tasks whose lease expired before, which are known to the state.
  std::vector<CrashedTask> tasks;

  auto Fields() { return std::tie(worker, tasks); }
};

/// Cancels a job.
struct CancelRecord {
  JobId job;

  auto Fields() { return std::tie(job); }
};

/// Removes jobs that ended long ago.
struct PurgeRecord {
  std::vector<JobId> jobs;

  auto Fields() { return std::tie(jobs); }
};

/// One entry of the replicated log. It combines many small records, which CellState::Apply()
/// applies in a fixed order.
struct CommandBatch {
  /// Configuration that comes into force if its version is the highest; version 0 means none.
  CellConfig config;
  /// Reports of workers that are new, have a new incarnation, are draining, or have another
  /// capacity than before.
  std::vector<WorkerReport> reports;
  /// Incarnations of workers that have ended.
  std::vector<WorkerIncarnation> ended_incarnations;
  std::vector<SubmitRecord> submits;
  std::vector<EndRecord> ends;
  std::vector<CancelRecord> cancels;
  std::vector<StartRecord> starts;
  PurgeRecord purge;
  /// Number by which the proposer identifies its batch.
  std::uint64_t batch_number = 0;
  /// Random number of the proposing process. Unique together with `batch_number`.
  std::uint64_t proposer = 0;
  std::vector<SilenceRecord> silences;
  /// Incarnations that answered again after their lease had expired.
  std::vector<WorkerIncarnation> returned_incarnations;
  std::vector<CrashRecord> crashes;

  auto Fields() {
    return std::tie(config, reports, ended_incarnations, submits, ends, cancels, starts, purge,
                    batch_number, proposer, silences, returned_incarnations, crashes);
  }
  bool IsEmpty() const {
    return config.version == ConfigVersion() && reports.empty() && ended_incarnations.empty() &&
           submits.empty() && ends.empty() && cancels.empty() && starts.empty() &&
           purge.jobs.empty() && silences.empty() && returned_incarnations.empty() &&
           crashes.empty();
  }
};

}  // namespace parsleyline::job
