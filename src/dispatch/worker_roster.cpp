#include "dispatch/worker_roster.h"

#include <algorithm>
#include <utility>

namespace parsleyline::dispatch {
namespace {

// A worker that has neither reported nor answered for this long gets no new tasks. Slightly above
// two report intervals, so that a single lost report has no effect.
constexpr Milliseconds kMaxSilence{3500};
// A worker gets no new tasks after this many consecutive holds without an answer.
constexpr std::uint32_t kMaxUnansweredHolds = 1;

// Less progress is not enough to project the duration of a run.
constexpr std::uint32_t kMinPercentToProject = 5;
// A run that has exceeded its expected duration is expected to end after this time.
constexpr Milliseconds kOverdueRemaining{200};

}  // namespace

Duration Run::ProjectedDuration() const {
  if (percent < kMinPercentToProject) return Duration(0);
  return (percent_received_at - ordered_at) * 100 / std::min<std::uint32_t>(percent, 100);
}

Duration Run::ExpectedRemaining(TimePoint now) const {
  const Duration by_progress = ProjectedDuration();
  const Duration duration = by_progress > Duration(0) ? by_progress : Duration(predicted_duration);
  return std::max<Duration>(ordered_at + duration - now, kOverdueRemaining);
}

bool Worker::HasLabel(const std::string& label) const {
  return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

bool Worker::CanHold(const Resources& demand) const {
  const Resources free = FreeCapacity();
  const auto is_exceeded = [](auto needed, auto left) {
    return needed.count() > 0 && left.count() < 0;
  };
  return !is_exceeded(demand.cpu, free.cpu) && !is_exceeded(demand.memory, free.memory) &&
         !is_exceeded(demand.accelerators, free.accelerators);
}

std::vector<std::pair<Duration, Resources>> Worker::ExpectedReleases(TimePoint now) const {
  std::vector<std::pair<Duration, Resources>> ends;
  ends.reserve(runs.size());
  for (const auto& [key, run] : runs) ends.emplace_back(run.ExpectedRemaining(now), run.demand);
  std::sort(ends.begin(), ends.end());
  return ends;
}

bool Worker::IsSchedulable(TimePoint now) const {
  if (!reconciled || !IsStaying() || now < quarantined_until) return false;
  if (IsOnProbation(now) && !runs.empty()) return false;
  return unanswered_holds < kMaxUnansweredHolds && now - LastSeen() < kMaxSilence;
}

bool Worker::CountsAsCapacity(TimePoint now) const {
  if (reconciled) return IsSchedulable(now);
  return IsStaying() && unanswered_holds == 0 && now - LastSeen() < kMaxSilence;
}

WorkerRoster::ReportResult WorkerRoster::ApplyReport(const WorkerReport& report, TimePoint now,
                                                     ReportProof proof) {
  const auto same_name = workers_.find(report.incarnation.worker);
  if (same_name != workers_.end() && same_name->second.report.incarnation == report.incarnation) {
    return {UpdateWorker(&same_name->second, report, now), {}, {}};
  }
  ReportResult result;
  std::vector<WorkerId> replaced;
  for (const auto& [id, worker] : workers_) {
    const bool same_id = id == report.incarnation.worker;
    if (!same_id && worker.report.address != report.address) continue;
    // Of two workers with the same id or address, the one that started earlier has ended.
    const job::UnixMillis known_start = worker.report.incarnation.started_at;
    const bool outdated = known_start > report.incarnation.started_at ||
                          (known_start == report.incarnation.started_at && worker.IsAnswering());
    if (outdated) return {};
    replaced.push_back(id);
    if (proof == ReportProof::kNone && worker.NeedsProofOfEnd()) result.contested.push_back(id);
  }
  if (!result.contested.empty()) return result;
  for (const WorkerId& id : replaced) {
    result.ended_incarnations.push_back(std::move(workers_.extract(id).mapped()));
  }
  Worker& worker = workers_[report.incarnation.worker];
  worker.report = report;
  worker.slot = next_slot_++;
  worker.last_report = now;
  worker.draining = report.state == WorkerState::kDraining;
  result.worker = &worker;
  return result;
}

Worker* WorkerRoster::UpdateWorker(Worker* worker, const WorkerReport& report, TimePoint now) {
  // An incarnation has one address and one pool, so a report with others has another writer, whose
  // sequence numbers prove nothing.
  const bool other_address = report.address != worker->report.address;
  if (report.pool != worker->report.pool) return nullptr;
  if (other_address && worker->IsAnswering()) return nullptr;
  worker->last_report = now;
  // A delayed report must not override a newer one.
  if (other_address || report.sequence > worker->report.sequence) worker->report = report;
  // A draining worker never becomes ready again, so that even a delayed report proves it.
  worker->draining = worker->draining || report.state == WorkerState::kDraining;
  if (worker->draining) worker->report.state = WorkerState::kDraining;
  return worker;
}

std::optional<Worker> WorkerRoster::Remove(const WorkerId& id) {
  const auto it = workers_.find(id);
  if (it == workers_.end()) return std::nullopt;
  Worker worker = std::move(it->second);
  workers_.erase(it);
  return worker;
}

Worker* WorkerRoster::Find(const WorkerId& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

const Worker* WorkerRoster::Find(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

Run& WorkerRoster::ChargeRun(Worker* worker, const job::RunKey& key, const Resources& demand,
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

void WorkerRoster::ReleaseRun(Worker* worker, const job::RunKey& key) {
  const auto it = worker->runs.find(key);
  if (it == worker->runs.end()) return;
  worker->charged -= it->second.demand;
  worker->runs.erase(it);
}

Run& WorkerRoster::MoveRun(Worker* from, Worker* to, const job::RunKey& key) {
  const Run& run = to->runs.insert(from->runs.extract(key)).position->second;
  from->charged -= run.demand;
  to->charged += run.demand;
  return to->runs.at(key);
}

}  // namespace parsleyline::dispatch
