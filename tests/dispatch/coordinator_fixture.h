#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/coordinator.h"

namespace parsleyline::dispatch {

/// Records what the coordinator sends and proposes.
class RecordingOutbox : public Outbox {
 public:
  void SendStart(const StartOrder& order) override { starts.push_back(order); }
  void SendStop(const StopOrder& order) override { stops.push_back(order); }
  void SendHold(const HoldOrder& order) override { holds[order.to.incarnation.worker] = order; }
  void QueryAdvisor(const NodeId& caller, const AdvisorQuery& query) override {
    advisor_queries.emplace_back(caller, query);
  }
  ProposalResult Propose(const job::CommandBatch& batch) override {
    if (RecordCount(batch) > max_records) return ProposalResult::kTooLarge;
    if (proposal == ProposalResult::kAccepted) batches.push_back(batch);
    return proposal;
  }
  void RequestSchedulingPass() override { ++pass_requests; }

  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::map<WorkerId, HoldOrder> holds;
  std::vector<std::pair<NodeId, AdvisorQuery>> advisor_queries;
  std::deque<job::CommandBatch> batches;
  int pass_requests = 0;
  ProposalResult proposal = ProposalResult::kAccepted;
  /// Larger batches are too large for one entry of the log.
  std::size_t max_records = SIZE_MAX;

 private:
  static std::size_t RecordCount(const job::CommandBatch& batch) {
    return batch.reports.size() + batch.ended_incarnations.size() + batch.submits.size() +
           batch.ends.size() + batch.cancels.size() + batch.starts.size() +
           batch.purge.jobs.size() + (batch.config.version == job::ConfigVersion() ? 0 : 1);
  }
};

/// A coordinator with a cell state, a manual clock, and workers whose replies the test sends.
class CoordinatorFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    clock_.Advance(Milliseconds(1'000'000));
    cell_state_ = std::make_unique<job::CellState>();
    outbox_ = std::make_unique<RecordingOutbox>();
    coordinator_ = std::make_unique<Coordinator>(
        *cell_state_, *outbox_, clock_, [this] { return UnixNow(); }, 7);
    coordinator_->BecomeLeader(Fence(1));
    PutConfig(DefaultConfig());
  }

 protected:
  job::UnixMillis UnixNow() const {
    return job::UnixMillis(clock_.Now().time_since_epoch() / Milliseconds(1));
  }

  static job::QueueSettings Queue(const std::string& name, std::uint32_t priority) {
    job::QueueSettings queue;
    queue.id = job::QueueId(name);
    queue.host = "h.example";
    queue.path_prefix = "/" + name + "/";
    queue.pool = job::PoolId("pool");
    queue.priority = priority;
    queue.max_attempts = 2;
    queue.slack_permille = 2000;
    queue.latency_target = Milliseconds(1000);
    queue.call_timeout = Milliseconds(3000);
    return queue;
  }

  static job::CellConfig DefaultConfig() {
    job::CellConfig config;
    config.version = job::ConfigVersion(1);
    config.queues = {Queue("urgent", 0), Queue("batch", 2)};
    config.pools = {{job::PoolId("pool"), 0, 0}};
    return config;
  }

  void PutConfig(const job::CellConfig& config) {
    coordinator_->PutConfig(config, [](ResultCode) {});
    CommitAll();
  }

  /// Runs scheduling passes and applies the proposed batches until nothing is proposed.
  void CommitAll() {
    coordinator_->RunSchedulingPass();
    while (!outbox_->batches.empty()) {
      ApplyNextBatch();
      coordinator_->RunSchedulingPass();
    }
  }

  /// Applies the batch that was proposed first.
  void ApplyNextBatch() {
    const job::CommandBatch batch = outbox_->batches.front();
    outbox_->batches.pop_front();
    coordinator_->OnApplied(batch, cell_state_->Apply(batch));
  }

  static WorkerReport Report(const std::string& name, std::int64_t cpu = 4000,
                             std::int64_t born = 1) {
    WorkerReport report;
    report.incarnation = {WorkerId(name), job::UnixMillis(born)};
    report.address = "10.0.0.1:" + std::to_string(1000 + std::hash<std::string>{}(name) % 9000);
    report.pool = job::PoolId("pool");
    report.capacity = {MilliCpu(cpu), Mebibytes(100'000), Accelerators(0), Slots(0)};
    report.labels = {"a", "r1"};
    report.rack = RackId("r1");
    report.sequence = 1;
    return report;
  }

  /// Reports a worker and answers its first hold, so that it is schedulable.
  void AddWorker(const std::string& name, std::int64_t cpu = 4000, std::int64_t born = 1) {
    coordinator_->OnWorkerReport(Report(name, cpu, born), [](ResultCode) {});
    CommitAll();
    AnswerHold(name, {}, {}, born);
  }

  void AnswerHold(const std::string& name, std::vector<ActiveRun> active = {},
                  std::vector<FinishedRun> finished = {}, std::int64_t born = 1) {
    const HoldOrder order = outbox_->holds.at(WorkerId(name));
    HoldReply reply;
    reply.outcome = OrderOutcome::kAccepted;
    reply.started_at = job::UnixMillis(born);
    reply.clock = ClockOf(name);
    reply.active = std::move(active);
    reply.finished = std::move(finished);
    coordinator_->OnHoldReply(order, reply);
    CommitAll();
  }

  void FailHold(const std::string& name, OrderOutcome outcome = OrderOutcome::kUnknown) {
    HoldReply reply;
    reply.outcome = outcome;
    coordinator_->OnHoldReply(outbox_->holds.at(WorkerId(name)), reply);
    CommitAll();
  }

  void ReceiveLeave(const std::string& name) {
    coordinator_->OnWorkerLeave(WorkerId(name), [](ResultCode) {});
    coordinator_->RunSchedulingPass();
  }

  /// Has a worker leave: it says so, and then nothing listens at its address. Commits nothing.
  void Leave(const std::string& name) {
    ReceiveLeave(name);
    HoldReply refused;
    refused.outcome = OrderOutcome::kConnectionRefused;
    coordinator_->OnHoldReply(outbox_->holds.at(WorkerId(name)), refused);
  }

  static job::JobSpec Spec(std::uint32_t tasks, std::int64_t cpu, std::uint32_t flags = 0) {
    job::JobSpec spec;
    spec.payload = "payload";
    job::StepSpec step;
    step.tasks = tasks;
    step.demand = {MilliCpu(cpu), Mebibytes(10), Accelerators(0), Slots(0)};
    step.estimate = Milliseconds(1000);
    step.flags = flags;
    spec.steps.push_back(step);
    return spec;
  }

  /// Submits a job, commits everything, and returns the result.
  ResultCode Submit(const std::string& id, const job::JobSpec& spec,
                    const std::string& queue = "urgent") {
    ResultCode code = ResultCode::kInternal;
    coordinator_->Submit(job::JobId(id), *cell_state_->config().Find(job::QueueId(queue)), spec,
                         [&code](const SubmitResult& answer) { code = answer.code; });
    CommitAll();
    return code;
  }

  void Reply(const StartOrder& order, OrderOutcome outcome) {
    coordinator_->OnStartReply(order, {outcome, ClockOf(order.to.incarnation.worker.value())});
    CommitAll();
  }

  void Reply(const StopOrder& order, OrderOutcome outcome) {
    coordinator_->OnStopReply(order, {outcome, ClockOf(order.to.incarnation.worker.value())});
    CommitAll();
  }

  /// Returns what the clock of a worker shows.
  WorkerMillis ClockOf(const std::string& name) const {
    const auto it = clock_starts_.find(name);
    return WorkerMillis(UnixNow().value() - (it == clock_starts_.end() ? 0 : it->second));
  }

  /// Has a worker start again under its id: its clock begins anew, at `clock`. Reports and answers
  /// nothing.
  void RestartWorker(const std::string& name, std::int64_t clock = 0) {
    clock_starts_[name] = UnixNow().value() - clock;
  }

  /// Starts a task on worker w1, which confirms it. Worker w2 has room for it as well.
  job::RunKey StartOnW1BesideW2() {
    AddWorker("w1");
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    const job::RunKey run = outbox_->starts.front().run;
    Reply(outbox_->starts.front(), OrderOutcome::kAccepted);
    AnswerHold("w1", {ActiveOf(run)});
    AddWorker("w2");
    return run;
  }

  /// Keeps worker w2 schedulable.
  void AnswerW2() {
    coordinator_->OnWorkerReport(Report("w2"), [](ResultCode) {});
    AnswerHold("w2");
  }

  /// Advances the clock by `ms` and calls Tick() every 100 ms.
  void Advance(std::int64_t ms) {
    constexpr std::int64_t kStep = 100;
    for (; ms > 0; ms -= kStep) {
      clock_.Advance(Milliseconds(std::min(ms, kStep)));
      coordinator_->Tick();
      CommitAll();
    }
  }

  /// Approves all workers of the last query to the advisor.
  void ApproveLastQuery(Milliseconds valid) {
    CPPUNIT_ASSERT(!outbox_->advisor_queries.empty());
    const auto [caller, query] = outbox_->advisor_queries.back();
    AdvisorReply reply;
    reply.answered = 1;
    reply.ticket_validity = valid;
    for (const WorkerId& it : query.workers) reply.approvals.push_back({it, "t"});
    coordinator_->OnAdvisorReply(caller, query, reply);
    CommitAll();
  }

  static FinishedRun EndOf(const job::RunKey& run, job::RunEnd end, std::uint64_t number) {
    FinishedRun listed;
    listed.number = EndNumber(number);
    listed.run = run;
    listed.end = end;
    return listed;
  }

  static ActiveRun ActiveOf(const job::RunKey& run, std::uint32_t percent = 0) {
    ActiveRun active;
    active.run = run;
    active.percent = percent;
    return active;
  }

  job::JobPhase PhaseOf(const std::string& id) const {
    return cell_state_->Find(job::JobId(id))->phase;
  }

  ManualClock clock_;
  /// When the clock of the last incarnation of a worker showed 0, in Unix milliseconds. 0 if the
  /// worker is not named.
  std::map<std::string, std::int64_t> clock_starts_;
  std::unique_ptr<job::CellState> cell_state_;
  std::unique_ptr<RecordingOutbox> outbox_;
  std::unique_ptr<Coordinator> coordinator_;
};

}  // namespace parsleyline::dispatch
