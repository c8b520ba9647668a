#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace parsleyline::dispatch {

/// Order in which waiting work is considered.
enum class WaitingOrder : std::uint8_t {
  /// As accepted.
  kArrival,
  /// By the priority of the queue, then as accepted.
  kPriority,
  /// What can still meet its objective first, then by priority, then the least slack.
  kProspect,
};

/// Whether jobs are turned away at the door.
enum class DoorRule : std::uint8_t {
  kAcceptAll,
  /// Rejects what would wait until it no longer counts.
  kExpectedWait,
};

/// What happens to a gang that has no room.
enum class GangRule : std::uint8_t {
  /// Waits until it finds room by chance.
  kWaitForRoom,
  /// Keeps room free on the workers that are expected to have it first.
  kReserve,
};

/// The decisions that differ between schedulers; the defaults are the ones in use. The others are
/// baselines that load replays compare with.
struct Policy {
  WaitingOrder order = WaitingOrder::kProspect;
  DoorRule door = DoorRule::kExpectedWait;
  GangRule gangs = GangRule::kReserve;
  /// Share of the workers that gangs may keep room free on, in thousandths. Reserved room stands
  /// idle; with dozens of gangs waiting it costs more than it gains.
  std::size_t reserved_permille = 100;
  /// Slack that a gang counts as having less for each of its tasks. Answers a load of gangs of all
  /// widths: the widest need many workers at once, and find them only with the scarce reservations.
  Milliseconds lead_per_member{40};
};

}  // namespace parsleyline::dispatch
