#include "bench/placement/placers.h"

#include <optional>
#include <unordered_map>

namespace parsleyline::bench {

namespace {

class ParsleylinePlacer : public Placer {
 public:
  ParsleylinePlacer(const Fleet& fleet, std::uint64_t seed) : placement_(Options(seed)) {
    for (const auto& worker : fleet.workers) placement_.UpsertWorker(worker);
  }
  std::vector<WorkerId> Choose(const placement::Demand& demand, TimePoint now) override {
    return placement_.Choose(demand, now).workers;
  }
  void Charge(FencingToken token, const WorkerId& worker, const Resources& resources,
              TimePoint expected_end) override {
    placement_.Charge(token, worker, resources, expected_end);
  }
  void Release(FencingToken token) override { placement_.Release(token); }
  void DropReservation(const RequestId& job) override { placement_.DropReservation(job); }

 private:
  static placement::PlacementOptions Options(std::uint64_t seed) {
    placement::PlacementOptions options;
    options.seed = seed;
    return options;
  }
  placement::Placement placement_;
};

// Baseline that scans all workers, either in a fixed order or from random starts. It ignores kinds,
// reservations and the health of workers.
class ScanPlacer : public Placer {
 public:
  ScanPlacer(const Fleet& fleet, std::uint64_t seed, PlacerType type)
      : type_(type), random_(seed), workers_(fleet.workers) {
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      free_.push_back(workers_[i].capacity);
      by_id_.emplace(workers_[i].id, i);
    }
  }

  std::vector<WorkerId> Choose(const placement::Demand& demand, TimePoint /*now*/) override {
    std::vector<std::size_t> chosen;
    while (chosen.size() < demand.tasks) {
      const auto worker = PickOne(demand.per_task);
      if (!worker) break;
      free_[*worker] -= demand.per_task;
      chosen.push_back(*worker);
    }
    for (const std::size_t worker : chosen) free_[worker] += demand.per_task;
    std::vector<WorkerId> ids;
    if (chosen.size() < demand.tasks) return ids;
    for (const std::size_t worker : chosen) ids.push_back(workers_[worker].id);
    return ids;
  }

  void Charge(FencingToken token, const WorkerId& worker, const Resources& resources,
              TimePoint /*expected_end*/) override {
    const std::size_t i = by_id_.at(worker);
    free_[i] -= resources;
    charges_.emplace(token, std::pair{i, resources});
  }

  void Release(FencingToken token) override {
    const auto it = charges_.find(token);
    free_[it->second.first] += it->second.second;
    charges_.erase(it);
  }

 private:
  std::optional<std::size_t> PickOne(const Resources& size) {
    if (type_ == PlacerType::kFirstFit) return FirstFrom(0, size);
    const auto a = FirstFrom(random_() % free_.size(), size);
    if (!a) return std::nullopt;
    const auto b = FirstFrom(random_() % free_.size(), size);
    return free_[*a].slots >= free_[*b].slots ? a : b;
  }

  std::optional<std::size_t> FirstFrom(std::size_t start, const Resources& size) const {
    for (std::size_t n = 0; n < free_.size(); ++n) {
      const std::size_t i = (start + n) % free_.size();
      if (size.FitsInto(free_[i])) return i;
    }
    return std::nullopt;
  }

  PlacerType type_;
  Random random_;
  std::vector<placement::WorkerSpec> workers_;
  std::vector<Resources> free_;
  std::unordered_map<WorkerId, std::size_t> by_id_;
  std::unordered_map<FencingToken, std::pair<std::size_t, Resources>> charges_;
};

}  // namespace

std::string_view PlacerName(PlacerType type) {
  constexpr std::array<std::string_view, 3> kNames = {"parsleyline", "first_fit", "random_of_two"};
  return kNames.at(static_cast<std::size_t>(type));
}

std::unique_ptr<Placer> MakePlacer(PlacerType type, const Fleet& fleet, std::uint64_t seed) {
  if (type == PlacerType::kParsleyline) return std::make_unique<ParsleylinePlacer>(fleet, seed);
  return std::make_unique<ScanPlacer>(fleet, seed, type);
}

placement::Demand DemandOf(const queue::QueuedRequest& request) {
  return {request.kind, request.per_task, request.tasks, request.estimate, request.id};
}

}  // namespace parsleyline::bench
