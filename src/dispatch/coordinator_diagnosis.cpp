#include <algorithm>

#include "base/event_log.h"
#include "dispatch/coordinator.h"
#include "dispatch/scheduling_pass.h"

// The part of the coordinator that reports steps and workers that are passed over although the cell
// has capacity.
namespace parsleyline::dispatch {
namespace {

constexpr Milliseconds kDiagnosisInterval{5000};
// A step without a run is overdue after this time.
constexpr Milliseconds kOverdueAfter{5000};
// A worker answers a hold within two seconds, or the hold fails.
constexpr Milliseconds kHoldOverdueAfter{3000};

const char* Name(WaitReason reason) {
  constexpr const char* kNames[] = {"not_queued", "no_queue",  "open_run",
                                    "no_worker",  "capacity",  "not_approved",
                                    "undecided",  "no_ticket", "fits"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace

void Coordinator::ReportOverdueWork() {
  const TimePoint now = clock_.Now();
  if (now < next_diagnosis_) return;
  next_diagnosis_ = now + kDiagnosisInterval;
  counts_.overdue_steps = 0;
  counts_.overdue_holds = 0;
  std::int64_t capacity = 0;
  std::int64_t charged = 0;
  for (const auto& [id, worker] : roster_.workers()) {
    if (worker.IsSchedulable(now)) {
      capacity += worker.report.capacity.cpu.count();
      charged += worker.charged.cpu.count();
    }
    if (!worker.reconciled || worker.unanswered_holds > 0) continue;
    if (now - worker.last_hold_reply < kHoldOverdueAfter) continue;
    ++counts_.overdue_holds;
    Event("hold_overdue", Severity::kWarning)
        .With("worker", id)
        .With("silent_ms", (now - worker.last_hold_reply) / Milliseconds(1))
        .With("in_flight", worker.hold_in_flight ? 1 : 0)
        .With("lists_in_flight", worker.lists_in_flight);
  }
  // In a full cell, steps wait for capacity.
  if (charged > capacity / 2) return;
  SchedulingPass pass;
  BeginPass(&pass);
  for (const job::JobId& id : cell_state_.open_jobs()) {
    const job::Job& job = *cell_state_.Find(id);
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
      for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
        if (HasStartableTasks(job, {id, k, s})) ReportIfOverdue(job, {id, k, s}, pass);
      }
    }
  }
}

void Coordinator::ReportIfOverdue(const job::Job& job, const job::StepKey& key,
                                  const SchedulingPass& pass) {
  const job::StepSpec& step = job.spec.steps[key.step];
  const auto it = waiting_steps_.find(key);
  if (it == waiting_steps_.end()) {
    const bool has_queue = cell_state_.FindQueue(job.queue) != nullptr;
    ++counts_.overdue_steps;
    Event("step_overdue", Severity::kWarning)
        .With("step", key)
        .With("reason", Name(has_queue ? WaitReason::kNotQueued : WaitReason::kNoQueue))
        .With("queue", job.queue);
    return;
  }
  const WaitingStep& waiting = *it->second;
  const bool is_gang = step.Has(job::StepFlag::kGang);
  const auto run = worker_by_run_.lower_bound({{key, 0}, job::RunNumber()});
  const bool has_run = run != worker_by_run_.end() && run->first.task.step == key;
  if (pass.now - waiting.queued_at < kOverdueAfter || (has_run && !is_gang)) return;
  ++counts_.overdue_steps;
  const WaitReason reason = DiagnoseWait(waiting, step, pass);
  std::size_t usable_tickets = 0;
  std::size_t approved = 0;
  for (const std::uint32_t slot : waiting.decisions.approved()) {
    if (pass.capacity_by_slot[slot].worker == nullptr) continue;
    ++approved;
    if (waiting.decisions.TicketValidity(slot, pass.now) > Duration(0)) ++usable_tickets;
  }
  Event event("step_overdue", Severity::kWarning);
  event.With("step", key)
      .With("reason", Name(reason))
      .With("queued_ms", (pass.now - waiting.queued_at) / Milliseconds(1))
      .With("tasks", step.tasks)
      .With("cpu", step.demand.cpu.count())
      .With("outcome", static_cast<int>(waiting.rank.outcome))
      .With("workers", pass.schedulable_slots.size())
      .With("decided", waiting.decisions.DecidedCount())
      .With("approved", approved)
      .With("tickets", usable_tickets)
      .With("calls_in_flight", waiting.calls_in_flight.size())
      .With("idle_callers", pass.idle_clients.size())
      .With("callers", advisor_clients_.size())
      .With("reserved", waiting.reserved_slots.size());
  if (!has_run) return;
  Worker* worker = nullptr;
  const Run* open_run = FindRun(run->first, &worker);
  event.With("run", run->first.task)
      .With("number", run->first.run)
      .With("worker", run->second)
      .With("phase", open_run == nullptr ? -1 : static_cast<int>(open_run->phase));
}

WaitReason Coordinator::DiagnoseWait(const WaitingStep& waiting, const job::StepSpec& step,
                                     const SchedulingPass& pass) const {
  const job::QueueSettings* queue = cell_state_.FindQueue(waiting.queue);
  if (queue == nullptr) return WaitReason::kNoQueue;
  const bool is_gang = step.Has(job::StepFlag::kGang);
  if (is_gang && HasOpenRun(waiting.key)) return WaitReason::kOpenRun;
  const auto fits = [&](AdvisorFilter filter) {
    const std::vector<Candidate> candidates = FindCandidates(waiting, pass, filter);
    return is_gang ? !PlaceGang(step, candidates).empty()
                   : !PlaceTasks(step, 1, candidates).empty();
  };
  const std::vector<Candidate> possible =
      FindCandidates(waiting, pass, AdvisorFilter::kNotRejected);
  if (pass.schedulable_slots.empty()) return WaitReason::kNoWorker;
  if (fits(AdvisorFilter::kUsableTicket)) return WaitReason::kFits;
  if (queue->needs_ticket == 0) return WaitReason::kNoCapacity;
  if (fits(AdvisorFilter::kApproved)) return WaitReason::kNoTicket;
  if (fits(AdvisorFilter::kNotRejected)) return WaitReason::kUndecided;
  return possible.size() < pass.schedulable_slots.size() ? WaitReason::kNotApproved
                                                         : WaitReason::kNoCapacity;
}

}  // namespace parsleyline::dispatch
