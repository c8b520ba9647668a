#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "placement/placement.h"
#include "queue/fair_queue.h"
#include "scheduler/domain_state.h"
#include "scheduler/entry_registry.h"
#include "scheduler/lease_table.h"
#include "scheduler/outbox.h"
#include "scheduler/scheduler_options.h"
#include "wire/messages.h"

namespace parsleyline::scheduler {

/// Scheduling decisions of the leader of one failure domain, and its state that is not replicated:
/// the queue, placement, leases, and the calls that wait for a record to be committed. Rebuilt from
/// the replicated state when the StartTerm record of its term is applied, and destroyed at the end
/// of the term. Free of I/O; not thread-safe: DomainScheduler serializes calls.
class DomainLeader {
 public:
  DomainLeader(const SchedulerOptions& options, Term term, DomainState* state,
               queue::QueuePolicy policy, Outbox* outbox, TimePoint now);

  /// Queues a request. Replies when it is granted or rejected. A request that is already known is
  /// not queued again: the call gets its recorded status, or waits for the pending decision.
  void Submit(const wire::Submit& submit, StatusCallback reply, TimePoint now);

  /// Records the end of a task. Replies once the end is committed; for a lost task that is when its
  /// lease has ended.
  void Finish(const wire::FinishTask& finish, StatusCallback reply);

  /// Rejects a request that has not started. Replies with the status of any other request.
  void Cancel(const RequestId& id, StatusCallback reply);

  /// Returns the status of a request; kNone if the request is unknown.
  wire::RequestStatus Query(const RequestId& id) const;

  /// Registers announced workers and renews the leases of the tasks that they report.
  wire::AnnounceReply Announce(const wire::AnnounceBatch& batch, TimePoint now);

  /// Registers an entry daemon, or extends its registration.
  wire::EntryHeartbeatReply Heartbeat(const wire::EntryHeartbeat& heartbeat, TimePoint now);
  wire::EntryHeartbeatReply ListEntryDaemons(TimePoint now) { return entries_.List(now); }

  /// Drains a worker, or makes it ready again, on behalf of an operator.
  Result<wire::Empty> SetWorkerState(const wire::SetWorkerState& change);
  wire::WorkerList ListWorkers() const;
  wire::QueueList ListQueues(TimePoint now) const;
  void FillStatus(wire::SchedulerStatus* status) const;

  void SetPolicy(queue::QueuePolicy policy) { queue_.SetPolicy(std::move(policy)); }

  /// Expires queued requests, leases and reservations, marks workers as silent, and proposes to
  /// remove old workers and ledger records.
  void Tick(TimePoint now);

  /// Runs one scheduling pass. Returns whether the limit of grants was reached, so that another
  /// pass may place more.
  bool PlaceQueued(TimePoint now);

  /// Updates the leader's state after a record was applied to the replicated state.
  void OnApplied(const Record& record, const ApplyResult& applied, TimePoint now);

  /// Cleans up after a proposal that the log rejected: drops the pending state of the proposal and
  /// fails the calls that wait for it.
  void OnProposalRejected(const Record& record, const Error& error);

  /// Fails all pending calls with `error`.
  void StepDown(const Error& error);

 private:
  /// A submitted request that is not granted yet, with the calls to reply to.
  struct PendingRequest {
    wire::Submit submit;
    TimePoint first_submitted;
    std::vector<StatusCallback> replies;
  };

  /// A grant that was proposed and is not committed yet.
  struct PendingGrant {
    PendingRequest request;
    /// Tokens under which the tasks are charged until the log assigns the fencing tokens.
    std::vector<FencingToken> provisional_tokens;
  };

  /// A rejection that was proposed and is not committed yet.
  struct PendingRejection {
    std::uint64_t digest = 0;
    std::vector<StatusCallback> replies;
  };

  void RebuildFromState(TimePoint now);
  void AddWorker(const RegisteredWorker& worker);
  void UpdateFleetCapacity();
  std::optional<std::uint64_t> FindDigest(const RequestId& id) const;
  void Enqueue(const wire::Submit& submit, StatusCallback reply, TimePoint now);
  void Reject(const wire::Submit& submit, const Error& error, Milliseconds retry_after,
              const std::vector<StatusCallback>& replies);
  bool TryPlace(const queue::QueuedRequest& request, TimePoint now);
  void ProposeGrant(PendingRequest request, const placement::Decision& decision, TimePoint now);
  std::optional<PendingRequest> TakePendingGrant(const GrantTasks& record);
  void ReplyWithError(const std::vector<StatusCallback>& replies, const Error& error);
  void TrackRunningTasks(const ledger::LedgerEntry& entry, TimePoint now);
  void HandleTaskEnd(const EndedTask& ended, TimePoint now);
  void ReplyToFinish(const RequestId& id, FencingToken token);
  void RecordTrimmable(const wire::RequestSpec& spec, TimePoint now);
  void HandleAnnouncement(const wire::Announcement& announcement, wire::AnnounceResult* result,
                          TimePoint now);
  void ChargeUnknownTasks(const wire::Announcement& announcement,
                          const std::vector<FencingToken>& unknown);
  void StopLostTasks(const RegisteredWorker& worker, const wire::Announcement& announcement,
                     wire::AnnounceResult* result);
  void ProposeTaskLost(FencingToken token, const char* reason);
  void ExpireQueuedRequests(TimePoint now);
  void ExpireWorkersAndLeases(TimePoint now);
  void ProposeTrim(TimePoint now);
  void ReplyWithStatus(const RequestId& id, const std::vector<StatusCallback>& replies);
  wire::RequestStatus StatusOf(const ledger::LedgerEntry& entry) const;

  void HandleApplied(const GrantTasks& record, bool accepted, TimePoint now);
  void HandleApplied(const RegisterWorker& record);
  void HandleApplied(const SetOperatorState& record);
  void HandleApplied(const RemoveWorker& record);
  void HandleApplied(const wire::FinishTask& record);
  void HandleApplied(const ConfirmStops& record);
  void HandleApplied(const ledger::Rejection& record);

  const SchedulerOptions& options_;
  Term term_;
  DomainState* state_;
  Outbox* outbox_;
  placement::Placement placement_;
  queue::FairQueue queue_;
  LeaseTable leases_;
  EntryRegistry entries_;

  std::unordered_map<RequestId, PendingRequest> queued_;
  /// Keyed by the number of the proposal.
  std::unordered_map<std::uint64_t, PendingGrant> pending_grants_;
  std::unordered_map<RequestId, std::uint64_t> pending_grant_by_request_;
  std::uint64_t next_proposal_ = 1;
  std::uint64_t next_provisional_token_ = 0;

  /// Calls that wait for the end of a task to be committed.
  std::unordered_map<FencingToken, std::vector<StatusCallback>> pending_finish_replies_;
  std::unordered_map<RequestId, PendingRejection> pending_rejections_;
  std::unordered_map<WorkerId, RegisterWorker> proposed_registrations_;
  /// Tasks that workers report but the ledger does not have. They are charged until the worker no
  /// longer reports them.
  std::unordered_map<WorkerId, std::unordered_set<FencingToken>> unknown_tasks_;
  /// Number of the first reply that told a worker to refuse a lost task.
  std::unordered_map<WorkerId, std::unordered_map<FencingToken, std::uint64_t>> lost_task_stops_;
  /// Running tasks whose loss was proposed and is not committed yet.
  std::unordered_set<FencingToken> proposed_lost_tasks_;
  /// When each ledger record with long retention became trimmable, oldest first. Records of earlier
  /// terms count from the start of this term.
  std::deque<TimePoint> long_retention_times_;
  bool trim_proposed_ = false;
};

}  // namespace parsleyline::scheduler
