#include "tests/standin_platform/emulated_fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace parsleyline::testing {
namespace {

// Bounds from the platform's documentation.
constexpr milliseconds kMaxLease{10'000};
constexpr milliseconds kStopTime{100};
constexpr milliseconds kGangTimeout{3000};
// A deadly run crashes its worker this long after its start.
constexpr milliseconds kDeadlyDelay{200};
// The scheduler must know of a smaller capacity after this time. Longer than the documentation
// says, because the processes that the reports go to are paused and killed.
constexpr milliseconds kResizeNotice{8000};
// Share of the first runs of tasks that fail at random, in thousandths.
constexpr std::uint32_t kFailingPermille = 20;
constexpr std::uint32_t kPermille = 1000;

}  // namespace

EmulatedFleet::EmulatedFleet(RunOracle& oracle, std::uint32_t seed)
    : oracle_(oracle),
      random_(seed),
      last_started_at_(std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count()) {}

std::size_t EmulatedFleet::AddWorker(std::int64_t cpu, std::int64_t memory_mb, SteadyTime now) {
  EmulatedWorker worker;
  worker.id = "w-" + std::to_string(workers_.size());
  worker.cpu = cpu;
  worker.memory_mb = memory_mb;
  workers_.push_back(std::move(worker));
  RestartWorker(workers_.size() - 1, now);
  return workers_.size() - 1;
}

void EmulatedFleet::RestartWorker(std::size_t number, SteadyTime now, milliseconds clock) {
  EmulatedWorker& worker = workers_[number];
  worker.started_at = ++last_started_at_;
  worker.clock_start = now - clock;
  worker.lease_end = now;
  worker.up = true;
}

void EmulatedFleet::ResizeWorker(std::size_t number, std::int64_t cpu, SteadyTime now) {
  EmulatedWorker& worker = workers_[number];
  worker.previous_cpu = worker.cpu;
  worker.resized_at = now;
  worker.cpu = cpu;
}

bool EmulatedFleet::HasDeadlyRun(const EmulatedWorker& worker, SteadyTime now) {
  return std::any_of(worker.runs.begin(), worker.runs.end(), [now](const auto& it) {
    const EmulatedRun& run = it.second;
    return run.step.deadly && it.first.first.index == 0 && now - run.arrived >= kDeadlyDelay;
  });
}

void EmulatedFleet::CrashWorker(std::size_t number) {
  for (const auto& [id, run] : workers_[number].runs) oracle_.OnWorkerCrashed(id.first);
  EndWorker(number);
}

void EmulatedFleet::EndWorker(std::size_t number) {
  EndAllRuns(number, "lost");
  EmulatedWorker& worker = workers_[number];
  worker.up = false;
  worker.fence = 0;
  worker.highest_closed_run.clear();
  worker.finished_runs.clear();
  worker.last_finished_number = 0;
}

std::int64_t EmulatedFleet::ClockMs(const EmulatedWorker& worker, SteadyTime now) {
  return std::chrono::duration_cast<milliseconds>(now - worker.clock_start).count();
}

void EmulatedFleet::ExtendLease(EmulatedWorker* worker, std::int64_t lease_end, SteadyTime now) {
  const SteadyTime end = std::min(worker->clock_start + milliseconds(lease_end), now + kMaxLease);
  worker->lease_end = std::max(worker->lease_end, end);
}

OrderReply EmulatedFleet::StartRun(std::size_t number, const StartOrder& call, SteadyTime now) {
  EmulatedWorker& worker = workers_[number];
  OrderReply accepted{"", ClockMs(worker, now)};
  if (call.fence < worker.fence) return {"fence", accepted.clock};
  worker.fence = call.fence;
  ExtendLease(&worker, call.lease_end, now);
  const RunId id{call.task, call.run};
  if (worker.runs.contains(id)) return accepted;
  const auto closed = worker.highest_closed_run.find(call.task);
  if (closed != worker.highest_closed_run.end() && call.run <= closed->second) {
    return {"old", accepted.clock};
  }
  if (worker.lease_end <= now) return {"late", accepted.clock};
  oracle_.OnRunStarted(call.task, call.run, call.payload, call.target);
  const SubmittedJob* job = oracle_.FindJob(call.task.job);
  if (job == nullptr || call.task.step >= job->steps.size()) return accepted;
  EmulatedRun run;
  run.step = job->steps[call.task.step];
  run.arrived = now;
  run.waiting_since = now;
  run.started = now;
  run.working = !run.step.gang;
  worker.runs[id] = run;
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  for (const auto& [other, it] : worker.runs) {
    cpu += it.step.cpu;
    memory_mb += it.step.memory_mb;
  }
  const bool is_noticed = now - worker.resized_at >= kResizeNotice;
  const std::int64_t max_cpu = is_noticed ? worker.cpu : std::max(worker.cpu, worker.previous_cpu);
  if (cpu > max_cpu || memory_mb > worker.memory_mb) {
    oracle_.RecordViolation(
        "LIMIT", worker.id + " is over its capacity with a task of job " + call.task.job + ": " +
                     std::to_string(cpu) + " of " + std::to_string(max_cpu) + " millicores, " +
                     std::to_string(memory_mb) + " of " + std::to_string(worker.memory_mb) + " MB");
  }
  if (run.step.gang) StartGangIfComplete(call.task, call.run, now);
  return accepted;
}

void EmulatedFleet::StartGangIfComplete(const TaskName& member, std::uint64_t run, SteadyTime now) {
  std::vector<EmulatedRun*> members;
  for (EmulatedWorker& worker : workers_) {
    for (auto& [id, it] : worker.runs) {
      const bool same = id.first.job == member.job && id.first.step == member.step;
      if (same && id.second == run && !it.stopping) members.push_back(&it);
    }
  }
  if (members.empty() || members.size() < members.front()->step.task_count) return;
  for (EmulatedRun* it : members) {
    it->working = true;
    it->started = now;
  }
}

void EmulatedFleet::EndGang(const TaskName& member, std::uint64_t run, const std::string& outcome) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    std::vector<RunId> ids;
    for (const auto& [id, it] : workers_[i].runs) {
      const bool same = id.first.job == member.job && id.first.step == member.step;
      if (same && id.second == run && it.working) ids.push_back(id);
    }
    for (const RunId& id : ids) EndRun(i, id, outcome);
  }
}

OrderReply EmulatedFleet::StopRun(std::size_t number, const TaskName& task, std::uint64_t run,
                                  std::uint64_t fence, SteadyTime now) {
  EmulatedWorker& worker = workers_[number];
  const std::int64_t clock = ClockMs(worker, now);
  if (fence < worker.fence) return {"fence", clock};
  worker.fence = fence;
  std::uint64_t& closed = worker.highest_closed_run[task];
  closed = std::max(closed, run);
  const auto it = worker.runs.find({task, run});
  if (it != worker.runs.end() && !it->second.stopping) {
    it->second.stopping = true;
    it->second.waiting_since = now;
  }
  return {"", clock};
}

OrderReply EmulatedFleet::RenewLease(std::size_t number, std::int64_t lease_end,
                                     std::uint64_t fence, std::uint64_t acknowledged,
                                     SteadyTime now) {
  EmulatedWorker& worker = workers_[number];
  const std::int64_t clock = ClockMs(worker, now);
  if (fence < worker.fence) return {"fence", clock};
  worker.fence = fence;
  if (lease_end > 0) ExtendLease(&worker, lease_end, now);
  while (!worker.finished_runs.empty() && worker.finished_runs.front().number <= acknowledged) {
    const FinishedRun& end = worker.finished_runs.front();
    oracle_.OnEndAcknowledged(end.task, end.outcome == "done", end.outcome == "failed");
    worker.finished_runs.pop_front();
  }
  return {"", clock};
}

std::string EmulatedFleet::DueOutcome(const EmulatedWorker& worker, const RunId& id,
                                      const EmulatedRun& run, SteadyTime now) {
  if (worker.lease_end <= now) return "lapsed";
  if (run.stopping) return now - run.waiting_since >= kStopTime ? "stopped" : "";
  if (!run.working) return now - run.waiting_since >= kGangTimeout ? "alone" : "";
  if (worker.hangs) return "";
  const auto duration =
      std::chrono::duration_cast<milliseconds>(run.step.run_time * worker.slowness);
  if (now - run.started < duration) return "";
  const bool fails_at_random = random_() % kPermille < kFailingPermille && id.second == 1;
  return worker.fails_all_runs || run.step.always_fails || fails_at_random ? "failed" : "done";
}

void EmulatedFleet::EndDueRuns(SteadyTime now) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (HasDeadlyRun(workers_[i], now)) {
      on_deadly_run ? on_deadly_run(i) : CrashWorker(i);
      continue;
    }
    std::vector<std::pair<RunId, std::string>> due;
    for (const auto& [id, run] : workers_[i].runs) {
      std::string outcome = DueOutcome(workers_[i], id, run, now);
      if (!outcome.empty()) due.emplace_back(id, std::move(outcome));
    }
    for (const auto& [id, outcome] : due) {
      const auto it = workers_[i].runs.find(id);
      if (it == workers_[i].runs.end()) continue;
      const bool gang = it->second.step.gang && it->second.working;
      EndRun(i, id, outcome);
      if (gang) EndGang(id.first, id.second, outcome == "done" ? "done" : "broken");
    }
  }
}

void EmulatedFleet::EndRun(std::size_t number, const RunId& id, const std::string& outcome) {
  EmulatedWorker& worker = workers_[number];
  worker.runs.erase(id);
  std::uint64_t& closed = worker.highest_closed_run[id.first];
  closed = std::max(closed, id.second);
  worker.finished_runs.push_back({++worker.last_finished_number, id.first, id.second, outcome});
  oracle_.OnRunEnded(id.first, id.second, outcome == "done", outcome == "failed");
  if (on_run_end) on_run_end(number);
}

void EmulatedFleet::EndAllRuns(std::size_t number, const std::string& outcome) {
  while (!workers_[number].runs.empty()) {
    const auto& [id, run] = *workers_[number].runs.begin();
    const RunId ended = id;
    const bool gang = run.step.gang && run.working;
    EndRun(number, ended, outcome);
    if (gang) EndGang(ended.first, ended.second, "broken");
  }
}

}  // namespace parsleyline::testing
