#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "job/cell_state.h"
#include "job/job_records.h"
#include "job/worker_report.h"

namespace parsleyline::dispatch {

/// Milliseconds on the steady clock of one incarnation of a worker.
using WorkerMillis = StrongId<struct WorkerMillisTag, std::int64_t>;
/// Fencing token. Increases with each leader, and with each incarnation of a worker that a leader
/// adopts; workers refuse orders with a lower one than they have seen.
using Fence = StrongId<struct FenceTag, std::uint64_t>;
/// Lower bits of a fence, which a leader counts up. The upper ones hold its term.
inline constexpr unsigned kFenceCountBits = 24;
/// Returns the lowest fence of the leader of a term.
inline Fence FirstFence(std::uint64_t term) { return Fence(term << kFenceCountBits); }
inline std::uint64_t TermOf(Fence fence) { return fence.value() >> kFenceCountBits; }
/// Number of a finished run in the list of one incarnation of a worker. Increases with each end.
using EndNumber = StrongId<struct EndNumberTag, std::uint64_t>;

using job::WorkerReport;
using job::WorkerState;

/// The incarnation of a worker that an order is meant for, and its "ip:port".
struct WorkerAddress {
  job::WorkerIncarnation incarnation;
  std::string address;
};

/// Starts a run on a worker.
struct StartOrder {
  WorkerAddress to;
  job::RunKey run;
  /// Passed to the task unchanged.
  std::string payload;
  /// Saved progress to resume from; empty if there is none.
  std::string checkpoint;
  /// Proof that the advisor approved this worker; empty if the queue needs none.
  std::string ticket;
  /// New end of the worker's lease, which covers all its runs.
  WorkerMillis lease_end;
  Fence fence;
};

/// Stops a run, or prevents it from being started by a delayed order.
struct StopOrder {
  WorkerAddress to;
  job::RunKey run;
  Fence fence;
};

/// Extends the lease of a worker and reads the lists of its active and finished runs.
struct HoldOrder {
  WorkerAddress to;
  WorkerMillis lease_end;
  Fence fence;
  /// The ends up to this number are durable, and the worker may remove them from its list. 0 if it
  /// has been told so.
  EndNumber acknowledged;
  /// The worker answers after this time, or earlier when a run ends.
  Milliseconds max_wait{0};
  /// Number of the hold among those to all workers. Not sent.
  std::uint64_t number = 0;
};

/// Result of an order.
enum class OrderOutcome : std::uint8_t {
  kAccepted,
  /// Refused because the worker has seen a higher fencing token, that is, of a newer leader.
  kFenced,
  /// Refused because a run with the same or a higher number was stopped or has ended there.
  kStaleRun,
  /// Refused because the lease in the order has expired already.
  kLeaseExpired,
  /// Refused because the task does not fit.
  kNoCapacity,
  /// Refused because the advisor's ticket is missing, not valid or expired.
  kBadTicket,
  /// Refused because the worker is unhealthy.
  kUnhealthy,
  /// Refused because the order is meant for another incarnation of the worker.
  kOtherIncarnation,
  /// Refused because the order is malformed.
  kInvalid,
  /// No byte of the order was sent.
  kNotSent,
  /// The same, because no process listens at the address of the worker.
  kConnectionRefused,
  /// No answer. The order may have been carried out, or may still be.
  kUnknown,
};
const char* Name(OrderOutcome outcome);

/// Reply to a start or stop, with the worker's clock if it answered.
struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  WorkerMillis clock;
};

/// An entry in a worker's list of active runs.
struct ActiveRun {
  job::RunKey run;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /// For a long-running task, its tail latency in ms; for any other, its CPU usage.
  std::int64_t gauge = 0;
};

/// An entry in a worker's list of finished runs.
struct FinishedRun {
  EndNumber number;
  job::RunKey run;
  job::RunEnd end = job::RunEnd::kDone;
  std::string checkpoint;
};

/// Reply to a hold.
struct HoldReply {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  /// When the incarnation of the worker started.
  job::UnixMillis started_at;
  WorkerMillis clock;
  std::vector<ActiveRun> active;
  std::vector<FinishedRun> finished;
};

/// Number of a call to the advisor. Never used twice by a coordinator.
using AdvisorCallNumber = StrongId<struct AdvisorCallNumberTag, std::uint64_t>;

/// Asks the advisor which workers may run a step.
struct AdvisorQuery {
  job::StepKey step;
  std::vector<WorkerId> workers;
  /// Tells the coordinator which call a reply answers. Not sent.
  AdvisorCallNumber number;

  auto Fields() { return std::tie(step, workers); }
};

/// Permission of the advisor to run a step on a worker.
struct Approval {
  WorkerId worker;
  std::string ticket;

  auto Fields() { return std::tie(worker, ticket); }
};

/// Reply of the advisor. Workers of the query that `approvals` does not name are rejected.
struct AdvisorReply {
  /// 1 if the advisor decided; 0 if it did not answer or was busy, and `approvals` is empty.
  std::uint32_t answered = 0;
  std::vector<Approval> approvals;
  /// How long the tickets are valid.
  Milliseconds ticket_validity{0};

  auto Fields() { return std::tie(answered, approvals, ticket_validity); }
};

/// Result of proposing a batch to the replicated log.
enum class ProposalResult : std::uint8_t {
  kAccepted,
  /// Not accepted now, for example while the leadership is being transferred. Try again.
  kBusy,
  /// The batch exceeds the size of a log entry.
  kTooLarge,
  kNotLeader,
};

/// Sends the orders, advisor queries and proposals of the coordinator. Replies are passed to the
/// coordinator's On... methods, but never from within a call of this interface.
class Outbox {
 public:
  virtual ~Outbox() = default;
  virtual void SendStart(const StartOrder& order) = 0;
  virtual void SendStop(const StopOrder& order) = 0;
  virtual void SendHold(const HoldOrder& order) = 0;
  /// Has the process `client` send a query to the advisor.
  virtual void QueryAdvisor(const NodeId& client, const AdvisorQuery& query) = 0;
  virtual ProposalResult Propose(const job::CommandBatch& batch) = 0;
  /// Requests a call of Coordinator::RunSchedulingPass() soon.
  virtual void RequestSchedulingPass() = 0;
};

}  // namespace parsleyline::dispatch
