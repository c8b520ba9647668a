#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/lease_clock.h"
#include "dispatch/messages.h"

namespace parsleyline::dispatch {

/// State of a run, as far as the leader knows it.
enum class RunPhase : std::uint8_t {
  /// The record of the start is not committed yet.
  kProposed,
  /// The start order was sent and has not been answered.
  kSent,
  /// The worker has confirmed the run.
  kActive,
  /// The start order may have been carried out or may still be. A stop settles this.
  kUncertain,
  /// A stop was confirmed. The next lists of the worker show how the run ended, if it ever began.
  kStopped,
  /// The run is listed as finished or proved to be absent, and its end is being recorded.
  kRecordingEnd,
};

/// A run that is charged to a worker.
struct Run {
  job::RunKey key;
  Resources demand;
  /// Combination of job::StepFlag.
  std::uint32_t flags = 0;
  RunPhase phase = RunPhase::kProposed;
  /// Duration that the caller declared, and the predicted one.
  Milliseconds declared_duration{0};
  Milliseconds predicted_duration{0};
  /// When the start order was sent, or the start was proposed if it has not been sent yet.
  TimePoint ordered_at;
  /// True if a later incarnation of the worker may have carried out the start order, because no
  /// reply has shown which one did. Its lease is not known.
  bool may_be_on_successor = false;
  /// When the reply to the start order was received, or its lack was noticed.
  TimePoint start_settled_at;
  /// Number of the last hold that was sent when the phase became kActive or kStopped. Only the
  /// reply to a later hold proves that the run is absent.
  std::uint64_t last_hold_number = 0;
  bool stop_in_flight = false;
  TimePoint next_stop;
  /// True if the run has to be stopped, for example because its job has ended, its gang is
  /// incomplete or the task is migrated.
  bool stop_requested = false;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /// When `percent` was received.
  TimePoint percent_received_at;
  /// When `percent` or the checkpoint last changed.
  TimePoint progressed_at;

  /// Returns the duration of the whole run as projected from its progress, or 0 if the progress is
  /// not enough.
  Duration ProjectedDuration() const;
  /// Returns the time until the run is expected to end.
  Duration ExpectedRemaining(TimePoint now) const;
};

/// One incarnation of a worker, as far as the leader knows it.
struct Worker {
  WorkerReport report;
  /// Small number of this incarnation, for tables by worker. Not used again until Clear().
  std::uint32_t slot = 0;
  /// Fence of the orders to this incarnation. Higher than that of all orders that were meant for an
  /// earlier one, so that these have no effect once the worker has accepted a hold. 0 until the
  /// incarnation is adopted.
  Fence fence;
  LeaseClock lease_clock;
  /// Longest lease that the worker may hold when it answers this leader for the first time, from
  /// orders of an earlier leader or orders to its earlier incarnation.
  Milliseconds inherited_lease{0};
  TimePoint last_report;
  /// When the last reply to a hold was received.
  TimePoint last_hold_reply;
  /// Demand of all runs that the worker may have.
  Resources charged;
  std::map<job::RunKey, Run> runs;
  /// Number of the last finished run whose end is durable, of the last one that the worker has
  /// accepted as acknowledged, and of the last one in a list.
  EndNumber recorded_end;
  EndNumber acknowledged_end;
  EndNumber last_listed_end;
  /// Number of lists whose finished runs are being recorded.
  std::uint32_t lists_in_flight = 0;
  bool hold_in_flight = false;
  /// Number of the last hold.
  std::uint64_t last_hold = 0;
  TimePoint next_hold;
  /// Consecutive holds without an answer, and when the first of them failed.
  std::uint32_t unanswered_holds = 0;
  TimePoint silent_since;
  /// True once this leader has received the lists of the worker.
  bool reconciled = false;
  /// True if the lease expired under a run and the worker has not answered since.
  bool lease_expired_under_run = false;
  /// When this leader was last told that the worker leaves. The message names no incarnation, so it
  /// may be a late one of an earlier incarnation. Empty again once the worker has answered later.
  std::optional<TimePoint> leave_received_at;
  /// Reports of other incarnations that say that this one has ended and are not settled yet.
  std::uint32_t open_claims = 0;
  /// True if a report or a reply says that this incarnation has ended, until it answers a hold.
  bool is_in_doubt = false;
  bool draining = false;
  /// Earliest time at which a draining worker leaves.
  TimePoint drain_end;
  /// No new tasks before this time, after failures.
  TimePoint quarantined_until;
  /// After a quarantine, the worker gets one task at a time and no gangs until this time or the
  /// next successful task.
  TimePoint probation_until;
  /// Distinct jobs whose tasks failed here since the last success.
  std::vector<job::JobId> recent_failures;
  /// Quarantines since the last success.
  std::uint32_t quarantine_count = 0;

  const WorkerId& id() const { return report.incarnation.worker; }
  bool HasLabel(const std::string& label) const;
  WorkerAddress Address() const { return {report.incarnation, report.address}; }
  /// Negative if the capacity has shrunk below the charges.
  Resources FreeCapacity() const { return report.capacity - charged; }
  /// Tells whether the charges, which include `demand`, are within the capacity in each resource
  /// that `demand` needs.
  bool CanHold(const Resources& demand) const;
  /// Returns the time until each run is expected to end and the resources that it then frees,
  /// ordered by time.
  std::vector<std::pair<Duration, Resources>> ExpectedReleases(TimePoint now) const;
  /// Tells whether the worker has proved its address and start time by its last replies.
  bool IsAnswering() const { return reconciled && unanswered_holds == 0; }
  /// Tells whether nothing says that the worker is leaving or has ended.
  bool IsStaying() const {
    return !draining && !leave_received_at && open_claims == 0 && !is_in_doubt;
  }
  /// Tells whether the end of the worker has to be proved before another incarnation replaces it.
  bool NeedsProofOfEnd() const { return IsAnswering() || !runs.empty(); }
  /// Returns when the worker last gave a sign of life.
  TimePoint LastSeen() const { return std::max(last_report, last_hold_reply); }
  /// Returns until when the worker may have been running if it has ended by `now`.
  TimePoint RunningUntil(TimePoint now) const { return unanswered_holds > 0 ? silent_since : now; }
  bool IsOnProbation(TimePoint now) const { return now < probation_until; }
  /// Tells whether the worker gets new tasks.
  bool IsSchedulable(TimePoint now) const;
  /// Tells whether admission control counts the capacity of the worker: it gets new tasks, or will
  /// as soon as it has answered the first hold of this leader.
  bool CountsAsCapacity(TimePoint now) const;
};

/// Whether the worker of a report has answered at the address that the report names.
enum class ReportProof : std::uint8_t { kNone, kAnswered };

/// The workers of a cell by name, with their charges. Only the newest incarnation of each name is
/// kept.
class WorkerRoster {
 public:
  /// Result of applying a report.
  struct ReportResult {
    /// The worker that sent the report; null if the report is outdated.
    Worker* worker = nullptr;
    /// Removed incarnations that have ended, with their runs.
    std::vector<Worker> ended_incarnations;
    /// Workers that have ended if the report is true. If there are any, the report is not applied:
    /// it has to be applied again once its worker has answered.
    std::vector<WorkerId> contested;
  };
  /// Adds or updates the worker that sent a report. Another writer may have sent it, so a report
  /// alone does not end a worker that answers or may have runs.
  ReportResult ApplyReport(const WorkerReport& report, TimePoint now, ReportProof proof);
  /// Removes a worker that has left. Returns it with its runs.
  std::optional<Worker> Remove(const WorkerId& id);
  Worker* Find(const WorkerId& id);
  const Worker* Find(const WorkerId& id) const;
  /// All slots in use are below this.
  std::uint32_t SlotCount() const { return next_slot_; }
  std::map<WorkerId, Worker>& workers() { return workers_; }
  const std::map<WorkerId, Worker>& workers() const { return workers_; }

  /// Charges a run to a worker. Has no effect on a run that is charged already.
  Run& ChargeRun(Worker* worker, const job::RunKey& key, const Resources& demand,
                 std::uint32_t flags);
  /// Removes a run and its charge.
  void ReleaseRun(Worker* worker, const job::RunKey& key);
  /// Moves a run and its charge to another incarnation of its worker.
  static Run& MoveRun(Worker* from, Worker* to, const job::RunKey& key);

  void Clear() { *this = WorkerRoster(); }

 private:
  /// Applies a report of a known incarnation. Returns null if another writer has sent it.
  static Worker* UpdateWorker(Worker* worker, const WorkerReport& report, TimePoint now);

  std::map<WorkerId, Worker> workers_;
  std::uint32_t next_slot_ = 0;
};

}  // namespace parsleyline::dispatch
