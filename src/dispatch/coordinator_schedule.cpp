#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "base/event_log.h"
#include "dispatch/coordinator.h"
#include "dispatch/scheduling_pass.h"

// The part of the coordinator that runs scheduling passes and calls the advisor.
namespace parsleyline::dispatch {
namespace {

// The advisor accepts at most this many workers per call.
constexpr std::size_t kMaxWorkersPerCall = 100;
// Assumed share of the workers that the advisor approves, in thousandths. Determines how many
// undecided workers a call names.
constexpr std::size_t kAssumedApprovalPermille = 400;
constexpr std::size_t kPermille = 1000;
constexpr std::size_t kMinWorkersPerCall = 6;
// Calls whose fixed part is shorter than this name few workers and are repeated instead, because
// handling a long reply costs the leader more than another call costs the advisor.
constexpr Milliseconds kShortCall{50};
// In longer calls, full workers may be named for up to the fixed part of the call divided by this.
constexpr std::int64_t kFullWorkersDivisor = 2;
// A call that takes longer than this is sent only if kClientsForShortCalls clients stay idle.
constexpr Milliseconds kLongCall{300};
constexpr std::size_t kClientsForShortCalls = 3;
// A call without a reply after this time is given up, and the client is used again.
constexpr Milliseconds kAdvisorCallTimeout{5000};
constexpr Milliseconds kQueryRetryInterval{200};
// A client whose call failed is not used for this time, which doubles with each further failure.
constexpr Milliseconds kFirstClientBackoff{500};
constexpr std::uint32_t kMaxClientBackoffDoublings = 3;
// Interval at which a step that does not fit is considered again. Free capacity changes within tens
// of milliseconds, so that a shorter interval would waste passes.
constexpr Milliseconds kNoCapacityRetryInterval{30};
// Steps that have less slack than this are considered in each pass.
constexpr Milliseconds kLowSlack{1000};
// Interval at which the critical path of a waiting step is computed again. Predictions change
// little within this time, and computing them in each pass would cost more than the rest of the
// pass.
constexpr Milliseconds kEstimateInterval{500};
// While a run is observed, its worker gets no other tasks, so that a crash says more about the run.
// A task that crashes its worker does so soon after its start.
constexpr Milliseconds kObservationTime{2000};
// Tasks of lower priority with more slack than this wait while a gang is waiting. They would take
// the capacity that the gang needs, and can still meet their objective later.
constexpr Milliseconds kDeferrableSlack{5000};

// Returns how many workers a call names even if they are full. This makes a long call only a little
// longer, and tickets are available as soon as tasks end on these workers.
std::size_t MinNamedWorkers(const job::AdvisorSettings& advisor) {
  if (Microseconds(advisor.call_base_us) < kShortCall) return 0;
  const std::int64_t per_worker = std::max<std::int64_t>(advisor.call_per_worker_us, 1);
  return static_cast<std::size_t>(advisor.call_base_us / (kFullWorkersDivisor * per_worker));
}

}  // namespace

bool Coordinator::HasStartableTasks(const job::Job& job, const job::StepKey& key) const {
  const job::OccurrenceState& occurrence = job.occurrences[key.occurrence];
  if (occurrence.steps[key.step].WaitingCount() == 0) return false;
  if (job.spec.IsTimed() && job.spec.DueTime(key.occurrence) > unix_time_()) return false;
  const auto& depends_on = job.spec.steps[key.step].depends_on;
  return std::all_of(depends_on.begin(), depends_on.end(), [&occurrence](std::uint32_t it) {
    return it < occurrence.steps.size() && occurrence.steps[it].IsDone();
  });
}

void Coordinator::UpdateWaitingSteps(const job::JobId& id) {
  const job::Job* job = cell_state_.Find(id);
  const job::QueueSettings* queue =
      job == nullptr || job->HasEnded() ? nullptr : cell_state_.FindQueue(job->queue);
  if (queue == nullptr) {
    timed_jobs_.erase(id);
    auto it = waiting_steps_.lower_bound({id, 0, 0});
    while (it != waiting_steps_.end() && it->first.job == id) it = waiting_steps_.erase(it);
    return;
  }
  if (job->spec.IsTimed()) timed_jobs_.insert(id);
  for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
    for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
      UpdateWaitingStep(*job, *queue, {id, k, s});
    }
  }
}

void Coordinator::UpdateWaitingStep(const job::Job& job, const job::QueueSettings& queue,
                                    const job::StepKey& key) {
  if (!HasStartableTasks(job, key)) {
    waiting_steps_.erase(key);
    return;
  }
  auto& waiting = waiting_steps_[key];
  if (waiting != nullptr) return;
  waiting = std::make_unique<WaitingStep>();
  waiting->key = key;
  waiting->queued_at = clock_.Now();
  waiting->queue = queue.id;
  waiting->priority = queue.priority;
  const job::UnixMillis ready_at =
      job.spec.IsTimed() ? job.spec.DueTime(key.occurrence) : job.accepted_at;
  const Milliseconds age(std::max<std::int64_t>(unix_time_().value() - ready_at.value(), 0));
  waiting->accepted_at = clock_.Now() - age;
}

void Coordinator::UpdateTimedJobs() {
  const std::set<job::JobId> timed = timed_jobs_;
  for (const job::JobId& it : timed) UpdateWaitingSteps(it);
}

void Coordinator::UpdateBacklog() {
  const TimePoint now = clock_.Now();
  backlog_ = {};
  for (const auto& [id, worker] : roster_.workers()) {
    if (!worker.CountsAsCapacity(now)) continue;
    backlog_.capacity_millicores += worker.report.capacity.cpu.count();
    for (const auto& [key, run] : worker.runs) {
      backlog_.running_core_ms += CpuWork(run.demand.cpu, 1, run.ExpectedRemaining(now));
    }
  }
  const job::UnixMillis unix_now = unix_time_();
  for (const job::JobId& id : cell_state_.open_jobs()) {
    const job::Job& job = *cell_state_.Find(id);
    if (job.spec.IsTimed()) continue;
    const job::QueueSettings* queue = cell_state_.FindQueue(job.queue);
    if (queue == nullptr) continue;
    const Duration age = Milliseconds(unix_now.value() - job.accepted_at.value());
    const DurationModel& durations = duration_models_[job.queue];
    const SchedulingRank urgency =
        ComputeRank(now, now - age, LatencyObjective(job.spec, *queue, durations),
                    RemainingCriticalPath(job.spec, job.occurrences.front(), *queue, durations),
                    queue->priority);
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
      const job::StepSpec& step = job.spec.steps[i];
      const std::int64_t waiting = job.occurrences.front().steps[i].WaitingCount();
      backlog_.AddWaiting(urgency.outcome, queue->priority,
                          CpuWork(step.demand.cpu, waiting, durations.Predict(step.estimate)));
    }
  }
}

void Coordinator::BeginPass(SchedulingPass* pass) {
  pass->now = clock_.Now();
  pass->capacity_by_slot.resize(roster_.SlotCount());
  for (auto& [id, worker] : roster_.workers()) {
    if (!worker.IsSchedulable(pass->now)) continue;
    const Resources free = worker.FreeCapacity();
    pass->capacity_by_slot[worker.slot] = {&worker, free, false, false, nullptr};
    pass->schedulable_slots.push_back(worker.slot);
    pass->max_free.RaiseTo(free);
  }
  for (const auto& [key, waiting] : waiting_steps_) {
    for (const std::uint32_t it : waiting->reserved_slots) {
      pass->capacity_by_slot[it].reserved_for = waiting.get();
    }
  }
  MarkSuspects(pass);
  FindIdleClients(pass);
}

// A client that registers may still fail its calls, for example if its own connection to the
// advisor is broken. The step of such a call waits for the time-out, so that the client is avoided
// after it. Otherwise the client that was idle for the longest time gets the next call.
void Coordinator::FindIdleClients(SchedulingPass* pass) {
  std::vector<std::pair<NodeId, const AdvisorClient*>> idle;
  for (auto& [id, client] : advisor_clients_) {
    if (client.call && pass->now - client.call->sent_at > kAdvisorCallTimeout) {
      EndAdvisorCall(&client, false);
    }
    if (!client.call && pass->now - client.last_seen < kAdvisorCallTimeout) {
      idle.emplace_back(id, &client);
    }
  }
  const bool any_usable = std::any_of(idle.begin(), idle.end(), [pass](const auto& it) {
    return it.second->retry_at <= pass->now;
  });
  if (any_usable) {
    std::erase_if(idle, [pass](const auto& it) { return it.second->retry_at > pass->now; });
  }
  const auto rank = [](const auto& it) {
    return std::tuple(it.second->failed_calls, it.second->last_call, it.first);
  };
  std::sort(idle.begin(), idle.end(),
            [&rank](const auto& a, const auto& b) { return rank(a) > rank(b); });
  for (const auto& [id, client] : idle) pass->idle_clients.push_back(id);
}

void Coordinator::EndAdvisorCall(AdvisorClient* client, bool decided) {
  const AdvisorCall call = *std::exchange(client->call, std::nullopt);
  const auto it = waiting_steps_.find(call.step);
  if (it != waiting_steps_.end()) it->second->calls_in_flight.erase(call.number);
  if (decided) {
    client->failed_calls = 0;
    client->retry_at = TimePoint();
    return;
  }
  const std::uint32_t doublings = std::min(client->failed_calls++, kMaxClientBackoffDoublings);
  client->retry_at = clock_.Now() + kFirstClientBackoff * (1U << doublings);
}

void Coordinator::MarkSuspects(SchedulingPass* pass) {
  std::erase_if(suspects_, [this, pass](const job::RunKey& key) {
    Worker* worker = nullptr;
    const Run* run = FindRun(key, &worker);
    if (run != nullptr) MarkSuspect(*run, *worker, pass);
    return run == nullptr;
  });
}

void Coordinator::MarkSuspect(const Run& run, const Worker& worker, SchedulingPass* pass) const {
  SchedulingPass::WorkerCapacity& capacity = pass->capacity_by_slot[worker.slot];
  capacity.has_suspect = true;
  const job::TaskState* task = cell_state_.FindTask(run.key.task);
  const bool next_crash_is_last = task != nullptr && task->crashes + 1 >= job::kMaxStartingCrashes;
  if (next_crash_is_last && pass->now < run.ordered_at + kObservationTime) {
    capacity.withheld = true;
  }
}

void Coordinator::ScheduleWaitingSteps() {
  if (waiting_steps_.empty()) return;
  SchedulingPass pass;
  BeginPass(&pass);
  if (pass.schedulable_slots.empty()) return;
  std::vector<std::pair<SchedulingRank, WaitingStep*>> order;
  order.reserve(waiting_steps_.size());
  for (const auto& [key, waiting] : waiting_steps_) {
    const job::Job* job = cell_state_.Find(key.job);
    const job::QueueSettings* queue = cell_state_.FindQueue(waiting->queue);
    if (job == nullptr || queue == nullptr) continue;
    if (pass.now >= waiting->next_estimate) {
      waiting->next_estimate = pass.now + kEstimateInterval;
      const DurationModel& durations = duration_models_[waiting->queue];
      waiting->objective = LatencyObjective(job->spec, *queue, durations);
      waiting->remaining_critical_path =
          RemainingCriticalPath(job->spec, job->occurrences[key.occurrence], *queue, durations);
    }
    waiting->rank = ComputeRank(pass.now, waiting->accepted_at, waiting->objective,
                                waiting->remaining_critical_path, queue->priority);
    SchedulingRank rank = RankUnder(waiting->rank, policy_.order, waiting->accepted_at);
    const job::StepSpec& step = job->spec.steps[key.step];
    if (step.Has(job::StepFlag::kGang)) {
      rank.slack -= policy_.gang_slack_deduction_per_task * step.tasks;
    }
    order.emplace_back(rank, waiting.get());
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->key < b.second->key;
  });
  for (const auto& [rank, waiting] : order) ScheduleStep(waiting, &pass);
}

void Coordinator::ScheduleStep(WaitingStep* waiting, SchedulingPass* pass) {
  const job::Job* job = cell_state_.Find(waiting->key.job);
  const job::StepSpec& step = job->spec.steps[waiting->key.step];
  if (step.Has(job::StepFlag::kGang)) {
    ScheduleGang(waiting, pass);
  } else {
    ScheduleTasks(waiting, pass);
  }
}

std::vector<std::uint32_t> Coordinator::FindWaitingTasks(const WaitingStep& waiting) const {
  const job::StepState& step = *cell_state_.FindStep(waiting.key);
  std::vector<std::uint32_t> tasks;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].phase != job::TaskPhase::kWaiting || step.tasks[i].IsHeldBack()) continue;
    if (!HasOtherRun({waiting.key, i}, job::RunNumber())) tasks.push_back(i);
  }
  return tasks;
}

std::map<WorkerId, std::uint32_t> Coordinator::CountRunsByWorker(const job::StepKey& step) const {
  std::map<WorkerId, std::uint32_t> running;
  for (auto it = worker_by_run_.lower_bound({{step, 0}, job::RunNumber()});
       it != worker_by_run_.end() && it->first.task.step == step; ++it) {
    ++running[it->second];
  }
  return running;
}

bool Coordinator::HasOpenRun(const job::StepKey& step) const {
  const auto it = worker_by_run_.lower_bound({{step, 0}, job::RunNumber()});
  return it != worker_by_run_.end() && it->first.task.step == step;
}

bool Coordinator::HasOtherRun(const job::TaskKey& task, job::RunNumber run) const {
  for (auto it = worker_by_run_.lower_bound({task, job::RunNumber()});
       it != worker_by_run_.end() && it->first.task == task; ++it) {
    if (it->first.run != run) return true;
  }
  return false;
}

std::vector<Candidate> Coordinator::FindCandidates(const WaitingStep& waiting,
                                                   const SchedulingPass& pass,
                                                   AdvisorFilter filter) const {
  const job::StepSpec& step = cell_state_.Find(waiting.key.job)->spec.steps[waiting.key.step];
  const job::QueueSettings& queue = *cell_state_.FindQueue(waiting.queue);
  const auto running = step.max_per_worker > 0 ? CountRunsByWorker(waiting.key)
                                               : std::map<WorkerId, std::uint32_t>();
  const bool needs_ticket = queue.needs_ticket != 0;
  const bool only_approved = needs_ticket && filter != AdvisorFilter::kNotRejected;
  const auto& tasks = cell_state_.FindStep(waiting.key)->tasks;
  const bool is_suspect = std::any_of(tasks.begin(), tasks.end(), [](const job::TaskState& it) {
    return it.phase == job::TaskPhase::kWaiting && it.crashes > 0;
  });
  std::vector<Candidate> candidates;
  for (const std::uint32_t slot :
       only_approved ? waiting.decisions.approved() : pass.schedulable_slots) {
    const SchedulingPass::WorkerCapacity& capacity = pass.capacity_by_slot[slot];
    if (capacity.worker == nullptr || capacity.withheld ||
        capacity.worker->report.pool != queue.pool) {
      continue;
    }
    if (step.Has(job::StepFlag::kGang) && capacity.worker->IsOnProbation(pass.now)) continue;
    if (!step.required_label.empty() && !capacity.worker->HasLabel(step.required_label)) continue;
    if (needs_ticket && !only_approved &&
        waiting.decisions.DecisionFor(slot) == AdvisorDecisions::Decision::kRejected) {
      continue;
    }
    if (needs_ticket && filter == AdvisorFilter::kUsableTicket &&
        waiting.decisions.TicketValidity(slot, pass.now) <= Duration(0)) {
      continue;
    }
    const auto count = running.find(capacity.worker->id());
    candidates.push_back({capacity.worker, capacity.free,
                          count == running.end() ? 0 : count->second,
                          capacity.reserved_for != nullptr && capacity.reserved_for != &waiting,
                          is_suspect && capacity.has_suspect});
  }
  return candidates;
}

void Coordinator::ScheduleTasks(WaitingStep* waiting, SchedulingPass* pass) {
  const job::StepSpec& step = cell_state_.Find(waiting->key.job)->spec.steps[waiting->key.step];
  const bool is_charged = !step.Has(job::StepFlag::kUsesIdleCpu);
  if (is_charged && !step.demand.FitsInto(pass->max_free)) return;
  const bool can_wait =
      waiting->rank.outcome == ExpectedOutcome::kInTime && waiting->rank.slack > kDeferrableSlack;
  if (can_wait && pass->gang_is_waiting && waiting->priority > pass->waiting_gang_priority) return;
  if (pass->now < waiting->next_attempt) return;
  const std::vector<std::uint32_t> tasks = FindWaitingTasks(*waiting);
  if (tasks.empty()) return;
  const auto chosen = PlaceTasks(step, static_cast<std::uint32_t>(tasks.size()),
                                 FindCandidates(*waiting, *pass, AdvisorFilter::kUsableTicket));
  const job::StepState& state = *cell_state_.FindStep(waiting->key);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    const job::TaskState& task = state.tasks[tasks[i]];
    StartTask(waiting, {{waiting->key, tasks[i]}, job::RunNumber(task.run.value() + 1)},
              task.checkpoint, roster_.Find(chosen[i]), pass);
  }
  if (chosen.size() == tasks.size()) return;
  const bool has_low_slack =
      waiting->rank.outcome == ExpectedOutcome::kInTime && waiting->rank.slack < kLowSlack;
  if (chosen.empty() && !has_low_slack) {
    waiting->next_attempt = pass->now + kNoCapacityRetryInterval;
  }
  if (cell_state_.FindQueue(waiting->queue)->needs_ticket == 0) return;
  QueryWorkersWithCapacity(waiting, static_cast<std::uint32_t>(tasks.size() - chosen.size()), pass);
}

void Coordinator::QueryWorkersWithCapacity(WaitingStep* waiting, std::uint32_t tasks,
                                           SchedulingPass* pass) {
  if (!waiting->calls_in_flight.empty() || pass->now < waiting->next_query ||
      pass->idle_clients.empty()) {
    return;
  }
  const job::StepSpec& step = cell_state_.Find(waiting->key.job)->spec.steps[waiting->key.step];
  std::vector<Candidate> candidates = FindCandidates(*waiting, *pass, AdvisorFilter::kNotRejected);
  std::erase_if(candidates, [&](const Candidate& it) {
    return waiting->decisions.TicketValidity(it.worker->slot, pass->now) > Duration(0);
  });
  const auto has_capacity = [&step](const Candidate& it) { return CountFitting(step, it) > 0; };
  if (std::none_of(candidates.begin(), candidates.end(), has_capacity)) {
    waiting->next_query = pass->now + kNoCapacityRetryInterval;
    return;
  }
  const auto is_approved = [waiting](const Candidate& it) {
    return waiting->decisions.DecisionFor(it.worker->slot) == AdvisorDecisions::Decision::kApproved;
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     if (has_capacity(a) != has_capacity(b)) return has_capacity(a);
                     if (a.reserved != b.reserved) return b.reserved;
                     if (is_approved(a) != is_approved(b)) return is_approved(a);
                     return a.free.cpu > b.free.cpu;
                   });
  const std::size_t min_named = MinNamedWorkers(cell_state_.FindQueue(waiting->queue)->advisor);
  std::vector<const Worker*> named_workers;
  std::size_t expected_permille = 0;
  for (const Candidate& it : candidates) {
    const std::size_t fits = std::min(CountFitting(step, it), tasks);
    const bool enough = !has_capacity(it) || (expected_permille >= tasks * kPermille &&
                                              named_workers.size() >= kMinWorkersPerCall);
    if (enough && named_workers.size() >= min_named) break;
    expected_permille += fits * (is_approved(it) ? kPermille : kAssumedApprovalPermille);
    named_workers.push_back(it.worker);
  }
  QueryAdvisor(waiting, std::move(named_workers), pass);
}

void Coordinator::QueryAdvisor(WaitingStep* waiting, std::vector<const Worker*> workers,
                               SchedulingPass* pass) {
  if (pass->now < waiting->next_query || workers.empty()) return;
  if (workers.size() > kMaxWorkersPerCall) workers.resize(kMaxWorkersPerCall);
  const job::QueueSettings& queue = *cell_state_.FindQueue(waiting->queue);
  const Duration call_duration =
      AdvisorCallDuration(queue.advisor, static_cast<std::int64_t>(workers.size()));
  const std::size_t reserved_clients =
      call_duration > kLongCall ? std::min(kClientsForShortCalls, advisor_clients_.size() - 1) : 0;
  if (pass->idle_clients.size() <= reserved_clients) return;
  const NodeId client_id = pass->idle_clients.back();
  pass->idle_clients.pop_back();
  AdvisorQuery query{waiting->key, {}, next_call_number_};
  next_call_number_ = AdvisorCallNumber(next_call_number_.value() + 1);
  AdvisorCall call{query.number, waiting->key, pass->now, {}};
  for (const Worker* it : workers) {
    query.workers.push_back(it->id());
    call.queried_workers.push_back({it->id(), it->slot});
  }
  AdvisorClient& client = advisor_clients_[client_id];
  client.last_call = query.number;
  client.call = std::move(call);
  waiting->calls_in_flight.insert(query.number);
  ++counts_.advice_calls;
  outbox_.QueryAdvisor(client_id, query);
}

void Coordinator::OnAdvisorReply(const NodeId& client_id, const AdvisorQuery& query,
                                 const AdvisorReply& reply) {
  const auto client = advisor_clients_.find(client_id);
  if (client == advisor_clients_.end() || !client->second.call) return;
  // The reply may answer a call of an earlier leadership, or one that was given up. Another call
  // about the same step, which names other workers, may be in flight.
  if (client->second.call->number != query.number) return;
  const AdvisorCall call = *client->second.call;
  EndAdvisorCall(&client->second, reply.answered != 0);
  const auto it = waiting_steps_.find(call.step);
  if (!is_leader_ || it == waiting_steps_.end()) return;
  WaitingStep& waiting = *it->second;
  waiting.next_attempt = TimePoint();
  waiting.decisions.RecordReply(call.queried_workers, reply, clock_.Now());
  if (reply.answered == 0) waiting.next_query = clock_.Now() + kQueryRetryInterval;
  Event("advice")
      .With("step", query.step)
      .With("caller", client_id)
      .With("asked", query.workers.size())
      .With("approved", reply.approvals.size())
      .With("answered", reply.answered);
  outbox_.RequestSchedulingPass();
}

void Coordinator::StartTask(WaitingStep* waiting, const job::RunKey& key,
                            const std::string& checkpoint, Worker* worker, SchedulingPass* pass) {
  const job::Job* job = cell_state_.Find(waiting->key.job);
  const job::StepSpec& step = job->spec.steps[waiting->key.step];
  Run& run = roster_.ChargeRun(worker, key, step.demand, step.flags);
  run.phase = RunPhase::kProposed;
  run.declared_duration = step.estimate;
  run.predicted_duration = std::chrono::duration_cast<Milliseconds>(
      duration_models_[waiting->queue].Predict(step.estimate));
  run.ordered_at = pass->now;
  worker_by_run_[key] = worker->id();
  pass->capacity_by_slot[worker->slot].free = worker->FreeCapacity();
  if (cell_state_.FindTask(key.task)->crashes > 0) {
    suspects_.insert(key);
    MarkSuspect(run, *worker, pass);
  }
  StartOrder order;
  order.to = worker->Address();
  order.run = key;
  order.payload = job->spec.payload;
  order.checkpoint = checkpoint;
  order.ticket = waiting->decisions.UsableTicket(worker->slot, pass->now);
  pending_starts_[key] = std::move(order);
  next_batch_.starts.push_back({key.task, key.run, worker->report.incarnation});
  Event("start")
      .With("run", key.task)
      .With("number", key.run)
      .With("worker", worker->id())
      .With("free_cpu", worker->FreeCapacity().cpu.count())
      .With("waited_ms", (pass->now - waiting->accepted_at) / Milliseconds(1));
}

}  // namespace parsleyline::dispatch
