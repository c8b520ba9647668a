#include <cstdio>

#include "bench/placement/commands.h"
#include "bench/placement/simulation.h"
#include "queue/ordering.h"

namespace parsleyline::bench {

namespace {

constexpr std::chrono::seconds kWarmUp{20};
constexpr std::chrono::seconds kLength{120};

std::vector<Job> BaseLoadJobs(const Fleet& fleet, double load, std::uint64_t seed) {
  Random random(seed);
  std::vector<Job> jobs;
  for (const ArrivalStream& stream : BaseLoadStreams(fleet, load, kLength)) {
    AddArrivals(stream, &random, &jobs);
  }
  SortAndNumber(&jobs);
  return jobs;
}

void PrintWaitHeader() {
  std::printf(
      "| fleet | load | system | service p50 / p99 ms | batch p50 / p99 ms | gang p50 / p99 ms | "
      "fleet used | not served |\n|---|---|---|---|---|---|---|---|\n");
}

void PrintWaits(const Fleet& fleet, double load, const System& system, const std::vector<Job>& jobs,
                std::uint64_t seed) {
  const SimulationResult result = Simulate(fleet, system, jobs, seed);
  std::printf("| %s | %.0f%% | %s |", fleet.name.c_str(), load * 100, system.name.c_str());
  for (const Kind kind : kAllKinds) {
    auto waits = Waits(result, kWarmUp, kLength,
                       [kind](const Job& job) { return job.request.kind == kind; });
    std::printf(" %.1f / %.1f |", Quantile(&waits, 0.5), Quantile(&waits, 0.99));
  }
  std::size_t unserved = 0;
  for (const JobRecord& record : result.records) unserved += record.started ? 0 : 1;
  const auto all = [](const Job&) { return true; };
  std::printf(" %.1f%% | %.1f%% |\n", 100 * UsedShare(result, fleet.Total(), kWarmUp, kLength, all),
              100.0 * static_cast<double>(unserved) / static_cast<double>(jobs.size()));
}

}  // namespace

void MeasureWaits(std::uint64_t seed) {
  PrintWaitHeader();
  for (const Fleet& fleet : {VanuaFleet(), FichasFleet()}) {
    for (const double load : {0.5, 0.8, 0.95}) {
      const std::vector<Job> jobs = BaseLoadJobs(fleet, load, seed);
      PrintWaits(fleet, load, ParsleylineSystem(fleet.floors_permille), jobs, seed);
      for (const System& system : BaselineSystems()) PrintWaits(fleet, load, system, jobs, seed);
    }
  }
}

namespace {
// Returns one system for each ordering. The service reserve belongs to the queue, so it applies to
// all of them.
std::vector<System> OrderingSystems(const Fleet& fleet) {
  std::vector<System> systems(4, ParsleylineSystem(fleet.floors_permille));
  systems[0].name = "weighted_shares";
  systems[1].name = "strict_tiers";
  systems[1].ordering = queue::MakeStrictTiers;
  systems[2].name = "arrival_bump";
  systems[2].ordering = queue::MakeArrivalBump;
  systems[3].name = "earliest_deadline";
  systems[3].ordering = queue::MakeEarliestDeadline;
  return systems;
}
}  // namespace

void MeasureOrderings(std::uint64_t seed) {
  PrintWaitHeader();
  for (const Fleet& fleet : {VanuaFleet(), FichasFleet()}) {
    for (const double load : {0.8, 0.95, 1.3}) {
      const std::vector<Job> jobs = BaseLoadJobs(fleet, load, seed);
      for (const System& system : OrderingSystems(fleet)) {
        PrintWaits(fleet, load, system, jobs, seed);
      }
    }
  }
  PrintFloodHeader();
  for (const Fleet& fleet : {VanuaFleet(), FichasFleet()}) {
    PrintFloods(fleet, OrderingSystems(fleet), seed);
  }
}

}  // namespace parsleyline::bench
