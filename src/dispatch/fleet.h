#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/lease_clock.h"
#include "dispatch/messages.h"

namespace parsleyline::dispatch {

/// What the leader believes of one run that it ordered.
enum class RunPhase : std::uint8_t {
  /// The record of the order is not committed yet.
  kProposed,
  /// The order was sent and has not been answered.
  kSent,
  /// The worker has confirmed the run.
  kActive,
  /// Unknown whether the order was carried out or still will be. Settled by a stop.
  kDoubtful,
  /// A stop was confirmed; the next list of the worker shows how the run ended, if it ever began.
  kStopped,
  /// The end is in the worker's list or proved, and is being recorded.
  kEnding,
};

struct Run {
  job::RunKey key;
  Resources demand;
  std::uint32_t flags = 0;
  RunPhase phase = RunPhase::kProposed;
  /// Duration that the caller declared, and the one that is expected.
  Milliseconds declared{0};
  Milliseconds estimate{0};
  /// Time of the order, for the age of the run.
  TimePoint ordered_at;
  /// Number of the hold that was sent last when the phase became kActive or kStopped. Only a list
  /// of a later hold proves that the run is absent.
  std::uint64_t hold_mark = 0;
  bool stop_in_flight = false;
  TimePoint next_stop;
  /// True if the run must end: its job has ended or its gang is incomplete.
  bool unwanted = false;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /// When `percent` was read.
  TimePoint percent_at;
  /// When `percent` or the checkpoint changed last.
  TimePoint progressed_at;

  /// Returns the time that the whole run takes, going by its progress; 0 if that says too little.
  Duration TimeByProgress() const;
  /// Returns the time that the run is expected to take from now on.
  Duration ExpectedRest(TimePoint now) const;
};

/// One lifetime of a worker, as the leader knows it.
struct Worker {
  WorkerReport report;
  /// Number of this lifetime in its fleet; small, and never used again while the fleet lasts.
  std::uint32_t slot = 0;
  LeaseClock clock;
  TimePoint last_report;
  TimePoint last_answer;
  /// Resources of all runs that may be there.
  Resources charged;
  std::map<job::RunKey, Run> runs;
  /// Ends that are recorded in the log, and the highest one that was seen in a list.
  EndNumber recorded;
  EndNumber seen;
  /// Numbers of the ends that are being recorded.
  std::uint32_t ends_in_flight = 0;
  bool hold_in_flight = false;
  std::uint64_t holds_sent = 0;
  TimePoint next_hold;
  std::uint32_t failed_holds = 0;
  /// True once this leader has read the lists of the worker.
  bool reconciled = false;
  bool draining = false;
  /// Time at which a draining worker ends at the earliest.
  TimePoint drain_end;
  /// No new tasks before this time, after failures.
  TimePoint quarantined_until;
  /// From a quarantine to this time or the next success: one task at a time, and no gangs.
  TimePoint probation_until;
  /// Jobs whose tasks failed here since the last success.
  std::vector<job::JobId> recent_failures;
  std::uint32_t quarantines = 0;

  const WorkerId& id() const { return report.lifetime.worker; }
  bool HasLabel(const std::string& label) const;
  WorkerAddress Address() const { return {report.lifetime, report.address}; }
  Resources Free() const { return report.capacity - charged; }
  /// Returns when the runs are expected to end and what each then frees, in order of time.
  std::vector<std::pair<Duration, Resources>> ExpectedEnds(TimePoint now) const;
  bool IsOnProbation(TimePoint now) const { return now < probation_until; }
  /// Tells whether new tasks may be sent here.
  bool TakesWork(TimePoint now) const;
};

/// The workers of a cell by name, with what is charged to each. Only the newest lifetime of a name
/// is kept; the caller is told about runs of the one that it replaces.
class Fleet {
 public:
  /// Result of a report.
  struct Noted {
    Worker* worker = nullptr;
    /// Runs of lifetimes that this report proves to be over, by worker.
    std::vector<Worker> ended;
    /// False if the report is older than what is known.
    bool current = true;
  };
  Noted Note(const WorkerReport& report, TimePoint now);
  /// Removes a worker that has left. Returns it with its runs.
  std::optional<Worker> Remove(const WorkerId& id);
  Worker* Find(const WorkerId& id);
  const Worker* Find(const WorkerId& id) const;
  /// Above every slot in use.
  std::uint32_t SlotCount() const { return next_slot_; }
  std::map<WorkerId, Worker>& workers() { return workers_; }
  const std::map<WorkerId, Worker>& workers() const { return workers_; }

  /// Charges a run to a worker.
  Run& Add(Worker* worker, const job::RunKey& key, const Resources& demand, std::uint32_t flags);
  /// Releases what a run was charged.
  void Release(Worker* worker, const job::RunKey& key);

  void Clear() { *this = Fleet(); }

 private:
  std::map<WorkerId, Worker> workers_;
  std::uint32_t next_slot_ = 0;
};

}  // namespace parsleyline::dispatch
