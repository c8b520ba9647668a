#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace parsleyline::job {

/// Name that the caller gave a job; the same name always means the same job.
using JobId = StrongId<struct JobIdTag, std::string>;
/// Queue that a job was handed in to.
using QueueId = StrongId<struct QueueIdTag, std::string>;
/// Milliseconds since 1970, as told by the time of day of the machine that read it.
using UnixMillis = StrongId<struct UnixMillisTag, std::int64_t>;
/// Number of a run of a task. Rises with each start of the task.
using RunNumber = StrongId<struct RunNumberTag, std::uint64_t>;

/// How the tasks of a step run together.
enum class StepFlag : std::uint32_t {
  /// Tasks save their progress, and a later run can resume from it.
  kCheckpointable = 1,
  /// All tasks of a run must be present at once, and they end together.
  kGang = 2,
  /// The tasks are slower when they run on more than one rack.
  kSameRack = 4,
  /// Copies of a task may run at the same time; the first that ends counts.
  kSpeculative = 8,
  /// The tasks run until the job is cancelled and are restarted however they end.
  kLongRunning = 16,
  /// The tasks use the processor time that other tasks leave; their own is not charged.
  kUsesIdleCpu = 32,
};

/// One step of a job: a number of equal tasks.
struct StepSpec {
  std::uint32_t tasks = 0;
  /// What one task needs.
  Resources demand;
  /// Rough duration of one task.
  Milliseconds estimate{0};
  /// Earlier steps, counted from 0, that must be done first.
  std::vector<std::uint32_t> depends_on;
  /// Combination of StepFlag.
  std::uint32_t flags = 0;
  /// Label that a worker must have; empty if any will do.
  std::string required_label;
  /// Rack on which the tasks are fastest; empty if all are equal.
  std::string data_rack;
  /// Most tasks of this step on one worker; 0 if unlimited.
  std::uint32_t max_per_worker = 0;
  /// Program that the tasks run. Tasks of one image behave alike.
  std::string image;
  /// Bound on the tail latency of long-running tasks; 0 if none.
  Milliseconds latency_bound{0};
  /// Long-running tasks that may be away at once because of the scheduler.
  std::uint32_t max_unavailable = 0;

  bool Has(StepFlag flag) const { return (flags & static_cast<std::uint32_t>(flag)) != 0; }
  bool operator==(const StepSpec&) const = default;
  auto Fields() {
    return std::tie(tasks, demand, estimate, depends_on, flags, required_label, data_rack,
                    max_per_worker, image, latency_bound, max_unavailable);
  }
};

/// What a caller hands in.
struct JobSpec {
  /// Handed to each task unread.
  std::string payload;
  std::vector<StepSpec> steps;
  /// How many times the steps run; 0 for a job that runs once, as soon as possible.
  std::uint32_t occurrences = 0;
  /// Due time of the first occurrence.
  UnixMillis first_due;
  /// Time between the due times of two occurrences.
  Milliseconds interval{0};

  bool IsTimed() const { return occurrences > 0; }
  std::uint32_t OccurrenceCount() const { return IsTimed() ? occurrences : 1; }
  /// Time at which an occurrence may start. Meaningful for timed jobs only.
  UnixMillis DueTime(std::uint32_t occurrence) const {
    return UnixMillis(first_due.value() + occurrence * interval.count());
  }
  bool operator==(const JobSpec&) const = default;
  auto Fields() { return std::tie(payload, steps, occurrences, first_due, interval); }
};

/// Names one step of one occurrence.
struct StepKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepKey&) const = default;
  auto Fields() { return std::tie(job, occurrence, step); }
};

/// Names one task.
struct TaskKey {
  StepKey step;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;
  auto Fields() { return std::tie(step, index); }
};

std::ostream& operator<<(std::ostream& out, const StepKey& key);
std::ostream& operator<<(std::ostream& out, const TaskKey& key);

}  // namespace parsleyline::job
