#include <cstdio>

#include "bench/placement/commands.h"
#include "bench/placement/simulation.h"

namespace parsleyline::bench {

namespace {

constexpr std::chrono::seconds kFirstGang{30};
constexpr std::chrono::seconds kBetweenGangs{15};
constexpr std::chrono::seconds kLength{270};

// Returns more batch work than the fleet can run, and one gang with this number of tasks every 15
// s.
std::vector<Job> Jobs(const Fleet& fleet, std::uint32_t tasks, std::uint64_t seed) {
  Random random(seed);
  std::vector<Job> jobs;
  ArrivalStream batch;
  batch.per_second = 1.2 / MeanShareSeconds(Kind::kBatch, fleet.Total());
  batch.end = kLength;
  AddArrivals(batch, &random, &jobs);
  for (Duration at = kFirstGang; at + kBetweenGangs < kLength; at += kBetweenGangs) {
    Job gang = DrawJob(Kind::kGang, &random);
    gang.request.per_task = Size(4000, 4096);
    gang.request.tasks = tasks;
    gang.request.team = TeamId("gangs");
    gang.request.enqueued = Origin() + at;
    gang.request.deadline = gang.request.enqueued + std::chrono::seconds(120);
    gang.run_time = std::chrono::seconds(2);
    gang.request.estimate = Milliseconds(2000);
    jobs.push_back(std::move(gang));
  }
  SortAndNumber(&jobs);
  return jobs;
}

void MeasureOne(const Fleet& fleet, std::uint32_t tasks, const System& system, std::uint64_t seed) {
  const auto jobs = Jobs(fleet, tasks, seed);
  const auto result = Simulate(fleet, system, jobs, seed);
  const auto gangs = [](const Job& job) { return job.request.kind == Kind::kGang; };
  int started = 0;
  int total = 0;
  for (const JobRecord& record : result.records) {
    if (!gangs(*record.job)) continue;
    ++total;
    started += record.started ? 1 : 0;
  }
  auto waits = Waits(result, kFirstGang, kLength, gangs);
  const double p50 = Quantile(&waits, 0.5);
  const double longest = Quantile(&waits, 1.0);
  const double used = UsedShare(result, fleet.Total(), kFirstGang, kLength - kBetweenGangs,
                                [](const Job&) { return true; });
  std::printf("| %s | %u | %s | %d of %d | %.0f | %.0f | %.1f%% |\n", fleet.name.c_str(), tasks,
              system.name.c_str(), started, total, p50, longest, 100 * used);
}

}  // namespace

// The wait of a gang that does not start counts as its timeout of 120 s.
void MeasureGangs(std::uint64_t seed) {
  std::printf(
      "| fleet | tasks | system | started | p50 ms | longest ms | fleet used |\n"
      "|---|---|---|---|---|---|---|\n");
  for (const Fleet& fleet : {VanuaFleet(), FichasFleet()}) {
    for (const std::uint32_t tasks : {4U, 8U, 16U, 32U, 64U}) {
      MeasureOne(fleet, tasks, ParsleylineSystem(fleet.floors_permille), seed);
      for (const System& system : BaselineSystems()) MeasureOne(fleet, tasks, system, seed);
    }
  }
}

}  // namespace parsleyline::bench
