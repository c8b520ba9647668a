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
constexpr Milliseconds kGangRetry{30};
// A gang reserves only workers that are expected to have capacity within this time. Longer
// reservations would leave capacity idle that other work needs.
constexpr Milliseconds kReservationHorizon{4000};
// A reservation is replaced if the gang does not fit this long after the expected time.
constexpr Milliseconds kReservationSlack{2000};
// The tickets of a gang with a reservation are requested this much earlier than the call takes, so
// that they arrive shortly before the gang is expected to fit.
constexpr Milliseconds kTicketLead{200};
// A gang asks about this many times the workers that it needs, and at least about
// kMinGangWorkers. The advisor may approve only a third, and some of these are full.
constexpr std::size_t kGangChoice = 16;
constexpr std::size_t kMinGangWorkers = 96;
constexpr std::size_t kGangWorkersPerCall = 40;
// Minimum time between two calls in which a gang without a reservation asks about workers that have
// no decision yet, such as new ones.
constexpr Milliseconds kAskUnknownInterval{1000};

}  // namespace

void Coordinator::ScheduleGang(WaitingStep* work, SchedulingPass* pass) {
  const bool reserves = IsReservationUsable(*work, *pass);
  if (!reserves) work->reserved_slots.clear();
  if (pass->now < work->next_attempt) return WithholdReservedWorkers(work, pass);
  // A gang is started again only when all runs of the earlier attempt have ended.
  if (HasOpenRun(work->key)) return;
  work->next_attempt = pass->now + kGangRetry;
  const job::StepSpec& step = cell_state_.Find(work->key.job)->spec.steps[work->key.step];
  const job::QueueSettings& queue = *pass->config->Find(work->queue);
  if (queue.needs_ticket != 0) QueryUndecidedWorkers(work, pass);
  // Prefer workers with usable tickets: any other choice, even a tighter one, needs another call.
  std::vector<WorkerId> chosen =
      PlaceGang(step, FindCandidates(*work, *pass, AdvisorFilter::kUsableTicket));
  if (chosen.empty() && queue.needs_ticket != 0) {
    const std::vector<Candidate> approved = FindCandidates(*work, *pass, AdvisorFilter::kApproved);
    chosen = PlaceGang(step, approved);
    if (chosen.empty()) return ReserveCapacity(work, approved, pass);
    return ReserveAndRequestTickets(work, chosen, pass);
  }
  if (chosen.empty()) {
    return ReserveCapacity(work, FindCandidates(*work, *pass, AdvisorFilter::kApproved), pass);
  }
  const job::StepState& state = *cell_state_.FindStep(work->key);
  const auto saved = std::find_if(state.tasks.begin(), state.tasks.end(),
                                  [](const job::TaskState& it) { return !it.checkpoint.empty(); });
  const std::string checkpoint = saved == state.tasks.end() ? std::string() : saved->checkpoint;
  const job::RunNumber run(state.gang_run.value() + 1);
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    StartTask(work, {{work->key, i}, run}, checkpoint, roster_.Find(chosen[i]), pass);
  }
  work->reserved_slots.clear();
}

// Reserves the chosen workers until the tickets arrive.
void Coordinator::ReserveAndRequestTickets(WaitingStep* work, const std::vector<WorkerId>& chosen,
                                           SchedulingPass* pass) {
  std::set<std::uint32_t> slots;
  for (const WorkerId& it : chosen) slots.insert(roster_.Find(it)->slot);
  work->reserved_slots.assign(slots.begin(), slots.end());
  work->reservation_expiry = pass->now + kReservationSlack;
  RenewTickets(work, Duration(0), pass);
  WithholdReservedWorkers(work, pass);
}

// Asks about several times the workers that the gang needs, those with the most free capacity
// first. The workers are split over concurrent calls, because one call about all of them takes
// seconds.
void Coordinator::QueryUndecidedWorkers(WaitingStep* work, SchedulingPass* pass) {
  const bool first = work->decisions.DecidedCount() == 0;
  const bool due = work->reserved_slots.empty() && pass->now >= work->next_undecided_query;
  if (work->calls_in_flight > 0 || pass->idle_clients.empty() || (!first && !due)) return;
  work->next_undecided_query = pass->now + kAskUnknownInterval;
  const job::StepSpec& step = cell_state_.Find(work->key.job)->spec.steps[work->key.step];
  std::vector<const Worker*> unknown;
  std::size_t per_worker = 0;
  for (const Candidate& it : FindCandidates(*work, *pass, AdvisorFilter::kNotRejected)) {
    const Candidate empty{it.worker, it.worker->report.capacity, 0, false};
    const std::size_t fits = CountFitting(step, empty);
    if (work->decisions.DecisionFor(it.worker->slot) != AdvisorDecisions::Decision::kUnknown)
      continue;
    if (fits == 0) continue;
    per_worker = std::max(per_worker, fits);
    unknown.push_back(it.worker);
  }
  if (unknown.empty()) return;
  std::stable_sort(unknown.begin(), unknown.end(), [](const Worker* a, const Worker* b) {
    return a->FreeCapacity().cpu > b->FreeCapacity().cpu;
  });
  const std::size_t needed = (step.tasks + per_worker - 1) / per_worker;
  const std::size_t named = std::max(needed * kGangChoice, kMinGangWorkers);
  if (unknown.size() > named) unknown.resize(named);
  const std::size_t calls = (unknown.size() + kGangWorkersPerCall - 1) / kGangWorkersPerCall;
  for (std::size_t i = 0; i < calls; ++i) {
    const auto at = [&unknown, calls](std::size_t n) {
      return unknown.begin() + static_cast<std::ptrdiff_t>(unknown.size() * n / calls);
    };
    QueryAdvisor(work, std::vector<const Worker*>(at(i), at(i + 1)), pass);
  }
}

bool Coordinator::IsReservationUsable(const WaitingStep& work, const SchedulingPass& pass) const {
  return !work.reserved_slots.empty() && pass.now < work.reservation_expiry &&
         std::all_of(work.reserved_slots.begin(), work.reserved_slots.end(),
                     [&](std::uint32_t slot) {
                       return pass.capacity_by_slot[slot].worker != nullptr &&
                              !pass.capacity_by_slot[slot].withheld;
                     });
}

void Coordinator::ReserveCapacity(WaitingStep* work, const std::vector<Candidate>& approved,
                                  SchedulingPass* pass) {
  // An expired gang does not take capacity from work that can still end in time or late.
  if (policy_.gang_rule != GangRule::kReserve || work->rank.outcome == ExpectedOutcome::kExpired ||
      pass->withheld_count * kPermille >=
          pass->schedulable_slots.size() * policy_.max_reserved_permille) {
    work->reserved_slots.clear();
    return;
  }
  if (work->reserved_slots.empty()) {
    const job::StepSpec& step = cell_state_.Find(work->key.job)->spec.steps[work->key.step];
    std::vector<Candidate> open = approved;
    std::erase_if(open, [](const Candidate& it) { return it.reserved; });
    std::map<WorkerId, std::vector<std::pair<Duration, Resources>>> ends_in;
    for (const Candidate& it : open)
      ends_in[it.worker->id()] = it.worker->ExpectedReleases(pass->now);
    const auto reservation = PlanReservation(step, open, ends_in, kReservationHorizon);
    if (!reservation) return;
    for (const WorkerId& it : reservation->workers) {
      work->reserved_slots.push_back(roster_.Find(it)->slot);
    }
    work->reservation_expiry = pass->now + reservation->expected_wait + kReservationSlack;
  }
  RenewTickets(work, ExpectedGangWait(*work, *pass), pass);
  WithholdReservedWorkers(work, pass);
}

void Coordinator::WithholdReservedWorkers(WaitingStep* work, SchedulingPass* pass) {
  if (work->rank.outcome == ExpectedOutcome::kInTime) {
    pass->gang_is_waiting = true;
    pass->waiting_gang_priority = work->priority;
  }
  if (work->reserved_slots.empty()) return;
  pass->withheld_count += work->reserved_slots.size();
  for (const std::uint32_t it : work->reserved_slots) {
    pass->capacity_by_slot[it].withheld = true;
    pass->capacity_by_slot[it].reserved_for = work;
  }
}

Duration Coordinator::ExpectedGangWait(const WaitingStep& work, const SchedulingPass& pass) const {
  const job::StepSpec& step = cell_state_.Find(work.key.job)->spec.steps[work.key.step];
  std::vector<Candidate> candidates;
  std::map<WorkerId, std::vector<std::pair<Duration, Resources>>> ends_in;
  for (const std::uint32_t it : work.reserved_slots) {
    const SchedulingPass::WorkerCapacity& room = pass.capacity_by_slot[it];
    candidates.push_back({room.worker, room.free, 0, false});
    ends_in[room.worker->id()] = room.worker->ExpectedReleases(pass.now);
  }
  const auto reservation = PlanReservation(step, candidates, ends_in, kReservationHorizon);
  return reservation ? reservation->expected_wait : Duration(kReservationHorizon);
}

void Coordinator::RenewTickets(WaitingStep* work, Duration wait, SchedulingPass* pass) {
  const job::QueueSettings& queue = *pass->config->Find(work->queue);
  if (queue.needs_ticket == 0 || work->calls_in_flight > 0) return;
  std::vector<const Worker*> reserved;
  bool runs_out = false;
  for (const std::uint32_t it : work->reserved_slots) {
    reserved.push_back(pass->capacity_by_slot[it].worker);
    runs_out = runs_out || work->decisions.TicketValidity(it, pass->now) <= wait;
  }
  const Duration time =
      AdvisorCallDuration(queue.advisor, static_cast<std::int64_t>(reserved.size()));
  if (runs_out && wait <= time + kTicketLead) QueryAdvisor(work, std::move(reserved), pass);
}

}  // namespace parsleyline::dispatch
