#include "placement/health.h"

#include <algorithm>

namespace parsleyline::placement {

namespace {
// Limit of failed jobs that are tracked; the oldest is removed first. It bounds the memory when
// every job fails, at about 100 bytes for each job.
constexpr std::size_t kMaxRememberedJobs = 4096;

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}
}  // namespace

void Health::RecordSuccess(WorkerIndex worker) {
  State(worker).failed_jobs.clear();
  LeaveProbation(worker);
}

void Health::RecordFailure(WorkerIndex worker, const RequestId& job, TimePoint now) {
  std::vector<WorkerIndex>& workers = FailedWorkersOf(job);
  const bool job_was_bad = workers.size() >= options_.job_failure_workers;
  if (!job_was_bad && !Contains(workers, worker)) workers.push_back(worker);
  if (workers.size() >= options_.job_failure_workers) {
    if (!job_was_bad) Excuse(job, workers);
    return;
  }
  WorkerHealth& state = State(worker);
  const bool enough = state.failed_jobs.size() >= options_.probation_failures;
  if (!enough && !Contains(state.failed_jobs, job)) state.failed_jobs.push_back(job);
  if (table_->at(worker).on_probation) {
    state.interval = std::min(state.interval * 2, options_.probe_interval_max);
    state.next_probe = now + state.interval;
  } else if (state.failed_jobs.size() >= options_.probation_failures) {
    EnterProbation(worker, now);
  }
}

void Health::Forget(WorkerIndex worker) {
  LeaveProbation(worker);
  State(worker) = WorkerHealth{};
  for (auto& [job, workers] : jobs_) std::erase(workers, worker);
}

bool Health::ProbeIsDue(WorkerIndex worker, TimePoint now) const {
  return workers_[worker].next_probe <= now;
}

void Health::NoteProbe(WorkerIndex worker, TimePoint now) {
  WorkerHealth& state = State(worker);
  state.next_probe = now + state.interval;
}

Health::WorkerHealth& Health::State(WorkerIndex worker) {
  if (workers_.size() <= worker) workers_.resize(worker + 1);
  return workers_[worker];
}

std::vector<WorkerIndex>& Health::FailedWorkersOf(const RequestId& job) {
  const auto [it, added] = jobs_.try_emplace(job);
  if (added) {
    job_order_.push_back(job);
    if (job_order_.size() > kMaxRememberedJobs) {
      jobs_.erase(job_order_.front());
      job_order_.pop_front();
    }
  }
  return it->second;
}

// Removes the failures of a job from the records of the workers, because the job is the cause.
void Health::Excuse(const RequestId& job, const std::vector<WorkerIndex>& workers) {
  for (const WorkerIndex worker : workers) {
    WorkerHealth& state = State(worker);
    std::erase(state.failed_jobs, job);
    if (state.failed_jobs.size() < options_.probation_failures) LeaveProbation(worker);
  }
}

void Health::EnterProbation(WorkerIndex worker, TimePoint now) {
  if (probation_.size() >= ProbationLimit()) return;
  WorkerHealth& state = State(worker);
  state.interval = options_.probe_interval;
  state.next_probe = now + state.interval;
  probation_.push_back(worker);
  table_->SetProbation(worker, true);
}

void Health::LeaveProbation(WorkerIndex worker) {
  if (std::erase(probation_, worker) == 0) return;
  table_->SetProbation(worker, false);
}

// At least one worker may be on probation even if the configured fraction is less than one worker,
// but never the only worker.
std::size_t Health::ProbationLimit() const {
  const std::size_t n = table_->size();
  const std::size_t share = n * options_.probation_limit_permille / 1000;
  return n < 2 ? 0 : std::max<std::size_t>(share, 1);
}

}  // namespace parsleyline::placement
