#pragma once

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "placement/placement.h"
#include "scheduler/records.h"

namespace parsleyline::scheduler {

/// A registered worker. The registration, the operator's state and the lost tasks are replicated.
struct RegisteredWorker {
  RegisterWorker registration;
  wire::WorkerState operator_state = wire::WorkerState::kReady;
  /// Lost tasks of the registered incarnation. Their dispatches may still be in flight, and the
  /// worker has not confirmed yet that it will refuse them.
  std::set<FencingToken> lost_tasks;
  /// Maintained by the leader; not replicated.
  TimePoint last_announced;
  bool silent = false;

  /// Returns whether new tasks may be placed on the worker. It drains if either the operator or the
  /// worker itself asked for that.
  placement::Availability Availability() const;
};

/// Registered workers of one failure domain.
class WorkerRegistry {
 public:
  /// Adds a worker or replaces its registration. Returns the incarnation that the registration
  /// replaces, or a zero incarnation if the worker is new or keeps its incarnation.
  Incarnation Register(const RegisterWorker& registration, TimePoint now);
  void SetOperatorState(const WorkerId& worker, wire::WorkerState state);
  void Remove(const WorkerId& worker);
  /// Adds a lost task, unless a later incarnation of the worker is registered.
  void AddLostTask(const WorkerId& worker, Incarnation incarnation, FencingToken token);
  void RemoveLostTasks(const WorkerId& worker, const std::vector<FencingToken>& tokens);

  const RegisteredWorker* Find(const WorkerId& worker) const;

  /// Records an announcement of a registered worker. Returns whether the worker was silent before.
  bool RecordAnnouncement(const WorkerId& worker, TimePoint now);

  /// Marks workers whose last announcement was before `limit` as silent. Returns those that were
  /// not silent before.
  std::vector<WorkerId> MarkSilent(TimePoint limit);

  /// Returns the workers whose last announcement was before `limit`.
  std::vector<WorkerId> AnnouncedBefore(TimePoint limit) const;

  /// Treats every worker as announced at `now`. A new leader calls this because earlier
  /// announcements went to its predecessor.
  void MarkAllAnnounced(TimePoint now);

  const std::unordered_map<WorkerId, RegisteredWorker>& workers() const { return workers_; }

  std::string TakeSnapshot() const;
  Result<void> Restore(std::string_view snapshot, TimePoint now);

 private:
  std::unordered_map<WorkerId, RegisteredWorker> workers_;
};

}  // namespace parsleyline::scheduler
