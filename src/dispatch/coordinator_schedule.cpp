#include <algorithm>
#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "dispatch/coordinator.h"
#include "dispatch/step_work.h"

// The part of the coordinator that runs scheduling passes and calls the advisor.
namespace parsleyline::dispatch {
namespace {

// The advisor accepts at most this many workers per call.
constexpr std::size_t kMaxWorkersPerCall = 100;
// Assumed share of the workers that the advisor approves, in thousandths. Determines how many
// undecided workers a call names.
constexpr std::size_t kUsualApprovalPermille = 400;
constexpr std::size_t kPermille = 1000;
constexpr std::size_t kMinWorkersPerCall = 6;
// Calls whose fixed part is shorter than this name few workers and are repeated instead, because
// handling a long reply costs the leader more than another call costs the advisor.
constexpr Milliseconds kCheapCall{50};
// In longer calls, full workers may be named for up to the fixed part of the call divided by this.
constexpr std::int64_t kCallStretch = 2;
// A call that takes longer than this is sent only if kCallersForShortCalls clients stay idle.
constexpr Milliseconds kLongCall{300};
constexpr std::size_t kCallersForShortCalls = 3;
// A call without a reply after this time is given up, and the client is used again.
constexpr Milliseconds kCallerTimeout{5000};
constexpr Milliseconds kAskRetry{200};
// Interval at which a step that does not fit is considered again. Free capacity changes within tens
// of milliseconds, so that a shorter interval would waste passes.
constexpr Milliseconds kNoRoomRetry{30};
// Steps that have less slack than this are considered in each pass.
constexpr Milliseconds kHurry{1000};
// Interval at which the critical path of a waiting step is computed again. Predictions change
// little within this time, and computing them in each pass would cost more than the rest of the
// pass.
constexpr Milliseconds kChainRefresh{500};
// Tasks of lower priority with more slack than this wait while a gang is waiting. They would take
// the capacity that the gang needs, and can still meet their objective later.
constexpr Milliseconds kPatientSlack{5000};

// Returns how many workers a call names even if they are full. This makes a long call only a little
// longer, and tickets are available as soon as tasks end on these workers.
std::size_t UsualNames(const job::AdvisorSettings& advisor) {
  if (Microseconds(advisor.call_base_us) < kCheapCall) return 0;
  const std::int64_t per_worker = std::max<std::int64_t>(advisor.call_per_worker_us, 1);
  return static_cast<std::size_t>(advisor.call_base_us / (kCallStretch * per_worker));
}

}  // namespace

bool Coordinator::IsReady(const job::Job& job, const job::StepKey& key) const {
  const job::OccurrenceState& occurrence = job.occurrences[key.occurrence];
  if (occurrence.steps[key.step].Waiting() == 0) return false;
  if (job.spec.IsTimed() && job.spec.DueTime(key.occurrence) > unix_time_()) return false;
  const auto& depends_on = job.spec.steps[key.step].depends_on;
  return std::all_of(depends_on.begin(), depends_on.end(), [&occurrence](std::uint32_t it) {
    return it < occurrence.steps.size() && occurrence.steps[it].IsDone();
  });
}

void Coordinator::RefreshJob(const job::JobId& id) {
  const job::Job* job = book_.Find(id);
  const job::QueueSettings* queue =
      job == nullptr || job->HasEnded() ? nullptr : book_.config().Find(job->queue);
  if (queue == nullptr) {
    timed_jobs_.erase(id);
    auto it = waiting_.lower_bound({id, 0, 0});
    while (it != waiting_.end() && it->first.job == id) it = waiting_.erase(it);
    return;
  }
  if (job->spec.IsTimed()) timed_jobs_.insert(id);
  for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
    for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
      RefreshStep(*job, *queue, {id, k, s});
    }
  }
}

void Coordinator::RefreshStep(const job::Job& job, const job::QueueSettings& queue,
                              const job::StepKey& key) {
  if (!IsReady(job, key)) {
    waiting_.erase(key);
    return;
  }
  auto& work = waiting_[key];
  if (work != nullptr) return;
  work = std::make_unique<StepWork>();
  work->key = key;
  work->queue = queue.id;
  work->priority = queue.priority;
  const job::UnixMillis begin =
      job.spec.IsTimed() ? job.spec.DueTime(key.occurrence) : job.accepted_at;
  const Milliseconds age(std::max<std::int64_t>(unix_time_().value() - begin.value(), 0));
  work->accepted = clock_.Now() - age;
}

void Coordinator::RefreshTimedJobs() {
  const std::set<job::JobId> timed = timed_jobs_;
  for (const job::JobId& it : timed) RefreshJob(it);
}

void Coordinator::UpdateBacklog() {
  const TimePoint now = clock_.Now();
  backlog_ = {};
  for (const auto& [id, worker] : fleet_.workers()) {
    if (!worker.TakesWork(now)) continue;
    backlog_.capacity_millis += worker.report.capacity.cpu.count();
    for (const auto& [key, run] : worker.runs) {
      backlog_.running += run.demand.cpu.count() * (run.ExpectedRest(now) / Milliseconds(1)) /
                          static_cast<std::int64_t>(kPermille);
    }
  }
  const job::UnixMillis unix_now = unix_time_();
  for (const job::JobId& id : book_.open_jobs()) {
    const job::Job& job = *book_.Find(id);
    if (job.spec.IsTimed()) continue;
    const job::QueueSettings* queue = book_.config().Find(job.queue);
    if (queue == nullptr) continue;
    const Duration age = Milliseconds(unix_now.value() - job.accepted_at.value());
    const DurationModel& durations = durations_[job.queue];
    const Urgency urgency = UrgencyOf(
        now, now - age, Objective(job.spec, *queue, durations),
        RemainingChain(job.spec, job.occurrences.front(), *queue, durations), queue->priority);
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
      const job::StepSpec& step = job.spec.steps[i];
      const std::int64_t waiting = job.occurrences.front().steps[i].Waiting();
      backlog_.Add(urgency.prospect, queue->priority,
                   waiting * step.demand.cpu.count() *
                       (durations.Predict(step.estimate) / Milliseconds(1)) /
                       static_cast<std::int64_t>(kPermille));
    }
  }
}

void Coordinator::BeginPass(PassState* pass) {
  pass->now = clock_.Now();
  pass->config = &book_.config();
  pass->rooms.resize(fleet_.SlotCount());
  for (auto& [id, worker] : fleet_.workers()) {
    if (!worker.TakesWork(pass->now)) continue;
    const Resources free = worker.Free();
    pass->rooms[worker.slot] = {&worker, free, false, nullptr};
    pass->open.push_back(worker.slot);
    pass->largest.RaiseTo(free);
  }
  for (const auto& [key, work] : waiting_) {
    for (const std::uint32_t it : work->reserved) pass->rooms[it].reserved_for = work.get();
  }
  for (auto& [id, caller] : callers_) {
    if (caller.busy_with && pass->now - caller.busy_since > kCallerTimeout) {
      if (const auto it = waiting_.find(*caller.busy_with); it != waiting_.end()) {
        --it->second->calls;
      }
      caller.busy_with.reset();
    }
    if (!caller.busy_with && pass->now - caller.last_seen < kCallerTimeout) {
      pass->idle_callers.push_back(id);
    }
  }
}

void Coordinator::Schedule() {
  if (waiting_.empty()) return;
  PassState pass;
  BeginPass(&pass);
  if (pass.open.empty()) return;
  std::vector<std::pair<Urgency, StepWork*>> order;
  order.reserve(waiting_.size());
  for (const auto& [key, work] : waiting_) {
    const job::Job* job = book_.Find(key.job);
    const job::QueueSettings* queue = pass.config->Find(work->queue);
    if (job == nullptr || queue == nullptr) continue;
    if (pass.now >= work->next_chain) {
      work->next_chain = pass.now + kChainRefresh;
      const DurationModel& durations = durations_[work->queue];
      work->objective = Objective(job->spec, *queue, durations);
      work->remaining =
          RemainingChain(job->spec, job->occurrences[key.occurrence], *queue, durations);
    }
    work->urgency =
        UrgencyOf(pass.now, work->accepted, work->objective, work->remaining, queue->priority);
    Urgency rank = Ordered(work->urgency, policy_.order, work->accepted);
    const job::StepSpec& step = job->spec.steps[key.step];
    if (step.Has(job::StepFlag::kGang)) rank.slack -= policy_.lead_per_member * step.tasks;
    order.emplace_back(rank, work.get());
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->key < b.second->key;
  });
  for (const auto& [urgency, work] : order) ScheduleStep(work, &pass);
}

void Coordinator::ScheduleStep(StepWork* work, PassState* pass) {
  const job::Job* job = book_.Find(work->key.job);
  const job::StepSpec& step = job->spec.steps[work->key.step];
  if (step.Has(job::StepFlag::kGang)) {
    ScheduleGang(work, pass);
  } else {
    ScheduleTasks(work, pass);
  }
}

std::vector<std::uint32_t> Coordinator::WaitingTasks(const StepWork& work) const {
  const job::StepState& step = *book_.FindStep(work.key);
  std::vector<std::uint32_t> tasks;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].phase != job::TaskPhase::kWaiting) continue;
    const job::RunNumber next(step.tasks[i].run.value() + 1);
    if (!run_index_.contains({{work.key, i}, next})) tasks.push_back(i);
  }
  return tasks;
}

std::map<WorkerId, std::uint32_t> Coordinator::RunningByWorker(const job::StepKey& step) const {
  std::map<WorkerId, std::uint32_t> running;
  for (auto it = run_index_.lower_bound({{step, 0}, job::RunNumber()});
       it != run_index_.end() && it->first.task.step == step; ++it) {
    ++running[it->second];
  }
  return running;
}

bool Coordinator::IsAnyRunOpen(const job::StepKey& step) const {
  const auto it = run_index_.lower_bound({{step, 0}, job::RunNumber()});
  return it != run_index_.end() && it->first.task.step == step;
}

std::vector<Candidate> Coordinator::Candidates(const StepWork& work, const PassState& pass,
                                               TicketRule rule) const {
  const job::StepSpec& step = book_.Find(work.key.job)->spec.steps[work.key.step];
  const job::QueueSettings& queue = *pass.config->Find(work.queue);
  const auto running =
      step.max_per_worker > 0 ? RunningByWorker(work.key) : std::map<WorkerId, std::uint32_t>();
  const bool by_ticket = queue.needs_ticket != 0;
  const bool only_approved = by_ticket && rule != TicketRule::kNotRefused;
  std::vector<Candidate> candidates;
  for (const std::uint32_t slot : only_approved ? work.advice.approved() : pass.open) {
    const PassState::Room& room = pass.rooms[slot];
    if (room.worker == nullptr || room.withheld || room.worker->report.pool != queue.pool) continue;
    if (step.Has(job::StepFlag::kGang) && room.worker->IsOnProbation(pass.now)) continue;
    if (!step.required_label.empty() && !room.worker->HasLabel(step.required_label)) continue;
    if (by_ticket && !only_approved &&
        work.advice.VerdictOf(slot) == StepAdvice::Verdict::kRefused) {
      continue;
    }
    if (by_ticket && rule == TicketRule::kValidTicket &&
        work.advice.TicketLife(slot, pass.now) <= Duration(0)) {
      continue;
    }
    const auto count = running.find(room.worker->id());
    candidates.push_back({room.worker, room.free, count == running.end() ? 0 : count->second,
                          room.reserved_for != nullptr && room.reserved_for != &work});
  }
  return candidates;
}

void Coordinator::ScheduleTasks(StepWork* work, PassState* pass) {
  const job::StepSpec& step = book_.Find(work->key.job)->spec.steps[work->key.step];
  const bool charged = !step.Has(job::StepFlag::kUsesIdleCpu);
  if (charged && !step.demand.FitsInto(pass->largest)) return;
  const bool can_wait =
      work->urgency.prospect == Prospect::kInTime && work->urgency.slack > kPatientSlack;
  if (can_wait && pass->gang_waits && work->priority > pass->gang_priority) return;
  if (pass->now < work->next_try) return;
  const std::vector<std::uint32_t> tasks = WaitingTasks(*work);
  if (tasks.empty()) return;
  const auto chosen = PlaceTasks(step, static_cast<std::uint32_t>(tasks.size()),
                                 Candidates(*work, *pass, TicketRule::kValidTicket));
  const job::StepState& state = *book_.FindStep(work->key);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    const job::TaskState& task = state.tasks[tasks[i]];
    StartTask(work, {{work->key, tasks[i]}, job::RunNumber(task.run.value() + 1)}, task.checkpoint,
              fleet_.Find(chosen[i]), pass);
  }
  if (chosen.size() == tasks.size()) return;
  const bool hurries = work->urgency.prospect == Prospect::kInTime && work->urgency.slack < kHurry;
  if (chosen.empty() && !hurries) work->next_try = pass->now + kNoRoomRetry;
  if (pass->config->Find(work->queue)->needs_ticket == 0) return;
  AskAboutRoom(work, static_cast<std::uint32_t>(tasks.size() - chosen.size()), pass);
}

void Coordinator::AskAboutRoom(StepWork* work, std::uint32_t tasks, PassState* pass) {
  if (work->calls > 0 || pass->now < work->next_ask || pass->idle_callers.empty()) return;
  const job::StepSpec& step = book_.Find(work->key.job)->spec.steps[work->key.step];
  std::vector<Candidate> candidates = Candidates(*work, *pass, TicketRule::kNotRefused);
  std::erase_if(candidates, [&](const Candidate& it) {
    return work->advice.TicketLife(it.worker->slot, pass->now) > Duration(0);
  });
  const auto has_room = [&step](const Candidate& it) { return FitCount(step, it) > 0; };
  if (std::none_of(candidates.begin(), candidates.end(), has_room)) {
    work->next_ask = pass->now + kNoRoomRetry;
    return;
  }
  const auto is_approved = [work](const Candidate& it) {
    return work->advice.VerdictOf(it.worker->slot) == StepAdvice::Verdict::kApproved;
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     if (has_room(a) != has_room(b)) return has_room(a);
                     if (a.reserved != b.reserved) return b.reserved;
                     if (is_approved(a) != is_approved(b)) return is_approved(a);
                     return a.room.cpu > b.room.cpu;
                   });
  const std::size_t usual = UsualNames(pass->config->Find(work->queue)->advisor);
  std::vector<const Worker*> named;
  std::size_t expected_permille = 0;
  for (const Candidate& it : candidates) {
    const std::size_t fits = std::min(FitCount(step, it), tasks);
    const bool enough = !has_room(it) || (expected_permille >= tasks * kPermille &&
                                          named.size() >= kMinWorkersPerCall);
    if (enough && named.size() >= usual) break;
    expected_permille += fits * (is_approved(it) ? kPermille : kUsualApprovalPermille);
    named.push_back(it.worker);
  }
  Ask(work, std::move(named), pass);
}

void Coordinator::Ask(StepWork* work, std::vector<const Worker*> workers, PassState* pass) {
  if (pass->now < work->next_ask || workers.empty()) return;
  if (workers.size() > kMaxWorkersPerCall) workers.resize(kMaxWorkersPerCall);
  const job::QueueSettings& queue = *pass->config->Find(work->queue);
  const Duration time = AdviceTime(queue.advisor, static_cast<std::int64_t>(workers.size()));
  const std::size_t kept =
      time > kLongCall ? std::min(kCallersForShortCalls, callers_.size() - 1) : 0;
  if (pass->idle_callers.size() <= kept) return;
  const NodeId caller = pass->idle_callers.back();
  pass->idle_callers.pop_back();
  AdvisorQuery query{work->key, {}};
  Caller& state = callers_[caller];
  state.busy_with = work->key;
  state.busy_since = pass->now;
  state.asked.clear();
  for (const Worker* it : workers) {
    query.workers.push_back(it->id());
    state.asked.push_back({it->id(), it->slot});
  }
  ++work->calls;
  ++counts_.advice_calls;
  outbox_.QueryAdvisor(caller, query);
}

void Coordinator::OnAdvisorReply(const NodeId& caller, const AdvisorQuery& query,
                                 const AdvisorReply& reply) {
  Caller& state = callers_[caller];
  const bool expected = state.busy_with && *state.busy_with == query.step;
  if (!expected) return;
  state.busy_with.reset();
  const auto it = waiting_.find(query.step);
  if (!leads_ || it == waiting_.end()) return;
  StepWork& work = *it->second;
  --work.calls;
  work.next_try = TimePoint();
  work.advice.Note(state.asked, reply, clock_.Now());
  if (reply.answered == 0) work.next_ask = clock_.Now() + kAskRetry;
  Event("advice")
      .With("step", query.step)
      .With("caller", caller)
      .With("asked", query.workers.size())
      .With("approved", reply.approvals.size())
      .With("answered", reply.answered);
  outbox_.RequestSchedulingPass();
}

void Coordinator::StartTask(StepWork* work, const job::RunKey& key, const std::string& checkpoint,
                            Worker* worker, PassState* pass) {
  const job::Job* job = book_.Find(work->key.job);
  const job::StepSpec& step = job->spec.steps[work->key.step];
  Run& run = fleet_.Add(worker, key, step.demand, step.flags);
  run.phase = RunPhase::kProposed;
  run.declared = step.estimate;
  run.estimate =
      std::chrono::duration_cast<Milliseconds>(durations_[work->queue].Predict(step.estimate));
  run.ordered_at = pass->now;
  run_index_[key] = worker->id();
  pass->rooms[worker->slot].free = worker->Free();
  StartOrder order;
  order.to = worker->Address();
  order.run = key;
  order.payload = job->spec.payload;
  order.checkpoint = checkpoint;
  order.ticket = work->advice.TicketFor(worker->slot, pass->now);
  order.fence = fence_;
  prepared_[key] = std::move(order);
  batch_.starts.push_back({key.task, key.run, worker->report.incarnation});
  Event("start")
      .With("run", key.task)
      .With("number", key.run)
      .With("worker", worker->id())
      .With("free_cpu", worker->Free().cpu.count())
      .With("waited_ms", (pass->now - work->accepted) / Milliseconds(1));
}

}  // namespace parsleyline::dispatch
