#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"
#include "dispatch/admission.h"
#include "dispatch/advisor_decisions.h"
#include "dispatch/duration_model.h"
#include "dispatch/messages.h"
#include "dispatch/policy.h"
#include "dispatch/scheduling_rank.h"
#include "dispatch/task_placement.h"
#include "dispatch/worker_roster.h"
#include "job/cell_state.h"

namespace parsleyline::dispatch {

/// Result of submitting a job.
struct SubmitResult {
  /// kOk: the job is accepted and durable. 2xxx: it is rejected and never runs. 3001: the outcome
  /// is unknown, and the caller has to ask again.
  ResultCode code = ResultCode::kOk;
  /// For a rejected job, the time after which the caller should try again.
  Milliseconds retry_after{0};
};

/// Returns the wall-clock time. Used for times that must stay valid after a change of leader.
using UnixTimeSource = std::function<job::UnixMillis()>;

/// Why a step with waiting tasks has not been started.
enum class WaitReason : std::uint8_t {
  /// It is not among the steps that are scheduled.
  kNotQueued,
  /// The configuration in force lacks the queue of its job.
  kNoQueue,
  /// A gang with a run that has not ended.
  kOpenRun,
  /// No worker can get tasks.
  kNoWorker,
  /// It fits into no selection of workers.
  kNoCapacity,
  /// It does not fit into the workers that the advisor has not rejected.
  kNotApproved,
  /// It would fit if the advisor approved workers that it has not decided about.
  kUndecided,
  /// It fits into approved workers, but usable tickets are missing.
  kNoTicket,
  /// It fits and should start in the next pass.
  kFits,
};

/// Schedules the jobs of a cell while this process is the leader of the replicated log. Performs no
/// I/O: its methods receive events, and it sends orders through the Outbox. Not thread-safe.
///
/// The record of a start is durable before the start order is sent, and the end of a run is durable
/// before it is acknowledged to the worker. A run whose start order was not answered stays charged
/// to its worker until a hold reply, a stop or the expiry of the worker's lease settles its state.
class Coordinator {
 public:
  using SubmitCallback = std::function<void(SubmitResult)>;
  /// Called with kOk once an event is durable, otherwise with the reason why it may not be.
  using CommitCallback = std::function<void(ResultCode)>;

  /// `proposer` identifies this process in the batches that it proposes.
  Coordinator(const job::CellState& cell_state, Outbox& outbox, const Clock& clock,
              UnixTimeSource unix_time, std::uint64_t proposer, Policy policy = {});
  ~Coordinator();

  /// Starts to schedule with what earlier leaders recorded. To be called when this process has
  /// become the leader and all committed batches are applied. `fence` is the lowest fence of this
  /// leader.
  void BecomeLeader(Fence fence);
  /// Stops scheduling. Pending callbacks are called with kOutcomeUnknown.
  void StepDown();
  bool IsLeader() const { return is_leader_; }

  /// Handles the changes of a batch that has been applied to the state machine.
  void OnApplied(const job::CommandBatch& batch, const job::AppliedChanges& changes);

  /// Handles the report of a worker. `done` is called once its effect is durable.
  void OnWorkerReport(const WorkerReport& report, CommitCallback done);
  /// Handles the message that a worker leaves. It may be late and of an earlier incarnation, so the
  /// worker gets no more tasks, and is removed once it proves to have ended. `done` is called once
  /// it is certain that this process is the leader.
  void OnWorkerLeave(const WorkerId& worker, CommitCallback done);
  void OnStartReply(const StartOrder& order, const OrderReply& reply);
  void OnStopReply(const StopOrder& order, const OrderReply& reply);
  void OnHoldReply(const HoldOrder& order, const HoldReply& reply);
  void OnAdvisorReply(const NodeId& client, const AdvisorQuery& query, const AdvisorReply& reply);
  /// Registers a process that can call the advisor. To be repeated while it is available.
  void RegisterAdvisorClient(const NodeId& client);

  /// Accepts or rejects a job. A job that is known already is accepted without effect.
  void Submit(const job::JobId& id, const job::QueueSettings& queue, const job::JobSpec& spec,
              SubmitCallback done);
  void Cancel(const job::JobId& id, CommitCallback done);
  /// Replaces the configuration unless its version is not above the one in force.
  void PutConfig(const job::CellConfig& config, CommitCallback done);
  /// Calls `done` with kOk if this process was still the leader after this call. The state machine
  /// then holds everything that was acknowledged before the call.
  void ConfirmLeadership(CommitCallback done);

  /// Returns the number of accepted jobs of a queue, timed jobs excluded, of which no task has
  /// begun. Counts a job until a worker confirms one of its starts, because the start orders of an
  /// earlier leader may have been lost.
  std::uint64_t PendingCount(const job::QueueId& queue) const;

  /// Places waiting tasks, proposes the collected records, and sends due stops and holds.
  void RunSchedulingPass();
  /// Does the periodic work that is due now. To be called about every 20 ms.
  void Tick();

  /// Current values and totals for metrics.
  struct Counts {
    std::size_t workers = 0;
    std::size_t waiting_steps = 0;
    std::size_t runs = 0;
    std::uint64_t starts = 0;
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t advice_calls = 0;
    /// Steps that wait without a run although the cell has capacity, and workers whose holds are
    /// not answered in time and have not failed, as of the last check.
    std::size_t overdue_steps = 0;
    std::size_t overdue_holds = 0;
    /// Tasks that were given up because of the workers that crashed under them.
    std::uint64_t given_up = 0;
  };
  Counts counts() const;

 private:
  struct WaitingStep;
  struct SchedulingPass;
  struct AdvisorClient;

  // Workers and runs.

  /// Charges a run that an earlier leader ordered to its worker, or records it as lost.
  void RestoreRun(const job::OpenRun& open);
  /// Records that an incarnation of a worker has ended, and its runs with it.
  /// `crashed` tells whether the worker ended without leaving.
  void RecordIncarnationEnd(const Worker& worker, const char* reason, bool crashed);
  void SendDueHolds();
  void SendDueStops();
  /// Marks the runs of workers with an expired lease as lost, and removes workers that have been
  /// silent for long.
  void ExpireLeases();
  /// Migrates runs that are stalled, very slow, or not expected to end before their worker leaves.
  void MigrateRunsAtRisk();
  /// Returns the workers that are much slower than the others. Sets `median_slowdown` to the
  /// median slowdown of the workers if it is known: how many times its predicted duration a task
  /// takes.
  std::set<WorkerId> FindSlowWorkers(double* median_slowdown) const;
  /// Stops a run, and the rest of its gang, so that its tasks start on another worker.
  void MigrateRun(Worker* worker, Run* run, const char* reason);
  /// Compares the runs of a worker with the lists in the reply to hold number `hold`.
  void ReconcileRuns(Worker* worker, const HoldReply& reply, std::uint64_t hold);
  void RecordFinishedRuns(Worker* worker, const std::vector<FinishedRun>& finished);
  /// Charges a listed run that is not open in the log to its worker, and has it stopped.
  Run& ChargeUnknownRun(Worker* worker, const job::RunKey& key);
  /// Charges the unknown runs that the successor of a worker lists to the worker, so that their
  /// tasks do not start before the successor is adopted and has stopped them.
  void ChargeRunsOfSuccessor(Worker* worker, const HoldReply& reply);
  void UpdateActiveRun(Worker* worker, const ActiveRun& active, std::uint64_t hold);
  /// Adds the end of a run to the next batch.
  void RecordEnd(const job::RunKey& key, job::RunEnd end, const std::string& checkpoint);
  /// Records a run that is proved to be absent as lost, and stops the rest of its gang.
  void MarkLost(Run* run, const char* reason);
  /// Has a run stopped. The stop is repeated until the worker confirms it.
  void RequestStop(Run* run);
  void RequestGangStop(const job::StepKey& step, job::RunNumber run);
  /// Has the runs stopped that were started after `completed`, which was taken for lost.
  void RequestStopOfLaterRuns(const job::EndRecord& completed);
  /// Has the runs of a job stopped, except those of steps with one of the `excluded_flags`.
  void RequestJobStop(const job::JobId& job, std::uint32_t excluded_flags);
  /// Updates the failure history of a worker with the end of a run.
  void UpdateWorkerHealth(Worker* worker, const job::RunKey& key, job::RunEnd end);
  /// Adds the duration of a complete run to the duration model of its queue.
  void RecordDuration(const Run& run, job::RunEnd end);
  /// Assigns no tasks to a worker for a while, which doubles with each quarantine in a row.
  void Quarantine(Worker* worker, const char* reason);
  /// Tells whether the configuration in force, if there is one, has a pool.
  bool IsPoolConfigured(const job::PoolId& pool) const;
  Fence NextFence();
  /// Gives a worker no tasks until it has answered a hold.
  void Doubt(Worker* worker, const char* reason);
  /// Sends a hold to the incarnation of a report that contests known workers. Its reply settles
  /// which of them exists.
  void QueryClaimant(const WorkerReport& report, const std::vector<WorkerId>& contested);
  void OnClaimReply(const HoldOrder& order, const HoldReply& reply);
  /// Moves the runs of an ended incarnation that its successor lists in the reply to hold number
  /// `hold`. The successor took their start orders for its own.
  void MoveListedRuns(Worker* ended, Worker* successor, const HoldReply& reply, std::uint64_t hold);
  /// Adds the effect of an applied report to the next batch.
  void RecordReport(const WorkerRoster::ReportResult& result);
  /// Returns the longest lease that a worker in the log may hold from orders of earlier leaders.
  Milliseconds LeaseOfEarlierLeaders(const job::WorkerIncarnation& incarnation) const;
  /// Returns a run and its worker, or null.
  Run* FindRun(const job::RunKey& key, Worker** worker);
  /// Sends the start order of a start that has become durable.
  void SendStart(const job::StartRecord& record);
  void RemoveRun(const job::RunKey& key);
  /// Records the clock reading in a reply if this incarnation of the worker has sent it. If another
  /// one has, the worker gets no tasks until it has answered a hold.
  ReadingOrigin RecordReading(Worker* worker, const OrderReply& reply);
  /// Marks the workers of runs under whose tasks workers have crashed. A worker gets no other tasks
  /// while a run that would be given up after the next crash is observed.
  void MarkSuspects(SchedulingPass* pass);
  void MarkSuspect(const Run& run, const Worker& worker, SchedulingPass* pass) const;

  // Waiting steps.

  /// Brings the waiting steps of a job in line with its state.
  void UpdateWaitingSteps(const job::JobId& id);
  void UpdateWaitingStep(const job::Job& job, const job::QueueSettings& queue,
                         const job::StepKey& key);
  /// Tells whether a step has waiting tasks that may start now.
  bool HasStartableTasks(const job::Job& job, const job::StepKey& key) const;
  void UpdateTimedJobs();
  /// Computes the backlog that admission control uses.
  void UpdateBacklog();
  void ScheduleWaitingSteps();
  void ScheduleStep(WaitingStep* waiting, SchedulingPass* pass);
  void ScheduleTasks(WaitingStep* waiting, SchedulingPass* pass);
  void ScheduleGang(WaitingStep* waiting, SchedulingPass* pass);
  /// Which workers are candidates, going by the advisor's decisions about them.
  enum class AdvisorFilter { kUsableTicket, kApproved, kNotRejected };
  std::vector<Candidate> FindCandidates(const WaitingStep& waiting, const SchedulingPass& pass,
                                        AdvisorFilter filter) const;
  void BeginPass(SchedulingPass* pass);
  /// Ends calls that take too long, and collects the clients that can take a call.
  void FindIdleClients(SchedulingPass* pass);
  void ReserveCapacity(WaitingStep* waiting, const std::vector<Candidate>& approved,
                       SchedulingPass* pass);
  void ReserveAndRequestTickets(WaitingStep* waiting, const std::vector<WorkerId>& chosen,
                                SchedulingPass* pass);
  void WithholdReservedWorkers(WaitingStep* waiting, SchedulingPass* pass);
  /// Requests new tickets for all reserved workers if one would expire within `expected_wait`, the
  /// time until the gang is expected to fit.
  void RenewTickets(WaitingStep* waiting, Duration expected_wait, SchedulingPass* pass);
  bool IsReservationUsable(const WaitingStep& waiting, const SchedulingPass& pass) const;
  Duration ExpectedGangWait(const WaitingStep& waiting, const SchedulingPass& pass) const;
  void QueryUndecidedWorkers(WaitingStep* waiting, SchedulingPass* pass);
  void QueryAdvisor(WaitingStep* waiting, std::vector<const Worker*> workers, SchedulingPass* pass);
  /// Removes a call that was answered or given up from its step, and updates the failure history
  /// of its client.
  void EndAdvisorCall(AdvisorClient* client, bool decided);
  void QueryWorkersWithCapacity(WaitingStep* waiting, std::uint32_t tasks, SchedulingPass* pass);
  /// Returns the waiting tasks that may start now.
  std::vector<std::uint32_t> FindWaitingTasks(const WaitingStep& waiting) const;
  std::map<WorkerId, std::uint32_t> CountRunsByWorker(const job::StepKey& step) const;
  bool HasOpenRun(const job::StepKey& step) const;
  /// Tells whether a task has a run other than number `run`. Besides the current one, this may be a
  /// run that was taken for lost and whose start was carried out late.
  bool HasOtherRun(const job::TaskKey& task, job::RunNumber run) const;
  void StartTask(WaitingStep* waiting, const job::RunKey& key, const std::string& checkpoint,
                 Worker* worker, SchedulingPass* pass);
  void RemoveEndedJobs();
  /// Logs the steps that wait without a run although the cell has capacity, each with the reason,
  /// and the workers that get no holds.
  void ReportOverdueWork();
  void ReportIfOverdue(const job::Job& job, const job::StepKey& key, const SchedulingPass& pass);
  WaitReason DiagnoseWait(const WaitingStep& waiting, const job::StepSpec& step,
                          const SchedulingPass& pass) const;
  void ProposeBatch();
  /// Proposes the batch number `number`. Splits it if it is too large for one entry of the log; the
  /// next proposal then carries the records that are left over, and the callbacks wait for these.
  ProposalResult ProposeInParts(std::uint64_t number, job::CommandBatch* batch);
  void CallWhenDurable(CommitCallback done);

  const job::CellState& cell_state_;
  Outbox& outbox_;
  const Clock& clock_;
  const UnixTimeSource unix_time_;
  const std::uint64_t proposer_;
  const Policy policy_;

  bool is_leader_ = false;
  /// The lowest fence of this leader, and the last one that it has used.
  Fence fence_;
  Fence last_fence_;
  WorkerRoster roster_;
  /// A reported incarnation that exists only if known workers have ended.
  struct Claim {
    WorkerReport report;
    std::uint64_t hold_number = 0;
    Fence fence;
    std::vector<job::WorkerIncarnation> contested;
  };
  std::map<job::WorkerIncarnation, Claim> claims_;
  /// When the workers in the log were registered, as far as this process has seen it. Kept by all
  /// replicas.
  std::map<job::WorkerIncarnation, TimePoint> registered_at_;
  std::map<job::RunKey, WorkerId> worker_by_run_;
  /// Runs of tasks under which a worker has crashed.
  std::set<job::RunKey> suspects_;
  std::map<job::StepKey, std::unique_ptr<WaitingStep>> waiting_steps_;
  /// A call to the advisor that has not been answered.
  struct AdvisorCall {
    AdvisorCallNumber number;
    job::StepKey step;
    TimePoint sent_at;
    std::vector<QueriedWorker> queried_workers;
  };
  /// A process that can call the advisor.
  struct AdvisorClient {
    TimePoint last_seen;
    std::optional<AdvisorCall> call;
    /// Number of the last call, which tells how long ago the client was used.
    AdvisorCallNumber last_call;
    /// Calls without a decision since the last decision. The client gets no call before `retry_at`
    /// while others are idle.
    std::uint32_t failed_calls = 0;
    TimePoint retry_at;
  };
  std::map<NodeId, AdvisorClient> advisor_clients_;
  AdvisorCallNumber next_call_number_{1};
  std::uint64_t next_hold_number_ = 1;
  std::map<job::JobId, std::vector<SubmitCallback>> pending_submits_;
  /// Task durations by queue. Not replicated; each leader learns them again.
  std::map<job::QueueId, DurationModel> duration_models_;
  Backlog backlog_;
  /// Jobs that have ended, earliest first.
  std::deque<std::pair<TimePoint, job::JobId>> ended_jobs_;
  /// Timed jobs that have not ended.
  std::set<job::JobId> timed_jobs_;
  TimePoint next_worker_check_;
  TimePoint next_migration_check_;
  TimePoint next_diagnosis_;
  TimePoint last_tick_;
  /// True after this process was suspended, until it has confirmed that it is still the leader.
  bool is_confirming_leadership_ = false;

  /// Records that the next proposal carries, and the callbacks that wait for it.
  job::CommandBatch next_batch_;
  std::vector<CommitCallback> next_batch_callbacks_;
  /// Callbacks of proposed batches by batch number.
  std::map<std::uint64_t, std::vector<CommitCallback>> batches_in_flight_;
  std::uint64_t next_batch_number_ = 1;
  /// Runs to stop, and runs whose state only a stop can settle.
  std::set<job::RunKey> pending_stops_;
  /// Start orders to be sent once the record of the start is durable.
  std::map<job::RunKey, StartOrder> pending_starts_;
  Counts counts_;
};

}  // namespace parsleyline::dispatch
