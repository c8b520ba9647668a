#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dispatch/worker_roster.h"
#include "job/job_spec.h"

namespace parsleyline::dispatch {

/// A worker that may run tasks of a step, with the free capacity that the step may use there.
struct Candidate {
  const Worker* worker = nullptr;
  Resources free;
  /// Tasks of the step that already run there.
  std::uint32_t running_tasks = 0;
  /// Reserved by a gang that comes later in the pass. Used only if no other worker fits, because a
  /// gang that keeps losing its reserved capacity never starts.
  bool reserved = false;
  /// Has a run under whose task a worker has crashed, as has the step to be placed. Used only if no
  /// other worker fits, because a crash would not show which of the two has caused it.
  bool avoided = false;
};

/// Returns how many tasks of a step fit on a candidate now.
std::uint32_t CountFitting(const job::StepSpec& step, const Candidate& candidate);

/// Chooses workers for up to `tasks` tasks of a step, and returns one entry per task. Prefers
/// unreserved workers, then workers on the rack of the step's data, then the best fit, so that
/// large free capacity remains for large tasks and gangs.
std::vector<WorkerId> PlaceTasks(const job::StepSpec& step, std::uint32_t tasks,
                                 std::vector<Candidate> candidates);

/// Chooses workers for all tasks of a gang, or returns nothing if they do not all fit. A gang that
/// is slower on several racks is placed on one rack if it fits there.
std::vector<WorkerId> PlaceGang(const job::StepSpec& step,
                                const std::vector<Candidate>& candidates);

/// Workers that a gang reserves.
struct GangReservation {
  std::vector<WorkerId> workers;
  /// Time until the gang is expected to fit on them.
  Duration expected_wait{0};
};

/// Chooses the workers on which a gang that does not fit now is expected to fit first.
/// `releases_by_worker` has for each worker the times until its runs are expected to end, with
/// their demand. Returns nothing if the gang is not expected to fit within `horizon`.
std::optional<GangReservation> PlanReservation(
    const job::StepSpec& step, const std::vector<Candidate>& candidates,
    const std::map<WorkerId, std::vector<std::pair<Duration, Resources>>>& releases_by_worker,
    Duration horizon);

}  // namespace parsleyline::dispatch
