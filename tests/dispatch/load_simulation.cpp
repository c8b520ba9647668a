#include "tests/dispatch/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyline::dispatch {
namespace {

constexpr std::int64_t kStartMs = 1'000'000;
constexpr std::int64_t kSyncMs = 8;
constexpr std::int64_t kNetworkMs = 3;
constexpr std::int64_t kSettleMs = 30'000;
constexpr double kMillisPerSecond = 1000;

}  // namespace

LoadSimulation::LoadSimulation(LoadSetup setup) : setup_(std::move(setup)) {
  clock_.Advance(Milliseconds(kStartMs));
  for (std::size_t i = 0; i < setup_.classes.size(); ++i) {
    random_by_class_.emplace_back(setup_.seed * 1000 + i);
  }
  coordinator_ = std::make_unique<Coordinator>(
      cell_state_, *this, clock_, [this] { return job::UnixMillis(Now()); }, 1, setup_.policy);
}

std::int64_t LoadSimulation::Now() const {
  return clock_.Now().time_since_epoch() / Milliseconds(1);
}

void LoadSimulation::After(std::int64_t ms, std::function<void()> action) {
  events_.push({Now() + ms, event_number_++, std::move(action)});
}

LoadResult LoadSimulation::Run() {
  coordinator_->BecomeLeader(Fence(1));
  job::CellConfig config;
  config.version = job::ConfigVersion(1);
  config.pools = {{job::PoolId("pool"), 0, 0}};
  for (const LoadClass& it : setup_.classes) {
    job::QueueSettings queue;
    queue.id = job::QueueId(it.queue);
    queue.path_prefix = "/" + it.queue + "/";
    queue.pool = job::PoolId("pool");
    queue.priority = it.priority;
    queue.max_attempts = 3;
    queue.slack_permille = std::llround(it.slack_factor * kMillisPerSecond);
    queue.latency_target = Milliseconds(it.latency_target_ms);
    queue.needs_ticket = 1;
    queue.advisor = {std::llround(it.advisor_call_ms * kMillisPerSecond),
                     std::llround(it.advisor_call_ms_per_worker * kMillisPerSecond),
                     Milliseconds(2000)};
    config.queues.push_back(queue);
  }
  coordinator_->PutConfig(config, [](ResultCode) {});
  workers_.resize(setup_.workers);
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    workers_[i].id = WorkerId("w" + std::to_string(i));
    workers_[i].slowdown = i % setup_.slow_every == 0 ? setup_.slow_factor : 1;
    workers_[i].fails = i < setup_.failing_workers;
    workers_[i].hangs = i >= setup_.workers - setup_.hanging_workers;
    ReportWorker(workers_[i]);
  }
  for (std::size_t i = 0; i < setup_.advisor_clients; ++i) {
    coordinator_->RegisterAdvisorClient(NodeId("c" + std::to_string(i)));
  }
  for (std::size_t i = 0; i < setup_.classes.size(); ++i) {
    After(500, [this, i] { SubmitNextJob(i); });
  }
  const std::int64_t end = Now() + setup_.length_ms + kSettleMs;
  std::function<void()> tick = [this, &tick] {
    coordinator_->Tick();
    After(20, tick);
  };
  tick();
  while (!events_.empty() && events_.top().at < end) {
    const TimedEvent next = events_.top();
    events_.pop();
    clock_.Advance(Milliseconds(next.at - Now()));
    next.action();
  }
  return result_;
}

void LoadSimulation::ReportWorker(const SimWorker& worker) {
  WorkerReport report;
  report.incarnation = {worker.id, job::UnixMillis(1)};
  report.address = worker.id.value() + ":1";
  report.pool = job::PoolId("pool");
  report.capacity = {MilliCpu(setup_.worker_millicores), Mebibytes(1'000'000), Accelerators(0),
                     Slots(0)};
  report.sequence = static_cast<std::uint64_t>(Now());
  coordinator_->OnWorkerReport(report, [](ResultCode) {});
  After(1500, [this, &worker] { ReportWorker(worker); });
  if (&worker == workers_.data()) {
    for (std::size_t i = 0; i < setup_.advisor_clients; ++i) {
      coordinator_->RegisterAdvisorClient(NodeId("c" + std::to_string(i)));
    }
  }
}

void LoadSimulation::SubmitNextJob(std::size_t class_index) {
  const LoadClass& load_class = setup_.classes[class_index];
  std::mt19937_64& random = random_by_class_[class_index];
  const std::int64_t since = Now() - kStartMs;
  if (since > setup_.length_ms) return;
  const bool burst =
      since >= load_class.burst_at_ms && since < load_class.burst_at_ms + load_class.burst_ms;
  std::exponential_distribution<double> gap(load_class.jobs_per_second *
                                            (burst ? load_class.burst_factor : 1));
  After(std::llround(gap(random) * kMillisPerSecond),
        [this, class_index] { SubmitNextJob(class_index); });
  std::lognormal_distribution<double> spread(0, 0.5);
  std::lognormal_distribution<double> width(0, load_class.task_count_spread);
  std::uniform_real_distribution<double> error(1 - load_class.estimate_error,
                                               1 + load_class.estimate_error);
  const job::JobId id(load_class.queue + std::to_string(job_number_++));
  job::JobSpec spec;
  for (std::uint32_t i = 0; i < load_class.steps; ++i) {
    job::StepSpec step;
    step.tasks = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(std::llround(load_class.mean_tasks * width(random))));
    const double cpu = std::min<double>(load_class.mean_millicores * spread(random),
                                        0.9 * setup_.worker_millicores);
    step.demand = {MilliCpu(std::llround(cpu)), Mebibytes(1), Accelerators(0), Slots(0)};
    const double actual_ms = load_class.mean_duration_ms * spread(random);
    step.estimate = Milliseconds(std::llround(actual_ms * error(random)));
    actual_ms_[{id, i}] = actual_ms;
    if (load_class.gang) step.flags = static_cast<std::uint32_t>(job::StepFlag::kGang);
    if (i > 0) step.depends_on = {i - 1};
    spec.steps.push_back(step);
  }
  ClassResult& result = result_.classes[load_class.queue];
  ++result.submitted;
  class_of_[id] = class_index;
  if (spec.steps.front().tasks > 2 * load_class.mean_tasks) {
    wide_jobs_.insert(id);
    ++result_.wide_classes[load_class.queue].submitted;
  }
  submitted_at_[id] = Now();
  const job::QueueSettings& queue = cell_state_.config().queues[class_index];
  // The objective is computed from the actual durations, not from the declared ones.
  job::JobSpec actual_spec = spec;
  for (std::uint32_t i = 0; i < load_class.steps; ++i) {
    actual_spec.steps[i].estimate = Milliseconds(std::llround(actual_ms_[{id, i}]));
  }
  objective_ms_[id] = LatencyObjective(actual_spec, queue, DurationModel()) / Milliseconds(1);
  coordinator_->Submit(id, queue, spec, [&result](const SubmitResult& answer) {
    if (answer.code != ResultCode::kOk) ++result.rejected;
  });
}

LoadSimulation::SimWorker* LoadSimulation::Find(const WorkerId& id) {
  return &workers_[std::stoul(id.value().substr(1))];
}

ProposalResult LoadSimulation::Propose(const job::CommandBatch& batch) {
  After(kSyncMs, [this, batch] {
    const job::AppliedChanges changes = cell_state_.Apply(batch);
    for (const job::JobId& it : changes.ended) {
      const std::string& queue = setup_.classes[ClassOf(it)].queue;
      CountEnd(it, &result_.classes[queue]);
      if (wide_jobs_.contains(it)) CountEnd(it, &result_.wide_classes[queue]);
    }
    coordinator_->OnApplied(batch, changes);
  });
  return ProposalResult::kAccepted;
}

void LoadSimulation::CountEnd(const job::JobId& job, ClassResult* result) const {
  const std::int64_t duration_ms = Now() - submitted_at_.at(job);
  const std::int64_t objective = objective_ms_.at(job);
  if (cell_state_.Find(job)->phase != job::JobPhase::kComplete) {
    ++result->failed;
  } else if (duration_ms <= objective) {
    ++result->in_time;
  } else if (duration_ms <= kLateFactor * objective) {
    ++result->late;
  }
}

void LoadSimulation::RequestSchedulingPass() {
  if (std::exchange(pass_requested_, true)) return;
  After(3, [this] {
    pass_requested_ = false;
    coordinator_->RunSchedulingPass();
  });
}

void LoadSimulation::SendStart(const StartOrder& order) {
  ++result_.starts;
  After(kNetworkMs, [this, order] {
    SimWorker* worker = Find(order.to.incarnation.worker);
    StartRun(order.run, worker);
    After(kNetworkMs, [this, order] {
      coordinator_->OnStartReply(order, {OrderOutcome::kAccepted, WorkerMillis(Now())});
    });
  });
}

void LoadSimulation::StartRun(const job::RunKey& key, SimWorker* worker) {
  const job::Job* job = cell_state_.Find(key.task.step.job);
  if (job == nullptr || job->HasEnded()) return EndRun(worker, key, job::RunEnd::kStopped);
  const job::StepSpec& spec = job->spec.steps[key.task.step.step];
  const LoadClass& load_class = setup_.classes[ClassOf(key.task.step.job)];
  const auto other_run = running_.lower_bound({key.task, job::RunNumber()});
  if (other_run != running_.end() && other_run->task == key.task) ++result_.double_runs;
  running_.insert(key);
  // Seeded by the run, so that a run fails under all policies or under none.
  std::mt19937 random(static_cast<std::uint32_t>(
      std::hash<std::string>{}(key.task.step.job.value()) + key.task.index * 31 + key.run.value()));
  SimRun run;
  run.demand = spec.demand;
  run.class_index = ClassOf(key.task.step.job);
  run.gang = load_class.gang;
  run.started_at = Now();
  run.duration_ms =
      std::llround(actual_ms_[{key.task.step.job, key.task.step.step}] * worker->slowdown);
  run.fails = worker->fails || std::bernoulli_distribution(load_class.failing_share)(random);
  worker->runs[key] = run;
  Resources used;
  for (const auto& [other, it] : worker->runs) used += it.demand;
  result_.max_overcharge_millicores =
      std::max(result_.max_overcharge_millicores, used.cpu.count() - setup_.worker_millicores);
  if (load_class.gang) return StartGangIfComplete(key.task.step, key.run);
  worker->runs[key].working = true;
  if (worker->hangs) return;
  After(run.fails ? run.duration_ms / 3 : run.duration_ms, [this, worker, key, fails = run.fails] {
    if (worker->runs.contains(key)) {
      EndRun(worker, key, fails ? job::RunEnd::kFailed : job::RunEnd::kDone);
    }
  });
}

void LoadSimulation::StartGangIfComplete(const job::StepKey& step, job::RunNumber number) {
  const std::size_t task_count = cell_state_.Find(step.job)->spec.steps[step.step].tasks;
  std::vector<std::pair<SimWorker*, job::RunKey>> members;
  for (SimWorker& it : workers_) {
    for (const auto& [key, run] : it.runs) {
      if (key.task.step == step && key.run == number) members.emplace_back(&it, key);
    }
  }
  if (members.size() < task_count) return;
  std::int64_t length = 0;
  bool fails = false;
  bool hangs = false;
  for (const auto& [worker, key] : members) {
    SimRun& run = worker->runs[key];
    run.working = true;
    run.started_at = Now();
    length = std::max(length, run.duration_ms);
    fails = fails || worker->fails;
    hangs = hangs || worker->hangs;
  }
  if (hangs) return;
  After(fails ? length / 3 : length, [this, members, fails] {
    bool first = true;
    for (const auto& [worker, key] : members) {
      if (!worker->runs.contains(key)) continue;
      const job::RunEnd failed_end = first ? job::RunEnd::kFailed : job::RunEnd::kGangBroken;
      EndRun(worker, key, fails ? failed_end : job::RunEnd::kDone);
      first = false;
    }
  });
}

void LoadSimulation::EndRun(SimWorker* worker, const job::RunKey& key, job::RunEnd end) {
  const auto it = worker->runs.find(key);
  if (it != worker->runs.end()) {
    if (end != job::RunEnd::kDone) {
      result_.wasted_core_seconds += static_cast<double>(Now() - it->second.started_at) *
                                     static_cast<double>(it->second.demand.cpu.count()) /
                                     (kMillisPerSecond * kMillisPerSecond);
    }
    worker->runs.erase(it);
  }
  running_.erase(key);
  FinishedRun listed;
  listed.number = EndNumber(++worker->last_end_number);
  listed.run = key;
  listed.end = end;
  worker->ends.push_back(listed);
  if (auto hold = std::exchange(worker->pending_hold, nullptr); hold != nullptr) {
    AnswerHold(worker, *hold);
  }
}

void LoadSimulation::SendStop(const StopOrder& order) {
  After(kNetworkMs, [this, order] {
    SimWorker* worker = Find(order.to.incarnation.worker);
    if (worker->runs.contains(order.run)) EndRun(worker, order.run, job::RunEnd::kStopped);
    After(kNetworkMs, [this, order] {
      coordinator_->OnStopReply(order, {OrderOutcome::kAccepted, WorkerMillis(Now())});
    });
  });
}

void LoadSimulation::SendHold(const HoldOrder& order) {
  After(kNetworkMs, [this, order] {
    SimWorker* worker = Find(order.to.incarnation.worker);
    std::erase_if(worker->ends,
                  [&order](const FinishedRun& it) { return it.number <= order.acknowledged; });
    if (!worker->ends.empty() || order.max_wait == Milliseconds(0)) {
      return AnswerHold(worker, order);
    }
    auto waiting = std::make_shared<HoldOrder>(order);
    worker->pending_hold = waiting;
    After(order.max_wait.count(), [this, worker, waiting] {
      if (worker->pending_hold != waiting) return;
      worker->pending_hold = nullptr;
      AnswerHold(worker, *waiting);
    });
  });
}

void LoadSimulation::AnswerHold(SimWorker* worker, const HoldOrder& order) {
  HoldReply reply;
  reply.outcome = OrderOutcome::kAccepted;
  reply.started_at = job::UnixMillis(1);
  reply.clock = WorkerMillis(Now());
  reply.finished = worker->ends;
  for (const auto& [key, run] : worker->runs) {
    ActiveRun active;
    active.run = key;
    const bool makes_progress = run.working && !worker->hangs && run.duration_ms > 0;
    if (makes_progress) {
      active.percent = static_cast<std::uint32_t>(
          std::min<std::int64_t>(100, (Now() - run.started_at) * 100 / run.duration_ms));
    }
    reply.active.push_back(active);
  }
  After(kNetworkMs, [this, order, reply] { coordinator_->OnHoldReply(order, reply); });
}

void LoadSimulation::QueryAdvisor(const NodeId& caller, const AdvisorQuery& query) {
  const LoadClass& load_class = setup_.classes[ClassOf(query.step.job)];
  const double ms = load_class.advisor_call_ms + load_class.advisor_call_ms_per_worker *
                                                     static_cast<double>(query.workers.size());
  AdvisorReply reply;
  reply.answered = 1;
  reply.ticket_validity = Milliseconds(2000);
  for (const WorkerId& it : query.workers) {
    // Seeded by the worker and the step, so that the decision about them is always the same.
    std::seed_seq seed{std::hash<std::string>{}(it.value()),
                       std::hash<std::string>{}(query.step.job.value()) + query.step.step};
    std::mt19937 random(seed);
    if (std::bernoulli_distribution(load_class.approved_share)(random))
      reply.approvals.push_back({it, "t"});
  }
  After(std::llround(ms) + kNetworkMs,
        [this, caller, query, reply] { coordinator_->OnAdvisorReply(caller, query, reply); });
}

}  // namespace parsleyline::dispatch
