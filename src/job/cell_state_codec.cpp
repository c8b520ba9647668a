#include "job/cell_state.h"
#include "wire/codec_impl.h"

namespace parsleyline::job {

/// Snapshot of a CellState.
struct CellStateSnapshot {
  CellConfig config;
  std::vector<Job> jobs;
  std::vector<OpenRun> open_runs;
  std::vector<WorkerReport> registered_workers;
  std::vector<QueueSettings> removed_queues;

  auto Fields() { return std::tie(config, jobs, open_runs, registered_workers, removed_queues); }
};

}  // namespace parsleyline::job

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::job::CellStateSnapshot);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::job::CommandBatch);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::job::JobSpec);

namespace parsleyline::job {

std::string CellState::TakeSnapshot() const {
  CellStateSnapshot snapshot{config_, {}, {}, {}, {}};
  snapshot.jobs.reserve(jobs_.size());
  for (const auto& [id, job] : jobs_) snapshot.jobs.push_back(job);
  for (const auto& [key, run] : open_runs_) snapshot.open_runs.push_back(run);
  for (const auto& [id, report] : registered_workers_) {
    snapshot.registered_workers.push_back(report);
  }
  for (const auto& [id, queue] : removed_queues_) snapshot.removed_queues.push_back(queue);
  return wire::Encode(snapshot);
}

Result<void> CellState::Restore(std::string_view snapshot) {
  auto decoded = wire::Decode<CellStateSnapshot>(snapshot);
  if (!decoded) return tl::make_unexpected(decoded.error());
  config_ = std::move(decoded->config);
  config_.BuildIndex();
  jobs_.clear();
  open_jobs_.clear();
  pending_.clear();
  open_runs_.clear();
  registered_workers_.clear();
  removed_queues_.clear();
  for (QueueSettings& it : decoded->removed_queues) removed_queues_[it.id] = std::move(it);
  silent_tasks_.clear();
  for (const WorkerReport& it : decoded->registered_workers) {
    registered_workers_[it.incarnation.worker] = it;
  }
  for (const OpenRun& it : decoded->open_runs) open_runs_[{it.task, it.run}] = it;
  for (Job& job : decoded->jobs) {
    if (job.phase == JobPhase::kQueued && !job.spec.IsTimed()) ++pending_[job.queue];
    if (!job.HasEnded()) open_jobs_.insert(job.id);
    const JobId id = job.id;
    IndexSilences(job);
    jobs_.emplace(id, std::move(job));
  }
  return {};
}

}  // namespace parsleyline::job
