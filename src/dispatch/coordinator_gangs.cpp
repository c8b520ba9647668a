#include <algorithm>
#include <utility>

#include "dispatch/coordinator.h"
#include "dispatch/step_work.h"

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

void Coordinator::ScheduleGang(StepWork* work, PassState* pass) {
  const bool reserves = IsReservationUsable(*work, *pass);
  if (!reserves) work->reserved.clear();
  if (pass->now < work->next_try) return Withhold(work, pass);
  // A gang is started again only when all runs of the earlier attempt have ended.
  if (IsAnyRunOpen(work->key)) return;
  work->next_try = pass->now + kGangRetry;
  const job::StepSpec& step = book_.Find(work->key.job)->spec.steps[work->key.step];
  const job::QueueSettings& queue = *pass->config->Find(work->queue);
  if (queue.needs_ticket != 0) AskAboutUnknown(work, pass);
  // Prefer workers with usable tickets: any other choice, even a tighter one, needs another call.
  std::vector<WorkerId> chosen =
      PlaceGang(step, Candidates(*work, *pass, TicketRule::kValidTicket));
  if (chosen.empty() && queue.needs_ticket != 0) {
    const std::vector<Candidate> approved = Candidates(*work, *pass, TicketRule::kApproved);
    chosen = PlaceGang(step, approved);
    if (chosen.empty()) return ReserveRoom(work, approved, pass);
    return FetchTickets(work, chosen, pass);
  }
  if (chosen.empty()) {
    return ReserveRoom(work, Candidates(*work, *pass, TicketRule::kApproved), pass);
  }
  const job::StepState& state = *book_.FindStep(work->key);
  const auto saved = std::find_if(state.tasks.begin(), state.tasks.end(),
                                  [](const job::TaskState& it) { return !it.checkpoint.empty(); });
  const std::string checkpoint = saved == state.tasks.end() ? std::string() : saved->checkpoint;
  const job::RunNumber run(state.gang_run.value() + 1);
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    StartTask(work, {{work->key, i}, run}, checkpoint, fleet_.Find(chosen[i]), pass);
  }
  work->reserved.clear();
}

// Reserves the chosen workers until the tickets arrive.
void Coordinator::FetchTickets(StepWork* work, const std::vector<WorkerId>& chosen,
                               PassState* pass) {
  std::set<std::uint32_t> slots;
  for (const WorkerId& it : chosen) slots.insert(fleet_.Find(it)->slot);
  work->reserved.assign(slots.begin(), slots.end());
  work->reserved_until = pass->now + kReservationSlack;
  RenewTickets(work, Duration(0), pass);
  Withhold(work, pass);
}

// Asks about several times the workers that the gang needs, those with the most free capacity
// first. The workers are split over concurrent calls, because one call about all of them takes
// seconds.
void Coordinator::AskAboutUnknown(StepWork* work, PassState* pass) {
  const bool first = work->advice.KnownCount() == 0;
  const bool due = work->reserved.empty() && pass->now >= work->next_unknown_ask;
  if (work->calls > 0 || pass->idle_callers.empty() || (!first && !due)) return;
  work->next_unknown_ask = pass->now + kAskUnknownInterval;
  const job::StepSpec& step = book_.Find(work->key.job)->spec.steps[work->key.step];
  std::vector<const Worker*> unknown;
  std::size_t per_worker = 0;
  for (const Candidate& it : Candidates(*work, *pass, TicketRule::kNotRefused)) {
    const Candidate empty{it.worker, it.worker->report.capacity, 0, false};
    const std::size_t fits = FitCount(step, empty);
    if (work->advice.VerdictOf(it.worker->slot) != StepAdvice::Verdict::kUnknown) continue;
    if (fits == 0) continue;
    per_worker = std::max(per_worker, fits);
    unknown.push_back(it.worker);
  }
  if (unknown.empty()) return;
  std::stable_sort(unknown.begin(), unknown.end(),
                   [](const Worker* a, const Worker* b) { return a->Free().cpu > b->Free().cpu; });
  const std::size_t needed = (step.tasks + per_worker - 1) / per_worker;
  const std::size_t named = std::max(needed * kGangChoice, kMinGangWorkers);
  if (unknown.size() > named) unknown.resize(named);
  const std::size_t calls = (unknown.size() + kGangWorkersPerCall - 1) / kGangWorkersPerCall;
  for (std::size_t i = 0; i < calls; ++i) {
    const auto at = [&unknown, calls](std::size_t n) {
      return unknown.begin() + static_cast<std::ptrdiff_t>(unknown.size() * n / calls);
    };
    Ask(work, std::vector<const Worker*>(at(i), at(i + 1)), pass);
  }
}

bool Coordinator::IsReservationUsable(const StepWork& work, const PassState& pass) const {
  return !work.reserved.empty() && pass.now < work.reserved_until &&
         std::all_of(work.reserved.begin(), work.reserved.end(), [&](std::uint32_t slot) {
           return pass.rooms[slot].worker != nullptr && !pass.rooms[slot].withheld;
         });
}

void Coordinator::ReserveRoom(StepWork* work, const std::vector<Candidate>& approved,
                              PassState* pass) {
  // An expired gang does not take capacity from work that can still end in time or late.
  if (policy_.gangs != GangRule::kReserve || work->urgency.prospect == Prospect::kLost ||
      pass->withheld * kPermille >= pass->open.size() * policy_.reserved_permille) {
    work->reserved.clear();
    return;
  }
  if (work->reserved.empty()) {
    const job::StepSpec& step = book_.Find(work->key.job)->spec.steps[work->key.step];
    std::vector<Candidate> open = approved;
    std::erase_if(open, [](const Candidate& it) { return it.reserved; });
    std::map<WorkerId, std::vector<std::pair<Duration, Resources>>> ends_in;
    for (const Candidate& it : open) ends_in[it.worker->id()] = it.worker->ExpectedEnds(pass->now);
    const auto reservation = ReserveForGang(step, open, ends_in, kReservationHorizon);
    if (!reservation) return;
    for (const WorkerId& it : reservation->workers) {
      work->reserved.push_back(fleet_.Find(it)->slot);
    }
    work->reserved_until = pass->now + reservation->wait + kReservationSlack;
  }
  RenewTickets(work, ExpectedWait(*work, *pass), pass);
  Withhold(work, pass);
}

void Coordinator::Withhold(StepWork* work, PassState* pass) {
  if (work->urgency.prospect == Prospect::kInTime) {
    pass->gang_waits = true;
    pass->gang_priority = work->priority;
  }
  if (work->reserved.empty()) return;
  pass->withheld += work->reserved.size();
  for (const std::uint32_t it : work->reserved) {
    pass->rooms[it].withheld = true;
    pass->rooms[it].reserved_for = work;
  }
}

Duration Coordinator::ExpectedWait(const StepWork& work, const PassState& pass) const {
  const job::StepSpec& step = book_.Find(work.key.job)->spec.steps[work.key.step];
  std::vector<Candidate> candidates;
  std::map<WorkerId, std::vector<std::pair<Duration, Resources>>> ends_in;
  for (const std::uint32_t it : work.reserved) {
    const PassState::Room& room = pass.rooms[it];
    candidates.push_back({room.worker, room.free, 0, false});
    ends_in[room.worker->id()] = room.worker->ExpectedEnds(pass.now);
  }
  const auto reservation = ReserveForGang(step, candidates, ends_in, kReservationHorizon);
  return reservation ? reservation->wait : Duration(kReservationHorizon);
}

void Coordinator::RenewTickets(StepWork* work, Duration wait, PassState* pass) {
  const job::QueueSettings& queue = *pass->config->Find(work->queue);
  if (queue.needs_ticket == 0 || work->calls > 0) return;
  std::vector<const Worker*> reserved;
  bool runs_out = false;
  for (const std::uint32_t it : work->reserved) {
    reserved.push_back(pass->rooms[it].worker);
    runs_out = runs_out || work->advice.TicketLife(it, pass->now) <= wait;
  }
  const Duration time = AdviceTime(queue.advisor, static_cast<std::int64_t>(reserved.size()));
  if (runs_out && wait <= time + kTicketLead) Ask(work, std::move(reserved), pass);
}

}  // namespace parsleyline::dispatch
