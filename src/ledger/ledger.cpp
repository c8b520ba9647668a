#include "ledger/ledger.h"

#include <algorithm>

#include "base/event_log.h"
#include "wire/codec.h"
#include "wire/codec_impl.h"

namespace parsleyline::ledger {

/// Serialized form of a Ledger.
struct LedgerSnapshot {
  std::vector<LedgerEntry> entries;
  std::vector<RequestId> short_trim_order;
  std::vector<RequestId> long_trim_order;

  auto Fields() { return std::tie(entries, short_trim_order, long_trim_order); }
};

}  // namespace parsleyline::ledger

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::ledger::LedgerSnapshot);

namespace parsleyline::ledger {
namespace {

using wire::RequestState;
using wire::TaskOutcome;

/// Returns whether a record in this state has no running task and may be trimmed.
bool IsTrimmable(RequestState state) {
  return state != RequestState::kNone && state != RequestState::kRunning;
}

std::size_t CountOutcome(const LedgerEntry& entry, TaskOutcome outcome) {
  return static_cast<std::size_t>(
      std::count_if(entry.tasks.begin(), entry.tasks.end(),
                    [outcome](const TaskEntry& task) { return task.outcome == outcome; }));
}

bool AllEnded(const LedgerEntry& entry) {
  return std::all_of(entry.tasks.begin(), entry.tasks.end(),
                     [](const TaskEntry& task) { return task.state == TaskState::kEnded; });
}

TaskEntry* FindTask(LedgerEntry* entry, FencingToken token) {
  const auto it = std::find_if(entry->tasks.begin(), entry->tasks.end(),
                               [token](const TaskEntry& task) { return task.token == token; });
  return it != entry->tasks.end() ? &*it : nullptr;
}

void SetOutcome(LedgerEntry* entry, RequestState state, ResultCode code, std::string message) {
  entry->state = state;
  entry->code = code;
  entry->message = std::move(message);
}

/// Sets the state of a request whose last grant ended before any task started.
void SetStateFromEarlierAttempt(LedgerEntry* entry) {
  if (entry->earlier_state == RequestState::kNone) {
    // No task of the request has ever started, so it may be granted again or rejected.
    return SetOutcome(entry, RequestState::kQueued, ResultCode::kOk, "");
  }
  const ResultCode code = entry->earlier_state == RequestState::kFailed
                              ? ResultCode::kTaskFailed
                              : ResultCode::kOutcomeUnknown;
  SetOutcome(entry, entry->earlier_state, code,
             "an earlier attempt ran without success and the last one did not start");
}

/// Sets the state of a request from the outcomes of its tasks, all of which have ended.
void SetStateFromOutcomes(LedgerEntry* entry) {
  const std::size_t total = entry->tasks.size();
  if (CountOutcome(*entry, TaskOutcome::kDone) == total) {
    SetOutcome(entry, RequestState::kDone, ResultCode::kOk, "");
  } else if (CountOutcome(*entry, TaskOutcome::kNotStarted) == total) {
    SetStateFromEarlierAttempt(entry);
  } else if (CountOutcome(*entry, TaskOutcome::kLost) > 0) {
    SetOutcome(entry, RequestState::kUnknown, ResultCode::kOutcomeUnknown,
               "a worker was lost while the task may have run; ask again by id");
  } else {
    std::string reason;
    for (const TaskEntry& task : entry->tasks) {
      if (task.outcome == TaskOutcome::kFailed) reason = task.answer;
    }
    if (reason.empty()) reason = "some tasks of the job did not start";
    SetOutcome(entry, RequestState::kFailed, ResultCode::kTaskFailed, std::move(reason));
  }
}

}  // namespace

Retention RetentionOf(const LedgerEntry& entry) {
  return entry.spec.idempotency == wire::Idempotency::kIdempotent ? Retention::kShort
                                                                  : Retention::kLong;
}

std::deque<RequestId>& Ledger::TrimOrder(Retention retention) {
  return retention == Retention::kShort ? short_trim_order_ : long_trim_order_;
}

const std::deque<RequestId>& Ledger::TrimOrder(Retention retention) const {
  return retention == Retention::kShort ? short_trim_order_ : long_trim_order_;
}

bool Ledger::MayGrant(const RequestId& id, std::uint32_t attempt) const {
  const LedgerEntry* entry = Find(id);
  if (entry == nullptr || entry->state == RequestState::kQueued) return true;
  const bool ended_without_success =
      entry->state == RequestState::kFailed || entry->state == RequestState::kUnknown;
  return ended_without_success && entry->spec.idempotency == wire::Idempotency::kIdempotent &&
         attempt > entry->attempt;
}

bool Ledger::ApplyGrant(LogIndex index, const Grant& grant) {
  if (!MayGrant(grant.id, grant.attempt)) return false;
  if (!PARSLEYLINE_CHECK(grant.workers.size() == grant.incarnations.size())) return false;
  LedgerEntry& entry = entries_[grant.id];
  if (IsTrimmable(entry.state)) {
    auto& order = TrimOrder(RetentionOf(entry));
    order.erase(std::remove(order.begin(), order.end(), grant.id), order.end());
  }
  if (entry.state == RequestState::kFailed || entry.state == RequestState::kUnknown) {
    entry.earlier_state = entry.state;
  }
  entry.id = grant.id;
  entry.digest = grant.digest;
  entry.spec = grant.spec;
  entry.dispatcher = grant.dispatcher;
  entry.attempt = grant.attempt;
  entry.waited = grant.waited;
  SetOutcome(&entry, RequestState::kRunning, ResultCode::kOk, "");
  entry.tasks.clear();
  for (std::uint32_t i = 0; i < grant.workers.size(); ++i) {
    const FencingToken token = MakeFencingToken(index, i);
    entry.tasks.push_back({.token = token,
                           .worker = grant.workers[i],
                           .incarnation = grant.incarnations[i],
                           .state = TaskState::kRunning,
                           .outcome = TaskOutcome::kDone,
                           .answer = {}});
    request_by_token_[token] = grant.id;
  }
  return true;
}

const TaskEntry* Ledger::ApplyFinish(const wire::FinishTask& finish) {
  const auto it = entries_.find(finish.id);
  if (it == entries_.end()) return nullptr;
  LedgerEntry& entry = it->second;
  TaskEntry* task = FindTask(&entry, finish.token);
  if (task == nullptr) return nullptr;

  const bool was_running = task->state == TaskState::kRunning;
  const bool replaces_lost_outcome = !was_running && task->outcome == TaskOutcome::kLost &&
                                     finish.outcome != TaskOutcome::kLost &&
                                     finish.outcome != TaskOutcome::kNotStarted;
  if (!was_running && !replaces_lost_outcome) return nullptr;

  task->state = TaskState::kEnded;
  task->outcome = finish.outcome;
  task->answer = finish.answer;
  request_by_token_.erase(finish.token);
  if (AllEnded(entry)) CompleteRequest(&entry);
  return was_running ? task : nullptr;
}

void Ledger::CompleteRequest(LedgerEntry* entry) {
  const bool was_trimmable = IsTrimmable(entry->state);
  SetStateFromOutcomes(entry);
  if (!was_trimmable) TrimOrder(RetentionOf(*entry)).push_back(entry->id);
}

bool Ledger::ApplyRejection(const Rejection& rejection) {
  const LedgerEntry* known = Find(rejection.id);
  if (known != nullptr && known->state != RequestState::kQueued) return false;
  LedgerEntry& entry = entries_[rejection.id];
  entry.id = rejection.id;
  entry.digest = rejection.digest;
  entry.spec = rejection.spec;
  entry.retry_after = rejection.retry_after;
  entry.tasks.clear();
  SetOutcome(&entry, RequestState::kRejected, rejection.code, rejection.message);
  if (known == nullptr) TrimOrder(RetentionOf(entry)).push_back(rejection.id);
  return true;
}

void Ledger::Trim(Retention retention, std::size_t count) {
  auto& order = TrimOrder(retention);
  for (; count > 0 && !order.empty(); --count) {
    entries_.erase(order.front());
    order.pop_front();
  }
}

const LedgerEntry* Ledger::Find(const RequestId& id) const {
  const auto it = entries_.find(id);
  return it != entries_.end() ? &it->second : nullptr;
}

const LedgerEntry* Ledger::FindByToken(FencingToken token) const {
  const auto it = request_by_token_.find(token);
  return it != request_by_token_.end() ? Find(it->second) : nullptr;
}

std::vector<const LedgerEntry*> Ledger::Running() const {
  std::vector<const LedgerEntry*> running;
  for (const auto& [id, entry] : entries_) {
    if (entry.state == RequestState::kRunning) running.push_back(&entry);
  }
  return running;
}

std::string Ledger::TakeSnapshot() const {
  LedgerSnapshot snapshot;
  snapshot.entries.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) snapshot.entries.push_back(entry);
  snapshot.short_trim_order.assign(short_trim_order_.begin(), short_trim_order_.end());
  snapshot.long_trim_order.assign(long_trim_order_.begin(), long_trim_order_.end());
  return wire::Encode(snapshot);
}

Result<void> Ledger::Restore(std::string_view bytes) {
  auto snapshot = wire::Decode<LedgerSnapshot>(bytes);
  if (!snapshot) return tl::make_unexpected(snapshot.error());
  entries_.clear();
  request_by_token_.clear();
  for (LedgerEntry& entry : snapshot->entries) {
    for (const TaskEntry& task : entry.tasks) {
      if (task.state == TaskState::kRunning) request_by_token_[task.token] = entry.id;
    }
    const RequestId id = entry.id;
    entries_.emplace(id, std::move(entry));
  }
  short_trim_order_.assign(snapshot->short_trim_order.begin(), snapshot->short_trim_order.end());
  long_trim_order_.assign(snapshot->long_trim_order.begin(), snapshot->long_trim_order.end());
  return {};
}

wire::RequestStatus ToStatus(const LedgerEntry& entry) {
  wire::RequestStatus status;
  status.id = entry.id;
  status.state = entry.state;
  status.code = entry.code;
  status.message = entry.message;
  status.retry_after = entry.retry_after;
  status.dispatcher = entry.dispatcher;
  status.queue_time = entry.waited;
  for (const TaskEntry& task : entry.tasks) {
    if (entry.state == RequestState::kDone) status.answers.push_back(task.answer);
    status.grants.push_back({.token = task.token,
                             .worker = task.worker,
                             .address = {},
                             .lease = Milliseconds(0),
                             .incarnation = task.incarnation});
  }
  return status;
}

}  // namespace parsleyline::ledger
