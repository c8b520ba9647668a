#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace parsleyline::job {

/// Name of a job, chosen by the caller. The same name always identifies the same job.
using JobId = StrongId<struct JobIdTag, std::string>;
/// Name of the queue that a job was submitted to.
using QueueId = StrongId<struct QueueIdTag, std::string>;
/// Milliseconds since 1970 on the wall clock of the machine that read it.
using UnixMillis = StrongId<struct UnixMillisTag, std::int64_t>;
/// Number of a run of a task. Increases with each start of the task.
using RunNumber = StrongId<struct RunNumberTag, std::uint64_t>;

/// Properties of the tasks of a step, as bits of StepSpec::flags.
enum class StepFlag : std::uint32_t {
  /// Tasks save checkpoints, from which a later run resumes.
  kCheckpointable = 1,
  /// All tasks run at the same time, and end together.
  kGang = 2,
  /// The tasks are slower if they run on more than one rack.
  kSameRack = 4,
  /// Several runs of a task may be active at the same time, and the first one that ends counts.
  kSpeculative = 8,
  /// The tasks run until the job is cancelled, and are restarted when they end for any reason.
  kLongRunning = 16,
  /// The tasks run only on CPU time that other tasks do not use. Their CPU demand is not charged.
  kUsesIdleCpu = 32,
};

/// A step of a job: a number of equal tasks.
struct StepSpec {
  std::uint32_t tasks = 0;
  /// Resources that each task needs.
  Resources demand;
  /// Estimated duration of a task, declared by the caller.
  Milliseconds estimate{0};
  /// Indexes of earlier steps that must be done before this one starts.
  std::vector<std::uint32_t> depends_on;
  /// Combination of StepFlag.
  std::uint32_t flags = 0;
  /// Label that a worker must have; empty if none is required.
  std::string required_label;
  /// Rack on which the tasks run fastest; empty if the rack does not matter.
  std::string data_rack;
  /// Maximum number of tasks of this step on one worker; 0 if unlimited.
  std::uint32_t max_per_worker = 0;
  /// Program that the tasks run. Tasks with the same image behave alike.
  std::string image;
  /// Upper bound of the tail latency of long-running tasks; 0 if none.
  Milliseconds latency_bound{0};
  /// Maximum number of long-running tasks that the scheduler may make unavailable at once.
  std::uint32_t max_unavailable = 0;

  bool Has(StepFlag flag) const { return (flags & static_cast<std::uint32_t>(flag)) != 0; }
  bool operator==(const StepSpec&) const = default;
  auto Fields() {
    return std::tie(tasks, demand, estimate, depends_on, flags, required_label, data_rack,
                    max_per_worker, image, latency_bound, max_unavailable);
  }
};

/// A job as submitted by a caller.
struct JobSpec {
  /// Passed to each task unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of timed occurrences of the steps; 0 for a job that runs once, as soon as possible.
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

/// Identifies a step of one occurrence of a job.
struct StepKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepKey&) const = default;
  auto Fields() { return std::tie(job, occurrence, step); }
};

/// Identifies a task.
struct TaskKey {
  StepKey step;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;
  auto Fields() { return std::tie(step, index); }
};

/// Writes <job>.<occurrence>.<step>.
std::ostream& operator<<(std::ostream& out, const StepKey& key);
/// Writes <job>.<occurrence>.<step>.<index>.
std::ostream& operator<<(std::ostream& out, const TaskKey& key);

}  // namespace parsleyline::job
