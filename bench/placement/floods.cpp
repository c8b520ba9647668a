#include <cstdio>

#include "bench/placement/commands.h"
#include "bench/placement/simulation.h"

namespace parsleyline::bench {

namespace {

constexpr std::chrono::seconds kFloodStart{30};
constexpr std::chrono::seconds kFloodEnd{60};
constexpr std::chrono::seconds kLength{120};
constexpr double kBaseLoad = 0.7;
constexpr double kFloodFactor = 10;
constexpr int kTeams = 20;

/// A flood raises the arrival rate of one kind tenfold. The additional work belongs to a range of
/// teams.
struct Flood {
  const char* name;
  Kind kind;
  int first_team;
  int teams;
};

// Teams with numbers of kTeams and above have no other work.
constexpr std::array<Flood, 4> kFloods = {{{"below, one team", Kind::kBatch, kTeams, 1},
                                           {"below, all teams", Kind::kBatch, 0, kTeams},
                                           {"above, one team", Kind::kService, kTeams, 1},
                                           {"above, all teams", Kind::kService, 0, kTeams}}};

std::vector<Job> Jobs(const Fleet& fleet, const Flood* flood, std::uint64_t seed) {
  Random random(seed);
  std::vector<Job> jobs;
  const auto calm = BaseLoadStreams(fleet, kBaseLoad, kLength);
  for (const ArrivalStream& stream : calm) AddArrivals(stream, &random, &jobs);
  if (flood != nullptr) {
    ArrivalStream stream = calm.at(static_cast<std::size_t>(flood->kind));
    stream.per_second *= kFloodFactor - 1;
    stream.first_team = flood->first_team;
    stream.teams = flood->teams;
    stream.start = kFloodStart;
    stream.end = kFloodEnd;
    stream.is_flood = true;
    AddArrivals(stream, &random, &jobs);
  }
  SortAndNumber(&jobs);
  return jobs;
}

bool IsOtherServiceJob(const Job& job) {
  return !job.is_flood && job.request.kind == Kind::kService;
}

// Returns a filter for the jobs that the flood should not affect. With a flood by all teams, other
// jobs of the same kind are queued behind those of the flood, so only other kinds count.
std::function<bool(const Job&)> OtherWork(const Flood& flood) {
  const bool by_all = flood.first_team == 0;
  return [kind = flood.kind, by_all](const Job& job) {
    return !job.is_flood && (!by_all || job.request.kind != kind);
  };
}

double P99(const SimulationResult& result, Duration from, Duration to,
           const std::function<bool(const Job&)>& filter) {
  auto waits = Waits(result, from, to, filter);
  return Quantile(&waits, 0.99);
}

// Returns the time from the end of the flood until the p99 wait of other work that arrives within
// two seconds is at most twice the p99 wait without a flood, or at most 100 ms; -1 if never.
double SecondsUntilRecovery(const SimulationResult& result, const SimulationResult& calm,
                            const std::function<bool(const Job&)>& other) {
  constexpr std::chrono::seconds kWindow{2};
  const double bound = std::max(100.0, 2 * P99(calm, kFloodStart, kFloodEnd, other));
  for (Duration at = kFloodEnd; at + kWindow <= kLength; at += std::chrono::milliseconds(500)) {
    if (P99(result, at, at + kWindow, other) > bound) continue;
    return std::chrono::duration<double>(at - kFloodEnd).count();
  }
  return -1;
}

void MeasureOne(const Fleet& fleet, const Flood& flood, const System& system,
                const SimulationResult& calm, std::uint64_t seed) {
  const auto flood_jobs = Jobs(fleet, &flood, seed);
  const auto result = Simulate(fleet, system, flood_jobs, seed);
  const auto other = OtherWork(flood);
  const auto shares = [&](const std::function<bool(const Job&)>& filter) {
    return std::pair{UsedShare(calm, fleet.Total(), kFloodStart, kFloodEnd, filter),
                     UsedShare(result, fleet.Total(), kFloodStart, kFloodEnd, filter)};
  };
  const auto [share_calm, share_flood] = shares(other);
  const bool is_flood_of_all_services = flood.kind == Kind::kService && flood.first_team == 0;
  std::printf("| %s | %s | %s | %.1f%% | %.1f%% | %.1f%% |", fleet.name.c_str(), flood.name,
              system.name.c_str(), 100 * share_calm, 100 * share_flood,
              100 * share_flood / share_calm);
  if (is_flood_of_all_services) {
    std::printf(" - |");
  } else {
    std::printf(" %.1f / %.1f |", P99(calm, kFloodStart, kFloodEnd, IsOtherServiceJob),
                P99(result, kFloodStart, kFloodEnd, IsOtherServiceJob));
  }
  std::printf(" %.1f / %.1f |", P99(calm, kFloodStart, kFloodEnd, other),
              P99(result, kFloodStart, kFloodEnd, other));
  std::printf(" %.1f |\n", SecondsUntilRecovery(result, calm, other));
}

}  // namespace

void PrintFloodHeader() {
  std::printf(
      "| fleet | flood | system | other work, calm | in the flood | kept | lookups p99 ms calm / "
      "flood | other work p99 ms calm / flood | s until calm |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
}

void PrintFloods(const Fleet& fleet, const std::vector<System>& systems, std::uint64_t seed) {
  const auto calm_jobs = Jobs(fleet, nullptr, seed);
  for (const System& system : systems) {
    const auto calm = Simulate(fleet, system, calm_jobs, seed);
    for (const Flood& flood : kFloods) MeasureOne(fleet, flood, system, calm, seed);
  }
}

void MeasureFloods(std::uint64_t seed) {
  PrintFloodHeader();
  for (const Fleet& fleet : {VanuaFleet(), FichasFleet()}) {
    std::vector<System> systems = BaselineSystems();
    systems.insert(systems.begin(), ParsleylineSystem(fleet.floors_permille));
    PrintFloods(fleet, systems, seed);
  }
}

}  // namespace parsleyline::bench
