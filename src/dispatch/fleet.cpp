#include "dispatch/fleet.h"

#include <algorithm>
#include <utility>

namespace parsleyline::dispatch {
namespace {

// A worker that has neither reported nor answered for this long gets no new tasks. Slightly above
// two report intervals, so that a single lost report has no effect.
constexpr Milliseconds kSilence{3500};
// A worker gets no new tasks after this many consecutive holds without an answer.
constexpr std::uint32_t kMaxFailedHolds = 1;

// Less progress is not enough to project the duration of a run.
constexpr std::uint32_t kMinPercent = 5;
// A run that has exceeded its expected duration is expected to end after this time.
constexpr Milliseconds kOverdueRest{200};

}  // namespace

Duration Run::TimeByProgress() const {
  if (percent < kMinPercent) return Duration(0);
  return (percent_at - ordered_at) * 100 / std::min<std::uint32_t>(percent, 100);
}

Duration Run::ExpectedRest(TimePoint now) const {
  const Duration by_progress = TimeByProgress();
  const Duration whole = by_progress > Duration(0) ? by_progress : Duration(estimate);
  return std::max<Duration>(ordered_at + whole - now, kOverdueRest);
}

bool Worker::HasLabel(const std::string& label) const {
  return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

std::vector<std::pair<Duration, Resources>> Worker::ExpectedEnds(TimePoint now) const {
  std::vector<std::pair<Duration, Resources>> ends;
  ends.reserve(runs.size());
  for (const auto& [key, run] : runs) ends.emplace_back(run.ExpectedRest(now), run.demand);
  std::sort(ends.begin(), ends.end());
  return ends;
}

bool Worker::TakesWork(TimePoint now) const {
  if (!reconciled || draining || now < quarantined_until) return false;
  if (IsOnProbation(now) && !runs.empty()) return false;
  return failed_holds < kMaxFailedHolds && now - std::max(last_report, last_answer) < kSilence;
}

Fleet::Noted Fleet::Note(const WorkerReport& report, TimePoint now) {
  Noted noted;
  const auto same_name = workers_.find(report.incarnation.worker);
  if (same_name != workers_.end()) {
    Worker& known = same_name->second;
    if (report.incarnation.started_at < known.report.incarnation.started_at) {
      noted.current = false;
      return noted;
    }
    if (report.incarnation == known.report.incarnation) {
      known.last_report = now;
      noted.worker = &known;
      // A delayed report must not override a newer one, in particular not the draining state.
      if (report.sequence <= known.report.sequence) return noted;
      known.report = report;
      known.draining = known.draining || report.state == WorkerState::kDraining;
      return noted;
    }
    noted.ended.push_back(std::move(known));
    workers_.erase(same_name);
  }
  // Two workers with the same address prove that the one that started earlier has ended.
  for (auto it = workers_.begin(); it != workers_.end();) {
    if (it->second.report.address != report.address) {
      ++it;
      continue;
    }
    if (it->second.report.incarnation.started_at > report.incarnation.started_at) {
      noted.current = false;
      return noted;
    }
    noted.ended.push_back(std::move(it->second));
    it = workers_.erase(it);
  }
  Worker& worker = workers_[report.incarnation.worker];
  worker.report = report;
  worker.slot = next_slot_++;
  worker.last_report = now;
  worker.draining = report.state == WorkerState::kDraining;
  noted.worker = &worker;
  return noted;
}

std::optional<Worker> Fleet::Remove(const WorkerId& id) {
  const auto it = workers_.find(id);
  if (it == workers_.end()) return std::nullopt;
  Worker worker = std::move(it->second);
  workers_.erase(it);
  return worker;
}

Worker* Fleet::Find(const WorkerId& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

const Worker* Fleet::Find(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

Run& Fleet::Add(Worker* worker, const job::RunKey& key, const Resources& demand,
                std::uint32_t flags) {
  const auto [it, added] = worker->runs.try_emplace(key);
  if (added) {
    it->second.key = key;
    it->second.demand = demand;
    it->second.flags = flags;
    // The CPU demand of a task that runs only on idle CPU time is not charged.
    if ((flags & static_cast<std::uint32_t>(job::StepFlag::kUsesIdleCpu)) != 0) {
      it->second.demand.cpu = MilliCpu(0);
    }
    worker->charged += it->second.demand;
  }
  return it->second;
}

void Fleet::Release(Worker* worker, const job::RunKey& key) {
  const auto it = worker->runs.find(key);
  if (it == worker->runs.end()) return;
  worker->charged -= it->second.demand;
  worker->runs.erase(it);
}

}  // namespace parsleyline::dispatch
