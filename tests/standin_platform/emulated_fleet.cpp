#include "tests/standin_platform/emulated_fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace parsleyline::testing {
namespace {

// Bounds of the users' pages.
constexpr milliseconds kLongestLease{10'000};
constexpr milliseconds kStopTime{100};
constexpr milliseconds kGangTimeout{3000};
// Share of the runs that fail by their own fault, in thousandths.
constexpr std::uint32_t kFailingPermille = 20;
constexpr std::uint32_t kPermille = 1000;

}  // namespace

EmulatedFleet::EmulatedFleet(RunOracle& oracle, std::uint32_t seed)
    : oracle_(oracle),
      random_(seed),
      next_born_(std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()) {}

std::size_t EmulatedFleet::Add(std::int64_t cpu, std::int64_t memory_mb, SteadyTime now) {
  EmulatedWorker worker;
  worker.id = "w-" + std::to_string(workers_.size());
  worker.cpu = cpu;
  worker.memory_mb = memory_mb;
  workers_.push_back(std::move(worker));
  Restart(workers_.size() - 1, now);
  return workers_.size() - 1;
}

void EmulatedFleet::Restart(std::size_t number, SteadyTime now) {
  EmulatedWorker& worker = workers_[number];
  worker.born = ++next_born_;
  worker.begun = now;
  worker.lease_end = now;
  worker.up = true;
}

void EmulatedFleet::Crash(std::size_t number) {
  EndAll(number, "lost");
  EmulatedWorker& worker = workers_[number];
  worker.up = false;
  worker.fence = 0;
  worker.closed.clear();
  worker.ends.clear();
  worker.last_end = 0;
}

std::int64_t EmulatedFleet::Clock(const EmulatedWorker& worker, SteadyTime now) {
  return std::chrono::duration_cast<milliseconds>(now - worker.begun).count();
}

void EmulatedFleet::RaiseLease(EmulatedWorker* worker, std::int64_t lease_end, SteadyTime now) {
  const SteadyTime end = std::min(worker->begun + milliseconds(lease_end), now + kLongestLease);
  worker->lease_end = std::max(worker->lease_end, end);
}

CallAnswer EmulatedFleet::Start(std::size_t number, const StartCall& call, SteadyTime now) {
  EmulatedWorker& worker = workers_[number];
  CallAnswer answer{"", Clock(worker, now)};
  if (call.fence < worker.fence) return {"fence", answer.clock};
  worker.fence = call.fence;
  RaiseLease(&worker, call.lease_end, now);
  const RunId id{call.task, call.run};
  if (worker.runs.contains(id)) return answer;
  const auto closed = worker.closed.find(call.task);
  if (closed != worker.closed.end() && call.run <= closed->second) return {"old", answer.clock};
  if (worker.lease_end <= now) return {"late", answer.clock};
  oracle_.Began(call.task, call.run, call.payload);
  const JobSheet* sheet = oracle_.Find(call.task.job);
  if (sheet == nullptr || call.task.step >= sheet->steps.size()) return answer;
  EmulatedRun run;
  run.sheet = sheet->steps[call.task.step];
  run.arrived = now;
  run.begun = now;
  run.working = !run.sheet.gang;
  worker.runs[id] = run;
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  for (const auto& [other, it] : worker.runs) {
    cpu += it.sheet.cpu;
    memory_mb += it.sheet.memory_mb;
  }
  if (cpu > worker.cpu || memory_mb > worker.memory_mb) {
    oracle_.Breach("LIMIT", worker.id + " is over its capacity with " + call.task.job);
  }
  if (run.sheet.gang) BeginGang(call.task, call.run, now);
  return answer;
}

void EmulatedFleet::BeginGang(const TaskName& member, std::uint64_t run, SteadyTime now) {
  std::vector<EmulatedRun*> members;
  for (EmulatedWorker& worker : workers_) {
    for (auto& [id, it] : worker.runs) {
      const bool same = id.first.job == member.job && id.first.step == member.step;
      if (same && id.second == run && !it.stopping) members.push_back(&it);
    }
  }
  if (members.empty() || members.size() < members.front()->sheet.tasks) return;
  for (EmulatedRun* it : members) {
    it->working = true;
    it->begun = now;
  }
}

void EmulatedFleet::EndGang(const TaskName& member, std::uint64_t run, const std::string& how) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    std::vector<RunId> ids;
    for (const auto& [id, it] : workers_[i].runs) {
      const bool same = id.first.job == member.job && id.first.step == member.step;
      if (same && id.second == run && it.working) ids.push_back(id);
    }
    for (const RunId& id : ids) End(i, id, how);
  }
}

CallAnswer EmulatedFleet::Stop(std::size_t number, const TaskName& task, std::uint64_t run,
                               std::uint64_t fence, SteadyTime now) {
  EmulatedWorker& worker = workers_[number];
  const std::int64_t clock = Clock(worker, now);
  if (fence < worker.fence) return {"fence", clock};
  worker.fence = fence;
  std::uint64_t& closed = worker.closed[task];
  closed = std::max(closed, run);
  const auto it = worker.runs.find({task, run});
  if (it != worker.runs.end() && !it->second.stopping) {
    it->second.stopping = true;
    it->second.arrived = now;
  }
  return {"", clock};
}

CallAnswer EmulatedFleet::Renew(std::size_t number, std::int64_t lease_end, std::uint64_t fence,
                                std::uint64_t acknowledged, SteadyTime now) {
  EmulatedWorker& worker = workers_[number];
  const std::int64_t clock = Clock(worker, now);
  if (fence < worker.fence) return {"fence", clock};
  worker.fence = fence;
  if (lease_end > 0) RaiseLease(&worker, lease_end, now);
  while (!worker.ends.empty() && worker.ends.front().number <= acknowledged) {
    const EmulatedEnd& end = worker.ends.front();
    oracle_.EndNoted(end.task, end.how == "done", end.how == "failed");
    worker.ends.pop_front();
  }
  return {"", clock};
}

std::string EmulatedFleet::DueEnd(const EmulatedWorker& worker, const RunId& id,
                                  const EmulatedRun& run, SteadyTime now) {
  if (worker.lease_end <= now) return "lapsed";
  if (run.stopping) return now - run.arrived >= kStopTime ? "stopped" : "";
  if (!run.working) return now - run.arrived >= kGangTimeout ? "alone" : "";
  if (worker.hangs) return "";
  const auto length = std::chrono::duration_cast<milliseconds>(run.sheet.work * worker.slowness);
  if (now - run.begun < length) return "";
  const bool unlucky = random_() % kPermille < kFailingPermille && id.second == 1;
  return worker.fails_all || run.sheet.hopeless || unlucky ? "failed" : "done";
}

void EmulatedFleet::Advance(SteadyTime now) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    std::vector<std::pair<RunId, std::string>> due;
    for (const auto& [id, run] : workers_[i].runs) {
      std::string how = DueEnd(workers_[i], id, run, now);
      if (!how.empty()) due.emplace_back(id, std::move(how));
    }
    for (const auto& [id, how] : due) {
      const auto it = workers_[i].runs.find(id);
      if (it == workers_[i].runs.end()) continue;
      const bool gang = it->second.sheet.gang && it->second.working;
      End(i, id, how);
      if (gang) EndGang(id.first, id.second, how == "done" ? "done" : "broken");
    }
  }
}

void EmulatedFleet::End(std::size_t number, const RunId& id, const std::string& how) {
  EmulatedWorker& worker = workers_[number];
  worker.runs.erase(id);
  std::uint64_t& closed = worker.closed[id.first];
  closed = std::max(closed, id.second);
  worker.ends.push_back({++worker.last_end, id.first, id.second, how});
  oracle_.Ended(id.first, id.second, how == "done", how == "failed");
  if (on_end) on_end(number);
}

void EmulatedFleet::EndAll(std::size_t number, const std::string& how) {
  while (!workers_[number].runs.empty()) {
    const auto& [id, run] = *workers_[number].runs.begin();
    const RunId ended = id;
    const bool gang = run.sheet.gang && run.working;
    End(number, ended, how);
    if (gang) EndGang(ended.first, ended.second, "broken");
  }
}

}  // namespace parsleyline::testing
