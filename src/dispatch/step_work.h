#pragma once

#include <map>
#include <vector>

#include "dispatch/coordinator.h"

namespace parsleyline::dispatch {

/// A step that has tasks to start, as the leader sees it.
struct Coordinator::StepWork {
  job::StepKey key;
  job::QueueId queue;
  std::uint32_t priority = 0;
  TimePoint accepted;
  Duration objective{0};
  StepAdvice advice;
  bool asking = false;
  TimePoint next_ask;
  TimePoint next_unknown_ask;
  /// What the job can still reach, as of the last pass.
  Urgency urgency;
  /// Workers whose room a gang waits for, and the time at which other workers are considered.
  std::vector<WorkerId> reserved;
  TimePoint reserved_until;
};

/// What one scheduling pass works with.
struct Coordinator::PassState {
  TimePoint now;
  const job::CellConfig* config = nullptr;
  /// Workers that take tasks, with the room that is left in this pass.
  struct Room {
    const Worker* worker = nullptr;
    Resources free;
    /// Kept for a gang that goes before all work that is scheduled later in this pass.
    bool withheld = false;
    /// The gang that this worker is reserved for, or null.
    const StepWork* reserved_for = nullptr;
  };
  std::map<WorkerId, Room> rooms;
  /// The most of each resource that any worker had free when the pass began. A task that needs more
  /// fits nowhere.
  Resources largest;
  std::size_t gangs_waiting = 0;
  std::vector<NodeId> idle_callers;
};

}  // namespace parsleyline::dispatch
