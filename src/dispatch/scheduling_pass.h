#pragma once

#include <map>
#include <set>
#include <vector>

#include "dispatch/coordinator.h"

namespace parsleyline::dispatch {

/// A step with tasks that can start, and the leader's state for scheduling it.
struct Coordinator::WaitingStep {
  job::StepKey key;
  job::QueueId queue;
  std::uint32_t priority = 0;
  /// When the job was accepted, or when the occurrence was due.
  TimePoint accepted_at;
  /// When its tasks began to wait.
  TimePoint queued_at;
  AdvisorDecisions decisions;
  /// Advisor calls in flight.
  std::set<AdvisorCallNumber> calls_in_flight;
  TimePoint next_query;
  TimePoint next_undecided_query;
  /// Latency objective and remaining critical path of the job, and when they are computed again.
  Duration objective{0};
  Duration remaining_critical_path{0};
  TimePoint next_estimate;
  /// As of the last pass.
  SchedulingRank rank;
  /// Slots of the workers that a gang has reserved, and when the reservation ends.
  std::vector<std::uint32_t> reserved_slots;
  TimePoint reservation_expiry;
  /// A step that did not fit is not considered again before this time. Not set if it has little
  /// slack.
  TimePoint next_attempt;
};

/// State of one scheduling pass.
struct Coordinator::SchedulingPass {
  TimePoint now;
  /// A worker with the capacity that is still free in this pass. `worker` is null for a slot whose
  /// worker is gone or not schedulable.
  struct WorkerCapacity {
    Worker* worker = nullptr;
    Resources free;
    /// Gets no more tasks in this pass, because it is reserved by a gang that precedes all steps
    /// that are scheduled later, or has a run that is observed.
    bool withheld = false;
    /// Has a run under whose task a worker has crashed.
    bool has_suspect = false;
    /// The gang that has reserved this worker, or null.
    const WaitingStep* reserved_for = nullptr;
  };
  /// By slot.
  std::vector<WorkerCapacity> capacity_by_slot;
  /// Slots of the schedulable workers.
  std::vector<std::uint32_t> schedulable_slots;
  /// Maximum over the workers of each free resource when the pass began. A task that needs more
  /// fits nowhere.
  Resources max_free;
  /// Workers withheld for gangs so far.
  std::size_t withheld_count = 0;
  /// Whether a gang that can still meet its objective is waiting, and the priority of the last such
  /// gang in the order of the pass.
  bool gang_is_waiting = false;
  std::uint32_t waiting_gang_priority = 0;
  /// Processes that can call the advisor now, the preferred one last.
  std::vector<NodeId> idle_clients;
};

}  // namespace parsleyline::dispatch
