#include "dispatch/placer.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace parsleyline::dispatch {
namespace {

constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();

std::uint32_t Ratio(std::int64_t room, std::int64_t demand) {
  if (demand <= 0) return kUnlimited;
  return room <= 0 ? 0 : static_cast<std::uint32_t>(room / demand);
}

// Returns the free share of the worker's most used resource after one more task, in thousandths.
std::int64_t Leftover(const job::StepSpec& step, const Candidate& candidate) {
  const auto share = [](std::int64_t left, std::int64_t whole) {
    return whole <= 0 ? 0 : left * 1000 / whole;
  };
  const Resources left = candidate.room - step.demand;
  const Resources& whole = candidate.worker->report.capacity;
  return std::min(share(left.cpu.count(), whole.cpu.count()),
                  share(left.memory.count(), whole.memory.count()));
}

bool IsNearData(const job::StepSpec& step, const Candidate& candidate) {
  return step.data_rack.empty() || candidate.worker->report.rack.value() == step.data_rack;
}

}  // namespace

std::uint32_t FitCount(const job::StepSpec& step, const Candidate& candidate) {
  std::uint32_t count =
      std::min({Ratio(candidate.room.cpu.count(), step.demand.cpu.count()),
                Ratio(candidate.room.memory.count(), step.demand.memory.count()),
                Ratio(candidate.room.accelerators.count(), step.demand.accelerators.count())});
  if (step.max_per_worker > 0) {
    const std::uint32_t left =
        step.max_per_worker > candidate.running ? step.max_per_worker - candidate.running : 0;
    count = std::min(count, left);
  }
  return count;
}

std::vector<WorkerId> PlaceTasks(const job::StepSpec& step, std::uint32_t tasks,
                                 std::vector<Candidate> candidates) {
  std::erase_if(candidates, [&step](const Candidate& it) { return FitCount(step, it) == 0; });
  const auto rank = [&step](const Candidate& it) {
    return std::tuple(it.reserved, !IsNearData(step, it), Leftover(step, it));
  };
  std::sort(candidates.begin(), candidates.end(),
            [&rank](const Candidate& a, const Candidate& b) { return rank(a) < rank(b); });
  std::vector<WorkerId> chosen;
  for (const Candidate& it : candidates) {
    // Fill the best worker before using the next one.
    const std::uint32_t wanted = tasks - static_cast<std::uint32_t>(chosen.size());
    chosen.insert(chosen.end(), std::min(wanted, FitCount(step, it)), it.worker->id());
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

std::optional<GangReservation> ReserveForGang(
    const job::StepSpec& step, const std::vector<Candidate>& candidates,
    const std::map<WorkerId, std::vector<std::pair<Duration, Resources>>>& ends_in,
    Duration horizon) {
  // Times at which a worker is expected to have capacity for one more task of the gang.
  std::vector<std::pair<Duration, WorkerId>> openings;
  for (const Candidate& it : candidates) {
    Candidate later = it;
    std::uint32_t fits = FitCount(step, later);
    for (std::uint32_t i = 0; i < std::min(fits, step.tasks); ++i) {
      openings.emplace_back(Duration(0), it.worker->id());
    }
    const auto ends = ends_in.find(it.worker->id());
    if (ends == ends_in.end()) continue;
    for (const auto& [end, resources] : ends->second) {
      if (end > horizon) break;
      later.room += resources;
      const std::uint32_t now_fits = FitCount(step, later);
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
    reservation.wait = openings[i].first;
  }
  std::sort(reservation.workers.begin(), reservation.workers.end());
  reservation.workers.erase(std::unique(reservation.workers.begin(), reservation.workers.end()),
                            reservation.workers.end());
  return reservation;
}

}  // namespace parsleyline::dispatch
