#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "ledger/ledger.h"
#include "scheduler/records.h"
#include "scheduler/worker_registry.h"

namespace parsleyline::scheduler {

/// A task that ended when a record was applied, and its request.
struct EndedTask {
  RequestId request;
  wire::RequestSpec spec;
  ledger::TaskEntry task;
  Milliseconds run_time{0};
};

/// Effects of one applied record.
struct ApplyResult {
  /// Whether the record had any effect.
  bool accepted = false;
  std::vector<EndedTask> ended;
};

/// Replicated state of one failure domain: registered workers and the request ledger. Apply() is
/// deterministic except for the announcement times in the worker registry, which only the leader
/// uses and which are not part of a snapshot.
class DomainState {
 public:
  /// Applies the committed record at `index`.
  ApplyResult Apply(LogIndex index, const Record& record, TimePoint now);

  const ledger::Ledger& ledger() const { return ledger_; }
  const WorkerRegistry& workers() const { return workers_; }
  /// For the leader, which updates the announcement times.
  WorkerRegistry& mutable_workers() { return workers_; }

  std::string TakeSnapshot() const;

  /// Replaces the state by a snapshot. All workers count as announced at `now`.
  Result<void> Restore(std::string_view snapshot, TimePoint now);

 private:
  ApplyResult ApplyRecord(LogIndex index, const RegisterWorker& record, TimePoint now);
  ApplyResult ApplyRecord(LogIndex index, const SetOperatorState& record, TimePoint now);
  ApplyResult ApplyRecord(LogIndex index, const RemoveWorker& record, TimePoint now);
  ApplyResult ApplyRecord(LogIndex index, const GrantTasks& record, TimePoint now);
  ApplyResult ApplyRecord(LogIndex index, const wire::FinishTask& record, TimePoint now);
  ApplyResult ApplyRecord(LogIndex index, const ledger::Rejection& record, TimePoint now);
  ApplyResult ApplyRecord(LogIndex index, const TrimLedger& record, TimePoint now);
  ApplyResult ApplyRecord(LogIndex index, const StartTerm& record, TimePoint now);
  ApplyResult ApplyRecord(LogIndex index, const ConfirmStops& record, TimePoint now);
  void EndTask(const wire::FinishTask& finish, ApplyResult* applied);

  /// Term of the last applied StartTerm record.
  Term term_;
  ledger::Ledger ledger_;
  WorkerRegistry workers_;
};

}  // namespace parsleyline::scheduler
