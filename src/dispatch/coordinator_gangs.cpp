#include <algorithm>
#include <utility>

#include "dispatch/coordinator.h"
#include "dispatch/scheduling_pass.h"

// The part of the coordinator that places gangs and reserves capacity for them.
namespace parsleyline::dispatch {
namespace {

constexpr std::size_t kPermille = 1000;
// Interval at which a gang that does not fit is considered again. Free capacity changes within tens
// of milliseconds, so that a shorter interval would waste passes.
constexpr Milliseconds kGangRetryInterval{30};
// A gang reserves only workers that are expected to have capacity within this time. Longer
// reservations would leave capacity idle that other work needs.
constexpr Milliseconds kReservationHorizon{4000};
// A reservation is replaced if the gang does not fit this long after the expected time.
constexpr Milliseconds kReservationGrace{2000};
// The tickets of a gang with a reservation are requested this much earlier than the call takes, so
// that they arrive shortly before the gang is expected to fit.
constexpr Milliseconds kTicketLeadTime{200};
// A gang asks about this many times the workers that it needs, and at least about
// kMinGangCandidates. The advisor may approve only a third, and some of these are full.
constexpr std::size_t kGangCandidateFactor = 16;
constexpr std::size_t kMinGangCandidates = 96;
constexpr std::size_t kMaxGangWorkersPerCall = 40;
// Minimum time between two calls in which a gang without a reservation asks about workers that have
// no decision yet, such as new ones.
constexpr Milliseconds kUndecidedQueryInterval{1000};

}  // namespace

void Coordinator::ScheduleGang(WaitingStep* waiting, SchedulingPass* pass) {
  const bool has_reservation = IsReservationUsable(*waiting, *pass);
  if (!has_reservation) waiting->reserved_slots.clear();
  if (pass->now < waiting->next_attempt) return WithholdReservedWorkers(waiting, pass);
  // A gang is started again only when all runs of the earlier attempt have ended.
  if (HasOpenRun(waiting->key)) return;
  const auto& tasks = cell_state_.FindStep(waiting->key)->tasks;
  const auto is_held_back = [](const job::TaskState& it) { return it.IsHeldBack(); };
  if (std::any_of(tasks.begin(), tasks.end(), is_held_back)) return;
  waiting->next_attempt = pass->now + kGangRetryInterval;
  const job::StepSpec& step = cell_state_.Find(waiting->key.job)->spec.steps[waiting->key.step];
  const job::QueueSettings& queue = *cell_state_.FindQueue(waiting->queue);
  if (queue.needs_ticket != 0) QueryUndecidedWorkers(waiting, pass);
  // Prefer workers with usable tickets: any other choice, even a tighter one, needs another call.
  std::vector<WorkerId> chosen =
      PlaceGang(step, FindCandidates(*waiting, *pass, AdvisorFilter::kUsableTicket));
  if (chosen.empty() && queue.needs_ticket != 0) {
    const std::vector<Candidate> approved =
        FindCandidates(*waiting, *pass, AdvisorFilter::kApproved);
    chosen = PlaceGang(step, approved);
    if (chosen.empty()) return ReserveCapacity(waiting, approved, pass);
    return ReserveAndRequestTickets(waiting, chosen, pass);
  }
  if (chosen.empty()) {
    return ReserveCapacity(waiting, FindCandidates(*waiting, *pass, AdvisorFilter::kApproved),
                           pass);
  }
  const job::StepState& state = *cell_state_.FindStep(waiting->key);
  const auto saved = std::find_if(state.tasks.begin(), state.tasks.end(),
                                  [](const job::TaskState& it) { return !it.checkpoint.empty(); });
  const std::string checkpoint = saved == state.tasks.end() ? std::string() : saved->checkpoint;
  const job::RunNumber run(state.gang_run.value() + 1);
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    StartTask(waiting, {{waiting->key, i}, run}, checkpoint, roster_.Find(chosen[i]), pass);
  }
  waiting->reserved_slots.clear();
}

// Reserves the chosen workers until the tickets arrive.
void Coordinator::ReserveAndRequestTickets(WaitingStep* waiting,
                                           const std::vector<WorkerId>& chosen,
                                           SchedulingPass* pass) {
  std::set<std::uint32_t> slots;
  for (const WorkerId& it : chosen) slots.insert(roster_.Find(it)->slot);
  waiting->reserved_slots.assign(slots.begin(), slots.end());
  waiting->reservation_expiry = pass->now + kReservationGrace;
  RenewTickets(waiting, Duration(0), pass);
  WithholdReservedWorkers(waiting, pass);
}

// Asks about several times the workers that the gang needs, those with the most free capacity
// first. The workers are split over concurrent calls, because one call about all of them takes
// seconds.
void Coordinator::QueryUndecidedWorkers(WaitingStep* waiting, SchedulingPass* pass) {
  const bool is_first_query = waiting->decisions.DecidedCount() == 0;
  const bool is_due = waiting->reserved_slots.empty() && pass->now >= waiting->next_undecided_query;
  if (!waiting->calls_in_flight.empty() || pass->idle_clients.empty() ||
      (!is_first_query && !is_due)) {
    return;
  }
  waiting->next_undecided_query = pass->now + kUndecidedQueryInterval;
  const job::StepSpec& step = cell_state_.Find(waiting->key.job)->spec.steps[waiting->key.step];
  std::vector<const Worker*> undecided;
  std::size_t per_worker = 0;
  for (const Candidate& it : FindCandidates(*waiting, *pass, AdvisorFilter::kNotRejected)) {
    const Candidate empty{it.worker, it.worker->report.capacity, 0, false};
    const std::size_t fits = CountFitting(step, empty);
    if (waiting->decisions.DecisionFor(it.worker->slot) != AdvisorDecisions::Decision::kUnknown) {
      continue;
    }
    if (fits == 0) continue;
    per_worker = std::max(per_worker, fits);
    undecided.push_back(it.worker);
  }
  if (undecided.empty()) return;
  std::stable_sort(undecided.begin(), undecided.end(), [](const Worker* a, const Worker* b) {
    return a->FreeCapacity().cpu > b->FreeCapacity().cpu;
  });
  const std::size_t needed = (step.tasks + per_worker - 1) / per_worker;
  const std::size_t candidates = std::max(needed * kGangCandidateFactor, kMinGangCandidates);
  if (undecided.size() > candidates) undecided.resize(candidates);
  const std::size_t calls =
      (undecided.size() + kMaxGangWorkersPerCall - 1) / kMaxGangWorkersPerCall;
  for (std::size_t i = 0; i < calls; ++i) {
    const auto at = [&undecided, calls](std::size_t n) {
      return undecided.begin() + static_cast<std::ptrdiff_t>(undecided.size() * n / calls);
    };
    QueryAdvisor(waiting, std::vector<const Worker*>(at(i), at(i + 1)), pass);
  }
}

bool Coordinator::IsReservationUsable(const WaitingStep& waiting,
                                      const SchedulingPass& pass) const {
  return !waiting.reserved_slots.empty() && pass.now < waiting.reservation_expiry &&
         std::all_of(waiting.reserved_slots.begin(), waiting.reserved_slots.end(),
                     [&](std::uint32_t slot) {
                       return pass.capacity_by_slot[slot].worker != nullptr &&
                              !pass.capacity_by_slot[slot].withheld;
                     });
}

void Coordinator::ReserveCapacity(WaitingStep* waiting, const std::vector<Candidate>& approved,
                                  SchedulingPass* pass) {
  // An expired gang does not take capacity from work that can still end in time or late.
  if (policy_.gang_rule != GangRule::kReserve ||
      waiting->rank.outcome == ExpectedOutcome::kExpired ||
      pass->withheld_count * kPermille >=
          pass->schedulable_slots.size() * policy_.max_reserved_permille) {
    waiting->reserved_slots.clear();
    return;
  }
  if (waiting->reserved_slots.empty()) {
    const job::StepSpec& step = cell_state_.Find(waiting->key.job)->spec.steps[waiting->key.step];
    std::vector<Candidate> unreserved = approved;
    std::erase_if(unreserved, [](const Candidate& it) { return it.reserved; });
    std::map<WorkerId, std::vector<std::pair<Duration, Resources>>> releases;
    for (const Candidate& it : unreserved) {
      releases[it.worker->id()] = it.worker->ExpectedReleases(pass->now);
    }
    const auto reservation = PlanReservation(step, unreserved, releases, kReservationHorizon);
    if (!reservation) return;
    for (const WorkerId& it : reservation->workers) {
      waiting->reserved_slots.push_back(roster_.Find(it)->slot);
    }
    waiting->reservation_expiry = pass->now + reservation->expected_wait + kReservationGrace;
  }
  RenewTickets(waiting, ExpectedGangWait(*waiting, *pass), pass);
  WithholdReservedWorkers(waiting, pass);
}

void Coordinator::WithholdReservedWorkers(WaitingStep* waiting, SchedulingPass* pass) {
  if (waiting->rank.outcome == ExpectedOutcome::kInTime) {
    pass->gang_is_waiting = true;
    pass->waiting_gang_priority = waiting->priority;
  }
  if (waiting->reserved_slots.empty()) return;
  pass->withheld_count += waiting->reserved_slots.size();
  for (const std::uint32_t it : waiting->reserved_slots) {
    pass->capacity_by_slot[it].withheld = true;
    pass->capacity_by_slot[it].reserved_for = waiting;
  }
}

Duration Coordinator::ExpectedGangWait(const WaitingStep& waiting,
                                       const SchedulingPass& pass) const {
  const job::StepSpec& step = cell_state_.Find(waiting.key.job)->spec.steps[waiting.key.step];
  std::vector<Candidate> candidates;
  std::map<WorkerId, std::vector<std::pair<Duration, Resources>>> releases;
  for (const std::uint32_t it : waiting.reserved_slots) {
    const SchedulingPass::WorkerCapacity& capacity = pass.capacity_by_slot[it];
    candidates.push_back({capacity.worker, capacity.free, 0, false});
    releases[capacity.worker->id()] = capacity.worker->ExpectedReleases(pass.now);
  }
  const auto reservation = PlanReservation(step, candidates, releases, kReservationHorizon);
  return reservation ? reservation->expected_wait : Duration(kReservationHorizon);
}

void Coordinator::RenewTickets(WaitingStep* waiting, Duration expected_wait, SchedulingPass* pass) {
  const job::QueueSettings& queue = *cell_state_.FindQueue(waiting->queue);
  if (queue.needs_ticket == 0 || !waiting->calls_in_flight.empty()) return;
  std::vector<const Worker*> reserved;
  bool ticket_expires = false;
  for (const std::uint32_t it : waiting->reserved_slots) {
    reserved.push_back(pass->capacity_by_slot[it].worker);
    ticket_expires =
        ticket_expires || waiting->decisions.TicketValidity(it, pass->now) <= expected_wait;
  }
  const Duration call_duration =
      AdvisorCallDuration(queue.advisor, static_cast<std::int64_t>(reserved.size()));
  if (ticket_expires && expected_wait <= call_duration + kTicketLeadTime) {
    QueryAdvisor(waiting, std::move(reserved), pass);
  }
}

}  // namespace parsleyline::dispatch
