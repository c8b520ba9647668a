#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/kind.h"
#include "base/result_code.h"
#include "base/units.h"

// Messages between entry daemons and schedulers. The codec writes the members of each struct in the
// order of its Fields(). New members must be added at the end.
namespace parsleyline::wire {

/// Whether a task may be run again when it may have run already.
enum class Idempotency : std::uint8_t { kIdempotent = 0, kNotIdempotent = 1 };

// Each MaxValue() returns the largest number of an enumeration. The codec rejects larger ones.
constexpr std::uint8_t MaxValue(Idempotency) {
  return static_cast<std::uint8_t>(Idempotency::kNotIdempotent);
}

/// Specification of a request without its payload, which only the entry daemon and the workers
/// receive.
struct RequestSpec {
  TeamId team;
  Kind kind = Kind::kBatch;
  /// Number of tasks.
  std::uint32_t tasks = 1;
  /// Resources of each task; its number of slots is 1.
  Resources resources;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  /// Run time of a task as the caller estimates it. Used as a hint only; 0 if not given.
  Milliseconds expected_run_time{0};

  auto Fields() { return std::tie(team, kind, tasks, resources, idempotency, expected_run_time); }
};

/// Asks the leader of the home domain to schedule a request.
struct Submit {
  RequestId id;
  /// Value of the caller's Idempotency-Key header; empty if there is none.
  std::string idempotency_key;
  /// Digest of the request body. A key that is used again with a different body is rejected.
  std::uint64_t body_digest = 0;
  RequestSpec spec;
  /// Entry daemon that dispatches the tasks.
  NodeId entry;
  /// 0 for the first submission. Incremented when the request is submitted again, after a failover
  /// or because a task never started.
  std::uint32_t attempt = 0;
  /// Time left until the caller's deadline.
  Milliseconds remaining{0};

  auto Fields() {
    return std::tie(id, idempotency_key, body_digest, spec, entry, attempt, remaining);
  }
};

/// Grant to run one task on one worker.
struct TaskGrant {
  FencingToken token;
  WorkerId worker;
  /// "ip:port" of the worker.
  std::string address;
  /// Duration of the task's lease, which begins when the worker starts the task.
  Milliseconds lease{0};
  /// Incarnation of the worker that the grant is for. A later incarnation doesn't know the token.
  Incarnation incarnation;

  auto Fields() { return std::tie(token, worker, address, lease, incarnation); }
};

/// State of a request in the ledger.
enum class RequestState : std::uint8_t {
  /// The ledger has no record: the request was never granted, or its record has expired.
  kNone = 0,
  kQueued = 1,
  /// Granted and not finished.
  kRunning = 2,
  kDone = 3,
  /// Did not run and will not run.
  kRejected = 4,
  /// Ran and failed.
  kFailed = 5,
  /// May have run.
  kUnknown = 6,
};

constexpr std::uint8_t MaxValue(RequestState) {
  return static_cast<std::uint8_t>(RequestState::kUnknown);
}

/// Status of a request in the ledger. Reply to the methods submit and query.
struct RequestStatus {
  RequestId id;
  RequestState state = RequestState::kNone;
  ResultCode code = ResultCode::kOk;
  std::string message;
  /// If kRejected: delay after which a new attempt may succeed.
  Milliseconds retry_after{0};
  /// If kRunning: the granted tasks. Only `dispatcher` sends them to the workers; other entry
  /// daemons only query the workers for their tokens.
  std::vector<TaskGrant> grants;
  /// Entry daemon named in the Submit message that led to the grant.
  NodeId dispatcher;
  /// If kDone: the answer of each task.
  std::vector<std::string> answers;
  /// Time from the first submission to the grant.
  Milliseconds queue_time{0};

  auto Fields() {
    return std::tie(id, state, code, message, retry_after, grants, dispatcher, answers, queue_time);
  }
};

/// Outcome of one granted task.
enum class TaskOutcome : std::uint8_t {
  kDone = 0,
  /// Ran and failed.
  kFailed = 1,
  /// Certainly did not start: no byte was sent, or the worker fenced the token.
  kNotStarted = 2,
  /// The worker is unreachable and the task may have run. Its charge remains until the lease
  /// expires.
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

/// Whether a worker accepts new tasks.
enum class WorkerState : std::uint8_t { kReady = 0, kDraining = 1 };

constexpr std::uint8_t MaxValue(WorkerState) {
  return static_cast<std::uint8_t>(WorkerState::kDraining);
}

/// Measured resource usage of one running task. Measurements lag behind the actual usage.
struct TaskUsage {
  FencingToken token;
  MilliCpu cpu;
  Mebibytes memory;

  auto Fields() { return std::tie(token, cpu, memory); }
};

/// State of a worker, which it announces periodically.
struct Announcement {
  WorkerId worker;
  Incarnation incarnation;
  std::string address;
  DomainId domain;
  RackId rack;
  Resources capacity;
  /// Number of connections that the worker accepts.
  std::uint32_t connections = 0;
  WorkerState state = WorkerState::kReady;
  /// Running tasks.
  std::vector<TaskUsage> running;
  /// `response_number` of the last announcement result that the worker has applied; 0 if none.
  std::uint64_t acknowledged_response = 0;

  auto Fields() {
    return std::tie(worker, incarnation, address, domain, rack, capacity, connections, state,
                    running, acknowledged_response);
  }
};

/// Announcements of several workers.
struct AnnounceBatch {
  std::vector<Announcement> announcements;

  auto Fields() { return std::tie(announcements); }
};

/// Result of one announcement.
struct AnnounceResult {
  WorkerId worker;
  ResultCode code = ResultCode::kOk;
  /// Running tasks whose leases are renewed.
  std::vector<FencingToken> renewed;
  /// Tasks that the worker must stop, and must reject if they arrive later.
  std::vector<FencingToken> stop;
  /// Number of this result. The worker acknowledges it in later announcements as
  /// `acknowledged_response`.
  std::uint64_t response_number = 0;

  auto Fields() { return std::tie(worker, code, renewed, stop, response_number); }
};

/// Results of a batch of announcements.
struct AnnounceReply {
  std::vector<AnnounceResult> results;

  auto Fields() { return std::tie(results); }
};

/// Identifies a request. Argument of the methods query and cancel.
struct RequestRef {
  RequestId id;

  auto Fields() { return std::tie(id); }
};

/// Keeps an entry daemon registered, so that it gets its share of each worker's connections.
struct EntryHeartbeat {
  NodeId entry;
  /// "ip:port" of its RPC listener.
  std::string address;
  DomainId domain;

  auto Fields() { return std::tie(entry, address, domain); }
};

/// Reply to a heartbeat.
struct EntryHeartbeatReply {
  /// Registered entry daemons of the domain, with their RPC addresses.
  std::vector<EntryHeartbeat> entries;
  /// Number of connections that the entry daemon may open to each worker.
  std::uint32_t connections_per_worker = 0;

  auto Fields() { return std::tie(entries, connections_per_worker); }
};

/// One row of the worker list.
struct WorkerRow {
  WorkerId worker;
  RackId rack;
  std::string address;
  /// "ready", "draining", "silent" or "probation".
  std::string state;
  Resources capacity;
  /// Resources charged for granted tasks.
  Resources charged;
  /// Number of running tasks.
  std::uint32_t running = 0;

  auto Fields() { return std::tie(worker, rack, address, state, capacity, charged, running); }
};

struct WorkerList {
  std::vector<WorkerRow> workers;

  auto Fields() { return std::tie(workers); }
};

/// Order of an operator to drain a worker or to make it ready again.
struct SetWorkerState {
  WorkerId worker;
  WorkerState state = WorkerState::kDraining;

  auto Fields() { return std::tie(worker, state); }
};

/// One row of the queue list.
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

/// Status of one scheduler daemon. The numbers of workers, tasks and requests are 0 unless it
/// leads the domain.
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
  /// Charged share of the total CPU capacity, in thousandths.
  std::uint32_t packed_permille = 0;

  auto Fields() {
    return std::tie(node, domain, leader, term, commit_index, settings_revision, workers, running,
                    queued, packed_permille);
  }
};

/// One edit of the settings tree. `path` is a JSON pointer such as "/teams/<team>/...", and `value`
/// is JSON text. An empty value removes the node.
struct SettingsEdit {
  OperationId operation;
  /// Author of the edit: a team, or "operator", which may edit the whole tree.
  TeamId author;
  /// Revision that the edit is based on.
  Revision expected_revision;
  std::string path;
  std::string value;
  /// Wall-clock time of the edit in seconds since 1970, for the history only.
  std::uint64_t edit_time_seconds = 0;

  auto Fields() {
    return std::tie(operation, author, expected_revision, path, value, edit_time_seconds);
  }
};

/// Result of an edit.
struct SettingsEditReply {
  ResultCode code = ResultCode::kOk;
  std::string message;
  /// Revision after the edit, or the current one if the edit was rejected.
  Revision revision;

  auto Fields() { return std::tie(code, message, revision); }
};

/// Requests the settings with a long poll. The reply is sent as soon as the revision is higher than
/// `known_revision`, and after `max_wait` at the latest.
struct SettingsWatch {
  Revision known_revision;
  Milliseconds max_wait{0};

  auto Fields() { return std::tie(known_revision, max_wait); }
};

/// Settings of one revision. Reply to SettingsWatch.
struct SettingsSnapshot {
  Revision revision;
  /// The complete tree as JSON text; empty if the revision is not higher than the known one.
  std::string tree;
  /// Time since the last contact with a majority of the voters of the settings log.
  Milliseconds age{0};

  auto Fields() { return std::tie(revision, tree, age); }
};

/// Requests the accepted edits after `from_revision`.
struct SettingsHistoryQuery {
  Revision from_revision;

  auto Fields() { return std::tie(from_revision); }
};

/// One accepted edit, with the resulting revision.
struct SettingsHistoryRow {
  Revision revision;
  SettingsEdit edit;
  /// JSON text of the node before the edit; empty if it did not exist.
  std::string previous_value;

  auto Fields() { return std::tie(revision, edit, previous_value); }
};

/// Accepted edits. Reply to SettingsHistoryQuery.
struct SettingsHistory {
  std::vector<SettingsHistoryRow> rows;

  auto Fields() { return std::tie(rows); }
};

/// Message without members.
struct Empty {
  auto Fields() { return std::tie(); }
};

/// HTTP request of a caller that one entry daemon forwards to an entry daemon of the home domain.
struct ForwardedRequest {
  std::string method;
  std::string path;
  std::string body;
  std::string idempotency_key;

  auto Fields() { return std::tie(method, path, body, idempotency_key); }
};

/// HTTP response to a forwarded request.
struct ForwardedResponse {
  std::uint32_t status = 0;
  std::string body;
  /// Value of the Retry-After header; empty if there is none.
  std::string retry_after;

  auto Fields() { return std::tie(status, body, retry_after); }
};

}  // namespace parsleyline::wire
