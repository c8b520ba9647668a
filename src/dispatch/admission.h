#pragma once

#include <array>
#include <cstdint>

#include "base/units.h"
#include "dispatch/scheduling_rank.h"

namespace parsleyline::dispatch {

/// Higher priority numbers count as the last level.
inline constexpr std::size_t kPriorityLevels = 8;

/// The work that a new job has to wait for, in core-milliseconds.
struct Backlog {
  /// Work by priority of its queue.
  using ByPriority = std::array<std::int64_t, kPriorityLevels>;
  /// Waiting work that can still meet its objective, and waiting work that can only end late.
  ByPriority in_time_core_ms{};
  ByPriority late_core_ms{};
  /// Remaining work of the running tasks. Work that can only end late starts after it.
  std::int64_t running_core_ms = 0;
  /// CPU capacity of the schedulable workers, in thousandths of a core.
  std::int64_t capacity_millicores = 0;

  /// Adds waiting work. Expired work is left out, because it uses only capacity that no other work
  /// needs.
  void AddWaiting(ExpectedOutcome outcome, std::uint32_t priority, std::int64_t core_ms);
  /// Returns the expected wait of new work of `priority` that can meet its objective. It starts
  /// after all such work of the same or a higher priority.
  Duration ExpectedInTimeWait(std::uint32_t priority) const;
  /// Returns the expected wait of new work of `priority` that can only end late. It starts after
  /// all work that runs or can still meet its objective, and after late work of the same or a
  /// higher priority.
  Duration ExpectedLateWait(std::uint32_t priority) const;

 private:
  /// Returns the time in which the usable capacity completes this much work.
  Duration ProcessingTime(std::int64_t core_ms) const;
};

/// Returns the CPU time that tasks need, in milliseconds of a core. Limited, so that sums of many
/// do not overflow.
std::int64_t CpuWork(MilliCpu cpu, std::int64_t tasks, Duration duration);

/// Returns the CPU time that all tasks of a job are expected to use, in core-milliseconds.
std::int64_t ExpectedCpuWork(const job::JobSpec& spec, const DurationModel& durations);

/// Result of admission control for a job.
struct AdmissionDecision {
  bool accepted = true;
  /// For a rejected job, the time after which the caller should try again.
  Milliseconds retry_after{0};
  Duration expected_wait{0};
};

/// Decides whether a job is accepted. A job that is expected to expire, that is, to end neither
/// within its objective nor within kLateFactor times as long, is rejected. Under overload, callers
/// learn this early, and the backlog of accepted jobs does not grow without bound.
AdmissionDecision DecideAdmission(const Backlog& backlog, std::uint32_t priority,
                                  Duration critical_path, Duration objective);

}  // namespace parsleyline::dispatch
