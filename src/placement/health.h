#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "placement/worker_table.h"

namespace parsleyline::placement {

/// Distinguishes workers on which every job fails from jobs that fail on every worker. Decides
/// which workers are on probation and when they get a task as a probe.
class HealthTracker {
 public:
  HealthTracker(const PlacementOptions& options, WorkerTable* table)
      : options_(options), table_(table) {}

  /// Records that a task ended with success, which ends the worker's probation.
  void RecordSuccess(WorkerIndex worker);

  /// Records that a task failed, which may put the worker on probation.
  void RecordFailure(WorkerIndex worker, const RequestId& job, TimePoint now);

  /// Removes all records of a worker.
  void RemoveWorker(WorkerIndex worker);

  /// Workers on probation, in the order in which they entered.
  const std::vector<WorkerIndex>& OnProbation() const { return probation_; }
  bool IsProbeDue(WorkerIndex worker, TimePoint now) const;
  /// Records that a probe is placed on the worker. The next one is due after the worker's interval.
  void RecordProbe(WorkerIndex worker, TimePoint now);

 private:
  struct WorkerHealth {
    /// Distinct jobs that failed since the last success; at most `probation_failures`.
    std::vector<RequestId> failed_jobs;
    TimePoint next_probe;
    /// Time between two probes.
    Milliseconds probe_interval{0};
  };

  WorkerHealth& HealthOf(WorkerIndex worker);
  std::vector<WorkerIndex>& FailedWorkersOf(const RequestId& job);
  void ClearFailures(const RequestId& job, const std::vector<WorkerIndex>& workers);
  void EnterProbation(WorkerIndex worker, TimePoint now);
  void LeaveProbation(WorkerIndex worker);
  std::size_t ProbationLimit() const;

  const PlacementOptions& options_;
  WorkerTable* table_;
  std::vector<WorkerHealth> health_by_worker_;
  /// Workers on probation, in the order in which they entered.
  std::vector<WorkerIndex> probation_;
  /// Distinct workers on which a job has failed; at most `job_failure_workers`.
  std::unordered_map<RequestId, std::vector<WorkerIndex>> failed_workers_by_job_;
  /// Keys of `jobs_`, oldest first.
  std::deque<RequestId> failed_jobs_in_order_;
};

}  // namespace parsleyline::placement
