#include "dispatch/coordinator.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "dispatch/step_work.h"

namespace parsleyline::dispatch {
namespace {

// Limit of proposed batches that are not committed yet. More of them would wait for the same sync
// to disk.
constexpr std::size_t kMaxBatchesInFlight = 4;
// An advisor client registers every second. It is removed when it has been silent for this long.
constexpr Milliseconds kCallerSilence{3500};
// The state of an ended job can be queried for this long. Slightly above the guaranteed 120 s.
constexpr Milliseconds kEndedRetention{130'000};
constexpr Milliseconds kCheckInterval{100};
// Workers report progress once a second, so that a shorter interval would find nothing new.
constexpr Milliseconds kWatchInterval{300};
// A process that was suspended for this long may no longer be the leader without knowing it.
constexpr Milliseconds kStoodStill{700};

}  // namespace

const char* Name(OrderOutcome outcome) {
  constexpr const char* kNames[] = {"accepted", "fenced",     "old_run",   "late",
                                    "no_room",  "bad_ticket", "unhealthy", "other_lifetime",
                                    "invalid",  "not_sent",   "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

Coordinator::Coordinator(const job::CellState& book, Outbox& outbox, const Clock& clock,
                         ReadUnixTime unix_time, std::uint64_t proposer, Policy policy)
    : book_(book),
      outbox_(outbox),
      clock_(clock),
      unix_time_(std::move(unix_time)),
      proposer_(proposer),
      policy_(policy) {}

Coordinator::~Coordinator() = default;

void Coordinator::BecomeLeader(Fence fence) {
  StepDown();
  leads_ = true;
  fence_ = fence;
  const TimePoint now = clock_.Now();
  last_tick_ = now;
  paused_ = false;
  for (const auto& [id, report] : book_.roster()) {
    Worker* worker = fleet_.Note(report, now).worker;
    if (worker != nullptr) worker->clock.AssumeLeaseAt(now);
  }
  for (const auto& [key, open] : book_.open_runs()) Adopt(open);
  for (const auto& [id, job] : book_.jobs()) {
    if (job.HasEnded()) {
      ended_at_.emplace_back(now, id);
    } else {
      RefreshJob(id);
    }
  }
  Event("lead")
      .With("fence", fence)
      .With("workers", fleet_.workers().size())
      .With("open_runs", book_.open_runs().size())
      .With("waiting_steps", waiting_.size())
      .With("config_version", book_.config().version);
  RunSchedulingPass();
}

void Coordinator::StepDown() {
  if (leads_) Event("resign").With("fence", fence_).With("batches_unknown", in_flight_.size());
  leads_ = false;
  fleet_.Clear();
  run_index_.clear();
  waiting_.clear();
  ended_at_.clear();
  timed_jobs_.clear();
  prepared_.clear();
  stops_due_.clear();
  for (auto& [caller, state] : callers_) state.busy_with.reset();
  batch_ = {};
  std::vector<Durable> unknown = std::move(batch_waiters_);
  batch_waiters_.clear();
  for (auto& [ticket, waiters] : in_flight_) {
    std::move(waiters.begin(), waiters.end(), std::back_inserter(unknown));
  }
  in_flight_.clear();
  submitting_.clear();
  for (const Durable& it : unknown) it(ResultCode::kOutcomeUnknown);
}

void Coordinator::WhenDurable(Durable done) {
  batch_waiters_.push_back(std::move(done));
  outbox_.RequestSchedulingPass();
}

void Coordinator::Propose() {
  if (!leads_ || in_flight_.size() >= kMaxBatchesInFlight) return;
  if (batch_.IsEmpty() && batch_waiters_.empty()) return;
  batch_.ticket = next_ticket_++;
  batch_.proposer = proposer_;
  job::CommandBatch batch = std::exchange(batch_, {});
  in_flight_[batch.ticket] = std::exchange(batch_waiters_, {});
  const ProposalResult proposal = outbox_.Propose(batch);
  if (proposal == ProposalResult::kBusy) {
    // The next pass proposes the same records again.
    batch_waiters_ = std::move(in_flight_.extract(batch.ticket).mapped());
    batch_ = std::move(batch);
  } else if (proposal == ProposalResult::kNotLeader) {
    StepDown();
  }
}

void Coordinator::OnApplied(const job::CommandBatch& batch, const job::AppliedChanges& changes) {
  if (!leads_) return;
  const bool own = batch.proposer == proposer_ && in_flight_.contains(batch.ticket);
  std::set<job::JobId> touched(changes.accepted.begin(), changes.accepted.end());
  for (const job::EndRecord& it : changes.ends) {
    ForgetRun({it.task, it.run});
    touched.insert(it.task.step.job);
  }
  for (const job::StartRecord& it : changes.starts) touched.insert(it.task.step.job);
  for (const job::StartRecord& it : changes.void_starts) {
    touched.insert(it.task.step.job);
    ForgetRun({it.task, it.run});
  }
  for (const auto* list : {&changes.ended, &changes.cancelled}) {
    for (const job::JobId& it : *list) {
      Event("job_ended").With("job", it).With("phase", job::Name(book_.Find(it)->phase));
      ended_at_.emplace_back(clock_.Now(), it);
      // The tasks of a complete gang end on their own.
      const bool complete = book_.Find(it)->phase == job::JobPhase::kComplete;
      MarkJobUnwanted(it, complete ? static_cast<std::uint32_t>(job::StepFlag::kGang) : 0);
      touched.insert(it);
    }
  }
  if (changes.config_changed) {
    Event("config_in_force")
        .With("version", book_.config().version)
        .With("queues", book_.config().queues.size());
  }
  if (own) {
    for (const job::StartRecord& it : changes.starts) SendStart(it);
  }
  for (const job::JobId& it : touched) RefreshJob(it);
  if (own) {
    const std::vector<Durable> waiters = std::move(in_flight_.extract(batch.ticket).mapped());
    for (const Durable& it : waiters) it(ResultCode::kOk);
  }
  outbox_.RequestSchedulingPass();
}

void Coordinator::RegisterAdvisorClient(const NodeId& caller) {
  callers_[caller].last_seen = clock_.Now();
}

void Coordinator::Submit(const job::JobId& id, const job::QueueSettings& queue,
                         const job::JobSpec& spec, SubmitDone done) {
  if (book_.Find(id) != nullptr) return done({});
  if (const auto it = submitting_.find(id); it != submitting_.end()) {
    it->second.push_back(std::move(done));
    return;
  }
  const DurationModel& durations = durations_[queue.id];
  const Duration chain = WholeChain(spec, queue, durations);
  const Duration objective = Objective(spec, queue, durations);
  if (!spec.IsTimed() && policy_.door == DoorRule::kExpectedWait) {
    const Admission admission = Admit(backlog_, queue.priority, chain, objective);
    if (!admission.accepted) {
      ++counts_.rejected;
      Event("job_rejected")
          .With("job", id)
          .With("queue", queue.id)
          .With("wait_ms", admission.expected_wait / Milliseconds(1))
          .With("objective_ms", objective / Milliseconds(1))
          .With("chain_ms", chain / Milliseconds(1))
          .With("retry_after_ms", admission.retry_after.count());
      return done({ResultCode::kWaitTooLong, admission.retry_after});
    }
    backlog_.Add(Prospect::kInTime, queue.priority, WorkOf(spec, durations));
  }
  ++counts_.accepted;
  Event("job_accepted")
      .With("job", id)
      .With("queue", queue.id)
      .With("config_version", book_.config().version)
      .With("steps", spec.steps.size())
      .With("objective_ms", objective / Milliseconds(1));
  submitting_[id].push_back(std::move(done));
  batch_.submits.push_back({id, queue.id, spec, unix_time_()});
  WhenDurable([this, id](ResultCode code) {
    auto node = submitting_.extract(id);
    if (node.empty()) return;
    for (const SubmitDone& it : node.mapped()) it({code, Milliseconds(0)});
  });
}

void Coordinator::Cancel(const job::JobId& id, Durable done) {
  const job::Job* job = book_.Find(id);
  if (job == nullptr && !submitting_.contains(id)) {
    return WhenDurable([done = std::move(done)](ResultCode code) {
      done(code == ResultCode::kOk ? ResultCode::kNotFound : code);
    });
  }
  if (job != nullptr && job->HasEnded()) return done(ResultCode::kOk);
  Event("job_cancelled").With("job", id);
  batch_.cancels.push_back({id});
  WhenDurable(std::move(done));
}

void Coordinator::PutConfig(const job::CellConfig& config, Durable done) {
  if (config.version <= book_.config().version) return ConfirmLeadership(std::move(done));
  // A batch carries one configuration, and only the highest version would come into force.
  if (config.version > batch_.config.version) batch_.config = config;
  WhenDurable(std::move(done));
}

void Coordinator::ConfirmLeadership(Durable done) { WhenDurable(std::move(done)); }

void Coordinator::RunSchedulingPass() {
  if (!leads_) return;
  if (paused_) return Propose();
  SendDueStops();
  Schedule();
  Propose();
  SendDueHolds();
}

void Coordinator::Tick() {
  if (!leads_) return;
  const TimePoint now = clock_.Now();
  if (now - std::exchange(last_tick_, now) > kStoodStill && !paused_) {
    Event("stood_still", Severity::kWarning).With("fence", fence_);
    paused_ = true;
    WhenDurable([this](ResultCode) { paused_ = false; });
  }
  if (paused_) return Propose();
  if (now >= next_check_) {
    next_check_ = now + kCheckInterval;
    CheckWorkers();
    ForgetOldJobs();
    RefreshTimedJobs();
    UpdateBacklog();
    if (now >= next_watch_) {
      next_watch_ = now + kWatchInterval;
      WatchRuns();
    }
    std::erase_if(callers_, [now](const auto& it) {
      return now - it.second.last_seen > kCallerSilence && !it.second.busy_with;
    });
  }
  RunSchedulingPass();
}

void Coordinator::ForgetOldJobs() {
  const TimePoint now = clock_.Now();
  while (!ended_at_.empty() && now - ended_at_.front().first >= kEndedRetention) {
    batch_.forget.jobs.push_back(std::move(ended_at_.front().second));
    ended_at_.pop_front();
  }
}

std::uint64_t Coordinator::PendingCount(const job::QueueId& queue) const {
  std::uint64_t count = book_.PendingCount(queue);
  for (auto it = run_index_.begin(); it != run_index_.end();) {
    const job::JobId& id = it->first.task.step.job;
    bool confirmed = false;
    auto next = it;
    for (; next != run_index_.end() && next->first.task.step.job == id; ++next) {
      const Worker* worker = fleet_.Find(next->second);
      const auto run =
          worker == nullptr ? decltype(worker->runs.end())() : worker->runs.find(next->first);
      if (worker == nullptr || run == worker->runs.end()) continue;
      const RunPhase phase = run->second.phase;
      confirmed = confirmed || phase == RunPhase::kActive || phase == RunPhase::kEnding;
    }
    const job::Job* job = book_.Find(id);
    const bool counts = job != nullptr && job->queue == queue &&
                        job->phase == job::JobPhase::kRunning && !job->spec.IsTimed();
    if (counts && !confirmed && !job->HasProgress()) ++count;
    it = next;
  }
  return count;
}

Coordinator::Counts Coordinator::counts() const {
  Counts counts = counts_;
  counts.workers = fleet_.workers().size();
  counts.waiting_steps = waiting_.size();
  counts.runs = run_index_.size();
  return counts;
}

}  // namespace parsleyline::dispatch
