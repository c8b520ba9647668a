#include <chrono>
#include <cstdio>
#include <deque>

#include "bench/placement/commands.h"
#include "bench/placement/placers.h"

namespace parsleyline::bench {

namespace {

using Wall = std::chrono::steady_clock;

constexpr int kDecisions = 60000;

double Micros(Wall::duration d) { return std::chrono::duration<double, std::micro>(d).count(); }

// Keeps a constant number of tasks running: each decision ends as many random tasks as it starts.
class SteadyLoad {
 public:
  SteadyLoad(PlacerType type, const Fleet& fleet, std::uint64_t seed, std::size_t running)
      : random_(seed), placer_(MakePlacer(type, fleet, seed)), target_(running) {
    for (int tries = 0; tokens_.size() < target_ && tries < 20 * static_cast<int>(target_);
         ++tries) {
      PlaceDemand(DrawDemand(true));
    }
  }

  // Makes one decision. Returns the time of the choice alone, without charges and releases.
  Wall::duration Step() {
    const placement::Demand demand = DrawDemand(false);
    while (tokens_.size() + demand.tasks > target_ && !tokens_.empty()) End();
    now_ += Milliseconds(1);
    return PlaceDemand(demand);
  }

  int rejected() const { return rejected_; }
  std::size_t running() const { return tokens_.size(); }

 private:
  placement::Demand DrawDemand(bool single) {
    const auto dice = random_() % 100;
    const Kind kind = dice < 50 ? Kind::kService : dice < 95 || single ? Kind::kBatch : Kind::kGang;
    Job job = DrawJob(kind, &random_);
    // Every tenth batch task needs an accelerator.
    if (kind == Kind::kBatch && random_() % 10 == 0) {
      job.request.per_task.accelerators = Accelerators(1);
    }
    job.request.id = RequestId("job" + std::to_string(++jobs_));
    return DemandOf(job.request);
  }

  Wall::duration PlaceDemand(const placement::Demand& demand) {
    const auto start = Wall::now();
    const auto workers = placer_->Choose(demand, now_);
    const auto time = Wall::now() - start;
    if (workers.empty()) {
      ++rejected_;
      // Drops the reservation, because the gang is not offered again and would block other gangs.
      placer_->DropReservation(demand.job);
    }
    for (const auto& worker : workers) {
      placer_->Charge(FencingToken(++last_token_), worker, demand.per_task, now_ + demand.estimate);
      tokens_.emplace_back(last_token_);
    }
    return time;
  }

  void End() {
    std::swap(tokens_[random_() % tokens_.size()], tokens_.back());
    placer_->Release(tokens_.back());
    tokens_.pop_back();
  }

  Random random_;
  std::unique_ptr<Placer> placer_;
  std::size_t target_;
  TimePoint now_{std::chrono::hours(1)};
  std::deque<FencingToken> tokens_;
  std::uint64_t last_token_ = 0;
  std::uint64_t jobs_ = 0;
  int rejected_ = 0;
};

void MeasureOne(PlacerType type, int workers, double fill, std::uint64_t seed) {
  SteadyLoad load(type, MixedFleet(workers), seed, static_cast<std::size_t>(workers * fill));
  const int rejected_before = load.rejected();
  std::vector<double> times;
  times.reserve(kDecisions);
  const auto start = Wall::now();
  for (int i = 0; i < kDecisions; ++i) times.push_back(Micros(load.Step()));
  const double seconds = std::chrono::duration<double>(Wall::now() - start).count();
  const double p50 = Quantile(&times, 0.5);
  const double p99 = Quantile(&times, 0.99);
  const double p999 = Quantile(&times, 0.999);
  std::printf("| %s | %d | %zu | %.1f | %.1f | %.1f | %.0f | %.1f%% |\n", PlacerName(type).data(),
              workers, load.running(), p50, p99, p999, kDecisions / seconds,
              100.0 * (load.rejected() - rejected_before) / kDecisions);
}

}  // namespace

// Decisions per second include the choice, the charges and the releases.
void MeasureDecisions(std::uint64_t seed) {
  std::printf(
      "| placement | workers | running tasks | p50 us | p99 us | p99.9 us | decisions/s | no room "
      "|\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (const double fill : {5.0, 7.5, 8.0}) {
    for (const int workers : {48, 500, 2000}) {
      for (const PlacerType type : kAllPlacers) MeasureOne(type, workers, fill, seed);
    }
  }
}

}  // namespace parsleyline::bench
