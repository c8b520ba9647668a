#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "dispatch/coordinator.h"
#include "dispatch/step_work.h"

// The part of the coordinator that exchanges messages with workers: reports, starts, stops, and the
// holds that extend leases and list runs.
namespace parsleyline::dispatch {
namespace {

// A worker delays its reply to a hold by up to this time until a run ends. Allows several renewals
// within one lease.
constexpr Milliseconds kHoldWait{1000};
// The same while the state of a run on the worker is uncertain, so that its next lists arrive soon.
constexpr Milliseconds kShortHoldWait{50};
constexpr Milliseconds kHoldRetry{250};
constexpr Milliseconds kStopRetry{300};
// A list with this many finished runs may be truncated, and does not prove that other runs are
// absent.
constexpr std::size_t kFullList = 500;
// A worker is quarantined after tasks of this many distinct jobs failed there without a success in
// between.
constexpr std::size_t kFailuresToQuarantine = 3;
constexpr Milliseconds kQuarantine{2000};
constexpr std::uint32_t kMaxQuarantineDoublings = 3;
// Probation ends after this time even without a success, because the worker may get no tasks.
constexpr Milliseconds kProbation{6000};
// A worker without runs is removed when it has been silent for this long.
constexpr Milliseconds kForgetSilent{30'000};

}  // namespace

void Coordinator::Adopt(const job::OpenRun& open) {
  Worker* worker = fleet_.Find(open.worker.worker);
  const job::RunKey key{open.task, open.run};
  if (worker == nullptr || worker->report.incarnation != open.worker) {
    // That incarnation has ended, and its runs with it.
    batch_.ends.push_back({open.task, open.run, job::RunEnd::kLost, {}});
    return;
  }
  Run& run = fleet_.Add(worker, key, open.demand, open.flags);
  run.phase = RunPhase::kSent;
  run.ordered_at = clock_.Now();
  run_index_[key] = worker->id();
  const job::Job* job = book_.Find(open.task.step.job);
  if (job == nullptr || job->HasEnded()) MarkUnwanted(&run);
}

void Coordinator::OnWorkerReport(const WorkerReport& report, Durable done) {
  if (!leads_) return done(ResultCode::kNotLeader);
  const Worker* before = fleet_.Find(report.incarnation.worker);
  const bool known = before != nullptr && before->report.incarnation == report.incarnation;
  const bool drained_before = known && before->draining;
  Fleet::Noted noted = fleet_.Note(report, clock_.Now());
  for (const Worker& it : noted.ended) EndLifetime(it, "replaced");
  if (noted.worker == nullptr) {
    Event("report_outdated", Severity::kWarning).With("worker", report.incarnation.worker);
    return done(ResultCode::kOk);
  }
  if (noted.worker->draining && !drained_before) {
    noted.worker->drain_end = clock_.Now() + report.drain_remaining;
  }
  if (known && drained_before == noted.worker->draining) return done(ResultCode::kOk);
  Event("worker_noted")
      .With("worker", report.incarnation.worker)
      .With("born", report.incarnation.started_at)
      .With("address", report.address)
      .With("draining", noted.worker->draining ? "yes" : "no")
      .With("drain_remaining_ms", report.drain_remaining.count());
  batch_.reports.push_back(noted.worker->report);
  WhenDurable(std::move(done));
}

void Coordinator::OnWorkerLeave(const WorkerId& id, Durable done) {
  if (!leads_) return done(ResultCode::kNotLeader);
  auto worker = fleet_.Remove(id);
  if (!worker) return done(ResultCode::kOk);
  EndLifetime(*worker, "left");
  WhenDurable(std::move(done));
}

void Coordinator::EndLifetime(const Worker& worker, const char* reason) {
  Event("worker_lifetime_ended")
      .With("worker", worker.id())
      .With("born", worker.report.incarnation.started_at)
      .With("reason", reason)
      .With("runs", worker.runs.size());
  batch_.departures.push_back(worker.report.incarnation);
  for (const auto& [key, run] : worker.runs) {
    run_index_.erase(key);
    prepared_.erase(key);
    // This end may be applied before the record of a start that is only proposed. SendStart() then
    // records that run as lost.
    batch_.ends.push_back({key.task, key.run, job::RunEnd::kLost, run.checkpoint});
  }
  outbox_.RequestSchedulingPass();
}

void Coordinator::SendDueHolds() {
  const TimePoint now = clock_.Now();
  for (auto& [id, worker] : fleet_.workers()) {
    if (worker.hold_in_flight || now < worker.next_hold || worker.ends_in_flight > 0) continue;
    worker.hold_in_flight = true;
    ++worker.holds_sent;
    const bool unsettled = std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& it) {
      return it.second.phase == RunPhase::kStopped || it.second.phase == RunPhase::kDoubtful ||
             it.second.unwanted;
    });
    const WorkerMillis lease =
        worker.failed_holds == 0 ? worker.clock.GiveLease(now) : worker.clock.GivenLease();
    HoldOrder order{worker.Address(), lease, fence_, worker.recorded,
                    unsettled ? kShortHoldWait : kHoldWait};
    // The first hold reads the lists and the clock without waiting for a run to end.
    if (!worker.reconciled) order.max_wait = Milliseconds(0);
    outbox_.SendHold(order);
  }
}

void Coordinator::SendDueStops() {
  const TimePoint now = clock_.Now();
  for (auto it = stops_due_.begin(); it != stops_due_.end();) {
    Worker* worker = nullptr;
    Run* run = FindRun(*it, &worker);
    const bool doubtful = run != nullptr && run->phase == RunPhase::kDoubtful;
    if (run == nullptr || (!doubtful && !run->unwanted)) {
      it = stops_due_.erase(it);
      continue;
    }
    ++it;
    const bool may_run = doubtful || run->phase == RunPhase::kActive;
    if (!may_run || run->stop_in_flight || now < run->next_stop) continue;
    run->stop_in_flight = true;
    Event("stop")
        .With("run", run->key.task)
        .With("number", run->key.run)
        .With("worker", worker->id());
    outbox_.SendStop({worker->Address(), run->key, fence_});
  }
}

void Coordinator::MarkUnwanted(Run* run) {
  run->unwanted = true;
  stops_due_.insert(run->key);
  outbox_.RequestSchedulingPass();
}

void Coordinator::CheckWorkers() {
  const TimePoint now = clock_.Now();
  std::vector<WorkerId> silent;
  for (auto& [id, worker] : fleet_.workers()) {
    if (worker.failed_holds == 0 || !worker.clock.HasLapsed(now)) continue;
    // The worker's lease has expired, so that it has ended all its runs.
    std::size_t lost = 0;
    for (auto& [key, run] : worker.runs) {
      if (run.phase == RunPhase::kEnding || run.phase == RunPhase::kProposed) continue;
      MarkLost(&run, "lease_lapsed");
      ++lost;
    }
    if (lost > 0) {
      Event("lease_lapsed", Severity::kWarning)
          .With("worker", id)
          .With("runs", lost)
          .With("silent_ms", (now - worker.last_answer) / Milliseconds(1));
    }
    const bool gone = now - std::max(worker.last_report, worker.last_answer) > kForgetSilent;
    if (gone && worker.runs.empty()) silent.push_back(id);
  }
  for (const WorkerId& id : silent) EndLifetime(*fleet_.Remove(id), "silent");
}

Run* Coordinator::FindRun(const job::RunKey& key, Worker** worker) {
  const auto index = run_index_.find(key);
  if (index == run_index_.end()) return nullptr;
  *worker = fleet_.Find(index->second);
  if (*worker == nullptr) return nullptr;
  const auto it = (*worker)->runs.find(key);
  return it == (*worker)->runs.end() ? nullptr : &it->second;
}

void Coordinator::ForgetRun(const job::RunKey& key) {
  Worker* worker = nullptr;
  if (FindRun(key, &worker) != nullptr) fleet_.Release(worker, key);
  run_index_.erase(key);
  prepared_.erase(key);
}

void Coordinator::SendStart(const job::StartRecord& record) {
  const job::RunKey key{record.task, record.run};
  Worker* worker = nullptr;
  Run* run = FindRun(key, &worker);
  const auto prepared = prepared_.find(key);
  if (run == nullptr || prepared == prepared_.end()) {
    // The worker's incarnation ended after the start was proposed.
    batch_.ends.push_back({record.task, record.run, job::RunEnd::kLost, {}});
    return;
  }
  if (run->unwanted || worker->draining) {
    run->phase = RunPhase::kSent;
    prepared_.erase(prepared);
    MarkLost(run, "not_sent");
    return;
  }
  run->phase = RunPhase::kSent;
  run->ordered_at = clock_.Now();
  run->progressed_at = run->ordered_at;
  StartOrder order = std::move(prepared->second);
  prepared_.erase(prepared);
  order.lease_end = worker->clock.GiveLease(clock_.Now());
  ++counts_.starts;
  outbox_.SendStart(order);
}

void Coordinator::OnStartReply(const StartOrder& order, const OrderReply& reply) {
  Worker* worker = nullptr;
  Run* run = leads_ ? FindRun(order.run, &worker) : nullptr;
  if (run == nullptr || worker->report.incarnation != order.to.incarnation) return;
  if (reply.outcome == OrderOutcome::kAccepted) {
    worker->clock.Read(reply.clock, clock_.Now());
    if (run->phase != RunPhase::kSent) return;
    run->phase = RunPhase::kActive;
    run->hold_mark = worker->holds_sent;
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
      run->phase = RunPhase::kDoubtful;
      run->hold_mark = worker->holds_sent;
      stops_due_.insert(run->key);
      outbox_.RequestSchedulingPass();
      return;
    case OrderOutcome::kStaleRun:
      run->phase = RunPhase::kStopped;
      run->hold_mark = worker->holds_sent;
      return;
    case OrderOutcome::kBadTicket:
      if (const auto it = waiting_.find(order.run.task.step); it != waiting_.end()) {
        it->second->advice.DropTicket(worker->slot);
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
  if (run->phase == RunPhase::kEnding) return;
  run->phase = RunPhase::kEnding;
  RecordEnd(run->key, job::RunEnd::kLost, run->checkpoint);
  if ((run->flags & static_cast<std::uint32_t>(job::StepFlag::kGang)) != 0) {
    MarkGangUnwanted(run->key.task.step, run->key.run);
  }
}

void Coordinator::RecordEnd(const job::RunKey& key, job::RunEnd end,
                            const std::string& checkpoint) {
  batch_.ends.push_back({key.task, key.run, end, checkpoint});
  outbox_.RequestSchedulingPass();
}

void Coordinator::MarkGangUnwanted(const job::StepKey& step, job::RunNumber number) {
  const job::RunKey first{{step, 0}, job::RunNumber()};
  for (auto it = run_index_.lower_bound(first); it != run_index_.end(); ++it) {
    if (it->first.task.step != step) break;
    Worker* worker = nullptr;
    Run* run = it->first.run == number ? FindRun(it->first, &worker) : nullptr;
    if (run != nullptr) MarkUnwanted(run);
  }
}

void Coordinator::MarkJobUnwanted(const job::JobId& job, std::uint32_t spared) {
  const job::RunKey first{{{job, 0, 0}, 0}, job::RunNumber()};
  for (auto it = run_index_.lower_bound(first); it != run_index_.end(); ++it) {
    if (it->first.task.step.job != job) break;
    Worker* worker = nullptr;
    Run* run = FindRun(it->first, &worker);
    if (run != nullptr && (run->flags & spared) == 0) MarkUnwanted(run);
  }
}

void Coordinator::OnStopReply(const StopOrder& order, const OrderReply& reply) {
  Worker* worker = nullptr;
  Run* run = leads_ ? FindRun(order.run, &worker) : nullptr;
  if (run == nullptr || worker->report.incarnation != order.to.incarnation) return;
  run->stop_in_flight = false;
  run->next_stop = clock_.Now() + kStopRetry;
  if (reply.outcome != OrderOutcome::kAccepted && reply.outcome != OrderOutcome::kStaleRun) return;
  if (reply.outcome == OrderOutcome::kAccepted) worker->clock.Read(reply.clock, clock_.Now());
  if (run->phase != RunPhase::kDoubtful && run->phase != RunPhase::kActive) return;
  run->phase = RunPhase::kStopped;
  run->hold_mark = worker->holds_sent;
}

void Coordinator::OnHoldReply(const HoldOrder& order, const HoldReply& reply) {
  Worker* worker = leads_ ? fleet_.Find(order.to.incarnation.worker) : nullptr;
  if (worker == nullptr || worker->report.incarnation != order.to.incarnation) return;
  if (order.fence != fence_) return;
  worker->hold_in_flight = false;
  const TimePoint now = clock_.Now();
  const bool other_lifetime = reply.outcome == OrderOutcome::kAccepted &&
                              reply.started_at != worker->report.incarnation.started_at;
  if (reply.outcome != OrderOutcome::kAccepted || other_lifetime) {
    if (worker->failed_holds++ == 0) {
      Event("worker_silent", Severity::kWarning)
          .With("worker", worker->id())
          .With("outcome", other_lifetime ? "other_lifetime" : Name(reply.outcome));
    }
    worker->next_hold = now + kHoldRetry;
    return;
  }
  worker->clock.Read(reply.clock, now);
  worker->failed_holds = 0;
  worker->last_answer = now;
  worker->next_hold = now;
  Reconcile(worker, reply, worker->holds_sent);
  outbox_.RequestSchedulingPass();
}

void Coordinator::Reconcile(Worker* worker, const HoldReply& reply, std::uint64_t hold) {
  NoteEnds(worker, reply.finished);
  for (const ActiveRun& it : reply.active) NoteActive(worker, it, hold);
  if (reply.finished.size() < kFullList) {
    std::set<job::RunKey> present;
    for (const ActiveRun& it : reply.active) present.insert(it.run);
    for (auto& [key, run] : worker->runs) {
      if (present.contains(key)) continue;
      if (!worker->reconciled && run.phase == RunPhase::kSent) {
        // An earlier leader ordered this run, and its start order may still be in flight.
        run.phase = RunPhase::kDoubtful;
        stops_due_.insert(key);
        continue;
      }
      if (run.hold_mark >= hold) continue;
      if (run.phase == RunPhase::kStopped) MarkLost(&run, "not_in_list");
      if (run.phase != RunPhase::kActive) continue;
      run.phase = RunPhase::kDoubtful;
      stops_due_.insert(key);
    }
  }
  worker->reconciled = true;
}

void Coordinator::NoteEnds(Worker* worker, const std::vector<FinishedRun>& finished) {
  EndNumber highest = worker->seen;
  for (const FinishedRun& it : finished) {
    if (it.number <= worker->seen) continue;
    highest = std::max(highest, it.number);
    Event("run_ended")
        .With("run", it.run.task)
        .With("number", it.run.run)
        .With("worker", worker->id())
        .With("how", job::Name(it.end));
    const auto run = worker->runs.find(it.run);
    if (run != worker->runs.end()) {
      run->second.phase = RunPhase::kEnding;
      NoteHealth(worker, it.run, it.end);
      NoteDuration(run->second, it.end);
    }
    RecordEnd(it.run, it.end, it.checkpoint);
  }
  if (highest == worker->seen) return;
  worker->seen = highest;
  ++worker->ends_in_flight;
  WhenDurable([this, incarnation = worker->report.incarnation, highest](ResultCode code) {
    Worker* noted = leads_ ? fleet_.Find(incarnation.worker) : nullptr;
    if (code != ResultCode::kOk || noted == nullptr || noted->report.incarnation != incarnation)
      return;
    --noted->ends_in_flight;
    noted->recorded = std::max(noted->recorded, highest);
  });
}

void Coordinator::NoteDuration(const Run& run, job::RunEnd end) {
  const job::Job* job = book_.Find(run.key.task.step.job);
  // A run that resumed from a checkpoint or was ordered by an earlier leader does not show the
  // duration of the whole task.
  const bool whole = run.declared > Milliseconds(0) && run.key.run == job::RunNumber(1);
  if (end != job::RunEnd::kDone || job == nullptr || !whole) return;
  durations_[job->queue].Observe(run.declared, clock_.Now() - run.ordered_at);
}

void Coordinator::NoteActive(Worker* worker, const ActiveRun& active, std::uint64_t hold) {
  auto it = worker->runs.find(active.run);
  if (it == worker->runs.end()) {
    // The log has no open run with this key: its start order was delayed and carried out late.
    Event("run_unknown", Severity::kWarning)
        .With("run", active.run.task)
        .With("number", active.run.run)
        .With("worker", worker->id());
    // The demand is unknown if the job has ended. Otherwise the run is charged until it is stopped.
    const job::Job* job = book_.Find(active.run.task.step.job);
    const std::uint32_t step = active.run.task.step.step;
    const bool has_spec = job != nullptr && step < job->spec.steps.size();
    const Resources demand = has_spec ? job->spec.steps[step].demand : Resources();
    Run& run = fleet_.Add(worker, active.run, demand, 0);
    run.phase = RunPhase::kActive;
    run.progressed_at = clock_.Now();
    run_index_[active.run] = worker->id();
    MarkUnwanted(&run);
    return;
  }
  Run& run = it->second;
  const bool moved = run.percent != active.percent || run.checkpoint != active.checkpoint;
  run.percent = active.percent;
  run.percent_at = clock_.Now();
  if (!active.checkpoint.empty()) run.checkpoint = active.checkpoint;
  if (moved || run.phase != RunPhase::kActive) run.progressed_at = clock_.Now();
  if (run.phase == RunPhase::kSent || run.phase == RunPhase::kDoubtful) {
    run.phase = RunPhase::kActive;
    run.hold_mark = hold;
  }
}

void Coordinator::NoteHealth(Worker* worker, const job::RunKey& key, job::RunEnd end) {
  if (end == job::RunEnd::kDone) {
    worker->recent_failures.clear();
    worker->quarantines = 0;
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
  const std::uint32_t doublings = std::min(worker->quarantines++, kMaxQuarantineDoublings);
  worker->quarantined_until = now + kQuarantine * (1U << doublings);
  worker->recent_failures.clear();
  worker->probation_until = worker->quarantined_until + kProbation;
  Event("worker_quarantined", Severity::kWarning)
      .With("worker", worker->id())
      .With("reason", reason)
      .With("ms", (worker->quarantined_until - now) / Milliseconds(1));
}

}  // namespace parsleyline::dispatch
