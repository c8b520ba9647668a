#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "dispatch/coordinator.h"
#include "dispatch/step_work.h"

// The part of the coordinator that moves tasks away from workers on which they will not end in
// time.
namespace parsleyline::dispatch {
namespace {

// A task that has made no progress for this long is stopped and started elsewhere.
constexpr Milliseconds kStandstill{2000};
// The same on a worker where another task has stood still; a little over the time between lists.
constexpr Milliseconds kStandstillOnSuspect{1200};
// A task is slow if its whole time, going by its progress, is this many times its estimate.
// Declared times are off by up to 90%, and sound workers differ by a third.
constexpr int kSlowFactor = 4;
// Age below which a pace says nothing.
constexpr Milliseconds kMinAgeForPace{1000};
// A task is left alone if it ends within this time anyway.
constexpr Milliseconds kWorthMoving{1500};
// Time that a draining worker must have left beyond the expected end of a task.
constexpr Milliseconds kDrainMargin{300};

bool Has(const Run& run, job::StepFlag flag) {
  return (run.flags & static_cast<std::uint32_t>(flag)) != 0;
}

bool IsSlow(const Run& run, TimePoint now) {
  return run.percent_at - run.ordered_at >= kMinAgeForPace &&
         run.TimeByProgress() > kSlowFactor * Duration(run.estimate) &&
         run.ExpectedRest(now) > kWorthMoving;
}

}  // namespace

void Coordinator::WatchRuns() {
  const TimePoint now = clock_.Now();
  // The fast members of a gang stand at the end while the slow ones still work.
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
    for (auto& [key, run] : worker.runs) {
      if (run.phase != RunPhase::kActive || run.unwanted) continue;
      if (Has(run, job::StepFlag::kLongRunning)) continue;
      const bool gang = Has(run, job::StepFlag::kGang);
      const TimePoint progress = gang ? gang_progress[{key.task.step, key.run}] : run.progressed_at;
      const bool suspect = now < worker.quarantined_until;
      const bool leaves =
          worker.draining && now + run.ExpectedRest(now) + kDrainMargin > worker.drain_end;
      if (now - progress > (suspect ? kStandstillOnSuspect : kStandstill)) {
        MoveRun(&worker, &run, "standstill");
        Quarantine(&worker, "standstill");
      } else if (!gang && IsSlow(run, now)) {
        MoveRun(&worker, &run, "slow");
        Quarantine(&worker, "slow");
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
