#include "scheduler/domain_leader.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "base/event_log.h"

namespace parsleyline::scheduler {
namespace {

// Marks the provisional tokens under which tasks are charged until their grant is committed. They
// never equal a fencing token from the log, because log indexes leave the highest bit clear.
constexpr std::uint64_t kProvisionalTokenBit = std::uint64_t{1} << 63U;
// Announcement replies are numbered from the term shifted by this, so that numbers of a later
// leader are higher.
constexpr unsigned kReplyNumberTermShift = 32;
constexpr std::size_t kWorkersInLogLine = 8;
constexpr Milliseconds kOverloadedRetryAfter{1000};

bool MustRecordRejection(const wire::Submit& submit) {
  return submit.attempt > 0 || !submit.idempotency_key.empty();
}

placement::Demand ToDemand(const RequestId& id, const wire::RequestSpec& spec,
                           Milliseconds estimate) {
  return {.kind = spec.kind,
          .per_task = spec.resources,
          .tasks = spec.tasks,
          .estimate = estimate,
          .job = id};
}

std::string JoinWorkers(const std::vector<WorkerId>& workers) {
  std::string text;
  for (std::size_t i = 0; i < std::min(workers.size(), kWorkersInLogLine); ++i) {
    if (i > 0) text += ',';
    text += workers[i].value();
  }
  if (workers.size() > kWorkersInLogLine) text += ",+" + std::to_string(workers.size());
  return text;
}

Resources Multiply(const Resources& resources, std::uint32_t tasks) {
  Resources total;
  for (std::uint32_t i = 0; i < tasks; ++i) total += resources;
  return total;
}

wire::RequestStatus RejectedStatus(const RequestId& id, const Error& error,
                                   Milliseconds retry_after) {
  wire::RequestStatus status;
  status.id = id;
  status.state = wire::RequestState::kRejected;
  status.code = error.code;
  status.message = error.message;
  status.retry_after = retry_after;
  return status;
}

}  // namespace

DomainLeader::DomainLeader(const SchedulerOptions& options, Term term, DomainState* state,
                           queue::QueuePolicy policy, Outbox* outbox, TimePoint now)
    : options_(options),
      term_(term),
      state_(state),
      outbox_(outbox),
      placement_(options.placement),
      queue_(std::move(policy)),
      leases_(options.clock_margin, term.value() << kReplyNumberTermShift),
      entries_(options.connections_per_worker, options.entry_ttl) {
  RebuildFromState(now);
}

void DomainLeader::RebuildFromState(TimePoint now) {
  // The previous leader may have renewed any lease and received an announcement of any worker just
  // before its term ended. Therefore all leases start again and all workers count as just
  // announced.
  state_->mutable_workers().MarkAllAnnounced(now);
  for (const auto& [id, worker] : state_->workers().workers()) AddWorker(worker);
  UpdateFleetCapacity();
  for (const ledger::LedgerEntry* entry : state_->ledger().Running()) {
    TrackRunningTasks(*entry, now);
  }
  long_retention_times_.assign(state_->ledger().TrimmableCount(ledger::Retention::kLong), now);
  Event("leader_ready")
      .With("domain", options_.domain)
      .With("term", term_)
      .With("workers", state_->workers().workers().size())
      .With("running_tasks", leases_.size());
}

void DomainLeader::AddWorker(const RegisteredWorker& worker) {
  const RegisterWorker& registration = worker.registration;
  placement_.UpsertWorker({registration.worker, registration.rack, registration.capacity});
  placement_.SetAvailability(registration.worker, worker.Availability());
}

void DomainLeader::UpdateFleetCapacity() { queue_.SetFleetCapacity(placement_.TotalCapacity()); }

// Charges the running tasks of a request, starts their leases, and counts them in the queue.
void DomainLeader::TrackRunningTasks(const ledger::LedgerEntry& entry, TimePoint now) {
  const Milliseconds lease = options_.LeaseOf(entry.spec.kind);
  const Milliseconds estimate =
      queue_.Estimate(entry.spec.team, entry.spec.kind, entry.spec.expected_run_time);
  for (const ledger::TaskEntry& task : entry.tasks) {
    if (task.state != ledger::TaskState::kRunning) continue;
    // An estimate of zero means that the run time is unknown.
    if (estimate > Milliseconds(0)) {
      placement_.Charge(task.token, task.worker, entry.spec.resources, now + estimate);
    } else {
      placement_.Charge(task.token, task.worker, entry.spec.resources);
    }
    leases_.Start(task.token, task.worker, lease, now);
    queue_.AddRunning(entry.spec.team, entry.spec.kind, entry.spec.resources);
  }
}

wire::RequestStatus DomainLeader::StatusOf(const ledger::LedgerEntry& entry) const {
  wire::RequestStatus status = ledger::ToStatus(entry);
  for (wire::TaskGrant& grant : status.grants) {
    const RegisteredWorker* worker = state_->workers().Find(grant.worker);
    if (worker != nullptr) grant.address = worker->registration.address;
    grant.lease = options_.LeaseOf(entry.spec.kind);
  }
  return status;
}

// Returns the body digest of a request that is in the ledger, queued, or part of a pending
// proposal.
std::optional<std::uint64_t> DomainLeader::FindDigest(const RequestId& id) const {
  if (const ledger::LedgerEntry* entry = state_->ledger().Find(id)) return entry->digest;
  if (const auto it = pending_grant_by_request_.find(id); it != pending_grant_by_request_.end()) {
    return pending_grants_.at(it->second).request.submit.body_digest;
  }
  if (const auto it = queued_.find(id); it != queued_.end()) return it->second.submit.body_digest;
  const auto it = pending_rejections_.find(id);
  if (it != pending_rejections_.end()) return it->second.digest;
  return std::nullopt;
}

void DomainLeader::Submit(const wire::Submit& submit, StatusCallback reply, TimePoint now) {
  const ledger::LedgerEntry* entry = state_->ledger().Find(submit.id);
  const std::optional<std::uint64_t> digest = FindDigest(submit.id);
  if (digest && *digest != submit.body_digest) {
    const Error error{ResultCode::kKeyConflict,
                      "the idempotency key was already used with a different body; use a new key"};
    outbox_->Send<wire::RequestStatus>(reply, RejectedStatus(submit.id, error, Milliseconds(0)));
    return;
  }
  if (!state_->ledger().MayGrant(submit.id, submit.attempt)) {
    outbox_->Send<wire::RequestStatus>(reply, StatusOf(*entry));
    return;
  }
  if (const auto it = pending_grant_by_request_.find(submit.id);
      it != pending_grant_by_request_.end()) {
    pending_grants_.at(it->second).request.replies.push_back(std::move(reply));
    return;
  }
  if (const auto it = queued_.find(submit.id); it != queued_.end()) {
    // The caller may have submitted the request to another leader in between. The highest attempt
    // decides whether a rejection must be recorded.
    std::uint32_t& attempt = it->second.submit.attempt;
    attempt = std::max(attempt, submit.attempt);
    it->second.replies.push_back(std::move(reply));
    return;
  }
  if (const auto it = pending_rejections_.find(submit.id); it != pending_rejections_.end()) {
    it->second.replies.push_back(std::move(reply));
    return;
  }
  Enqueue(submit, std::move(reply), now);
}

void DomainLeader::Enqueue(const wire::Submit& submit, StatusCallback reply, TimePoint now) {
  const wire::RequestSpec& spec = submit.spec;
  if (state_->workers().workers().empty()) {
    const Error error{ResultCode::kOverloaded, "no worker is registered in the domain"};
    return Reject(submit, error, kOverloadedRetryAfter, {std::move(reply)});
  }
  const bool needs_long_retention = spec.idempotency == wire::Idempotency::kNotIdempotent;
  if (needs_long_retention &&
      state_->ledger().TrimmableCount(ledger::Retention::kLong) >= options_.ledger_max_entries) {
    const Error error{ResultCode::kOverloaded,
                      "the ledger of the domain is full: it holds the limit of " +
                          std::to_string(options_.ledger_max_entries) +
                          " records of non-idempotent requests, each kept for the retention time"};
    return Reject(submit, error, kOverloadedRetryAfter, {std::move(reply)});
  }
  const Milliseconds estimate = queue_.Estimate(spec.team, spec.kind, spec.expected_run_time);
  if (auto fits = placement_.CheckCanEverFit(ToDemand(submit.id, spec, estimate)); !fits) {
    return Reject(submit, fits.error(), Milliseconds(0), {std::move(reply)});
  }
  const queue::QueuedRequest request{.id = submit.id,
                                     .team = spec.team,
                                     .kind = spec.kind,
                                     .tasks = spec.tasks,
                                     .per_task = spec.resources,
                                     .estimate = estimate,
                                     .enqueued = now,
                                     .deadline = now + submit.remaining};
  if (auto pushed = queue_.Push(request, now); !pushed) {
    const queue::Rejection& rejection = pushed.error();
    return Reject(submit, rejection.error, rejection.retry_after, {std::move(reply)});
  }
  queued_.emplace(submit.id, PendingRequest{submit, now, {std::move(reply)}});
}

// A request that no other replica can know is rejected immediately. Any other rejection takes
// effect only once it is committed, because a deposed leader could otherwise reject a request that
// another leader has granted.
void DomainLeader::Reject(const wire::Submit& submit, const Error& error, Milliseconds retry_after,
                          const std::vector<StatusCallback>& replies) {
  Event("reject")
      .With("request", submit.id)
      .With("team", submit.spec.team)
      .With("kind", KindName(submit.spec.kind))
      .With("code", static_cast<int>(error.code))
      .With("reason", Describe(error.code).name)
      .With("retry_after_ms", retry_after.count());
  if (!MustRecordRejection(submit)) {
    for (const StatusCallback& reply : replies) {
      outbox_->Send<wire::RequestStatus>(reply, RejectedStatus(submit.id, error, retry_after));
    }
    return;
  }
  PendingRejection& pending = pending_rejections_[submit.id];
  pending.digest = submit.body_digest;
  pending.replies.insert(pending.replies.end(), replies.begin(), replies.end());
  outbox_->Propose(ledger::Rejection{.id = submit.id,
                                     .digest = submit.body_digest,
                                     .spec = submit.spec,
                                     .code = error.code,
                                     .message = error.message,
                                     .retry_after = retry_after});
}

bool DomainLeader::PlaceQueued(TimePoint now) {
  const std::size_t placed = queue_.Dispatch(
      now, options_.max_grants_per_pass,
      [this, now](const queue::QueuedRequest& request) { return TryPlace(request, now); });
  return placed >= options_.max_grants_per_pass;
}

bool DomainLeader::TryPlace(const queue::QueuedRequest& request, TimePoint now) {
  const auto it = queued_.find(request.id);
  if (!PARSLEYLINE_CHECK(it != queued_.end())) return false;
  const placement::Decision decision =
      placement_.Choose(ToDemand(request.id, it->second.submit.spec, request.estimate), now);
  if (decision.workers.empty()) return false;
  PendingRequest pending = std::move(it->second);
  queued_.erase(it);
  ProposeGrant(std::move(pending), decision, now);
  return true;
}

void DomainLeader::ProposeGrant(PendingRequest request, const placement::Decision& decision,
                                TimePoint now) {
  const wire::Submit& submit = request.submit;
  const auto waited = std::chrono::duration_cast<Milliseconds>(now - request.first_submitted);
  Event("place")
      .With("request", submit.id)
      .With("team", submit.spec.team)
      .With("kind", KindName(submit.spec.kind))
      .With("candidates", decision.candidates)
      .With("workers", JoinWorkers(decision.workers))
      .With("reason", decision.reason)
      .With("waited_ms", waited.count());

  GrantTasks record;
  record.proposer_term = term_;
  record.proposal_number = next_proposal_++;
  record.grant = {.id = submit.id,
                  .digest = submit.body_digest,
                  .spec = submit.spec,
                  .dispatcher = submit.entry,
                  .attempt = submit.attempt,
                  .waited = waited,
                  .workers = decision.workers,
                  .incarnations = {}};
  PendingGrant pending;
  for (const WorkerId& worker : decision.workers) {
    const RegisteredWorker* registered = state_->workers().Find(worker);
    record.grant.incarnations.push_back(registered != nullptr ? registered->registration.incarnation
                                                              : Incarnation());
    const FencingToken token(kProvisionalTokenBit | next_provisional_token_++);
    placement_.Charge(token, worker, submit.spec.resources);
    pending.provisional_tokens.push_back(token);
  }
  pending_grant_by_request_[submit.id] = record.proposal_number;
  pending.request = std::move(request);
  pending_grants_.emplace(record.proposal_number, std::move(pending));
  outbox_->Propose(std::move(record));
}

void DomainLeader::OnApplied(const Record& record, const ApplyResult& applied, TimePoint now) {
  for (const EndedTask& ended : applied.ended) HandleTaskEnd(ended, now);
  std::visit(
      [&](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<Message, GrantTasks>) {
          HandleApplied(message, applied.accepted, now);
        } else if constexpr (std::is_same_v<Message, TrimLedger>) {
          trim_proposed_ = false;
        } else if constexpr (std::is_same_v<Message, StartTerm>) {
          // This object is created when the record is applied.
        } else if constexpr (std::is_same_v<Message, ledger::Rejection>) {
          if (applied.accepted) RecordTrimmable(message.spec, now);
          HandleApplied(message);
        } else {
          HandleApplied(message);
        }
      },
      record);
}

void DomainLeader::HandleApplied(const GrantTasks& record, bool accepted, TimePoint now) {
  const std::optional<PendingRequest> request = TakePendingGrant(record);
  if (accepted) TrackRunningTasks(*state_->ledger().Find(record.grant.id), now);
  if (request) ReplyWithStatus(record.grant.id, request->replies);
}

// Releases the provisional charges of a grant that this leader proposed and returns the request
// with the calls that wait for it. Returns nothing for a grant of another leader.
std::optional<DomainLeader::PendingRequest> DomainLeader::TakePendingGrant(
    const GrantTasks& record) {
  if (record.proposer_term != term_) return std::nullopt;
  auto node = pending_grants_.extract(record.proposal_number);
  if (node.empty()) return std::nullopt;
  pending_grant_by_request_.erase(record.grant.id);
  for (const FencingToken token : node.mapped().provisional_tokens) placement_.Release(token);
  // The queue counted the request as running when it was placed, and StartTasks() counts each of
  // its tasks again.
  const wire::RequestSpec& spec = record.grant.spec;
  queue_.RemoveRunning(spec.team, spec.kind, Multiply(spec.resources, spec.tasks), Milliseconds(0));
  return std::move(node.mapped().request);
}

void DomainLeader::ReplyWithStatus(const RequestId& id,
                                   const std::vector<StatusCallback>& replies) {
  const ledger::LedgerEntry* entry = state_->ledger().Find(id);
  wire::RequestStatus status;
  status.id = id;
  if (entry != nullptr) status = StatusOf(*entry);
  for (const StatusCallback& reply : replies) outbox_->Send<wire::RequestStatus>(reply, status);
}

void DomainLeader::HandleTaskEnd(const EndedTask& ended, TimePoint now) {
  const ledger::TaskEntry& task = ended.task;
  placement_.Release(task.token);
  leases_.Remove(task.token);
  proposed_lost_tasks_.erase(task.token);
  queue_.RemoveRunning(ended.spec.team, ended.spec.kind, ended.spec.resources, ended.run_time);
  if (task.outcome == wire::TaskOutcome::kDone) {
    placement_.RecordSuccess(task.worker, ended.request, now);
  } else if (task.outcome == wire::TaskOutcome::kFailed) {
    placement_.RecordFailure(task.worker, ended.request, now);
  }
  const ledger::LedgerEntry* entry = state_->ledger().Find(ended.request);
  if (entry != nullptr && entry->state != wire::RequestState::kRunning) {
    RecordTrimmable(ended.spec, now);
  }
  ReplyToFinish(ended.request, task.token);
}

void DomainLeader::RecordTrimmable(const wire::RequestSpec& spec, TimePoint now) {
  if (spec.idempotency == wire::Idempotency::kNotIdempotent) long_retention_times_.push_back(now);
}

void DomainLeader::Finish(const wire::FinishTask& finish, StatusCallback reply) {
  const ledger::LedgerEntry* entry = state_->ledger().Find(finish.id);
  if (entry == nullptr) {
    outbox_->Send<wire::RequestStatus>(
        reply, Fail(ResultCode::kNotFound, "request " + finish.id.value() + " is unknown"));
    return;
  }
  const bool running = state_->ledger().FindByToken(finish.token) != nullptr;
  const bool replaces_unknown_outcome =
      entry->state == wire::RequestState::kUnknown && finish.outcome != wire::TaskOutcome::kLost;
  if (!running && !replaces_unknown_outcome) {
    outbox_->Send<wire::RequestStatus>(reply, StatusOf(*entry));
    return;
  }
  pending_finish_replies_[finish.token].push_back(std::move(reply));
  // A task that is reported as lost may still run, so it ends only when its lease ends. Tick() and
  // Announce() detect that.
  if (finish.outcome != wire::TaskOutcome::kLost) outbox_->Propose(finish);
}

void DomainLeader::HandleApplied(const wire::FinishTask& record) {
  proposed_lost_tasks_.erase(record.token);
  ReplyToFinish(record.id, record.token);
}

void DomainLeader::ReplyToFinish(const RequestId& id, FencingToken token) {
  auto node = pending_finish_replies_.extract(token);
  if (!node.empty()) ReplyWithStatus(id, node.mapped());
}

void DomainLeader::Cancel(const RequestId& id, StatusCallback reply) {
  const Error error{ResultCode::kCancelled, "the request was cancelled before it started"};
  if (const auto it = queued_.find(id); it != queued_.end()) {
    PendingRequest request = std::move(it->second);
    queued_.erase(it);
    queue_.Remove(id);
    placement_.DropReservation(id);
    request.replies.push_back(std::move(reply));
    // Cancel and Submit may come from different callers, so the rejection must be recorded.
    request.submit.attempt = std::max(request.submit.attempt, 1U);
    return Reject(request.submit, error, Milliseconds(0), request.replies);
  }
  if (const auto it = pending_grant_by_request_.find(id); it != pending_grant_by_request_.end()) {
    pending_grants_.at(it->second).request.replies.push_back(std::move(reply));
    return;
  }
  if (const auto it = pending_rejections_.find(id); it != pending_rejections_.end()) {
    it->second.replies.push_back(std::move(reply));
    return;
  }
  const ledger::LedgerEntry* entry = state_->ledger().Find(id);
  if (entry == nullptr) {
    outbox_->Send<wire::RequestStatus>(
        reply, Fail(ResultCode::kNotFound, "request " + id.value() + " is unknown"));
    return;
  }
  if (entry->state == wire::RequestState::kQueued) {
    // The last grant ended before any task started, and the entry daemon has not resubmitted the
    // request.
    wire::Submit submit{
        .id = id, .idempotency_key = {}, .body_digest = entry->digest, .spec = entry->spec};
    submit.attempt = entry->attempt + 1;
    return Reject(submit, error, Milliseconds(0), {std::move(reply)});
  }
  outbox_->Send<wire::RequestStatus>(reply, Query(id));
}

void DomainLeader::HandleApplied(const ledger::Rejection& record) {
  auto node = pending_rejections_.extract(record.id);
  if (!node.empty()) ReplyWithStatus(record.id, node.mapped().replies);
}

wire::RequestStatus DomainLeader::Query(const RequestId& id) const {
  const ledger::LedgerEntry* entry = state_->ledger().Find(id);
  if (entry != nullptr) return StatusOf(*entry);
  wire::RequestStatus status;
  status.id = id;
  if (queued_.contains(id) || pending_grant_by_request_.contains(id)) {
    status.state = wire::RequestState::kQueued;
  }
  return status;
}

void DomainLeader::ExpireQueuedRequests(TimePoint now) {
  for (const queue::QueuedRequest& request : queue_.TakeExpired(now)) {
    const auto it = queued_.find(request.id);
    if (!PARSLEYLINE_CHECK(it != queued_.end())) continue;
    const PendingRequest pending = std::move(it->second);
    queued_.erase(it);
    placement_.DropReservation(request.id);
    const Error error{ResultCode::kDeadlineExceeded,
                      "the deadline of the request passed while it was queued"};
    Reject(pending.submit, error, Milliseconds(0), pending.replies);
  }
}

void DomainLeader::ProposeTrim(TimePoint now) {
  while (!long_retention_times_.empty() &&
         long_retention_times_.front() + options_.ledger_retention < now) {
    long_retention_times_.pop_front();
  }
  if (trim_proposed_) return;
  const ledger::Ledger& ledger = state_->ledger();
  const std::size_t short_count = ledger.TrimmableCount(ledger::Retention::kShort);
  const std::size_t long_count = ledger.TrimmableCount(ledger::Retention::kLong);
  TrimLedger trim;
  // Minimum excess before trimming, so that trimming adds few records to the log.
  constexpr std::size_t kTrimBatch = 500;
  if (short_count > options_.ledger_max_short_entries + kTrimBatch) {
    trim.short_records = short_count - options_.ledger_max_short_entries;
  }
  if (long_count > long_retention_times_.size()) {
    trim.long_records = long_count - long_retention_times_.size();
  }
  if (trim.short_records == 0 && trim.long_records == 0) return;
  trim_proposed_ = true;
  outbox_->Propose(trim);
}

void DomainLeader::Tick(TimePoint now) {
  placement_.Tick(now);
  ExpireQueuedRequests(now);
  ExpireWorkersAndLeases(now);
  ProposeTrim(now);
}

void DomainLeader::ReplyWithError(const std::vector<StatusCallback>& replies, const Error& error) {
  for (const StatusCallback& reply : replies) {
    outbox_->Send<wire::RequestStatus>(reply, tl::make_unexpected(error));
  }
}

void DomainLeader::OnProposalRejected(const Record& record, const Error& error) {
  if (const auto* grant = std::get_if<GrantTasks>(&record)) {
    if (const auto request = TakePendingGrant(*grant)) ReplyWithError(request->replies, error);
  } else if (const auto* finish = std::get_if<wire::FinishTask>(&record)) {
    proposed_lost_tasks_.erase(finish->token);
    const auto node = pending_finish_replies_.extract(finish->token);
    if (!node.empty()) ReplyWithError(node.mapped(), error);
  } else if (const auto* rejection = std::get_if<ledger::Rejection>(&record)) {
    const auto node = pending_rejections_.extract(rejection->id);
    if (!node.empty()) ReplyWithError(node.mapped().replies, error);
  } else if (const auto* registration = std::get_if<RegisterWorker>(&record)) {
    proposed_registrations_.erase(registration->worker);
  } else if (std::holds_alternative<TrimLedger>(record)) {
    trim_proposed_ = false;
  }
}

void DomainLeader::StepDown(const Error& error) {
  for (const auto& [id, request] : queued_) ReplyWithError(request.replies, error);
  for (const auto& [proposal, pending] : pending_grants_) {
    ReplyWithError(pending.request.replies, error);
  }
  for (const auto& [token, replies] : pending_finish_replies_) ReplyWithError(replies, error);
  for (const auto& [id, pending] : pending_rejections_) ReplyWithError(pending.replies, error);
}

}  // namespace parsleyline::scheduler
