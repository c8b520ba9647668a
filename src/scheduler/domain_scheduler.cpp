#include "scheduler/domain_scheduler.h"

#include <utility>
#include <variant>
#include <vector>

#include "base/event_log.h"

namespace parsleyline::scheduler {

DomainScheduler::DomainScheduler(SchedulerOptions options, const Clock& clock,
                                 std::function<void()> request_pass)
    : options_(std::move(options)), clock_(clock), request_pass_(std::move(request_pass)) {}

DomainScheduler::~DomainScheduler() = default;

void DomainScheduler::SetLog(raft::ReplicatedLog* log) { log_ = log; }

void DomainScheduler::SetPolicy(const queue::QueuePolicy& policy, Revision revision) {
  const std::unique_lock lock(mutex_);
  policy_ = policy;
  policy_revision_ = revision;
  if (leader_ != nullptr) leader_->SetPolicy(policy);
}

void DomainScheduler::RequestSchedulingPass() {
  if (std::exchange(pass_requested_, true)) return;
  request_pass_();
}

// Propose() may apply the record before it returns, and Apply() takes the lock. Therefore the lock
// is released first.
void DomainScheduler::FlushOutbox(std::unique_lock<std::mutex> lock) {
  const std::vector<Record> proposals = outbox_.TakeProposals();
  const std::vector<std::function<void()>> replies = outbox_.TakeReplies();
  lock.unlock();
  for (const Record& record : proposals) {
    const auto index = log_->Propose(EncodeRecord(record));
    if (index) continue;
    std::unique_lock relock(mutex_);
    if (leader_ != nullptr) leader_->OnProposalRejected(record, index.error());
    FlushOutbox(std::move(relock));
  }
  for (const auto& send : replies) send();
}

Error DomainScheduler::NotLeaderError() const {
  return {ResultCode::kNotLeader, log_ != nullptr ? log_->Leader().value() : std::string()};
}

template <typename Message, typename Call>
Result<Message> DomainScheduler::CallLeader(Call call) {
  std::unique_lock lock(mutex_);
  if (leader_ == nullptr) return tl::make_unexpected(NotLeaderError());
  Result<Message> result = call(*leader_);
  RequestSchedulingPass();
  FlushOutbox(std::move(lock));
  return result;
}

void DomainScheduler::Submit(const wire::Submit& submit, StatusCallback reply) {
  std::unique_lock lock(mutex_);
  if (leader_ == nullptr) {
    lock.unlock();
    return reply(tl::make_unexpected(NotLeaderError()));
  }
  leader_->Submit(submit, std::move(reply), clock_.Now());
  RequestSchedulingPass();
  FlushOutbox(std::move(lock));
}

void DomainScheduler::Finish(const wire::FinishTask& finish, StatusCallback reply) {
  std::unique_lock lock(mutex_);
  if (leader_ == nullptr) {
    lock.unlock();
    return reply(tl::make_unexpected(NotLeaderError()));
  }
  leader_->Finish(finish, std::move(reply));
  FlushOutbox(std::move(lock));
}

void DomainScheduler::Cancel(const wire::RequestRef& request, StatusCallback reply) {
  std::unique_lock lock(mutex_);
  if (leader_ == nullptr) {
    lock.unlock();
    return reply(tl::make_unexpected(NotLeaderError()));
  }
  leader_->Cancel(request.id, std::move(reply));
  FlushOutbox(std::move(lock));
}

Result<wire::RequestStatus> DomainScheduler::Query(const wire::RequestRef& request) {
  return CallLeader<wire::RequestStatus>(
      [&request](const DomainLeader& leader) { return leader.Query(request.id); });
}

Result<wire::AnnounceReply> DomainScheduler::Announce(const wire::AnnounceBatch& batch) {
  return CallLeader<wire::AnnounceReply>(
      [&](DomainLeader& leader) { return leader.Announce(batch, clock_.Now()); });
}

Result<wire::EntryHeartbeatReply> DomainScheduler::Heartbeat(
    const wire::EntryHeartbeat& heartbeat) {
  return CallLeader<wire::EntryHeartbeatReply>(
      [&](DomainLeader& leader) { return leader.Heartbeat(heartbeat, clock_.Now()); });
}

Result<wire::EntryHeartbeatReply> DomainScheduler::ListEntryDaemons() {
  return CallLeader<wire::EntryHeartbeatReply>(
      [this](DomainLeader& leader) { return leader.ListEntryDaemons(clock_.Now()); });
}

Result<wire::Empty> DomainScheduler::SetWorkerState(const wire::SetWorkerState& change) {
  return CallLeader<wire::Empty>(
      [&change](DomainLeader& leader) { return leader.SetWorkerState(change); });
}

Result<wire::WorkerList> DomainScheduler::ListWorkers() {
  return CallLeader<wire::WorkerList>(
      [](const DomainLeader& leader) { return leader.ListWorkers(); });
}

Result<wire::QueueList> DomainScheduler::ListQueues() {
  return CallLeader<wire::QueueList>(
      [this](const DomainLeader& leader) { return leader.ListQueues(clock_.Now()); });
}

wire::SchedulerStatus DomainScheduler::Status() {
  wire::SchedulerStatus status;
  status.node = options_.node;
  status.domain = options_.domain;
  status.leader = log_->Leader();
  status.term = log_->CurrentTerm();
  status.commit_index = log_->CommitIndex();
  const std::unique_lock lock(mutex_);
  status.settings_revision = policy_revision_;
  if (leader_ != nullptr) leader_->FillStatus(&status);
  return status;
}

void DomainScheduler::RunSchedulingPass() {
  std::unique_lock lock(mutex_);
  pass_requested_ = false;
  if (leader_ == nullptr) return;
  if (leader_->PlaceQueued(clock_.Now())) RequestSchedulingPass();
  FlushOutbox(std::move(lock));
}

void DomainScheduler::Tick() {
  std::unique_lock lock(mutex_);
  if (leader_ != nullptr) {
    leader_->Tick(clock_.Now());
    RequestSchedulingPass();
  } else if (leading_term_ != Term()) {
    // The log may have rejected the first proposal of StartTerm. A repeated StartTerm has no
    // effect.
    outbox_.Propose(StartTerm{leading_term_});
  }
  FlushOutbox(std::move(lock));
}

void DomainScheduler::Apply(LogIndex index, std::string_view command) {
  const auto record = DecodeRecord(command);
  if (!record) {
    // All replicas of one version skip the same records, so they stay identical.
    Event("record_skipped", Severity::kError)
        .With("index", index)
        .With("reason", record.error().message);
    return;
  }
  std::unique_lock lock(mutex_);
  const TimePoint now = clock_.Now();
  const ApplyResult applied = state_.Apply(index, *record, now);
  if (const auto* start = std::get_if<StartTerm>(&*record)) StartLeading(start->term);
  if (leader_ == nullptr) return;
  leader_->OnApplied(*record, applied, now);
  RequestSchedulingPass();
  FlushOutbox(std::move(lock));
}

std::string DomainScheduler::TakeSnapshot() {
  const std::unique_lock lock(mutex_);
  return state_.TakeSnapshot();
}

Result<void> DomainScheduler::Restore(std::string_view snapshot) {
  const std::unique_lock lock(mutex_);
  return state_.Restore(snapshot, clock_.Now());
}

void DomainScheduler::OnRoleChange(raft::Role role, Term term) {
  std::unique_lock lock(mutex_);
  if (leader_ != nullptr) {
    Event("leader_stepped_down", Severity::kWarning).With("domain", options_.domain);
    leader_->StepDown(NotLeaderError());
    leader_.reset();
  }
  leading_term_ = role == raft::Role::kLeader ? term : Term();
  if (role == raft::Role::kLeader) outbox_.Propose(StartTerm{term});
  FlushOutbox(std::move(lock));
}

void DomainScheduler::StartLeading(Term term) {
  if (term != leading_term_ || leader_ != nullptr) return;
  leader_ =
      std::make_unique<DomainLeader>(options_, term, &state_, policy_, &outbox_, clock_.Now());
}

}  // namespace parsleyline::scheduler
