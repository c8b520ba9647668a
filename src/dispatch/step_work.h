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
  StepAdvice advice;
  /// Calls of the advisor that have not been answered.
  std::int32_t calls = 0;
  TimePoint next_ask;
  TimePoint next_unknown_ask;
  /// Latency objective and longest remaining chain of the job, and when they are computed again.
  Duration objective{0};
  Duration remaining{0};
  TimePoint next_chain;
  /// What the job can still reach, as of the last pass.
  Urgency urgency;
  /// Slots of the workers whose room a gang waits for, and the time at which others are considered.
  std::vector<std::uint32_t> reserved;
  TimePoint reserved_until;
  /// A step without room is not considered again before this time, unless it is in a hurry.
  TimePoint next_try;
};

/// What one scheduling pass works with.
struct Coordinator::PassState {
  TimePoint now;
  const job::CellConfig* config = nullptr;
  /// Workers by slot, with the room that is left in this pass. `worker` is null where no worker
  /// takes tasks.
  struct Room {
    Worker* worker = nullptr;
    Resources free;
    /// Kept for a gang that goes before all work that is scheduled later in this pass.
    bool withheld = false;
    /// The gang that this worker is reserved for, or null.
    const StepWork* reserved_for = nullptr;
  };
  std::vector<Room> rooms;
  /// Slots of the rooms with a worker.
  std::vector<std::uint32_t> open;
  /// The most of each resource that any worker had free when the pass began. A task that needs more
  /// fits nowhere.
  Resources largest;
  /// Workers that gangs keep room free on so far.
  std::size_t withheld = 0;
  /// Whether a gang that can be in time keeps room, and the priority of the least urgent such gang.
  bool gang_waits = false;
  std::uint32_t gang_priority = 0;
  std::vector<NodeId> idle_callers;
};

}  // namespace parsleyline::dispatch
