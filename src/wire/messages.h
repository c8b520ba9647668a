#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/kind.h"
#include "base/result_code.h"
#include "base/units.h"

// Messages between entry daemons and schedulers. Each struct lists its members in Fields() in the
// order in which the codec writes them; new members go at the end.
namespace parsleyline::wire {

/// Whether a task may be run again after it may have run once.
enum class Idempotency : std::uint8_t { kIdempotent = 0, kNotIdempotent = 1 };

// Largest values that messages may carry; the codec refuses others.
constexpr std::uint8_t MaxValue(Idempotency) {
  return static_cast<std::uint8_t>(Idempotency::kNotIdempotent);
}

/// What a caller asks for, without the payload, which only the entry and the worker see.
struct RequestSpec {
  TeamId team;
  Kind kind = Kind::kBatch;
  std::uint32_t tasks = 1;
  /// Demand of each task; slots is 1.
  Resources resources;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  /// Declared run time of a task; a hint only.
  Milliseconds expected_run_time{0};

  auto Fields() { return std::tie(team, kind, tasks, resources, idempotency, expected_run_time); }
};

/// Asks the home domain's leader to place a request.
struct Submit {
  RequestId id;
  /// The caller's Idempotency-Key, or empty.
  std::string idempotency_key;
  /// Digest of the body, so that a key used with another body is refused.
  std::uint64_t body_digest = 0;
  RequestSpec spec;
  /// Entry daemon that will dispatch the tasks.
  NodeId entry;
  /// 0 at first; higher for a submission after a failover or a task that never began.
  std::uint32_t attempt = 0;
  /// Time left until the caller's deadline.
  Milliseconds remaining{0};

  auto Fields() {
    return std::tie(id, idempotency_key, body_digest, spec, entry, attempt, remaining);
  }
};

/// Permission to run one task on one worker.
struct TaskGrant {
  FencingToken token;
  WorkerId worker;
  /// "ip:port" of the worker.
  std::string address;
  /// Lease of the task, from the moment the worker starts it.
  Milliseconds lease{0};
  /// Incarnation of the worker that the grant is for. A later one knows nothing of the token.
  Incarnation incarnation;

  auto Fields() { return std::tie(token, worker, address, lease, incarnation); }
};

/// State of a request in the ledger.
enum class RequestState : std::uint8_t {
  /// No record: never granted here, or older than the retention.
  kNone = 0,
  kQueued = 1,
  /// Granted and not yet finished.
  kRunning = 2,
  kDone = 3,
  /// Never ran and never will.
  kRejected = 4,
  /// Ran and failed.
  kFailed = 5,
  /// May have run.
  kUnknown = 6,
};

constexpr std::uint8_t MaxValue(RequestState) {
  return static_cast<std::uint8_t>(RequestState::kUnknown);
}

/// What the ledger knows of a request; the reply to Submit and Query.
struct RequestStatus {
  RequestId id;
  RequestState state = RequestState::kNone;
  ResultCode code = ResultCode::kOk;
  std::string message;
  /// With kRejected: when a new attempt may succeed.
  Milliseconds retry_after{0};
  /// With kRunning: the granted tasks. The entry named in the Submit that led to the grant sends
  /// them; any other entry only asks the workers about the tokens.
  std::vector<TaskGrant> grants;
  NodeId dispatcher;
  /// With kDone: one answer for each task.
  std::vector<std::string> answers;
  /// Time from the first submission to the grant.
  Milliseconds queue_time{0};

  auto Fields() {
    return std::tie(id, state, code, message, retry_after, grants, dispatcher, answers, queue_time);
  }
};

/// How one granted task ended.
enum class TaskOutcome : std::uint8_t {
  kDone = 0,
  /// Ran and failed.
  kFailed = 1,
  /// Provably never began: no byte was sent, or the worker fenced the token.
  kNotStarted = 2,
  /// Unreachable; the task may have run. The charge stays until the lease has run out.
  kLost = 3,
};

constexpr std::uint8_t MaxValue(TaskOutcome) {
  return static_cast<std::uint8_t>(TaskOutcome::kLost);
}

/// Reports the end of one task.
struct FinishTask {
  RequestId id;
  FencingToken token;
  TaskOutcome outcome = TaskOutcome::kDone;
  std::string answer;
  Milliseconds run_time{0};

  auto Fields() { return std::tie(id, token, outcome, answer, run_time); }
};

enum class WorkerState : std::uint8_t { kReady = 0, kDraining = 1 };

constexpr std::uint8_t MaxValue(WorkerState) {
  return static_cast<std::uint8_t>(WorkerState::kDraining);
}

/// Observed use of one running task; it lags behind the truth.
struct TaskUsage {
  FencingToken token;
  MilliCpu cpu;
  Mebibytes memory;

  auto Fields() { return std::tie(token, cpu, memory); }
};

/// What a worker says about itself at every announcement interval.
struct Announcement {
  WorkerId worker;
  Incarnation incarnation;
  std::string address;
  DomainId domain;
  RackId rack;
  Resources capacity;
  std::uint32_t connections = 0;
  WorkerState state = WorkerState::kReady;
  std::vector<TaskUsage> running;
  /// Number of the last answer that the worker has acted on; 0 at first.
  std::uint64_t acknowledged_response = 0;

  auto Fields() {
    return std::tie(worker, incarnation, address, domain, rack, capacity, connections, state,
                    running, acknowledged_response);
  }
};

struct AnnounceBatch {
  std::vector<Announcement> announcements;

  auto Fields() { return std::tie(announcements); }
};

/// Answer to one announcement.
struct AnnounceResult {
  WorkerId worker;
  ResultCode code = ResultCode::kOk;
  /// Running tasks whose leases start anew now.
  std::vector<FencingToken> renewed;
  /// Tasks that the worker must stop, and refuse if they arrive later.
  std::vector<FencingToken> stop;
  /// Number of this answer; the worker returns it as `seen`.
  std::uint64_t response_number = 0;

  auto Fields() { return std::tie(worker, code, renewed, stop, response_number); }
};

struct AnnounceReply {
  std::vector<AnnounceResult> results;

  auto Fields() { return std::tie(results); }
};

/// Names one request: for Query and Cancel.
struct RequestRef {
  RequestId id;

  auto Fields() { return std::tie(id); }
};

/// Keeps an entry registered, so that it gets its part of each worker's connections.
struct EntryHeartbeat {
  NodeId entry;
  /// "ip:port" of its RPC listener.
  std::string address;
  DomainId domain;

  auto Fields() { return std::tie(entry, address, domain); }
};

struct EntryHeartbeatReply {
  /// Registered entries of the domain, with their RPC addresses.
  std::vector<EntryHeartbeat> entries;
  /// Connections that this entry may hold to each worker.
  std::uint32_t connections_per_worker = 0;

  auto Fields() { return std::tie(entries, connections_per_worker); }
};

/// One row of the list of workers.
struct WorkerRow {
  WorkerId worker;
  RackId rack;
  std::string address;
  /// "ready", "draining", "silent" or "probation".
  std::string state;
  Resources capacity;
  Resources charged;
  std::uint32_t running = 0;

  auto Fields() { return std::tie(worker, rack, address, state, capacity, charged, running); }
};

struct WorkerList {
  std::vector<WorkerRow> workers;

  auto Fields() { return std::tie(workers); }
};

/// Asks for a worker to be drained or made ready again by an operator.
struct SetWorkerState {
  WorkerId worker;
  WorkerState state = WorkerState::kDraining;

  auto Fields() { return std::tie(worker, state); }
};

/// One row of the list of queues.
struct QueueRow {
  TeamId team;
  Kind kind = Kind::kBatch;
  std::uint64_t queued = 0;
  std::uint64_t running = 0;
  std::uint64_t rejected_total = 0;
  Milliseconds oldest_wait{0};

  auto Fields() { return std::tie(team, kind, queued, running, rejected_total, oldest_wait); }
};

struct QueueList {
  std::vector<QueueRow> queues;

  auto Fields() { return std::tie(queues); }
};

/// State of one scheduler daemon.
struct SchedulerStatus {
  NodeId node;
  DomainId domain;
  NodeId leader;
  Term term;
  LogIndex commit_index;
  Revision settings_revision;
  std::uint64_t workers = 0;
  std::uint64_t running = 0;
  std::uint64_t queued = 0;
  /// Charged part of all processors, in thousandths.
  std::uint32_t packed_permille = 0;

  auto Fields() {
    return std::tie(node, domain, leader, term, commit_index, settings_revision, workers, running,
                    queued, packed_permille);
  }
};

/// One edit of the settings tree. `path` is "/teams/<team>/..." and `value` is JSON text; an
/// empty value removes the node.
struct SettingsEdit {
  OperationId operation;
  /// Who edits: a team, or "operator" for the whole tree.
  TeamId author;
  Revision expected_revision;
  std::string path;
  std::string value;
  /// Wall-clock time of the edit in seconds since 1970, for the history only.
  std::uint64_t edit_time_seconds = 0;

  auto Fields() {
    return std::tie(operation, author, expected_revision, path, value, edit_time_seconds);
  }
};

struct SettingsEditReply {
  ResultCode code = ResultCode::kOk;
  std::string message;
  /// Revision after the edit, or the current one if the edit was refused.
  Revision revision;

  auto Fields() { return std::tie(code, message, revision); }
};

/// Asks for the settings once their revision is higher than `known`; answered at once if it is.
struct SettingsWatch {
  Revision known_revision;
  Milliseconds max_wait{0};

  auto Fields() { return std::tie(known_revision, max_wait); }
};

struct SettingsSnapshot {
  Revision revision;
  /// The whole tree as JSON text; empty if the revision is not higher than the known one.
  std::string tree;
  /// Age of the last contact with a majority of the settings log.
  Milliseconds age{0};

  auto Fields() { return std::tie(revision, tree, age); }
};

struct SettingsHistoryQuery {
  Revision from_revision;

  auto Fields() { return std::tie(from_revision); }
};

/// One accepted edit, with the revision that it made.
struct SettingsHistoryRow {
  Revision revision;
  SettingsEdit edit;
  /// JSON text of the node before the edit; empty if it did not exist.
  std::string previous_value;

  auto Fields() { return std::tie(revision, edit, previous_value); }
};

struct SettingsHistory {
  std::vector<SettingsHistoryRow> rows;

  auto Fields() { return std::tie(rows); }
};

struct Empty {
  auto Fields() { return std::tie(); }
};

/// A caller's HTTP request on its way from one entry daemon to one of the request's home domain.
struct ForwardedRequest {
  std::string method;
  std::string path;
  std::string body;
  std::string idempotency_key;

  auto Fields() { return std::tie(method, path, body, idempotency_key); }
};

struct ForwardedResponse {
  std::uint32_t status = 0;
  std::string body;
  /// Value of the header Retry-After, or empty.
  std::string retry_after;

  auto Fields() { return std::tie(status, body, retry_after); }
};

}  // namespace parsleyline::wire
