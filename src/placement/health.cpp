#include "placement/health.h"

#include <algorithm>

namespace parsleyline::placement {

namespace {
// Limit of failed jobs that are tracked; the oldest is removed first. It bounds the memory when
// every job fails, at about 100 bytes for each job.
constexpr std::size_t kMaxTrackedJobs = 4096;

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}
}  // namespace

void HealthTracker::RecordSuccess(WorkerIndex worker) {
  HealthOf(worker).failed_jobs.clear();
  LeaveProbation(worker);
}

void HealthTracker::RecordFailure(WorkerIndex worker, const RequestId& job, TimePoint now) {
  std::vector<WorkerIndex>& workers = FailedWorkersOf(job);
  const bool job_was_at_fault = workers.size() >= options_.job_failure_workers;
  if (!job_was_at_fault && !Contains(workers, worker)) workers.push_back(worker);
  if (workers.size() >= options_.job_failure_workers) {
    if (!job_was_at_fault) ClearFailures(job, workers);
    return;
  }
  WorkerHealth& state = HealthOf(worker);
  const bool has_enough_failures = state.failed_jobs.size() >= options_.probation_failures;
  if (!has_enough_failures && !Contains(state.failed_jobs, job)) state.failed_jobs.push_back(job);
  if (table_->at(worker).on_probation) {
    state.probe_interval = std::min(state.probe_interval * 2, options_.probe_interval_max);
    state.next_probe = now + state.probe_interval;
  } else if (state.failed_jobs.size() >= options_.probation_failures) {
    EnterProbation(worker, now);
  }
}

void HealthTracker::RemoveWorker(WorkerIndex worker) {
  LeaveProbation(worker);
  HealthOf(worker) = WorkerHealth{};
  for (auto& [job, workers] : failed_workers_by_job_) std::erase(workers, worker);
}

bool HealthTracker::IsProbeDue(WorkerIndex worker, TimePoint now) const {
  return health_by_worker_[worker].next_probe <= now;
}

void HealthTracker::RecordProbe(WorkerIndex worker, TimePoint now) {
  WorkerHealth& state = HealthOf(worker);
  state.next_probe = now + state.probe_interval;
}

HealthTracker::WorkerHealth& HealthTracker::HealthOf(WorkerIndex worker) {
  if (health_by_worker_.size() <= worker) health_by_worker_.resize(worker + 1);
  return health_by_worker_[worker];
}

std::vector<WorkerIndex>& HealthTracker::FailedWorkersOf(const RequestId& job) {
  const auto [it, added] = failed_workers_by_job_.try_emplace(job);
  if (added) {
    failed_jobs_in_order_.push_back(job);
    if (failed_jobs_in_order_.size() > kMaxTrackedJobs) {
      failed_workers_by_job_.erase(failed_jobs_in_order_.front());
      failed_jobs_in_order_.pop_front();
    }
  }
  return it->second;
}

// Removes the failures of a job from the records of the workers, because the job is the cause.
void HealthTracker::ClearFailures(const RequestId& job, const std::vector<WorkerIndex>& workers) {
  for (const WorkerIndex worker : workers) {
    WorkerHealth& state = HealthOf(worker);
    std::erase(state.failed_jobs, job);
    if (state.failed_jobs.size() < options_.probation_failures) LeaveProbation(worker);
  }
}

void HealthTracker::EnterProbation(WorkerIndex worker, TimePoint now) {
  if (probation_.size() >= ProbationLimit()) return;
  WorkerHealth& state = HealthOf(worker);
  state.probe_interval = options_.probe_interval;
  state.next_probe = now + state.probe_interval;
  probation_.push_back(worker);
  table_->SetProbation(worker, true);
}

void HealthTracker::LeaveProbation(WorkerIndex worker) {
  if (std::erase(probation_, worker) == 0) return;
  table_->SetProbation(worker, false);
}

// At least one worker may be on probation even if the configured fraction is less than one worker,
// but never the only worker.
std::size_t HealthTracker::ProbationLimit() const {
  const std::size_t n = table_->size();
  const std::size_t share = n * options_.probation_limit_permille / 1000;
  return n < 2 ? 0 : std::max<std::size_t>(share, 1);
}

}  // namespace parsleyline::placement
