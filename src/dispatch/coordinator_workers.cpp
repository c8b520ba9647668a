#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "dispatch/coordinator.h"
#include "dispatch/scheduling_pass.h"

// The part of the coordinator that exchanges messages with workers: reports, starts, stops, and the
// holds that extend leases and list runs.
namespace parsleyline::dispatch {
namespace {

// A worker delays its reply to a hold by up to this time until a run ends. Allows several renewals
// within one lease.
constexpr Milliseconds kMaxHoldWait{1000};
// The same while the state of a run on the worker is uncertain, so that its next lists arrive soon.
constexpr Milliseconds kMaxHoldWaitWhileUncertain{50};
constexpr Milliseconds kHoldRetryInterval{250};
// The same for a worker that is said to leave, so that its end is noticed soon.
constexpr Milliseconds kLeavingHoldRetryInterval{50};
// A worker that leaves ends when this is acknowledged, or says it again after this time.
constexpr Milliseconds kLeaveRepeatInterval{1000};
constexpr Milliseconds kStopRetryInterval{300};
// A list with this many finished runs may be truncated, and does not prove that other runs are
// absent.
constexpr std::size_t kMaxListedEnds = 500;
// A worker is quarantined after tasks of this many distinct jobs failed there without a success in
// between.
constexpr std::size_t kFailuresToQuarantine = 3;
constexpr Milliseconds kFirstQuarantine{2000};
constexpr std::uint32_t kMaxQuarantineDoublings = 3;
// Probation ends after this time even without a success, because the worker may get no tasks.
constexpr Milliseconds kProbation{6000};
// A worker without runs is removed when it has been silent for this long.
constexpr Milliseconds kSilentWorkerRetention{30'000};
// Clocks of VMs differ by less than this. A start time later than that would outdate all later
// incarnations of the worker.
constexpr Milliseconds kMaxClockDifference = std::chrono::hours(24);
// A run had only just started if it was younger than this when its worker fell silent.
constexpr Milliseconds kStartingTime{500};
// A long-running task outlives many workers. Only crashes this soon after its start count for it.
constexpr Milliseconds kLongRunningStartTime{10'000};

// Tells whether a run may have been active on a worker that has ended by `now`, and may have
// crashed it.
bool MayHaveCrashed(const Run& run, const Worker& worker, TimePoint now) {
  if (run.phase == RunPhase::kProposed || run.phase == RunPhase::kRecordingEnd) return false;
  // It was not ordered from this incarnation.
  if (run.ordered_at == TimePoint()) return false;
  const bool is_long_running =
      (run.flags & static_cast<std::uint32_t>(job::StepFlag::kLongRunning)) != 0;
  return !is_long_running || worker.RunningUntil(now) - run.ordered_at < kLongRunningStartTime;
}

bool IsGangRun(const Run& run) {
  return (run.flags & static_cast<std::uint32_t>(job::StepFlag::kGang)) != 0;
}

// Returns 1 if a run had only just started when its worker fell silent, otherwise 0.
std::uint32_t HadJustStarted(const Run& run, const Worker& worker, TimePoint now) {
  return worker.RunningUntil(now) - run.ordered_at < kStartingTime ? 1 : 0;
}

// Tells whether a worker that was replaced had left as planned: it said so, or had drained.
bool HasLeft(const Worker& worker, TimePoint now) {
  return worker.leave_received_at || (worker.draining && now >= worker.drain_end);
}

// Tells whether a run may be active on a later incarnation of its silent worker, from which nothing
// has been heard.
bool MayRunOnSuccessor(const Run& run, const Worker& worker, Milliseconds max_lease,
                       TimePoint now) {
  if (!run.may_be_on_successor) return false;
  if (run.phase == RunPhase::kSent) return true;
  return now < LatestLeaseEnd(std::max(worker.silent_since, run.start_settled_at), max_lease);
}

// Returns the runs that a worker lists as active or finished.
std::set<job::RunKey> ListedRuns(const HoldReply& reply) {
  std::set<job::RunKey> listed;
  for (const ActiveRun& it : reply.active) listed.insert(it.run);
  for (const FinishedRun& it : reply.finished) listed.insert(it.run);
  return listed;
}

// Tells whether the sender of `reply`, which is not this incarnation, may have any of its runs.
bool MayHaveRunsOf(const Worker& worker, const HoldReply& reply) {
  if (reply.outcome != OrderOutcome::kAccepted) return false;
  const std::set<job::RunKey> listed = ListedRuns(reply);
  return std::any_of(worker.runs.begin(), worker.runs.end(), [&listed](const auto& it) {
    const bool is_unsettled =
        it.second.phase == RunPhase::kSent || it.second.phase == RunPhase::kUncertain;
    return is_unsettled || listed.contains(it.first);
  });
}

// Tells whether the reply to a hold proves that the incarnation it was sent to has ended. A hold
// without an answer proves nothing.
bool ProvesEnd(const HoldReply& reply, const job::WorkerIncarnation& incarnation) {
  switch (reply.outcome) {
    case OrderOutcome::kAccepted:
      return reply.started_at != incarnation.started_at;
    case OrderOutcome::kOtherIncarnation:
    case OrderOutcome::kConnectionRefused:
      return true;
    default:
      return false;
  }
}

}  // namespace

void Coordinator::RestoreRun(const job::OpenRun& open) {
  Worker* worker = roster_.Find(open.worker.worker);
  const job::RunKey key{open.task, open.run};
  if (worker == nullptr) {
    // The worker has ended, and its runs with it.
    next_batch_.ends.push_back({open.task, open.run, job::RunEnd::kLost, {}});
    return;
  }
  // The run may be of an earlier incarnation and have been moved to this one.
  Run& run = roster_.ChargeRun(worker, key, open.demand, open.flags);
  run.phase = RunPhase::kSent;
  run.ordered_at = clock_.Now();
  worker_by_run_[key] = worker->id();
  const job::TaskState* task = cell_state_.FindTask(open.task);
  if (task != nullptr && task->crashes > 0) suspects_.insert(key);
  const job::Job* job = cell_state_.Find(open.task.step.job);
  if (job == nullptr || job->HasEnded()) RequestStop(&run);
}

// Only orders that were meant for an earlier incarnation of a worker give it more than kLease, and
// it can have taken them only before its registration.
Milliseconds Coordinator::LeaseOfEarlierLeaders(const job::WorkerIncarnation& incarnation) const {
  const auto it = registered_at_.find(incarnation);
  const bool have_others_ended =
      it != registered_at_.end() && clock_.Now() >= LatestLeaseEnd(it->second, policy_.max_lease);
  return have_others_ended ? kLease : std::max(kLease, policy_.max_lease);
}

void Coordinator::OnWorkerReport(const WorkerReport& report, CommitCallback done) {
  if (!is_leader_) return done(ResultCode::kNotLeader);
  if (report.incarnation.started_at.value() > unix_time_().value() + kMaxClockDifference.count()) {
    Event("report_from_future", Severity::kWarning)
        .With("worker", report.incarnation.worker)
        .With("born", report.incarnation.started_at);
    return done(ResultCode::kOutOfRange);
  }
  if (const auto it = claims_.find(report.incarnation); it != claims_.end()) {
    if (report.sequence > it->second.report.sequence) it->second.report = report;
    return done(ResultCode::kOk);
  }
  const Worker* previous = roster_.Find(report.incarnation.worker);
  const bool known = previous != nullptr && previous->report.incarnation == report.incarnation;
  if (!known && !IsPoolConfigured(report.pool)) {
    Event("report_of_unknown_pool", Severity::kWarning)
        .With("worker", report.incarnation.worker)
        .With("pool", report.pool);
    return done(ResultCode::kOk);
  }
  const bool was_draining = known && previous->draining;
  const Resources last_capacity = known ? previous->report.capacity : Resources();
  const WorkerRoster::ReportResult result =
      roster_.ApplyReport(report, clock_.Now(), ReportProof::kNone);
  if (!result.contested.empty()) {
    QueryClaimant(report, result.contested);
    return done(ResultCode::kOk);
  }
  if (result.worker == nullptr) {
    Event("report_outdated", Severity::kWarning).With("worker", report.incarnation.worker);
    return done(ResultCode::kOk);
  }
  if (result.worker->draining && !was_draining) {
    result.worker->drain_end = clock_.Now() + report.drain_remaining;
  }
  // A new leader starts from the recorded capacity until the worker reports to it.
  const bool same_capacity = result.worker->report.capacity == last_capacity;
  if (known && was_draining == result.worker->draining && same_capacity) {
    return done(ResultCode::kOk);
  }
  RecordReport(result);
  CallWhenDurable(std::move(done));
}

bool Coordinator::IsPoolConfigured(const job::PoolId& pool) const {
  const job::CellConfig& config = cell_state_.config();
  if (config.version == job::ConfigVersion()) return true;
  return std::any_of(config.pools.begin(), config.pools.end(),
                     [&pool](const auto& it) { return it.id == pool; });
}

void Coordinator::RecordReport(const WorkerRoster::ReportResult& result) {
  for (const Worker& it : result.ended_incarnations) {
    RecordIncarnationEnd(it, "replaced", !HasLeft(it, clock_.Now()));
  }
  const WorkerReport& report = result.worker->report;
  if (result.worker->fence == Fence()) result.worker->fence = NextFence();
  if (!result.ended_incarnations.empty()) result.worker->inherited_lease = policy_.max_lease;
  Event("worker_noted")
      .With("worker", report.incarnation.worker)
      .With("born", report.incarnation.started_at)
      .With("address", report.address)
      .With("draining", result.worker->draining ? "yes" : "no")
      .With("drain_remaining_ms", report.drain_remaining.count())
      .With("cpu", report.capacity.cpu.count())
      .With("memory_mb", report.capacity.memory.count());
  next_batch_.reports.push_back(report);
}

void Coordinator::Doubt(Worker* worker, const char* reason) {
  if (!worker->is_in_doubt) {
    Event("worker_in_doubt", Severity::kWarning)
        .With("worker", worker->id())
        .With("born", worker->report.incarnation.started_at)
        .With("reason", reason);
  }
  worker->is_in_doubt = true;
  worker->next_hold = clock_.Now();
}

Fence Coordinator::NextFence() {
  last_fence_ = Fence(last_fence_.value() + 1);
  return last_fence_;
}

void Coordinator::QueryClaimant(const WorkerReport& report,
                                const std::vector<WorkerId>& contested) {
  Claim& claim = claims_[report.incarnation];
  claim.report = report;
  claim.hold_number = next_hold_number_++;
  claim.fence = NextFence();
  for (const WorkerId& id : contested) {
    Worker* worker = roster_.Find(id);
    ++worker->open_claims;
    claim.contested.push_back(worker->report.incarnation);
    Event("worker_contested", Severity::kWarning)
        .With("worker", id)
        .With("born", worker->report.incarnation.started_at)
        .With("by", report.incarnation.worker)
        .With("by_born", report.incarnation.started_at)
        .With("address", report.address);
  }
  HoldOrder order;
  order.to = {report.incarnation, report.address};
  order.fence = claim.fence;
  order.number = claim.hold_number;
  outbox_.SendHold(order);
}

void Coordinator::OnClaimReply(const HoldOrder& order, const HoldReply& reply) {
  const Claim claim = std::move(claims_.extract(order.to.incarnation).mapped());
  const job::WorkerIncarnation& incarnation = claim.report.incarnation;
  const bool answered =
      reply.outcome == OrderOutcome::kAccepted && reply.started_at == incarnation.started_at;
  for (const job::WorkerIncarnation& it : claim.contested) {
    Worker* worker = roster_.Find(it.worker);
    if (worker == nullptr || worker->report.incarnation != it) continue;
    --worker->open_claims;
    // Without an answer, the report may be true.
    const bool is_refuted =
        reply.outcome == OrderOutcome::kOtherIncarnation ||
        (reply.outcome == OrderOutcome::kAccepted && reply.started_at == it.started_at);
    if (!answered && !is_refuted) Doubt(worker, "claim_not_answered");
    // If it has accepted the hold itself, it refuses orders with the fence that it had.
    if (it.worker == incarnation.worker) worker->fence = NextFence();
  }
  outbox_.RequestSchedulingPass();
  WorkerRoster::ReportResult result =
      answered ? roster_.ApplyReport(claim.report, clock_.Now(), ReportProof::kAnswered)
               : WorkerRoster::ReportResult();
  if (result.worker == nullptr) {
    Event("report_not_confirmed", Severity::kWarning)
        .With("worker", incarnation.worker)
        .With("born", incarnation.started_at)
        .With("outcome", Name(reply.outcome));
    return;
  }
  result.worker->fence = claim.fence;
  if (result.worker->draining) {
    result.worker->drain_end = clock_.Now() + claim.report.drain_remaining;
  }
  for (Worker& it : result.ended_incarnations) {
    if (it.id() == incarnation.worker) MoveListedRuns(&it, result.worker, reply, order.number);
  }
  RecordReport(result);
  result.worker->hold_in_flight = true;
  result.worker->last_hold = order.number;
  OnHoldReply(order, reply);
}

void Coordinator::MoveListedRuns(Worker* ended, Worker* successor, const HoldReply& reply,
                                 std::uint64_t hold) {
  const std::set<job::RunKey> listed = ListedRuns(reply);
  const bool is_complete = reply.finished.size() < kMaxListedEnds;
  std::vector<job::RunKey> keys;
  for (const auto& [key, run] : ended->runs) {
    if (run.phase == RunPhase::kProposed || run.phase == RunPhase::kRecordingEnd) continue;
    if (!is_complete || listed.contains(key)) keys.push_back(key);
  }
  for (const job::RunKey& it : keys) {
    Event("run_taken_over")
        .With("run", it.task)
        .With("number", it.run)
        .With("worker", successor->id())
        .With("born", successor->report.incarnation.started_at);
    Run& run = WorkerRoster::MoveRun(ended, successor, it);
    // A stop that the earlier incarnation has confirmed says nothing about this one.
    run.phase = RunPhase::kActive;
    run.last_hold_number = listed.contains(it) ? hold : 0;
    run.stop_in_flight = false;
    run.next_stop = TimePoint();
    run.may_be_on_successor = false;
  }
}

void Coordinator::OnWorkerLeave(const WorkerId& id, CommitCallback done) {
  if (!is_leader_) return done(ResultCode::kNotLeader);
  Worker* worker = roster_.Find(id);
  if (worker == nullptr) return done(ResultCode::kOk);
  Event("worker_leave_received")
      .With("worker", id)
      .With("born", worker->report.incarnation.started_at)
      .With("draining", worker->draining ? "yes" : "no");
  worker->leave_received_at = clock_.Now();
  worker->next_hold = clock_.Now();
  ConfirmLeadership(std::move(done));
}

void Coordinator::RecordIncarnationEnd(const Worker& worker, const char* reason, bool crashed) {
  Event("worker_lifetime_ended")
      .With("worker", worker.id())
      .With("born", worker.report.incarnation.started_at)
      .With("reason", reason)
      .With("runs", worker.runs.size());
  next_batch_.ended_incarnations.push_back(worker.report.incarnation);
  const TimePoint now = clock_.Now();
  job::CrashRecord crash{worker.report.incarnation, {}};
  for (const auto& [key, run] : worker.runs) {
    if (crashed && MayHaveCrashed(run, worker, now)) {
      Event("worker_crashed", Severity::kWarning)
          .With("worker", worker.id())
          .With("run", key.task)
          .With("number", key.run)
          .With("age_ms", (worker.RunningUntil(now) - run.ordered_at) / Milliseconds(1));
      crash.tasks.push_back({key.task, HadJustStarted(run, worker, now)});
    }
    pending_starts_.erase(key);
    // The number of a run whose start is only proposed is in use. SendStart() ends it.
    if (run.phase == RunPhase::kProposed) continue;
    worker_by_run_.erase(key);
    next_batch_.ends.push_back({key.task, key.run, job::RunEnd::kLost, run.checkpoint});
    if (IsGangRun(run)) RequestGangStop(key.task.step, key.run);
  }
  if (crashed) next_batch_.crashes.push_back(std::move(crash));
  outbox_.RequestSchedulingPass();
}

void Coordinator::SendDueHolds() {
  const TimePoint now = clock_.Now();
  for (auto& [id, worker] : roster_.workers()) {
    if (worker.hold_in_flight || now < worker.next_hold) continue;
    if (worker.lists_in_flight > 0 && !worker.leave_received_at) continue;
    worker.hold_in_flight = true;
    worker.last_hold = next_hold_number_++;
    const bool has_uncertain_run =
        std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& it) {
          return it.second.phase == RunPhase::kStopped || it.second.phase == RunPhase::kUncertain ||
                 it.second.stop_requested;
        });
    // A worker that does not answer may have restarted. Its next incarnation would take a lease
    // that ends at a time of another clock, and remove ends that have not been read.
    const bool answers = worker.unanswered_holds == 0;
    const WorkerMillis lease = answers ? worker.lease_clock.GrantLease(now) : WorkerMillis();
    const bool acknowledges = answers && worker.recorded_end > worker.acknowledged_end;
    HoldOrder order{worker.Address(),
                    lease,
                    worker.fence,
                    acknowledges ? worker.recorded_end : EndNumber(),
                    has_uncertain_run ? kMaxHoldWaitWhileUncertain : kMaxHoldWait,
                    worker.last_hold};
    // The first hold reads the lists and the clock without waiting for a run to end.
    if (!worker.reconciled) order.max_wait = Milliseconds(0);
    outbox_.SendHold(order);
  }
}

void Coordinator::SendDueStops() {
  const TimePoint now = clock_.Now();
  for (auto it = pending_stops_.begin(); it != pending_stops_.end();) {
    Worker* worker = nullptr;
    Run* run = FindRun(*it, &worker);
    const bool is_uncertain = run != nullptr && run->phase == RunPhase::kUncertain;
    if (run == nullptr || (!is_uncertain && !run->stop_requested)) {
      it = pending_stops_.erase(it);
      continue;
    }
    ++it;
    const bool may_run = is_uncertain || run->phase == RunPhase::kActive;
    if (!may_run || run->stop_in_flight || now < run->next_stop) continue;
    run->stop_in_flight = true;
    Event("stop")
        .With("run", run->key.task)
        .With("number", run->key.run)
        .With("worker", worker->id());
    outbox_.SendStop({worker->Address(), run->key, worker->fence});
  }
}

void Coordinator::RequestStop(Run* run) {
  run->stop_requested = true;
  pending_stops_.insert(run->key);
  outbox_.RequestSchedulingPass();
}

void Coordinator::ExpireLeases() {
  const TimePoint now = clock_.Now();
  std::vector<WorkerId> silent;
  for (auto& [id, worker] : roster_.workers()) {
    if (worker.unanswered_holds == 0 || !worker.lease_clock.HasExpired(now)) continue;
    const bool has_left = worker.leave_received_at.has_value();
    // The worker's lease has expired, so that it has ended all its runs.
    std::size_t lost = 0;
    for (auto& [key, run] : worker.runs) {
      if (run.phase == RunPhase::kRecordingEnd || run.phase == RunPhase::kProposed) continue;
      if (MayRunOnSuccessor(run, worker, policy_.max_lease, now)) continue;
      if (!has_left && MayHaveCrashed(run, worker, now)) {
        next_batch_.silences.push_back(
            {key.task, worker.report.incarnation, HadJustStarted(run, worker, now)});
        worker.lease_expired_under_run = true;
      }
      MarkLost(&run, "lease_lapsed");
      ++lost;
    }
    if (lost > 0) {
      Event("lease_lapsed", Severity::kWarning)
          .With("worker", id)
          .With("runs", lost)
          .With("silent_ms", (now - worker.last_hold_reply) / Milliseconds(1));
    }
    const bool is_gone = has_left || now - worker.LastSeen() > kSilentWorkerRetention;
    if (is_gone && worker.runs.empty()) silent.push_back(id);
  }
  for (const WorkerId& id : silent) {
    const Worker worker = *roster_.Remove(id);
    RecordIncarnationEnd(worker, worker.leave_received_at ? "left" : "silent", false);
  }
}

Run* Coordinator::FindRun(const job::RunKey& key, Worker** worker) {
  const auto index = worker_by_run_.find(key);
  if (index == worker_by_run_.end()) return nullptr;
  *worker = roster_.Find(index->second);
  if (*worker == nullptr) return nullptr;
  const auto it = (*worker)->runs.find(key);
  return it == (*worker)->runs.end() ? nullptr : &it->second;
}

void Coordinator::RemoveRun(const job::RunKey& key) {
  Worker* worker = nullptr;
  if (FindRun(key, &worker) != nullptr) roster_.ReleaseRun(worker, key);
  worker_by_run_.erase(key);
  pending_starts_.erase(key);
}

void Coordinator::SendStart(const job::StartRecord& record) {
  const job::RunKey key{record.task, record.run};
  Worker* worker = nullptr;
  Run* run = FindRun(key, &worker);
  const auto pending = pending_starts_.find(key);
  if (run == nullptr || pending == pending_starts_.end()) {
    // The worker's incarnation ended after the start was proposed.
    next_batch_.ends.push_back({record.task, record.run, job::RunEnd::kLost, {}});
    const job::Job* job = cell_state_.Find(record.task.step.job);
    if (job != nullptr && job->spec.steps[record.task.step.step].Has(job::StepFlag::kGang)) {
      RequestGangStop(record.task.step, record.run);
    }
    return;
  }
  // While the record was being committed, the worker may have reported a smaller capacity, or
  // another one may have listed an earlier run of the task.
  if (run->stop_requested || !worker->IsStaying() || !worker->CanHold(run->demand) ||
      HasOtherRun(key.task, key.run)) {
    run->phase = RunPhase::kSent;
    pending_starts_.erase(pending);
    MarkLost(run, "not_sent");
    return;
  }
  run->phase = RunPhase::kSent;
  run->ordered_at = clock_.Now();
  run->progressed_at = run->ordered_at;
  run->may_be_on_successor = true;
  StartOrder order = std::move(pending->second);
  pending_starts_.erase(pending);
  order.fence = worker->fence;
  order.lease_end = worker->lease_clock.GrantLease(clock_.Now());
  ++counts_.starts;
  outbox_.SendStart(order);
}

ReadingOrigin Coordinator::RecordReading(Worker* worker, const OrderReply& reply) {
  if (reply.clock == WorkerMillis()) return ReadingOrigin::kUnclear;
  const TimePoint now = clock_.Now();
  const ReadingOrigin origin = worker->lease_clock.OriginOf(reply.clock, now);
  if (origin == ReadingOrigin::kThis) worker->lease_clock.RecordReading(reply.clock, now);
  if (origin == ReadingOrigin::kOther) Doubt(worker, "other_clock");
  return origin;
}

void Coordinator::OnStartReply(const StartOrder& order, const OrderReply& reply) {
  Worker* worker = nullptr;
  Run* run = is_leader_ ? FindRun(order.run, &worker) : nullptr;
  if (run == nullptr || worker->report.incarnation != order.to.incarnation) return;
  run->start_settled_at = clock_.Now();
  const ReadingOrigin origin = RecordReading(worker, reply);
  if (reply.outcome == OrderOutcome::kAccepted) {
    if (origin == ReadingOrigin::kThis) run->may_be_on_successor = false;
    if (run->phase != RunPhase::kSent) return;
    run->phase = RunPhase::kActive;
    run->last_hold_number = worker->last_hold;
    return;
  }
  Event("start_refused", Severity::kWarning)
      .With("run", order.run.task)
      .With("number", order.run.run)
      .With("worker", worker->id())
      .With("outcome", Name(reply.outcome));
  if (run->phase != RunPhase::kSent) return;
  switch (reply.outcome) {
    case OrderOutcome::kUnknown:
      run->phase = RunPhase::kUncertain;
      run->last_hold_number = worker->last_hold;
      pending_stops_.insert(run->key);
      outbox_.RequestSchedulingPass();
      return;
    case OrderOutcome::kStaleRun:
      run->phase = RunPhase::kStopped;
      run->last_hold_number = worker->last_hold;
      return;
    case OrderOutcome::kBadTicket:
      if (const auto it = waiting_steps_.find(order.run.task.step); it != waiting_steps_.end()) {
        it->second->decisions.RemoveTicket(worker->slot);
      }
      break;
    case OrderOutcome::kUnhealthy:
      Quarantine(worker, "refuses_starts");
      break;
    default:
      break;
  }
  MarkLost(run, Name(reply.outcome));
}

void Coordinator::MarkLost(Run* run, const char* reason) {
  Event("run_lost").With("run", run->key.task).With("number", run->key.run).With("reason", reason);
  if (run->phase == RunPhase::kRecordingEnd) return;
  run->phase = RunPhase::kRecordingEnd;
  RecordEnd(run->key, job::RunEnd::kLost, run->checkpoint);
  if (IsGangRun(*run)) RequestGangStop(run->key.task.step, run->key.run);
}

void Coordinator::RecordEnd(const job::RunKey& key, job::RunEnd end,
                            const std::string& checkpoint) {
  next_batch_.ends.push_back({key.task, key.run, end, checkpoint});
  outbox_.RequestSchedulingPass();
}

void Coordinator::RequestGangStop(const job::StepKey& step, job::RunNumber number) {
  const job::RunKey first{{step, 0}, job::RunNumber()};
  for (auto it = worker_by_run_.lower_bound(first); it != worker_by_run_.end(); ++it) {
    if (it->first.task.step != step) break;
    Worker* worker = nullptr;
    Run* run = it->first.run == number ? FindRun(it->first, &worker) : nullptr;
    if (run != nullptr) RequestStop(run);
  }
}

void Coordinator::RequestStopOfLaterRuns(const job::EndRecord& completed) {
  Event("run_completed_late").With("run", completed.task).With("number", completed.run);
  const job::RunKey first{{completed.task.step, 0}, job::RunNumber()};
  for (auto it = worker_by_run_.lower_bound(first); it != worker_by_run_.end(); ++it) {
    if (it->first.task.step != completed.task.step) break;
    Worker* worker = nullptr;
    Run* run = it->first.run > completed.run ? FindRun(it->first, &worker) : nullptr;
    if (run == nullptr) continue;
    if (IsGangRun(*run) || it->first.task == completed.task) RequestStop(run);
  }
}

void Coordinator::RequestJobStop(const job::JobId& job, std::uint32_t excluded_flags) {
  const job::RunKey first{{{job, 0, 0}, 0}, job::RunNumber()};
  for (auto it = worker_by_run_.lower_bound(first); it != worker_by_run_.end(); ++it) {
    if (it->first.task.step.job != job) break;
    Worker* worker = nullptr;
    Run* run = FindRun(it->first, &worker);
    if (run != nullptr && (run->flags & excluded_flags) == 0) RequestStop(run);
  }
}

void Coordinator::OnStopReply(const StopOrder& order, const OrderReply& reply) {
  Worker* worker = nullptr;
  Run* run = is_leader_ ? FindRun(order.run, &worker) : nullptr;
  if (run == nullptr || worker->report.incarnation != order.to.incarnation) return;
  run->stop_in_flight = false;
  run->next_stop = clock_.Now() + kStopRetryInterval;
  if (reply.outcome != OrderOutcome::kAccepted && reply.outcome != OrderOutcome::kStaleRun) return;
  RecordReading(worker, reply);
  if (run->phase != RunPhase::kUncertain && run->phase != RunPhase::kActive) return;
  run->phase = RunPhase::kStopped;
  run->last_hold_number = worker->last_hold;
}

void Coordinator::OnHoldReply(const HoldOrder& order, const HoldReply& reply) {
  if (is_leader_) {
    const auto claim = claims_.find(order.to.incarnation);
    if (claim != claims_.end() && claim->second.hold_number == order.number) {
      return OnClaimReply(order, reply);
    }
  }
  Worker* worker = is_leader_ ? roster_.Find(order.to.incarnation.worker) : nullptr;
  if (worker == nullptr || worker->report.incarnation != order.to.incarnation) return;
  // The hold of a worker that was removed and added again may still be answered.
  if (order.number != worker->last_hold) return;
  worker->hold_in_flight = false;
  const TimePoint now = clock_.Now();
  const bool proves_end = ProvesEnd(reply, worker->report.incarnation);
  if (proves_end && worker->leave_received_at && !MayHaveRunsOf(*worker, reply)) {
    RecordIncarnationEnd(*roster_.Remove(worker->id()), "left", false);
    return;
  }
  if (reply.outcome != OrderOutcome::kAccepted || proves_end) {
    if (reply.outcome == OrderOutcome::kAccepted) ChargeRunsOfSuccessor(worker, reply);
    if (worker->unanswered_holds++ == 0) {
      worker->silent_since = now;
      Event("worker_silent", Severity::kWarning)
          .With("worker", worker->id())
          .With("outcome",
                reply.outcome == OrderOutcome::kAccepted ? "other_lifetime" : Name(reply.outcome));
    }
    // It has accepted a hold that was meant for another incarnation.
    if (reply.outcome == OrderOutcome::kFenced && worker->fence < last_fence_) {
      worker->fence = NextFence();
    }
    worker->next_hold =
        now + (worker->leave_received_at ? kLeavingHoldRetryInterval : kHoldRetryInterval);
    return;
  }
  if (worker->leave_received_at && now >= *worker->leave_received_at + kLeaveRepeatInterval) {
    worker->leave_received_at.reset();
    Event("worker_leave_outdated", Severity::kWarning).With("worker", worker->id());
  }
  worker->lease_clock.RecordReading(reply.clock, now);
  if (!worker->reconciled) worker->lease_clock.AssumeLease(now, worker->inherited_lease);
  if (std::exchange(worker->lease_expired_under_run, false)) {
    next_batch_.returned_incarnations.push_back(worker->report.incarnation);
  }
  worker->unanswered_holds = 0;
  worker->is_in_doubt = false;
  worker->acknowledged_end = std::max(worker->acknowledged_end, order.acknowledged);
  worker->last_hold_reply = now;
  worker->next_hold = now;
  ReconcileRuns(worker, reply, worker->last_hold);
  outbox_.RequestSchedulingPass();
}

void Coordinator::ReconcileRuns(Worker* worker, const HoldReply& reply, std::uint64_t hold) {
  RecordFinishedRuns(worker, reply.finished);
  for (const ActiveRun& it : reply.active) UpdateActiveRun(worker, it, hold);
  if (reply.finished.size() >= kMaxListedEnds) return;
  std::set<job::RunKey> present;
  for (const ActiveRun& it : reply.active) present.insert(it.run);
  for (auto& [key, run] : worker->runs) {
    if (present.contains(key)) continue;
    if (!worker->reconciled && run.phase == RunPhase::kSent) {
      // An earlier leader ordered this run, and its start order may still be in flight.
      run.phase = RunPhase::kUncertain;
      pending_stops_.insert(key);
      continue;
    }
    if (run.last_hold_number >= hold) continue;
    if (run.phase == RunPhase::kStopped) MarkLost(&run, "not_in_list");
    if (run.phase != RunPhase::kActive) continue;
    run.phase = RunPhase::kUncertain;
    pending_stops_.insert(key);
  }
  worker->reconciled = true;
}

void Coordinator::RecordFinishedRuns(Worker* worker, const std::vector<FinishedRun>& finished) {
  EndNumber highest = worker->last_listed_end;
  for (const FinishedRun& it : finished) {
    if (it.number <= worker->last_listed_end) continue;
    highest = std::max(highest, it.number);
    Event("run_ended")
        .With("run", it.run.task)
        .With("number", it.run.run)
        .With("worker", worker->id())
        .With("how", job::Name(it.end));
    const auto run = worker->runs.find(it.run);
    if (run != worker->runs.end()) {
      run->second.phase = RunPhase::kRecordingEnd;
      UpdateWorkerHealth(worker, it.run, it.end);
      RecordDuration(run->second, it.end);
    }
    RecordEnd(it.run, it.end, it.checkpoint);
  }
  if (highest == worker->last_listed_end) return;
  worker->last_listed_end = highest;
  ++worker->lists_in_flight;
  CallWhenDurable([this, id = worker->id(), slot = worker->slot, highest](ResultCode code) {
    Worker* reporter = is_leader_ ? roster_.Find(id) : nullptr;
    // The worker may have been removed and added again, also as the same incarnation.
    if (code != ResultCode::kOk || reporter == nullptr || reporter->slot != slot) return;
    --reporter->lists_in_flight;
    reporter->recorded_end = std::max(reporter->recorded_end, highest);
  });
}

void Coordinator::RecordDuration(const Run& run, job::RunEnd end) {
  const job::Job* job = cell_state_.Find(run.key.task.step.job);
  // A run that resumed from a checkpoint or was ordered by an earlier leader does not show the
  // duration of the whole task.
  const bool is_complete_run =
      run.declared_duration > Milliseconds(0) && run.key.run == job::RunNumber(1);
  if (end != job::RunEnd::kDone || job == nullptr || !is_complete_run) return;
  duration_models_[job->queue].Observe(run.declared_duration, clock_.Now() - run.ordered_at);
}

// The log has no open run with this key: its start order was delayed and carried out late.
Run& Coordinator::ChargeUnknownRun(Worker* worker, const job::RunKey& key) {
  Event("run_unknown", Severity::kWarning)
      .With("run", key.task)
      .With("number", key.run)
      .With("worker", worker->id());
  // The run is charged until it is stopped. If the job has ended, the demand is unknown, and the
  // worker gets no tasks until then.
  const job::Job* job = cell_state_.Find(key.task.step.job);
  const std::uint32_t step = key.task.step.step;
  const bool has_spec = job != nullptr && step < job->spec.steps.size();
  const Resources demand = has_spec ? job->spec.steps[step].demand : worker->report.capacity;
  Run& run = roster_.ChargeRun(worker, key, demand, 0);
  run.phase = RunPhase::kActive;
  run.progressed_at = clock_.Now();
  worker_by_run_[key] = worker->id();
  RequestStop(&run);
  return run;
}

void Coordinator::ChargeRunsOfSuccessor(Worker* worker, const HoldReply& reply) {
  for (const ActiveRun& it : reply.active) {
    if (worker->runs.contains(it.run)) continue;
    Run& run = ChargeUnknownRun(worker, it.run);
    run.may_be_on_successor = true;
    run.start_settled_at = clock_.Now();
  }
}

void Coordinator::UpdateActiveRun(Worker* worker, const ActiveRun& active, std::uint64_t hold) {
  auto it = worker->runs.find(active.run);
  if (it == worker->runs.end()) {
    ChargeUnknownRun(worker, active.run);
    return;
  }
  Run& run = it->second;
  run.may_be_on_successor = false;
  const bool has_progressed = run.percent != active.percent || run.checkpoint != active.checkpoint;
  run.percent = active.percent;
  run.percent_received_at = clock_.Now();
  if (!active.checkpoint.empty()) run.checkpoint = active.checkpoint;
  if (has_progressed || run.phase != RunPhase::kActive) run.progressed_at = clock_.Now();
  if (run.phase == RunPhase::kSent || run.phase == RunPhase::kUncertain) {
    run.phase = RunPhase::kActive;
    run.last_hold_number = hold;
  }
}

void Coordinator::UpdateWorkerHealth(Worker* worker, const job::RunKey& key, job::RunEnd end) {
  if (end == job::RunEnd::kDone) {
    worker->recent_failures.clear();
    worker->quarantine_count = 0;
    worker->probation_until = TimePoint();
    return;
  }
  if (end != job::RunEnd::kFailed) return;
  auto& failures = worker->recent_failures;
  if (std::find(failures.begin(), failures.end(), key.task.step.job) == failures.end()) {
    failures.push_back(key.task.step.job);
  }
  if (failures.size() >= kFailuresToQuarantine) Quarantine(worker, "fails_distinct_jobs");
}

void Coordinator::Quarantine(Worker* worker, const char* reason) {
  const TimePoint now = clock_.Now();
  if (now < worker->quarantined_until) return;
  const std::uint32_t doublings = std::min(worker->quarantine_count++, kMaxQuarantineDoublings);
  worker->quarantined_until = now + kFirstQuarantine * (1U << doublings);
  worker->recent_failures.clear();
  worker->probation_until = worker->quarantined_until + kProbation;
  Event("worker_quarantined", Severity::kWarning)
      .With("worker", worker->id())
      .With("reason", reason)
      .With("ms", (worker->quarantined_until - now) / Milliseconds(1));
}

}  // namespace parsleyline::dispatch
