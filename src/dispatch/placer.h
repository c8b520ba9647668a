#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dispatch/fleet.h"
#include "job/job_spec.h"

namespace parsleyline::dispatch {

/// A worker that may run a step, with the room that the step may use there.
struct Candidate {
  const Worker* worker = nullptr;
  Resources room;
  /// Tasks of the step that it already runs.
  std::uint32_t running = 0;
  /// Kept free for a gang that is less urgent. Used only if nothing else will do, because a gang
  /// that loses room over and over never starts.
  bool reserved = false;
};

/// Returns how many tasks of a step fit on a candidate.
std::uint32_t FitCount(const job::StepSpec& step, const Candidate& candidate);

/// Chooses workers for up to `tasks` tasks of a step; returns one entry a task, in order. Tight
/// fits are taken first, so that large holes stay for wide tasks and gangs. Workers on the rack of
/// the step's data go before all others.
std::vector<WorkerId> PlaceTasks(const job::StepSpec& step, std::uint32_t tasks,
                                 std::vector<Candidate> candidates);

/// Chooses workers for all tasks of a gang, or none. A gang that is slower on several racks is put
/// on one if it fits there.
std::vector<WorkerId> PlaceGang(const job::StepSpec& step,
                                const std::vector<Candidate>& candidates);

/// Room that a gang waits for.
struct GangReservation {
  std::vector<WorkerId> workers;
  /// Time until the last of the workers is expected to have the room.
  Duration wait{0};
};

/// Chooses the workers on which a gang that has no room now is expected to find it first.
/// `ends_in` tells for each worker when its runs are expected to end. Returns nothing if the
/// workers cannot hold the gang within `horizon`.
std::optional<GangReservation> ReserveForGang(
    const job::StepSpec& step, const std::vector<Candidate>& candidates,
    const std::map<WorkerId, std::vector<std::pair<Duration, Resources>>>& ends_in,
    Duration horizon);

}  // namespace parsleyline::dispatch
