#pragma once

#include <array>
#include <cstdint>

#include "base/units.h"
#include "dispatch/urgency.h"

namespace parsleyline::dispatch {

/// Priorities above the last one are counted with it.
inline constexpr std::size_t kPriorityLevels = 8;

/// Work that waits, by priority of its queue, in core-milliseconds.
struct Backlog {
  std::array<std::int64_t, kPriorityLevels> core_ms{};
  /// Thousandths of a core that take new work.
  std::int64_t capacity_millis = 0;

  void Add(std::uint32_t priority, std::int64_t amount);
  /// Returns the time until work of `priority` that arrives now begins.
  Duration WaitAhead(std::uint32_t priority) const;
};

/// Returns the processor demand of all tasks of a job, in core-milliseconds.
std::int64_t WorkOf(const job::JobSpec& spec);

/// Decision at the door.
struct Admission {
  bool accepted = true;
  /// Time after which a rejected job may find room.
  Milliseconds retry_after{0};
  Duration expected_wait{0};
};

/// Decides whether a job is accepted. Answers a load above capacity: a job that would wait longer
/// than its objective allows is rejected at once, so that its caller learns it early and the work
/// that was accepted stays in time.
Admission Admit(const Backlog& backlog, std::uint32_t priority, Duration chain, Duration objective);

}  // namespace parsleyline::dispatch
