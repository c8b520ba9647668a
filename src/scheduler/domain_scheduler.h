#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "queue/fair_queue.h"
#include "raft/replicated_log.h"
#include "scheduler/domain_leader.h"
#include "scheduler/domain_state.h"
#include "scheduler/outbox.h"
#include "scheduler/scheduler_options.h"
#include "wire/messages.h"

namespace parsleyline::scheduler {

/// Scheduler of one failure domain on one replica. It applies the records of the replicated log to
/// the DomainState, runs a DomainLeader while this replica leads, and guards both with one lock.
///
/// Thread-safe. Replies are sent after the lock is released. Calls to a replica that is not the
/// leader fail with kNotLeader, and the error message is the node of the leader, if known.
class DomainScheduler : public raft::StateMachine {
 public:
  /// `request_pass` is called, from any thread and with the lock held, when RunSchedulingPass()
  /// should run soon. It must not call RunSchedulingPass() itself.
  DomainScheduler(SchedulerOptions options, const Clock& clock, std::function<void()> request_pass);
  ~DomainScheduler() override;

  /// Sets the log to propose records to. Call before any other method; the log must outlive the
  /// scheduler.
  void SetLog(raft::ReplicatedLog* log);

  /// Replaces the shares, quotas and limits of the queue by those of a revision of the settings.
  void SetPolicy(const queue::QueuePolicy& policy, Revision revision);

  // RPC methods; DomainLeader describes them.
  void Submit(const wire::Submit& submit, StatusCallback reply);
  void Finish(const wire::FinishTask& finish, StatusCallback reply);
  void Cancel(const wire::RequestRef& request, StatusCallback reply);
  Result<wire::RequestStatus> Query(const wire::RequestRef& request);
  Result<wire::AnnounceReply> Announce(const wire::AnnounceBatch& batch);
  Result<wire::EntryHeartbeatReply> Heartbeat(const wire::EntryHeartbeat& heartbeat);
  Result<wire::EntryHeartbeatReply> ListEntryDaemons();
  Result<wire::Empty> SetWorkerState(const wire::SetWorkerState& change);
  Result<wire::WorkerList> ListWorkers();
  Result<wire::QueueList> ListQueues();

  /// Returns the status of this replica; counts of workers and requests are 0 unless it leads.
  wire::SchedulerStatus Status();

  /// Runs one scheduling pass over the queued requests. Call it after each `request_pass`.
  void RunSchedulingPass();

  /// Handles timeouts. Call it every 20 to 100 ms.
  void Tick();

  void Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() override;
  Result<void> Restore(std::string_view snapshot) override;
  void OnRoleChange(raft::Role role, Term term) override;

 private:
  /// Releases `lock`, then proposes the records and sends the replies of the outbox.
  void FlushOutbox(std::unique_lock<std::mutex> lock);
  void RequestSchedulingPass();
  void StartLeading(Term term);
  Error NotLeaderError() const;

  /// Returns `call(*leader_)`, or fails with kNotLeader.
  template <typename Message, typename Call>
  Result<Message> CallLeader(Call call);

  const SchedulerOptions options_;
  const Clock& clock_;
  const std::function<void()> request_pass_;
  raft::ReplicatedLog* log_ = nullptr;

  std::mutex mutex_;
  Outbox outbox_;
  DomainState state_;
  queue::QueuePolicy policy_;
  Revision policy_revision_;
  /// Term in which this replica is the leader of the log, or 0.
  Term leading_term_;
  /// Set from the moment at which the StartTerm record of `leading_term_` is applied.
  std::unique_ptr<DomainLeader> leader_;
  bool pass_requested_ = false;
};

}  // namespace parsleyline::scheduler
