#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "wire/messages.h"

namespace parsleyline::ledger {

/// State of a granted task. Stored by number.
enum class TaskState : std::uint8_t { kRunning = 0, kEnded = 1 };

/// One granted task of a request.
struct TaskEntry {
  FencingToken token;
  WorkerId worker;
  /// Incarnation of the worker at the time of the grant.
  Incarnation incarnation;
  TaskState state = TaskState::kRunning;
  /// Valid once the task has ended.
  wire::TaskOutcome outcome = wire::TaskOutcome::kDone;
  /// Result of the task, or the reason of its failure.
  std::string answer;

  auto Fields() { return std::tie(token, worker, incarnation, state, outcome, answer); }
};

/// Record of one request that was granted or rejected.
struct LedgerEntry {
  RequestId id;
  /// Digest of the request's body. A submission with the same id and another digest is rejected.
  std::uint64_t digest = 0;
  wire::RequestSpec spec;
  /// Entry daemon that dispatches the tasks of the last grant.
  NodeId dispatcher;
  /// Number of the submission that led to the last grant.
  std::uint32_t attempt = 0;
  wire::RequestState state = wire::RequestState::kNone;
  ResultCode code = ResultCode::kOk;
  std::string message;
  Milliseconds retry_after{0};
  /// Time from the first submission to the last grant.
  Milliseconds waited{0};
  /// Tasks of the last grant.
  std::vector<TaskEntry> tasks;
  /// State after the previous grant if that was kFailed or kUnknown, else kNone. Unless it is
  /// kNone, some task of the request may have run even if no task of the last grant did.
  wire::RequestState earlier_state = wire::RequestState::kNone;

  auto Fields() {
    return std::tie(id, digest, spec, dispatcher, attempt, state, code, message, retry_after,
                    waited, tasks, earlier_state);
  }
};

/// How long the record of a request is kept.
enum class Retention : std::uint8_t {
  /// For idempotent requests. Running one again does no harm, so only a number of the newest
  /// records is kept.
  kShort,
  /// For non-idempotent requests. The record is kept for the whole retention period, because the
  /// request could run again once the record is removed.
  kLong,
};

Retention RetentionOf(const LedgerEntry& entry);

/// A grant as stored in the log. Its fields have the same meaning as in LedgerEntry.
struct Grant {
  RequestId id;
  std::uint64_t digest = 0;
  wire::RequestSpec spec;
  NodeId dispatcher;
  std::uint32_t attempt = 0;
  Milliseconds waited{0};
  /// Worker of each task, and its incarnation at the same position.
  std::vector<WorkerId> workers;
  std::vector<Incarnation> incarnations;

  auto Fields() {
    return std::tie(id, digest, spec, dispatcher, attempt, waited, workers, incarnations);
  }
};

/// A rejection or cancellation as stored in the log.
struct Rejection {
  RequestId id;
  std::uint64_t digest = 0;
  wire::RequestSpec spec;
  ResultCode code = ResultCode::kCancelled;
  std::string message;
  Milliseconds retry_after{0};

  auto Fields() { return std::tie(id, digest, spec, code, message, retry_after); }
};

/// Requests of one failure domain and their outcomes. A deterministic state machine: all replicas
/// that apply the same records in the same order have the same ledger.
class Ledger {
 public:
  /// Records the grant in the log record at `index`. Returns false, without any change, unless
  /// MayGrant().
  bool ApplyGrant(LogIndex index, const Grant& grant);

  /// Records the end of a task. Returns the task if it was running before, else null. A repeated or
  /// late report has no effect, except that it replaces the outcome of a lost task by the actual
  /// one.
  const TaskEntry* ApplyFinish(const wire::FinishTask& finish);

  /// Rejects a request permanently. Returns false, without any change, if a task of the request may
  /// have started or the request is already rejected.
  bool ApplyRejection(const Rejection& rejection);

  /// Removes the oldest `count` records with a retention that have no running task.
  void Trim(Retention retention, std::size_t count);

  /// Returns whether the request may be granted for a submission numbered `attempt`: if it was
  /// never granted, if no task of it has started, or if it is idempotent, ended without success,
  /// and `attempt` is higher than that of the last grant.
  bool MayGrant(const RequestId& id, std::uint32_t attempt) const;

  const LedgerEntry* Find(const RequestId& id) const;

  /// Returns the entry that has a running task with this token, or null.
  const LedgerEntry* FindByToken(FencingToken token) const;

  /// Returns the entries that have a running task.
  std::vector<const LedgerEntry*> Running() const;

  std::size_t size() const { return entries_.size(); }

  /// Returns the number of records with a retention that have no running task.
  std::size_t TrimmableCount(Retention retention) const { return TrimOrder(retention).size(); }

  std::string TakeSnapshot() const;
  Result<void> Restore(std::string_view snapshot);

 private:
  std::deque<RequestId>& TrimOrder(Retention retention);
  const std::deque<RequestId>& TrimOrder(Retention retention) const;
  void CompleteRequest(LedgerEntry* entry);

  std::unordered_map<RequestId, LedgerEntry> entries_;
  /// Requests of the running tasks.
  std::unordered_map<FencingToken, RequestId> request_by_token_;
  /// Requests without a running task, by retention, in the order in which they are trimmed.
  std::deque<RequestId> short_trim_order_;
  std::deque<RequestId> long_trim_order_;
};

/// Converts a record to the status that callers get. The addresses and leases of the tasks are left
/// empty for the scheduler to fill in.
wire::RequestStatus ToStatus(const LedgerEntry& entry);

}  // namespace parsleyline::ledger
