#include "job/cell_state.h"

#include <algorithm>
#include <set>
#include <utility>

#include "wire/codec.h"

namespace parsleyline::job {

const char* Name(JobPhase phase) {
  constexpr const char* kNames[] = {"queued", "running", "complete", "failed", "cancelled"};
  return kNames[static_cast<std::size_t>(phase)];
}

const char* Name(RunEnd end) {
  constexpr const char* kNames[] = {"done",   "failed", "stopped", "lapsed",
                                    "broken", "alone",  "lost"};
  return kNames[static_cast<std::size_t>(end)];
}

std::ostream& operator<<(std::ostream& out, const StepKey& key) {
  return out << key.job << '.' << key.occurrence << '.' << key.step;
}

std::ostream& operator<<(std::ostream& out, const TaskKey& key) {
  return out << key.step << '.' << key.index;
}

bool Job::HasProgress() const {
  const auto has_trace = [](const TaskState& it) {
    return it.phase == TaskPhase::kDone || it.failures > 0 || !it.checkpoint.empty();
  };
  return std::any_of(occurrences.begin(), occurrences.end(), [&](const OccurrenceState& it) {
    return std::any_of(it.steps.begin(), it.steps.end(), [&](const StepState& step) {
      return std::any_of(step.tasks.begin(), step.tasks.end(), has_trace);
    });
  });
}

AppliedChanges CellState::Apply(const CommandBatch& batch) {
  AppliedChanges changes;
  if (batch.config.version > config_.version) {
    ApplyConfig(batch);
    changes.config_changed = true;
  }
  for (const SilenceRecord& it : batch.silences) ApplySilence(it);
  for (const WorkerIncarnation& it : batch.returned_incarnations) RemoveSilences(it);
  for (const CrashRecord& it : batch.crashes) ApplyCrash(it, &changes);
  for (const WorkerIncarnation& it : batch.ended_incarnations) {
    RemoveSilences(it);
    const auto found = registered_workers_.find(it.worker);
    if (found != registered_workers_.end() && found->second.incarnation == it) {
      registered_workers_.erase(found);
    }
  }
  // A worker that was removed may have reported again, also as the same incarnation.
  for (const WorkerReport& it : batch.reports) ApplyReport(it);
  for (const SubmitRecord& it : batch.submits) ApplySubmit(it, &changes);
  for (const EndRecord& it : batch.ends) ApplyEnd(it, &changes);
  for (const CancelRecord& it : batch.cancels) ApplyCancel(it, &changes);
  for (const StartRecord& it : batch.starts) ApplyStart(it, &changes);
  for (const JobId& it : batch.purge.jobs) {
    const auto found = jobs_.find(it);
    if (found != jobs_.end() && found->second.HasEnded()) jobs_.erase(found);
  }
  return changes;
}

// Keeps the settings of removed queues that have open jobs. Those of the last configuration are
// kept in any case, because a job that was admitted under it may be applied later.
void CellState::ApplyConfig(const CommandBatch& batch) {
  const CellConfig previous = std::exchange(config_, batch.config);
  config_.BuildIndex();
  std::set<QueueId> used;
  for (const JobId& it : open_jobs_) used.insert(jobs_.at(it).queue);
  for (const SubmitRecord& it : batch.submits) used.insert(it.queue);
  std::erase_if(removed_queues_, [&used](const auto& it) { return !used.contains(it.first); });
  for (const QueueSettings& it : previous.queues) removed_queues_.insert_or_assign(it.id, it);
  for (const QueueSettings& it : config_.queues) removed_queues_.erase(it.id);
}

const QueueSettings* CellState::FindQueue(const QueueId& id) const {
  if (const QueueSettings* queue = config_.Find(id); queue != nullptr) return queue;
  const auto it = removed_queues_.find(id);
  return it == removed_queues_.end() ? nullptr : &it->second;
}

void CellState::ApplyReport(const WorkerReport& report) {
  WorkerReport& known = registered_workers_[report.incarnation.worker];
  if (report.incarnation.started_at < known.incarnation.started_at) return;
  if (report.incarnation == known.incarnation && report.sequence < known.sequence) return;
  // A draining worker never becomes ready again.
  const bool drains =
      report.incarnation == known.incarnation && known.state == WorkerState::kDraining;
  known = report;
  if (drains) known.state = WorkerState::kDraining;
}

void CellState::ApplySilence(const SilenceRecord& record) {
  TaskState* task = MutableTask(record.task);
  if (task == nullptr || task->phase == TaskPhase::kDone) return;
  auto& silent = task->silent_workers;
  const auto is_same = [&record](const SilentWorker& it) { return it.worker == record.worker; };
  if (std::any_of(silent.begin(), silent.end(), is_same)) return;
  silent.push_back({record.worker, record.starting});
  silent_tasks_[record.worker].push_back(record.task);
}

std::vector<CrashedTask> CellState::RemoveSilences(const WorkerIncarnation& worker) {
  std::vector<CrashedTask> removed;
  const auto entry = silent_tasks_.extract(worker);
  if (entry.empty()) return removed;
  for (const TaskKey& key : entry.mapped()) {
    TaskState* task = MutableTask(key);
    if (task == nullptr) continue;
    auto& silent = task->silent_workers;
    const auto it = std::find_if(silent.begin(), silent.end(),
                                 [&worker](const SilentWorker& s) { return s.worker == worker; });
    if (it == silent.end()) continue;
    removed.push_back({key, it->starting});
    silent.erase(it);
  }
  return removed;
}

void CellState::IndexSilences(const Job& job) {
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    const auto& steps = job.occurrences[k].steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      for (std::uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
        for (const SilentWorker& it : steps[s].tasks[i].silent_workers) {
          silent_tasks_[it.worker].push_back({{job.id, k, s}, i});
        }
      }
    }
  }
}

void CellState::ApplyCrash(const CrashRecord& record, AppliedChanges* changes) {
  std::map<TaskKey, CrashedTask> tasks;
  for (const CrashedTask& it : RemoveSilences(record.worker)) tasks[it.task] = it;
  for (const CrashedTask& it : record.tasks) tasks[it.task] = it;
  for (const auto& [key, it] : tasks) CountCrash(it, changes);
}

void CellState::CountCrash(const CrashedTask& crashed, AppliedChanges* changes) {
  TaskState* task = MutableTask(crashed.task);
  if (task == nullptr || task->phase == TaskPhase::kDone) return;
  ++task->crashes;
  if (crashed.starting != 0) ++task->starting_crashes;
  GiveUpIfCrashing(crashed.task, changes);
}

void CellState::GiveUpIfCrashing(const TaskKey& key, AppliedChanges* changes) {
  const TaskState* task = FindTask(key);
  if (task == nullptr || !task->IsGivenUp()) return;
  changes->given_up.push_back({key, task->crashes});
  EndJob(&jobs_.at(key.step.job), JobPhase::kFailed, changes);
}

void CellState::ApplySubmit(const SubmitRecord& record, AppliedChanges* changes) {
  if (jobs_.contains(record.job)) return;
  Job& job = jobs_[record.job];
  job.id = record.job;
  job.queue = record.queue;
  job.spec = record.spec;
  job.accepted_at = record.accepted_at;
  job.occurrences.resize(record.spec.OccurrenceCount());
  for (OccurrenceState& occurrence : job.occurrences) {
    occurrence.steps.resize(record.spec.steps.size());
    for (std::size_t i = 0; i < record.spec.steps.size(); ++i) {
      occurrence.steps[i].tasks.resize(record.spec.steps[i].tasks);
    }
  }
  if (!record.spec.IsTimed()) ++pending_[record.queue];
  open_jobs_.insert(record.job);
  changes->accepted.push_back(record.job);
}

void CellState::ApplyStart(const StartRecord& record, AppliedChanges* changes) {
  const auto it = jobs_.find(record.task.step.job);
  StepState* step = MutableStep(record.task.step);
  const bool valid = it != jobs_.end() && !it->second.HasEnded() && step != nullptr &&
                     record.task.index < step->tasks.size() &&
                     step->tasks[record.task.index].phase == TaskPhase::kWaiting &&
                     record.run > step->tasks[record.task.index].run;
  if (!valid) {
    changes->stale_starts.push_back(record);
    return;
  }
  Job& job = it->second;
  TaskState& task = step->tasks[record.task.index];
  task.phase = TaskPhase::kStarted;
  task.run = record.run;
  task.worker = record.worker;
  if (task.IsInLastStarts()) ++task.last_starts;
  ++step->started;
  step->gang_run = std::max(step->gang_run, record.run);
  if (job.phase == JobPhase::kQueued) {
    job.phase = JobPhase::kRunning;
    if (!job.spec.IsTimed()) --pending_[job.queue];
  }
  const StepSpec& spec = job.spec.steps[record.task.step.step];
  open_runs_[{record.task, record.run}] = {record.task, record.run, record.worker, spec.demand,
                                           spec.flags};
  changes->starts.push_back(record);
}

void CellState::ApplyEnd(const EndRecord& record, AppliedChanges* changes) {
  changes->ends.push_back(record);
  open_runs_.erase({record.task, record.run});
  const auto it = jobs_.find(record.task.step.job);
  StepState* step = MutableStep(record.task.step);
  if (it == jobs_.end() || it->second.HasEnded() || step == nullptr) return;
  if (record.task.index >= step->tasks.size()) return;
  TaskState& task = step->tasks[record.task.index];
  const StepSpec& spec = it->second.spec.steps[record.task.step.step];
  const bool is_current = task.phase == TaskPhase::kStarted && task.run == record.run;
  // An order that was carried out late can complete a run that was taken for lost.
  const bool is_late_completion = !is_current && record.end == RunEnd::kDone &&
                                  record.run <= task.run && task.phase != TaskPhase::kDone &&
                                  !spec.Has(StepFlag::kLongRunning);
  if (!is_current && !is_late_completion) return;
  if (is_late_completion) changes->late_completions.push_back(record);
  if (task.phase == TaskPhase::kStarted) --step->started;
  task.phase = TaskPhase::kWaiting;
  if (!record.checkpoint.empty()) task.checkpoint = record.checkpoint;
  if (!spec.Has(StepFlag::kLongRunning)) {
    if (record.end == RunEnd::kDone) CompleteTask(&it->second, record, changes);
    if (record.end == RunEnd::kFailed) RecordTaskFailure(&it->second, record, changes);
    if (record.end == RunEnd::kLost) RequeueIfNotBegun(&it->second);
  }
  GiveUpIfCrashing(record.task, changes);
}

void CellState::RequeueIfNotBegun(Job* job) {
  const bool any_started =
      std::any_of(job->occurrences.begin(), job->occurrences.end(), [](const auto& it) {
        return std::any_of(it.steps.begin(), it.steps.end(),
                           [](const StepState& step) { return step.started > 0; });
      });
  if (job->phase != JobPhase::kRunning || any_started || job->HasProgress()) return;
  job->phase = JobPhase::kQueued;
  if (!job->spec.IsTimed()) ++pending_[job->queue];
}

void CellState::CompleteTask(Job* job, const EndRecord& record, AppliedChanges* changes) {
  OccurrenceState& occurrence = job->occurrences[record.task.step.occurrence];
  StepState& step = occurrence.steps[record.task.step.step];
  if (job->spec.steps[record.task.step.step].Has(StepFlag::kGang)) {
    // A gang is done when one of its tasks is reported as done.
    for (TaskState& task : step.tasks) task.phase = TaskPhase::kDone;
    step.done = static_cast<std::uint32_t>(step.tasks.size());
    step.started = 0;
  } else {
    step.tasks[record.task.index].phase = TaskPhase::kDone;
    ++step.done;
  }
  for (TaskState& task : step.tasks) {
    if (task.phase == TaskPhase::kDone) task.checkpoint.clear();
  }
  const auto is_done = [](const OccurrenceState& it) {
    return std::all_of(it.steps.begin(), it.steps.end(),
                       [](const StepState& s) { return s.IsDone(); });
  };
  if (std::all_of(job->occurrences.begin(), job->occurrences.end(), is_done)) {
    EndJob(job, JobPhase::kComplete, changes);
  }
}

void CellState::RecordTaskFailure(Job* job, const EndRecord& record, AppliedChanges* changes) {
  const QueueSettings* queue = FindQueue(job->queue);
  const std::uint32_t attempts = queue == nullptr ? 1 : queue->max_attempts;
  StepState& step = job->occurrences[record.task.step.occurrence].steps[record.task.step.step];
  std::uint32_t failures = ++step.tasks[record.task.index].failures;
  if (job->spec.steps[record.task.step.step].Has(StepFlag::kGang)) {
    // Several tasks of one run may fail, which counts as one failure of the gang.
    if (step.last_failed_run != record.run) ++step.gang_failures;
    step.last_failed_run = record.run;
    failures = step.gang_failures;
  }
  if (failures >= attempts) EndJob(job, JobPhase::kFailed, changes);
}

void CellState::ApplyCancel(const CancelRecord& record, AppliedChanges* changes) {
  const auto it = jobs_.find(record.job);
  if (it == jobs_.end() || it->second.HasEnded()) return;
  EndJob(&it->second, JobPhase::kCancelled, changes);
}

void CellState::EndJob(Job* job, JobPhase phase, AppliedChanges* changes) {
  if (job->phase == JobPhase::kQueued && !job->spec.IsTimed()) --pending_[job->queue];
  job->phase = phase;
  auto& list = phase == JobPhase::kCancelled ? changes->cancelled : changes->ended;
  list.push_back(job->id);
  open_jobs_.erase(job->id);
  job->spec = JobSpec();
  job->occurrences.clear();
  job->occurrences.shrink_to_fit();
}

const Job* CellState::Find(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

StepState* CellState::MutableStep(const StepKey& key) {
  return const_cast<StepState*>(std::as_const(*this).FindStep(key));
}

TaskState* CellState::MutableTask(const TaskKey& key) {
  return const_cast<TaskState*>(std::as_const(*this).FindTask(key));
}

const StepState* CellState::FindStep(const StepKey& key) const {
  const auto it = jobs_.find(key.job);
  if (it == jobs_.end() || key.occurrence >= it->second.occurrences.size()) return nullptr;
  const auto& steps = it->second.occurrences[key.occurrence].steps;
  return key.step < steps.size() ? &steps[key.step] : nullptr;
}

const TaskState* CellState::FindTask(const TaskKey& key) const {
  const StepState* step = FindStep(key.step);
  return step != nullptr && key.index < step->tasks.size() ? &step->tasks[key.index] : nullptr;
}

std::uint64_t CellState::PendingCount(const QueueId& queue) const {
  const auto it = pending_.find(queue);
  return it == pending_.end() ? 0 : it->second;
}

}  // namespace parsleyline::job
