#include "tests/dispatch/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyline::dispatch {
namespace {

constexpr std::int64_t kStartMs = 1'000'000;
constexpr std::int64_t kSyncMs = 8;
constexpr std::int64_t kWireMs = 3;
constexpr std::int64_t kDrainMs = 30'000;
constexpr double kMillisPerSecond = 1000;

}  // namespace

LoadSimulation::LoadSimulation(LoadSetup setup) : setup_(std::move(setup)) {
  clock_.Advance(Milliseconds(kStartMs));
  for (std::size_t i = 0; i < setup_.classes.size(); ++i) {
    arrivals_.emplace_back(setup_.seed * 1000 + i);
  }
  coordinator_ = std::make_unique<Coordinator>(
      book_, *this, clock_, [this] { return job::UnixMillis(Now()); }, 1, setup_.policy);
}

std::int64_t LoadSimulation::Now() const {
  return clock_.Now().time_since_epoch() / Milliseconds(1);
}

void LoadSimulation::At(std::int64_t ms, std::function<void()> action) {
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
    queue.advisor = {std::llround(it.advice_ms * kMillisPerSecond),
                     std::llround(it.advice_ms_per_worker * kMillisPerSecond), Milliseconds(2000)};
    config.queues.push_back(queue);
  }
  coordinator_->PutConfig(config, [](ResultCode) {});
  workers_.resize(setup_.workers);
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    workers_[i].id = WorkerId("w" + std::to_string(i));
    workers_[i].slowness = i % setup_.slow_every == 0 ? setup_.slow_factor : 1;
    workers_[i].fails = i < setup_.failing_workers;
    workers_[i].hangs = i >= setup_.workers - setup_.hanging_workers;
    Announce(workers_[i]);
  }
  for (std::size_t i = 0; i < setup_.callers; ++i) {
    coordinator_->RegisterAdvisorClient(NodeId("c" + std::to_string(i)));
  }
  for (std::size_t i = 0; i < setup_.classes.size(); ++i) {
    At(500, [this, i] { Arrive(i); });
  }
  const std::int64_t end = Now() + setup_.length_ms + kDrainMs;
  std::function<void()> tick = [this, &tick] {
    coordinator_->Tick();
    At(20, tick);
  };
  tick();
  while (!events_.empty() && events_.top().at < end) {
    const Later next = events_.top();
    events_.pop();
    clock_.Advance(Milliseconds(next.at - Now()));
    next.action();
  }
  return result_;
}

void LoadSimulation::Announce(const SimWorker& worker) {
  WorkerReport report;
  report.incarnation = {worker.id, job::UnixMillis(1)};
  report.address = worker.id.value() + ":1";
  report.pool = job::PoolId("pool");
  report.capacity = {MilliCpu(setup_.worker_cpu), Mebibytes(1'000'000), Accelerators(0), Slots(0)};
  report.sequence = static_cast<std::uint64_t>(Now());
  coordinator_->OnWorkerReport(report, [](ResultCode) {});
  At(1500, [this, &worker] { Announce(worker); });
  if (&worker == workers_.data()) {
    for (std::size_t i = 0; i < setup_.callers; ++i) {
      coordinator_->RegisterAdvisorClient(NodeId("c" + std::to_string(i)));
    }
  }
}

void LoadSimulation::Arrive(std::size_t class_index) {
  const LoadClass& kind = setup_.classes[class_index];
  std::mt19937_64& random = arrivals_[class_index];
  const std::int64_t since = Now() - kStartMs;
  if (since > setup_.length_ms) return;
  const bool burst = since >= kind.burst_at_ms && since < kind.burst_at_ms + kind.burst_ms;
  std::exponential_distribution<double> gap(kind.rate * (burst ? kind.burst : 1));
  At(std::llround(gap(random) * kMillisPerSecond), [this, class_index] { Arrive(class_index); });
  std::lognormal_distribution<double> spread(0, 0.5);
  std::lognormal_distribution<double> width(0, kind.width_spread);
  std::uniform_real_distribution<double> error(1 - kind.estimate_error, 1 + kind.estimate_error);
  const job::JobId id(kind.queue + std::to_string(job_number_++));
  job::JobSpec spec;
  for (std::uint32_t i = 0; i < kind.steps; ++i) {
    job::StepSpec step;
    step.tasks = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(std::llround(kind.mean_tasks * width(random))));
    const double cpu = std::min<double>(kind.mean_cpu * spread(random), 0.9 * setup_.worker_cpu);
    step.demand = {MilliCpu(std::llround(cpu)), Mebibytes(1), Accelerators(0), Slots(0)};
    const double real = kind.mean_ms * spread(random);
    step.estimate = Milliseconds(std::llround(real * error(random)));
    real_factor_[{id, i}] = real;
    if (kind.gang) step.flags = static_cast<std::uint32_t>(job::StepFlag::kGang);
    if (i > 0) step.depends_on = {i - 1};
    spec.steps.push_back(step);
  }
  ClassResult& result = result_.classes[kind.queue];
  ++result.submitted;
  class_of_[id] = class_index;
  if (spec.steps.front().tasks > 2 * kind.mean_tasks) {
    wide_jobs_.insert(id);
    ++result_.wide[kind.queue].submitted;
  }
  submitted_at_[id] = Now();
  const job::QueueSettings& queue = book_.config().queues[class_index];
  // The objective counts the real durations, not the declared ones.
  job::JobSpec real_spec = spec;
  for (std::uint32_t i = 0; i < kind.steps; ++i) {
    real_spec.steps[i].estimate = Milliseconds(std::llround(real_factor_[{id, i}]));
  }
  objective_ms_[id] = Objective(real_spec, queue, DurationModel()) / Milliseconds(1);
  coordinator_->Submit(id, queue, spec, [&result](const SubmitResult& answer) {
    if (answer.code != ResultCode::kOk) ++result.rejected;
  });
}

LoadSimulation::SimWorker* LoadSimulation::Find(const WorkerId& id) {
  return &workers_[std::stoul(id.value().substr(1))];
}

ProposalResult LoadSimulation::Propose(const job::CommandBatch& batch) {
  At(kSyncMs, [this, batch] {
    const job::AppliedChanges changes = book_.Apply(batch);
    for (const job::JobId& it : changes.ended) {
      const std::string& queue = setup_.classes[ClassOf(it)].queue;
      CountEnd(it, &result_.classes[queue]);
      if (wide_jobs_.contains(it)) CountEnd(it, &result_.wide[queue]);
    }
    coordinator_->OnApplied(batch, changes);
  });
  return ProposalResult::kAccepted;
}

void LoadSimulation::CountEnd(const job::JobId& job, ClassResult* result) const {
  const std::int64_t took = Now() - submitted_at_.at(job);
  const std::int64_t objective = objective_ms_.at(job);
  if (book_.Find(job)->phase != job::JobPhase::kComplete) {
    ++result->failed;
  } else if (took <= objective) {
    ++result->in_time;
  } else if (took <= kLateFactor * objective) {
    ++result->late;
  }
}

void LoadSimulation::RequestSchedulingPass() {
  if (std::exchange(pump_wanted_, true)) return;
  At(3, [this] {
    pump_wanted_ = false;
    coordinator_->RunSchedulingPass();
  });
}

void LoadSimulation::SendStart(const StartOrder& order) {
  ++result_.starts;
  At(kWireMs, [this, order] {
    SimWorker* worker = Find(order.to.incarnation.worker);
    Begin(order.run, worker);
    At(kWireMs, [this, order] {
      coordinator_->OnStartReply(order, {OrderOutcome::kAccepted, WorkerMillis(Now())});
    });
  });
}

void LoadSimulation::Begin(const job::RunKey& key, SimWorker* worker) {
  const job::Job* job = book_.Find(key.task.step.job);
  if (job == nullptr || job->HasEnded()) return End(worker, key, job::RunEnd::kStopped);
  const job::StepSpec& spec = job->spec.steps[key.task.step.step];
  const LoadClass& kind = setup_.classes[ClassOf(key.task.step.job)];
  const auto earlier = running_.lower_bound({key.task, job::RunNumber()});
  if (earlier != running_.end() && earlier->task == key.task) ++result_.double_runs;
  running_.insert(key);
  // A function of the run, so that it fails under every policy or under none.
  std::mt19937 fate(static_cast<std::uint32_t>(std::hash<std::string>{}(key.task.step.job.value()) +
                                               key.task.index * 31 + key.run.value()));
  SimRun run;
  run.demand = spec.demand;
  run.class_index = ClassOf(key.task.step.job);
  run.gang = kind.gang;
  run.begun = Now();
  run.length =
      std::llround(real_factor_[{key.task.step.job, key.task.step.step}] * worker->slowness);
  run.fails = worker->fails || std::bernoulli_distribution(kind.failing)(fate);
  worker->runs[key] = run;
  Resources used;
  for (const auto& [other, it] : worker->runs) used += it.demand;
  result_.overcharged = std::max(result_.overcharged, used.cpu.count() - setup_.worker_cpu);
  if (kind.gang) return BeginGang(key.task.step, key.run);
  worker->runs[key].working = true;
  if (worker->hangs) return;
  At(run.fails ? run.length / 3 : run.length, [this, worker, key, fails = run.fails] {
    if (worker->runs.contains(key)) {
      End(worker, key, fails ? job::RunEnd::kFailed : job::RunEnd::kDone);
    }
  });
}

void LoadSimulation::BeginGang(const job::StepKey& step, job::RunNumber number) {
  const std::size_t wanted = book_.Find(step.job)->spec.steps[step.step].tasks;
  std::vector<std::pair<SimWorker*, job::RunKey>> members;
  for (SimWorker& it : workers_) {
    for (const auto& [key, run] : it.runs) {
      if (key.task.step == step && key.run == number) members.emplace_back(&it, key);
    }
  }
  if (members.size() < wanted) return;
  std::int64_t length = 0;
  bool fails = false;
  bool hangs = false;
  for (const auto& [worker, key] : members) {
    SimRun& run = worker->runs[key];
    run.working = true;
    run.begun = Now();
    length = std::max(length, run.length);
    fails = fails || worker->fails;
    hangs = hangs || worker->hangs;
  }
  if (hangs) return;
  At(fails ? length / 3 : length, [this, members, fails] {
    bool first = true;
    for (const auto& [worker, key] : members) {
      if (!worker->runs.contains(key)) continue;
      const job::RunEnd bad = first ? job::RunEnd::kFailed : job::RunEnd::kGangBroken;
      End(worker, key, fails ? bad : job::RunEnd::kDone);
      first = false;
    }
  });
}

void LoadSimulation::End(SimWorker* worker, const job::RunKey& key, job::RunEnd end) {
  const auto it = worker->runs.find(key);
  if (it != worker->runs.end()) {
    if (end != job::RunEnd::kDone) {
      result_.wasted_core_seconds += static_cast<double>(Now() - it->second.begun) *
                                     static_cast<double>(it->second.demand.cpu.count()) /
                                     (kMillisPerSecond * kMillisPerSecond);
    }
    worker->runs.erase(it);
  }
  running_.erase(key);
  FinishedRun listed;
  listed.number = EndNumber(++worker->last_end);
  listed.run = key;
  listed.end = end;
  worker->ends.push_back(listed);
  if (auto hold = std::exchange(worker->waiting, nullptr); hold != nullptr) {
    AnswerHold(worker, *hold);
  }
}

void LoadSimulation::SendStop(const StopOrder& order) {
  At(kWireMs, [this, order] {
    SimWorker* worker = Find(order.to.incarnation.worker);
    if (worker->runs.contains(order.run)) End(worker, order.run, job::RunEnd::kStopped);
    At(kWireMs, [this, order] {
      coordinator_->OnStopReply(order, {OrderOutcome::kAccepted, WorkerMillis(Now())});
    });
  });
}

void LoadSimulation::SendHold(const HoldOrder& order) {
  At(kWireMs, [this, order] {
    SimWorker* worker = Find(order.to.incarnation.worker);
    std::erase_if(worker->ends,
                  [&order](const FinishedRun& it) { return it.number <= order.acknowledged; });
    if (!worker->ends.empty() || order.max_wait == Milliseconds(0))
      return AnswerHold(worker, order);
    auto waiting = std::make_shared<HoldOrder>(order);
    worker->waiting = waiting;
    At(order.max_wait.count(), [this, worker, waiting] {
      if (worker->waiting != waiting) return;
      worker->waiting = nullptr;
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
    const bool moves = run.working && !worker->hangs && run.length > 0;
    if (moves) {
      active.percent = static_cast<std::uint32_t>(
          std::min<std::int64_t>(100, (Now() - run.begun) * 100 / run.length));
    }
    reply.active.push_back(active);
  }
  At(kWireMs, [this, order, reply] { coordinator_->OnHoldReply(order, reply); });
}

void LoadSimulation::QueryAdvisor(const NodeId& caller, const AdvisorQuery& query) {
  const LoadClass& kind = setup_.classes[ClassOf(query.step.job)];
  const double ms =
      kind.advice_ms + kind.advice_ms_per_worker * static_cast<double>(query.workers.size());
  AdvisorReply reply;
  reply.answered = 1;
  reply.ticket_validity = Milliseconds(2000);
  for (const WorkerId& it : query.workers) {
    // The answer for one worker and step is always the same.
    std::seed_seq seed{std::hash<std::string>{}(it.value()),
                       std::hash<std::string>{}(query.step.job.value()) + query.step.step};
    std::mt19937 fixed(seed);
    if (std::bernoulli_distribution(kind.approved)(fixed)) reply.approvals.push_back({it, "t"});
  }
  At(std::llround(ms) + kWireMs,
     [this, caller, query, reply] { coordinator_->OnAdvisorReply(caller, query, reply); });
}

}  // namespace parsleyline::dispatch
