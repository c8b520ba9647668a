#include <cstdio>

#include "bench/placement/commands.h"
#include "bench/placement/simulation.h"

namespace parsleyline::bench {

namespace {

// Returns a job with tasks of very different sizes, which are hard to pack. On a fleet with
// accelerators, one batch task in ten needs one.
Job DrawPackingJob(Kind kind, const Resources& fleet, Random* random) {
  Job job = DrawJob(kind, random);
  constexpr std::array<std::int64_t, 5> kCores = {1, 2, 4, 8, 16};
  if (kind == Kind::kBatch) {
    const std::int64_t cores = kCores.at((*random)() % kCores.size());
    const std::int64_t gib = 1 + static_cast<std::int64_t>((*random)() % 32);
    const bool accelerated = fleet.accelerators.count() > 0 && (*random)() % 10 == 0;
    job.request.per_task = Size(cores * 1000, gib * 1024, accelerated ? 1 : 0);
  } else if (kind == Kind::kGang) {
    job.request.per_task = Size(8000, 16384);
  }
  return job;
}

double Fraction(std::int64_t used, std::int64_t total) {
  return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
}

// Returns the largest used fraction over the resources.
double LargestUsedFraction(const Resources& used, const Resources& fleet) {
  return std::max({Fraction(used.cpu.count(), fleet.cpu.count()),
                   Fraction(used.memory.count(), fleet.memory.count()),
                   Fraction(used.accelerators.count(), fleet.accelerators.count()),
                   Fraction(used.slots.count(), fleet.slots.count())});
}

// Returns jobs in random order that together need the whole fleet's capacity of the resource that
// they need most. All of them would fit, up to the last one, if tasks could be split over workers.
std::vector<Job> Jobs(const Fleet& fleet, Random* random) {
  constexpr std::array kMix = {Kind::kService, Kind::kBatch, Kind::kBatch, Kind::kBatch,
                               Kind::kBatch,   Kind::kBatch, Kind::kBatch, Kind::kGang};
  const Resources total = fleet.Total();
  std::vector<Job> jobs;
  Resources needed;
  while (LargestUsedFraction(needed, total) < 1) {
    Job job = DrawPackingJob(kMix.at((*random)() % kMix.size()), total, random);
    for (std::uint32_t i = 0; i < job.request.tasks; ++i) needed += job.request.per_task;
    job.request.id = RequestId("job" + std::to_string(jobs.size()));
    jobs.push_back(std::move(job));
  }
  return jobs;
}

// Tries to place each job once. Returns the used fraction of the scarcest resource.
double Fill(const Fleet& fleet, PlacerType type, const std::vector<Job>& jobs, std::uint64_t seed) {
  const auto placer = MakePlacer(type, fleet, seed);
  Resources used;
  std::uint64_t token = 0;
  for (const Job& job : jobs) {
    const auto workers = placer->Choose(DemandOf(job.request), Origin());
    if (workers.empty()) placer->DropReservation(job.request.id);
    for (const WorkerId& worker : workers) {
      placer->Charge(FencingToken(++token), worker, job.request.per_task, TimePoint::max());
      used += job.request.per_task;
    }
  }
  return LargestUsedFraction(used, fleet.Total());
}

}  // namespace

void MeasurePacking(std::uint64_t seed) {
  constexpr std::uint64_t kRounds = 20;
  std::printf(
      "| fleet | placement | packed fraction of the bound, mean of %d | lowest |\n"
      "|---|---|---|---|\n",
      static_cast<int>(kRounds));
  for (const Fleet& fleet : {VanuaFleet(), FichasFleet(), MixedFleet(500), MixedFleet(2000)}) {
    for (const PlacerType type : kAllPlacers) {
      double sum = 0;
      double lowest = 1;
      for (std::uint64_t round = 0; round < kRounds; ++round) {
        Random random(seed * kRounds + round);
        const double packed = Fill(fleet, type, Jobs(fleet, &random), seed + round);
        sum += packed;
        lowest = std::min(lowest, packed);
      }
      std::printf("| %s | %s | %.1f%% | %.1f%% |\n", fleet.name.c_str(), PlacerName(type).data(),
                  100 * sum / kRounds, 100 * lowest);
    }
  }
}

}  // namespace parsleyline::bench
