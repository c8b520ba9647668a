#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace parsleyline::dispatch {

/// Order in which a scheduling pass considers the waiting steps.
enum class SchedulingOrder : std::uint8_t {
  /// By the time at which their jobs were accepted.
  kFifo,
  /// By the priority of the queue, then by the time of acceptance.
  kPriority,
  /// By SchedulingRank: steps that can still meet their objective first, then by priority, then by
  /// slack, least first.
  kExpectedOutcome,
};

/// Which jobs are rejected on submission.
enum class AdmissionRule : std::uint8_t {
  kAcceptAll,
  /// Rejects jobs that are expected to wait until they expire.
  kExpectedWait,
};

/// What happens to a gang that does not fit now.
enum class GangRule : std::uint8_t {
  /// It waits until it fits, and nothing is kept free for it.
  kWaitForCapacity,
  /// It reserves the workers that are expected to have enough free capacity first.
  kReserve,
};

/// Scheduling decisions that can be exchanged, and limits of the workers. The defaults are the ones
/// in production; the other values are baselines that the load simulation compares with.
struct Policy {
  SchedulingOrder order = SchedulingOrder::kExpectedOutcome;
  AdmissionRule admission_rule = AdmissionRule::kExpectedWait;
  GangRule gang_rule = GangRule::kReserve;
  /// Share of the workers that gangs may reserve, in thousandths. Reserved capacity is idle; with
  /// dozens of waiting gangs, larger shares cost more than they gain.
  std::size_t max_reserved_permille = 100;
  /// Deducted from the slack of a gang for each of its tasks, so that the widest gangs get the
  /// limited reservations. They need many workers at once, and fit only with a reservation.
  Milliseconds gang_slack_deduction_per_task{40};
  /// Longest lease that a worker takes. It shortens longer ones, such as one that was meant for its
  /// earlier incarnation and ends at a time of another clock.
  Milliseconds max_lease{10'000};
};

}  // namespace parsleyline::dispatch
