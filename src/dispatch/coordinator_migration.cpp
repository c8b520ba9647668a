#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "dispatch/coordinator.h"
#include "dispatch/scheduling_pass.h"

// The part of the coordinator that migrates tasks from workers on which they are stalled or slow,
// or will not end before the worker leaves.
namespace parsleyline::dispatch {
namespace {

// A task without progress for this long is stalled, and is started on another worker.
constexpr Milliseconds kStallTimeout{2000};
// The same on a quarantined worker, such as one where another task has stalled. Slightly above the
// interval between two hold replies.
constexpr Milliseconds kStallTimeoutInQuarantine{1200};
// A worker is slow if its slowdown is this many times the median of all workers. Healthy workers
// differ by a third.
constexpr double kSlowFactor = 3;
// Minimum number of tasks from which the slowdown of a worker is computed. Single estimates are
// wrong by a factor of up to ten.
constexpr std::uint32_t kMinRunsForSlowdown = 3;
// The progress of younger tasks says too little about their slowdown.
constexpr Milliseconds kMinAgeForSlowdown{800};
// A task on a slow worker is not migrated if it is expected to end within this time.
constexpr Milliseconds kMinRemainingToMigrate{1500};
// A task is migrated from a draining worker that leaves less than this after the task's expected
// end.
constexpr Milliseconds kDrainMargin{300};

bool Has(const Run& run, job::StepFlag flag) {
  return (run.flags & static_cast<std::uint32_t>(flag)) != 0;
}

/// Mean logarithm of the slowdown of tasks: how many times its predicted duration a task takes.
struct SlowdownMean {
  double sum = 0;
  std::uint32_t count = 0;

  void Add(const Run& run) {
    const Duration projected = run.ProjectedDuration();
    const bool usable = projected > Duration(0) && run.predicted_duration > Milliseconds(0) &&
                        run.percent_received_at - run.ordered_at >= kMinAgeForSlowdown;
    if (!usable) return;
    sum += std::log(static_cast<double>(projected / Microseconds(1)) /
                    static_cast<double>(run.predicted_duration / Microseconds(1)));
    ++count;
  }
  double Mean() const { return count == 0 ? 0 : sum / count; }
};

}  // namespace

std::set<WorkerId> Coordinator::FindSlowWorkers(double* median_slowdown) const {
  std::vector<std::pair<double, WorkerId>> means;
  for (const auto& [id, worker] : roster_.workers()) {
    SlowdownMean mean;
    for (const auto& [key, run] : worker.runs) {
      if (run.phase == RunPhase::kActive) mean.Add(run);
    }
    if (mean.count >= kMinRunsForSlowdown) means.emplace_back(mean.Mean(), id);
  }
  std::set<WorkerId> slow;
  if (means.empty()) return slow;
  std::sort(means.begin(), means.end());
  const double median = means[means.size() / 2].first;
  *median_slowdown = std::exp(median);
  for (const auto& [mean, id] : means) {
    if (mean - median > std::log(kSlowFactor)) slow.insert(id);
  }
  return slow;
}

void Coordinator::MigrateRunsAtRisk() {
  const TimePoint now = clock_.Now();
  double median_slowdown = 1;
  const std::set<WorkerId> slow = FindSlowWorkers(&median_slowdown);
  // Fast tasks of a gang stop making progress while slow ones still run, so that the latest
  // progress of any of them counts.
  std::map<std::pair<job::StepKey, job::RunNumber>, TimePoint> gang_progress;
  for (const auto& [id, worker] : roster_.workers()) {
    for (const auto& [key, run] : worker.runs) {
      if (!Has(run, job::StepFlag::kGang)) continue;
      TimePoint& latest = gang_progress[{key.task.step, key.run}];
      latest = std::max(latest, run.progressed_at);
    }
  }
  for (auto& [id, worker] : roster_.workers()) {
    if (worker.unanswered_holds > 0) continue;
    if (slow.contains(id)) Quarantine(&worker, "slow");
    for (auto& [key, run] : worker.runs) {
      if (run.phase != RunPhase::kActive || run.stop_requested) continue;
      if (Has(run, job::StepFlag::kLongRunning)) continue;
      const bool is_gang = Has(run, job::StepFlag::kGang);
      const TimePoint last_progress =
          is_gang ? gang_progress[{key.task.step, key.run}] : run.progressed_at;
      const bool is_quarantined = now < worker.quarantined_until;
      const Duration remaining = run.ExpectedRemaining(now);
      // Expected duration of a new run on a typical worker.
      const auto new_run_duration =
          std::chrono::duration_cast<Duration>(run.predicted_duration * median_slowdown);
      const bool is_slow = slow.contains(id) && remaining > kMinRemainingToMigrate &&
                           remaining > 2 * new_run_duration;
      const bool worker_leaves_first =
          worker.draining && now + remaining + kDrainMargin > worker.drain_end;
      if (now - last_progress > (is_quarantined ? kStallTimeoutInQuarantine : kStallTimeout)) {
        MigrateRun(&worker, &run, "standstill");
        Quarantine(&worker, "standstill");
      } else if (is_slow) {
        MigrateRun(&worker, &run, "slow");
      } else if (worker_leaves_first) {
        MigrateRun(&worker, &run, "draining");
      }
    }
  }
}

void Coordinator::MigrateRun(Worker* worker, Run* run, const char* reason) {
  Event("run_moved", Severity::kWarning)
      .With("run", run->key.task)
      .With("number", run->key.run)
      .With("worker", worker->id())
      .With("reason", reason)
      .With("percent", run->percent)
      .With("age_ms", (clock_.Now() - run->ordered_at) / Milliseconds(1));
  RequestStop(run);
  if (Has(*run, job::StepFlag::kGang)) RequestGangStop(run->key.task.step, run->key.run);
}

}  // namespace parsleyline::dispatch
