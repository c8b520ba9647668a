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
  using ByPriority = std::array<std::int64_t, kPriorityLevels>;
  /// Work that can still meet its objective, and work that can only be late.
  ByPriority in_time{};
  ByPriority late{};
  /// What is left of the tasks that run. Work that can only be late begins after it.
  std::int64_t running = 0;
  /// Thousandths of a core that take new work.
  std::int64_t capacity_millis = 0;

  /// Adds waiting work. Work that no longer counts is left out: it starts only on room that nothing
  /// else wants.
  void Add(Prospect prospect, std::uint32_t priority, std::int64_t core_ms);
  /// Returns the time until work of `priority` that arrives now begins, behind all that can still
  /// meet its objective and is as urgent.
  Duration WaitInTime(std::uint32_t priority) const;
  /// The same, behind work that can only be late as well.
  Duration WaitLate(std::uint32_t priority) const;

 private:
  Duration TimeFor(std::int64_t core_ms) const;
};

/// Returns the processor demand of all tasks of a job, in core-milliseconds.
std::int64_t WorkOf(const job::JobSpec& spec, const DurationModel& durations);

/// Decision at the door.
struct Admission {
  bool accepted = true;
  /// Time after which a rejected job may find room.
  Milliseconds retry_after{0};
  Duration expected_wait{0};
};

/// Decides whether a job is accepted. Answers a load far above capacity: a job that is expected
/// neither to meet its objective nor to end while it counts late is rejected at once, so that its
/// caller learns it early and what was accepted does not grow without bound.
Admission Admit(const Backlog& backlog, std::uint32_t priority, Duration chain, Duration objective);

}  // namespace parsleyline::dispatch
