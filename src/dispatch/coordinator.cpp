#include "dispatch/coordinator.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "dispatch/scheduling_pass.h"
#include "job/batch_split.h"

namespace parsleyline::dispatch {
namespace {

// Limit of proposed batches that are not committed yet. More of them would wait for the same sync
// to disk.
constexpr std::size_t kMaxBatchesInFlight = 4;
// An advisor client registers every second. It is removed when it has been silent for this long.
constexpr Milliseconds kMaxClientSilence{3500};
// The state of an ended job can be queried for this long. Slightly above the guaranteed 120 s.
constexpr Milliseconds kEndedRetention{130'000};
constexpr Milliseconds kWorkerCheckInterval{100};
// Workers report progress once a second, so that a shorter interval would find nothing new.
constexpr Milliseconds kMigrationCheckInterval{300};
// A process that was suspended for this long may no longer be the leader without knowing it.
constexpr Milliseconds kSuspensionThreshold{700};

}  // namespace

const char* Name(OrderOutcome outcome) {
  constexpr const char* kNames[] = {
      "accepted",           "fenced",    "old_run",        "late",    "no_room",
      "bad_ticket",         "unhealthy", "other_lifetime", "invalid", "not_sent",
      "refused_connection", "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

Coordinator::Coordinator(const job::CellState& cell_state, Outbox& outbox, const Clock& clock,
                         UnixTimeSource unix_time, std::uint64_t proposer, Policy policy)
    : cell_state_(cell_state),
      outbox_(outbox),
      clock_(clock),
      unix_time_(std::move(unix_time)),
      proposer_(proposer),
      policy_(policy) {}

Coordinator::~Coordinator() = default;

void Coordinator::BecomeLeader(Fence fence) {
  StepDown();
  is_leader_ = true;
  fence_ = fence;
  last_fence_ = fence;
  const TimePoint now = clock_.Now();
  last_tick_ = now;
  is_confirming_leadership_ = false;
  for (const auto& [id, report] : cell_state_.registered_workers()) {
    Worker* worker = roster_.ApplyReport(report, now, ReportProof::kNone).worker;
    if (worker == nullptr) continue;
    worker->fence = fence_;
    worker->inherited_lease = LeaseOfEarlierLeaders(report.incarnation);
    worker->lease_clock.AssumeLease(now, worker->inherited_lease);
    worker->lease_expired_under_run = cell_state_.IsSilent(report.incarnation);
  }
  for (const auto& [key, open] : cell_state_.open_runs()) RestoreRun(open);
  for (const auto& [id, job] : cell_state_.jobs()) {
    if (job.HasEnded()) {
      ended_jobs_.emplace_back(now, id);
    } else {
      UpdateWaitingSteps(id);
    }
  }
  Event("lead")
      .With("term", TermOf(fence))
      .With("workers", roster_.workers().size())
      .With("open_runs", cell_state_.open_runs().size())
      .With("waiting_steps", waiting_steps_.size())
      .With("config_version", cell_state_.config().version);
  RunSchedulingPass();
}

void Coordinator::StepDown() {
  if (is_leader_) {
    Event("resign").With("term", TermOf(fence_)).With("batches_unknown", batches_in_flight_.size());
  }
  is_leader_ = false;
  roster_.Clear();
  claims_.clear();
  worker_by_run_.clear();
  suspects_.clear();
  waiting_steps_.clear();
  ended_jobs_.clear();
  timed_jobs_.clear();
  pending_starts_.clear();
  pending_stops_.clear();
  for (auto& [id, client] : advisor_clients_) client.call.reset();
  next_batch_ = {};
  std::vector<CommitCallback> callbacks = std::move(next_batch_callbacks_);
  next_batch_callbacks_.clear();
  for (auto& [number, waiters] : batches_in_flight_) {
    std::move(waiters.begin(), waiters.end(), std::back_inserter(callbacks));
  }
  batches_in_flight_.clear();
  pending_submits_.clear();
  for (const CommitCallback& it : callbacks) it(ResultCode::kOutcomeUnknown);
}

void Coordinator::CallWhenDurable(CommitCallback done) {
  next_batch_callbacks_.push_back(std::move(done));
  outbox_.RequestSchedulingPass();
}

void Coordinator::ProposeBatch() {
  if (!is_leader_ || batches_in_flight_.size() >= kMaxBatchesInFlight) return;
  if (next_batch_.IsEmpty() && next_batch_callbacks_.empty()) return;
  next_batch_.batch_number = next_batch_number_++;
  next_batch_.proposer = proposer_;
  job::CommandBatch batch = std::exchange(next_batch_, {});
  const std::uint64_t number = batch.batch_number;
  batches_in_flight_[number] = std::exchange(next_batch_callbacks_, {});
  const ProposalResult proposal = ProposeInParts(number, &batch);
  if (proposal == ProposalResult::kBusy) {
    // The next pass proposes the same records again.
    next_batch_callbacks_ = std::move(batches_in_flight_.extract(number).mapped());
    job::Append(&batch, std::exchange(next_batch_, {}));
    next_batch_ = std::move(batch);
  } else if (proposal == ProposalResult::kNotLeader) {
    StepDown();
  } else if (proposal == ProposalResult::kTooLarge) {
    Event("record_too_large", Severity::kError).With("term", TermOf(fence_));
    const auto callbacks = std::move(batches_in_flight_.extract(number).mapped());
    for (const CommitCallback& it : callbacks) it(ResultCode::kOutcomeUnknown);
  } else if (!next_batch_.IsEmpty()) {
    next_batch_callbacks_ = std::exchange(batches_in_flight_[number], {});
    outbox_.RequestSchedulingPass();
  }
}

ProposalResult Coordinator::ProposeInParts(std::uint64_t number, job::CommandBatch* batch) {
  ProposalResult proposal = outbox_.Propose(*batch);
  while (proposal == ProposalResult::kTooLarge) {
    job::CommandBatch rest = job::SplitOff(batch);
    if (rest.IsEmpty()) break;
    Event("batch_split").With("number", number);
    job::Append(&rest, std::exchange(next_batch_, {}));
    next_batch_ = std::move(rest);
    proposal = outbox_.Propose(*batch);
  }
  return proposal;
}

void Coordinator::OnApplied(const job::CommandBatch& batch, const job::AppliedChanges& changes) {
  for (const job::WorkerIncarnation& it : batch.ended_incarnations) registered_at_.erase(it);
  for (const job::WorkerReport& it : batch.reports) {
    registered_at_.try_emplace(it.incarnation, clock_.Now());
  }
  if (!is_leader_) return;
  const bool is_own_batch =
      batch.proposer == proposer_ && batches_in_flight_.contains(batch.batch_number);
  std::set<job::JobId> changed_jobs(changes.accepted.begin(), changes.accepted.end());
  for (const job::EndRecord& it : changes.ends) {
    Worker* worker = nullptr;
    const Run* run = FindRun({it.task, it.run}, &worker);
    // A run that was recorded as lost and is listed all the same stays charged until it has ended.
    if (run == nullptr || run->phase == RunPhase::kRecordingEnd) RemoveRun({it.task, it.run});
    changed_jobs.insert(it.task.step.job);
  }
  for (const job::StartRecord& it : changes.starts) changed_jobs.insert(it.task.step.job);
  for (const job::StartRecord& it : changes.stale_starts) {
    changed_jobs.insert(it.task.step.job);
    RemoveRun({it.task, it.run});
  }
  for (const job::EndRecord& it : changes.late_completions) RequestStopOfLaterRuns(it);
  for (const job::GivenUpTask& it : changes.given_up) {
    ++counts_.given_up;
    Event("task_given_up", Severity::kWarning)
        .With("task", it.task)
        .With("reason", "crashes_workers")
        .With("crashes", it.crashes);
  }
  for (const auto* list : {&changes.ended, &changes.cancelled}) {
    for (const job::JobId& it : *list) {
      Event("job_ended").With("job", it).With("phase", job::Name(cell_state_.Find(it)->phase));
      ended_jobs_.emplace_back(clock_.Now(), it);
      // The tasks of a complete gang end on their own.
      const bool complete = cell_state_.Find(it)->phase == job::JobPhase::kComplete;
      RequestJobStop(it, complete ? static_cast<std::uint32_t>(job::StepFlag::kGang) : 0);
      changed_jobs.insert(it);
    }
  }
  if (changes.config_changed) {
    Event("config_in_force")
        .With("version", cell_state_.config().version)
        .With("queues", cell_state_.config().queues.size());
  }
  if (is_own_batch) {
    for (const job::StartRecord& it : changes.starts) SendStart(it);
  }
  for (const job::JobId& it : changed_jobs) UpdateWaitingSteps(it);
  if (is_own_batch) {
    const std::vector<CommitCallback> waiters =
        std::move(batches_in_flight_.extract(batch.batch_number).mapped());
    for (const CommitCallback& it : waiters) it(ResultCode::kOk);
  }
  outbox_.RequestSchedulingPass();
}

void Coordinator::RegisterAdvisorClient(const NodeId& client) {
  advisor_clients_[client].last_seen = clock_.Now();
}

void Coordinator::Submit(const job::JobId& id, const job::QueueSettings& queue,
                         const job::JobSpec& spec, SubmitCallback done) {
  if (cell_state_.Find(id) != nullptr) return done({});
  if (const auto it = pending_submits_.find(id); it != pending_submits_.end()) {
    it->second.push_back(std::move(done));
    return;
  }
  const DurationModel& durations = duration_models_[queue.id];
  const Duration critical_path = CriticalPath(spec, queue, durations);
  const Duration objective = LatencyObjective(spec, queue, durations);
  if (!spec.IsTimed() && policy_.admission_rule == AdmissionRule::kExpectedWait) {
    const AdmissionDecision decision =
        DecideAdmission(backlog_, queue.priority, critical_path, objective);
    if (!decision.accepted) {
      ++counts_.rejected;
      Event("job_rejected")
          .With("job", id)
          .With("queue", queue.id)
          .With("wait_ms", decision.expected_wait / Milliseconds(1))
          .With("objective_ms", objective / Milliseconds(1))
          .With("chain_ms", critical_path / Milliseconds(1))
          .With("retry_after_ms", decision.retry_after.count());
      return done({ResultCode::kWaitTooLong, decision.retry_after});
    }
    backlog_.AddWaiting(ExpectedOutcome::kInTime, queue.priority, ExpectedCpuWork(spec, durations));
  }
  ++counts_.accepted;
  Event("job_accepted")
      .With("job", id)
      .With("queue", queue.id)
      .With("config_version", cell_state_.config().version)
      .With("steps", spec.steps.size())
      .With("objective_ms", objective / Milliseconds(1));
  pending_submits_[id].push_back(std::move(done));
  next_batch_.submits.push_back({id, queue.id, spec, unix_time_()});
  CallWhenDurable([this, id](ResultCode code) {
    auto pending = pending_submits_.extract(id);
    if (pending.empty()) return;
    for (const SubmitCallback& it : pending.mapped()) it({code, Milliseconds(0)});
  });
}

void Coordinator::Cancel(const job::JobId& id, CommitCallback done) {
  const job::Job* job = cell_state_.Find(id);
  if (job == nullptr && !pending_submits_.contains(id)) {
    return CallWhenDurable([done = std::move(done)](ResultCode code) {
      done(code == ResultCode::kOk ? ResultCode::kNotFound : code);
    });
  }
  if (job != nullptr && job->HasEnded()) return done(ResultCode::kOk);
  Event("job_cancelled").With("job", id);
  next_batch_.cancels.push_back({id});
  CallWhenDurable(std::move(done));
}

void Coordinator::PutConfig(const job::CellConfig& config, CommitCallback done) {
  if (config.version <= cell_state_.config().version) return ConfirmLeadership(std::move(done));
  // A batch carries one configuration, and only the highest version would come into force.
  if (config.version > next_batch_.config.version) next_batch_.config = config;
  CallWhenDurable(std::move(done));
}

void Coordinator::ConfirmLeadership(CommitCallback done) { CallWhenDurable(std::move(done)); }

void Coordinator::RunSchedulingPass() {
  if (!is_leader_) return;
  if (is_confirming_leadership_) return ProposeBatch();
  SendDueStops();
  ScheduleWaitingSteps();
  ProposeBatch();
  SendDueHolds();
}

void Coordinator::Tick() {
  if (!is_leader_) return;
  const TimePoint now = clock_.Now();
  if (now - std::exchange(last_tick_, now) > kSuspensionThreshold && !is_confirming_leadership_) {
    Event("stood_still", Severity::kWarning).With("term", TermOf(fence_));
    is_confirming_leadership_ = true;
    CallWhenDurable([this](ResultCode) { is_confirming_leadership_ = false; });
  }
  if (is_confirming_leadership_) return ProposeBatch();
  if (now >= next_worker_check_) {
    next_worker_check_ = now + kWorkerCheckInterval;
    ExpireLeases();
    RemoveEndedJobs();
    UpdateTimedJobs();
    UpdateBacklog();
    if (now >= next_migration_check_) {
      next_migration_check_ = now + kMigrationCheckInterval;
      MigrateRunsAtRisk();
    }
    std::erase_if(advisor_clients_, [now](const auto& it) {
      return now - it.second.last_seen > kMaxClientSilence && !it.second.call;
    });
    ReportOverdueWork();
  }
  RunSchedulingPass();
}

void Coordinator::RemoveEndedJobs() {
  const TimePoint now = clock_.Now();
  while (!ended_jobs_.empty() && now - ended_jobs_.front().first >= kEndedRetention) {
    next_batch_.purge.jobs.push_back(std::move(ended_jobs_.front().second));
    ended_jobs_.pop_front();
  }
}

std::uint64_t Coordinator::PendingCount(const job::QueueId& queue) const {
  std::uint64_t count = cell_state_.PendingCount(queue);
  for (auto it = worker_by_run_.begin(); it != worker_by_run_.end();) {
    const job::JobId& id = it->first.task.step.job;
    bool confirmed = false;
    auto next = it;
    for (; next != worker_by_run_.end() && next->first.task.step.job == id; ++next) {
      const Worker* worker = roster_.Find(next->second);
      const auto run =
          worker == nullptr ? decltype(worker->runs.end())() : worker->runs.find(next->first);
      if (worker == nullptr || run == worker->runs.end()) continue;
      const RunPhase phase = run->second.phase;
      confirmed = confirmed || phase == RunPhase::kActive || phase == RunPhase::kRecordingEnd;
    }
    const job::Job* job = cell_state_.Find(id);
    const bool counts = job != nullptr && job->queue == queue &&
                        job->phase == job::JobPhase::kRunning && !job->spec.IsTimed();
    if (counts && !confirmed && !job->HasProgress()) ++count;
    it = next;
  }
  return count;
}

Coordinator::Counts Coordinator::counts() const {
  Counts counts = counts_;
  counts.workers = roster_.workers().size();
  counts.waiting_steps = waiting_steps_.size();
  counts.runs = worker_by_run_.size();
  return counts;
}

}  // namespace parsleyline::dispatch
