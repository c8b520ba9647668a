#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "job/cell_config.h"
#include "job/job_spec.h"
#include "job/worker_report.h"

namespace parsleyline::job {

enum class RunEnd : std::uint8_t {
  kDone = 0,
  /// Failed, through its own fault or the worker's.
  kFailed = 1,
  /// Stopped on request.
  kStopped = 2,
  /// The worker's lease ran out.
  kLeaseExpired = 3,
  /// Another member of the gang ended.
  kGangBroken = 4,
  /// The other members of the gang did not come in time.
  kGangIncomplete = 5,
  /// Proved not to run and not to start any more, without an end reported by the worker.
  kLost = 6,
};
constexpr std::uint8_t MaxValue(RunEnd /*type*/) { return 6; }
const char* Name(RunEnd end);

/// Accepts a job.
struct SubmitRecord {
  JobId job;
  QueueId queue;
  JobSpec spec;
  /// Time of day of the leader that accepted it.
  UnixMillis accepted_at;

  auto Fields() { return std::tie(job, queue, spec, accepted_at); }
};

/// Order to start one task; durable before the order leaves.
struct StartRecord {
  TaskKey task;
  RunNumber run;
  WorkerIncarnation worker;

  auto Fields() { return std::tie(task, run, worker); }
};

/// End of one run.
struct EndRecord {
  TaskKey task;
  RunNumber run;
  RunEnd end = RunEnd::kDone;
  /// Saved progress that the next run resumes from; empty if there is none.
  std::string checkpoint;

  auto Fields() { return std::tie(task, run, end, checkpoint); }
};

struct CancelRecord {
  JobId job;

  auto Fields() { return std::tie(job); }
};

/// Forgets jobs that ended long ago.
struct ForgetRecord {
  std::vector<JobId> jobs;

  auto Fields() { return std::tie(jobs); }
};

/// One command of the replicated log. All parts are applied in the order of the members, so that
/// many small events share one log entry.
struct CommandBatch {
  /// Configuration to take over if its version is the highest; version 0 means none.
  CellConfig config;
  /// Workers that are new, are another lifetime, or drain.
  std::vector<WorkerReport> reports;
  /// Lifetimes of workers that have ended.
  std::vector<WorkerIncarnation> departures;
  std::vector<SubmitRecord> submits;
  std::vector<EndRecord> ends;
  std::vector<CancelRecord> cancels;
  std::vector<StartRecord> starts;
  ForgetRecord forget;
  /// Number by which the proposer recognises its batch.
  std::uint64_t ticket = 0;
  /// Random number of the process that proposed it, together with `ticket` unique.
  std::uint64_t proposer = 0;

  auto Fields() {
    return std::tie(config, reports, departures, submits, ends, cancels, starts, forget, ticket,
                    proposer);
  }
  bool IsEmpty() const {
    return config.version == ConfigVersion() && reports.empty() && departures.empty() &&
           submits.empty() && ends.empty() && cancels.empty() && starts.empty() &&
           forget.jobs.empty();
  }
};

}  // namespace parsleyline::job
