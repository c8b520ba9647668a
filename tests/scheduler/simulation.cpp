#include "tests/scheduler/simulation.h"

#include <algorithm>

#include "scheduler/domain_state.h"
#include "tests/scheduler/sim_flow.h"
#include "wire/codec.h"
#include "wire/codec_impl.h"

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::ledger::LedgerEntry);

namespace parsleyline::scheduler {
namespace {

constexpr std::size_t kWorkers = 4;
constexpr Milliseconds kStep{10};
constexpr Milliseconds kAnnounceInterval{500};
// Longest delay in milliseconds with which a worker detects the end of a lease. It must be shorter
// than SchedulerOptions::clock_margin.
constexpr std::uint64_t kMaxLateness = 450;
constexpr Resources kCapacity{MilliCpu(4000), Mebibytes(4096), Accelerators(2), Slots(3)};
constexpr std::uint64_t kMaxSilence = 5000;
constexpr int kQuiesceRounds = 40000;
constexpr Milliseconds kMaxDelay{40};
// Longest time from the expiry of a lease until its release is committed, without faults: the
// worker gets the order to stop with the reply to one announcement and confirms it with the next.
constexpr Milliseconds kStopAcknowledgement =
    2 * (kAnnounceInterval + kStep) + 3 * (kMaxDelay + kStep);

}  // namespace

void Oracle::Check(bool holds, const std::string& rule, const RequestId& id) {
  if (!holds) throw Violation(rule + ": request " + id.value());
}

void Oracle::OnStart(const SimWorker& worker, const SimDispatch& dispatch) {
  ++starts_;
  const RequestId& id = dispatch.request;
  Resources used;
  for (const auto& [token, task] : worker.running) used += task.dispatch.spec.resources;
  Check(used.FitsInto(worker.max_capacity), worker.self.worker.value() + " exceeds its capacity",
        id);
  Check(!rejected_.contains(id), "ran after it was reported as rejected", id);

  constexpr std::uint64_t kTaskMask = (1U << kTaskNumberBits) - 1;
  const std::uint64_t token = dispatch.grant.token.value();
  const std::uint64_t task = token & kTaskMask;
  History& history = requests_[id];
  if (history.starts.empty()) history.digest = dispatch.digest;
  Check(history.digest == dispatch.digest, "ran with two bodies", id);
  ++history.starts[task];
  if (dispatch.spec.idempotency == wire::Idempotency::kNotIdempotent) {
    Check(history.starts[task] == 1, "ran twice", id);
  }
  for (const FencingToken other : history.running) {
    Check(other.value() >> kTaskNumberBits == token >> kTaskNumberBits, "runs in two places", id);
  }
  history.running.insert(dispatch.grant.token);
}

void Oracle::OnEnd(const SimWorker& /*worker*/, const SimDispatch& dispatch) {
  requests_[dispatch.request].running.erase(dispatch.grant.token);
}

void Oracle::OnRejected(const RequestId& id) {
  rejected_.insert(id);
  const auto it = requests_.find(id);
  Check(it == requests_.end() || it->second.starts.empty(), "reported as rejected but ran", id);
}

Simulation::Simulation(std::uint64_t seed) : random_(seed) {
  for (std::size_t i = 0; i < SimLog::kReplicas; ++i) {
    replicas_.push_back(std::make_unique<DomainScheduler>(SchedulerOptions(), clock_, [] {}));
    replicas_[i]->SetLog(log_.LogOf(i));
    log_.Connect(i, replicas_[i].get());
  }
  for (std::size_t i = 0; i < kWorkers; ++i) {
    auto worker = std::make_unique<SimWorker>("w" + std::to_string(i), kCapacity);
    worker->on_start = [this](const SimWorker& at, const SimDispatch& dispatch) {
      oracle_.OnStart(at, dispatch);
    };
    worker->on_end = [this](const SimWorker& at, const SimDispatch& dispatch, wire::TaskOutcome) {
      oracle_.OnEnd(at, dispatch);
      const auto it = abandoned_tasks_.find(dispatch.grant.token);
      if (it != abandoned_tasks_.end()) it->second = clock_.Now();
    };
    workers_.push_back(std::move(worker));
    After(Milliseconds(Random(500)), [this, i] { Announce(workers_[i].get()); });
  }
  log_.Elect(0, 0, false);
}

Simulation::~Simulation() { events_.clear(); }

void Simulation::After(Milliseconds delay, std::function<void()> action) {
  events_.emplace(clock_.Now() + delay, std::move(action));
}

void Simulation::Send(std::function<void()> deliver) {
  if (faults_ && Chance(8)) return;
  const bool late = faults_ && Chance(6);
  After(Milliseconds(late ? Random(6000) : Random(kMaxDelay.count())), std::move(deliver));
}

DomainScheduler& Simulation::PickReplica() {
  const std::size_t leader = log_.leader();
  return *replicas_[faults_ && Chance(10) ? 1 - leader : leader];
}

SimWorker& Simulation::FindWorker(const WorkerId& id) {
  return **std::find_if(workers_.begin(), workers_.end(),
                        [&id](const auto& worker) { return worker->self.worker == id; });
}

void Simulation::Announce(SimWorker* worker) {
  After(kAnnounceInterval, [this, worker] { Announce(worker); });
  const TimePoint sent = clock_.Now();
  if (!worker->alive || sent < worker->announcements_lost_until) return;
  Send([this, worker, sent, announcement = worker->Announcement()] {
    auto reply = PickReplica().Announce({{announcement}});
    if (!reply || clock_.Now() < worker->replies_lost_until) return;
    Send([worker, sent, incarnation = announcement.incarnation, result = reply->results.at(0)] {
      worker->OnAnnounceReply(result, incarnation, sent);
    });
  });
}

void Simulation::StartRequest() {
  wire::Submit submit;
  if (!submitted_.empty() && Chance(15)) {
    submit = submitted_[Random(submitted_.size())];
    if (submit.idempotency_key.empty()) return;
    if (Chance(30)) submit.body_digest += 1;
  } else {
    submit.id = RequestId("d-" + std::to_string(submitted_.size()));
    submit.idempotency_key = Chance(40) ? "key" : "";
    submit.body_digest = 1;
    submit.spec.team = TeamId(Chance(50) ? "a" : "b");
    submit.spec.kind = Chance(60) ? Kind::kService : Chance(60) ? Kind::kBatch : Kind::kGang;
    submit.spec.tasks = submit.spec.kind == Kind::kGang ? 2 + Random(3) : 1;
    submit.spec.idempotency =
        Chance(50) ? wire::Idempotency::kIdempotent : wire::Idempotency::kNotIdempotent;
    submit.spec.resources = {MilliCpu(500 + Random(2500)), Mebibytes(256 + Random(2000)),
                             Accelerators(Chance(20) ? 1 + Random(2) : 0), Slots(1)};
    if (Chance(3)) submit.spec.resources.cpu = MilliCpu(9000);
    submitted_.push_back(submit);
  }
  submit.entry = NodeId("e#" + std::to_string(next_flow_++));
  submit.remaining = Milliseconds(200 + Random(20000));
  std::make_shared<SimFlow>(this, submit)->Submit();
}

void Simulation::CancelRandomRequest() {
  if (submitted_.empty()) return;
  const RequestId id = submitted_[Random(submitted_.size())].id;
  Send([this, id] {
    PickReplica().Cancel({id}, [this, id](const Result<wire::RequestStatus>& reply) {
      if (reply && reply->state == wire::RequestState::kRejected) oracle_.OnRejected(id);
    });
  });
}

void Simulation::InjectWorkerFault() {
  SimWorker& worker = *workers_[Random(workers_.size())];
  switch (Random(10)) {
    case 5:
    case 6:
      worker.announcements_lost_until = clock_.Now() + Milliseconds(Random(kMaxSilence));
      return;
    case 7:
    case 8:
      worker.replies_lost_until = clock_.Now() + Milliseconds(Random(kMaxSilence));
      return;
    case 0:
      worker.Crash();
      return;
    case 1:
    case 2:
      worker.Restart();
      return;
    case 3:
      worker.self.state = Chance(50) ? wire::WorkerState::kDraining : wire::WorkerState::kReady;
      return;
    case 4:
      worker.self.capacity.cpu = MilliCpu(2000 + Random(2001));
      worker.self.capacity.slots = Slots(1 + Random(3));
      return;
    default:
      PickReplica().SetWorkerState({worker.self.worker, Chance(30) ? wire::WorkerState::kDraining
                                                                   : wire::WorkerState::kReady});
  }
}

void Simulation::Advance(Milliseconds time) {
  const TimePoint until = clock_.Now() + time;
  while (clock_.Now() < until) {
    clock_.Advance(std::min<Duration>(kStep, until - clock_.Now()));
    for (const auto& worker : workers_) {
      worker->Tick(clock_.Now(), Milliseconds(faults_ ? Random(kMaxLateness) : 0));
    }
    while (!events_.empty() && events_.begin()->first <= clock_.Now()) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    if (Chance(30)) {
      for (const auto& replica : replicas_) {
        replica->Tick();
        replica->RunSchedulingPass();
      }
    }
    for (std::uint64_t n = faults_ ? Random(4) : 8; n > 0; --n) log_.CommitOne();
  }
}

void Simulation::Step() {
  Advance(Milliseconds(Random(60)));
  if (Chance(25)) return StartRequest();
  if (Chance(4)) return CancelRandomRequest();
  if (Chance(3)) return InjectWorkerFault();
  if (Chance(2)) {
    // The order in which the arguments of a call are evaluated is unspecified.
    const std::size_t replica = Random(SimLog::kReplicas);
    const std::size_t kept = Random(4);
    return log_.Elect(replica, kept, Chance(50));
  }
  if (Chance(10)) log_.Heal();
}

void Simulation::Run(std::size_t steps) {
  for (std::size_t i = 0; i < steps; ++i) Step();
  Quiesce();
  CheckReplicas();
}

void Simulation::CommitAll() {
  while (!log_.AllCommitted()) log_.CommitOne();
}

// Runs without faults until all flows have ended and the leases of abandoned tasks have too. Then
// no request may be queued and no task charged.
void Simulation::Quiesce() {
  faults_ = false;
  log_.Heal();
  for (const auto& worker : workers_) {
    if (!worker->alive) worker->Restart();
    worker->self.state = wire::WorkerState::kReady;
    worker->self.capacity = worker->max_capacity;
    replicas_[log_.leader()]->SetWorkerState({worker->self.worker, wire::WorkerState::kReady});
  }
  for (int i = 0; open_flows_ > 0 || i < 3000; ++i) {
    if (i > kQuiesceRounds) throw Violation("flows do not end: " + std::to_string(open_flows_));
    Advance(kStep);
  }
  CommitAll();
  while (HasAbandonedTasks()) Advance(kStep);
  CommitAll();
  const wire::SchedulerStatus status = replicas_[log_.leader()]->Status();
  if (status.queued != 0) throw Violation("requests stay queued");
  if (status.running != 0) throw Violation("leases stay: " + std::to_string(status.running));
  const auto list = replicas_[log_.leader()]->ListWorkers();
  for (const wire::WorkerRow& row : list->workers) {
    if (row.charged != Resources()) throw Violation(row.worker.value() + " stays charged");
  }
}

// Returns whether the ledger has running tasks. Only abandoned tasks may run, and only as long as
// their leases may last.
bool Simulation::HasAbandonedTasks() {
  DomainState state;
  if (!state.Restore(replicas_[log_.leader()]->TakeSnapshot(), clock_.Now())) {
    throw Violation("bad snapshot");
  }
  const SchedulerOptions options;
  bool found = false;
  for (const ledger::LedgerEntry* entry : state.ledger().Running()) {
    const Milliseconds lease = options.LeaseOf(entry->spec.kind) + options.clock_margin;
    for (const ledger::TaskEntry& task : entry->tasks) {
      if (task.state != ledger::TaskState::kRunning) continue;
      const auto it = abandoned_tasks_.find(task.token);
      if (it == abandoned_tasks_.end()) throw Violation("task stays: " + entry->id.value());
      const TimePoint release = it->second + kMaxDelay + kStep + lease + kStopAcknowledgement;
      if (clock_.Now() > release) throw Violation("lease stays: " + entry->id.value());
      found = true;
    }
  }
  return found;
}

// Checks that the snapshot of each replica holds the same state as a replay of the log.
void Simulation::CheckReplicas() {
  DomainState replay;
  std::uint64_t index = 0;
  for (const std::string& command : log_.commands()) {
    replay.Apply(LogIndex(++index), *DecodeRecord(command), clock_.Now());
  }
  for (const auto& replica : replicas_) {
    DomainState state;
    if (!state.Restore(replica->TakeSnapshot(), clock_.Now())) throw Violation("bad snapshot");
    bool equal = state.ledger().size() == replay.ledger().size() &&
                 state.workers().workers().size() == replay.workers().workers().size();
    for (const wire::Submit& submit : submitted_) {
      const auto* a = state.ledger().Find(submit.id);
      const auto* b = replay.ledger().Find(submit.id);
      equal = equal && (a == nullptr) == (b == nullptr);
      if (a != nullptr && b != nullptr) equal = equal && wire::Encode(*a) == wire::Encode(*b);
    }
    for (const auto& [id, worker] : state.workers().workers()) {
      const RegisteredWorker* other = replay.workers().Find(id);
      equal = equal && other != nullptr && other->registration == worker.registration &&
              other->operator_state == worker.operator_state &&
              other->lost_tasks == worker.lost_tasks;
    }
    if (!equal) throw Violation("replicas differ");
  }
}

}  // namespace parsleyline::scheduler
