#include "dispatch/task_placement.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace parsleyline::dispatch {
namespace {

constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();

std::uint32_t TasksPerResource(std::int64_t free, std::int64_t demand) {
  if (demand <= 0) return kUnlimited;
  return free <= 0 ? 0 : static_cast<std::uint32_t>(free / demand);
}

// Returns the free share of the worker's most used resource after one more task, in thousandths.
std::int64_t FreeShareAfter(const job::StepSpec& step, const Candidate& candidate) {
  const auto share = [](std::int64_t left, std::int64_t whole) {
    return whole <= 0 ? 0 : left * 1000 / whole;
  };
  const Resources left = candidate.free - step.demand;
  const Resources& whole = candidate.worker->report.capacity;
  return std::min(share(left.cpu.count(), whole.cpu.count()),
                  share(left.memory.count(), whole.memory.count()));
}

bool IsOnDataRack(const job::StepSpec& step, const Candidate& candidate) {
  return step.data_rack.empty() || candidate.worker->report.rack.value() == step.data_rack;
}

}  // namespace

std::uint32_t CountFitting(const job::StepSpec& step, const Candidate& candidate) {
  std::uint32_t count = std::min(
      {TasksPerResource(candidate.free.cpu.count(), step.demand.cpu.count()),
       TasksPerResource(candidate.free.memory.count(), step.demand.memory.count()),
       TasksPerResource(candidate.free.accelerators.count(), step.demand.accelerators.count())});
  if (step.max_per_worker > 0) {
    const std::uint32_t left = step.max_per_worker > candidate.running_tasks
                                   ? step.max_per_worker - candidate.running_tasks
                                   : 0;
    count = std::min(count, left);
  }
  return count;
}

std::vector<WorkerId> PlaceTasks(const job::StepSpec& step, std::uint32_t tasks,
                                 std::vector<Candidate> candidates) {
  std::erase_if(candidates, [&step](const Candidate& it) { return CountFitting(step, it) == 0; });
  const auto rank = [&step](const Candidate& it) {
    return std::tuple(it.reserved, it.avoided, !IsOnDataRack(step, it), FreeShareAfter(step, it));
  };
  std::sort(candidates.begin(), candidates.end(),
            [&rank](const Candidate& a, const Candidate& b) { return rank(a) < rank(b); });
  std::vector<WorkerId> chosen;
  for (const Candidate& it : candidates) {
    // Fill the best worker before using the next one.
    const std::uint32_t wanted = tasks - static_cast<std::uint32_t>(chosen.size());
    chosen.insert(chosen.end(), std::min(wanted, CountFitting(step, it)), it.worker->id());
    if (chosen.size() == tasks) break;
  }
  return chosen;
}

std::vector<WorkerId> PlaceGang(const job::StepSpec& step,
                                const std::vector<Candidate>& candidates) {
  if (step.Has(job::StepFlag::kSameRack)) {
    std::map<RackId, std::vector<Candidate>> racks;
    for (const Candidate& it : candidates) racks[it.worker->report.rack].push_back(it);
    for (const auto& [rack, members] : racks) {
      auto chosen = PlaceTasks(step, step.tasks, members);
      if (chosen.size() == step.tasks) return chosen;
    }
  }
  auto chosen = PlaceTasks(step, step.tasks, candidates);
  if (chosen.size() < step.tasks) chosen.clear();
  return chosen;
}

std::optional<GangReservation> PlanReservation(
    const job::StepSpec& step, const std::vector<Candidate>& candidates,
    const std::map<WorkerId, std::vector<std::pair<Duration, Resources>>>& releases_by_worker,
    Duration horizon) {
  // Times at which a worker is expected to have capacity for one more task of the gang.
  std::vector<std::pair<Duration, WorkerId>> openings;
  for (const Candidate& it : candidates) {
    Candidate later = it;
    std::uint32_t fits = CountFitting(step, later);
    for (std::uint32_t i = 0; i < std::min(fits, step.tasks); ++i) {
      openings.emplace_back(Duration(0), it.worker->id());
    }
    const auto releases = releases_by_worker.find(it.worker->id());
    if (releases == releases_by_worker.end()) continue;
    for (const auto& [end, resources] : releases->second) {
      if (end > horizon) break;
      later.free += resources;
      const std::uint32_t now_fits = CountFitting(step, later);
      for (; fits < now_fits && fits < step.tasks; ++fits) {
        openings.emplace_back(end, it.worker->id());
      }
    }
  }
  if (openings.size() < step.tasks) return std::nullopt;
  std::sort(openings.begin(), openings.end());
  GangReservation reservation;
  for (std::uint32_t i = 0; i < step.tasks; ++i) {
    reservation.workers.push_back(openings[i].second);
    reservation.expected_wait = openings[i].first;
  }
  std::sort(reservation.workers.begin(), reservation.workers.end());
  reservation.workers.erase(std::unique(reservation.workers.begin(), reservation.workers.end()),
                            reservation.workers.end());
  return reservation;
}

}  // namespace parsleyline::dispatch
