#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "dispatch/coordinator.h"
#include "dispatch/step_work.h"

// The part of the coordinator that migrates tasks from workers on which they are stalled or slow,
// or will not end before the worker leaves.
namespace parsleyline::dispatch {
namespace {

// A task without progress for this long is stalled, and is started on another worker.
constexpr Milliseconds kStandstill{2000};
// The same on a quarantined worker, such as one where another task has stalled. Slightly above the
// interval between two hold replies.
constexpr Milliseconds kStandstillOnSuspect{1200};
// A worker is slow if its slowdown is this many times the median of all workers. Healthy workers
// differ by a third.
constexpr double kSlowFactor = 3;
// Minimum number of tasks from which the slowdown of a worker is computed. Single estimates are
// wrong by a factor of up to ten.
constexpr std::uint32_t kMinRunsForPace = 3;
// The progress of younger tasks says too little about their slowdown.
constexpr Milliseconds kMinAgeForPace{800};
// A task on a slow worker is not migrated if it is expected to end within this time.
constexpr Milliseconds kWorthMoving{1500};
// A task is migrated from a draining worker that leaves less than this after the task's expected
// end.
constexpr Milliseconds kDrainMargin{300};

bool Has(const Run& run, job::StepFlag flag) {
  return (run.flags & static_cast<std::uint32_t>(flag)) != 0;
}

/// Mean logarithm of the slowdown of tasks: how many times its estimate a task takes.
struct PaceMean {
  double sum = 0;
  std::uint32_t count = 0;

  void Add(const Run& run) {
    const Duration whole = run.TimeByProgress();
    const bool usable = whole > Duration(0) && run.estimate > Milliseconds(0) &&
                        run.percent_at - run.ordered_at >= kMinAgeForPace;
    if (!usable) return;
    sum += std::log(static_cast<double>(whole / Microseconds(1)) /
                    static_cast<double>(run.estimate / Microseconds(1)));
    ++count;
  }
  double Mean() const { return count == 0 ? 0 : sum / count; }
};

}  // namespace

std::set<WorkerId> Coordinator::SlowWorkers(double* usual_pace) const {
  std::vector<std::pair<double, WorkerId>> means;
  for (const auto& [id, worker] : fleet_.workers()) {
    PaceMean mean;
    for (const auto& [key, run] : worker.runs) {
      if (run.phase == RunPhase::kActive) mean.Add(run);
    }
    if (mean.count >= kMinRunsForPace) means.emplace_back(mean.Mean(), id);
  }
  std::set<WorkerId> slow;
  if (means.empty()) return slow;
  std::sort(means.begin(), means.end());
  const double median = means[means.size() / 2].first;
  *usual_pace = std::exp(median);
  for (const auto& [mean, id] : means) {
    if (mean - median > std::log(kSlowFactor)) slow.insert(id);
  }
  return slow;
}

void Coordinator::WatchRuns() {
  const TimePoint now = clock_.Now();
  double usual_pace = 1;
  const std::set<WorkerId> slow = SlowWorkers(&usual_pace);
  // Fast tasks of a gang stop making progress while slow ones still run, so that the latest
  // progress of any of them counts.
  std::map<std::pair<job::StepKey, job::RunNumber>, TimePoint> gang_progress;
  for (const auto& [id, worker] : fleet_.workers()) {
    for (const auto& [key, run] : worker.runs) {
      if (!Has(run, job::StepFlag::kGang)) continue;
      TimePoint& latest = gang_progress[{key.task.step, key.run}];
      latest = std::max(latest, run.progressed_at);
    }
  }
  for (auto& [id, worker] : fleet_.workers()) {
    if (worker.failed_holds > 0) continue;
    if (slow.contains(id)) Quarantine(&worker, "slow");
    for (auto& [key, run] : worker.runs) {
      if (run.phase != RunPhase::kActive || run.unwanted) continue;
      if (Has(run, job::StepFlag::kLongRunning)) continue;
      const bool gang = Has(run, job::StepFlag::kGang);
      const TimePoint progress = gang ? gang_progress[{key.task.step, key.run}] : run.progressed_at;
      const bool suspect = now < worker.quarantined_until;
      const Duration rest = run.ExpectedRest(now);
      // Expected duration of a new run on a typical worker.
      const auto anew = std::chrono::duration_cast<Duration>(run.estimate * usual_pace);
      const bool crawls = slow.contains(id) && rest > kWorthMoving && rest > 2 * anew;
      const bool leaves = worker.draining && now + rest + kDrainMargin > worker.drain_end;
      if (now - progress > (suspect ? kStandstillOnSuspect : kStandstill)) {
        MoveRun(&worker, &run, "standstill");
        Quarantine(&worker, "standstill");
      } else if (crawls) {
        MoveRun(&worker, &run, "slow");
      } else if (leaves) {
        MoveRun(&worker, &run, "draining");
      }
    }
  }
}

void Coordinator::MoveRun(Worker* worker, Run* run, const char* reason) {
  Event("run_moved", Severity::kWarning)
      .With("run", run->key.task)
      .With("number", run->key.run)
      .With("worker", worker->id())
      .With("reason", reason)
      .With("percent", run->percent)
      .With("age_ms", (clock_.Now() - run->ordered_at) / Milliseconds(1));
  MarkUnwanted(run);
  if (Has(*run, job::StepFlag::kGang)) MarkGangUnwanted(run->key.task.step, run->key.run);
}

}  // namespace parsleyline::dispatch
