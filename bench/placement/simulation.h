#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "bench/placement/placers.h"
#include "bench/placement/workload.h"

namespace parsleyline::bench {

/// A queue and a placement algorithm that are measured together.
struct System {
  std::string name;
  PlacerType placer = PlacerType::kParsleyline;
  /// Creates the ordering of the queue. Empty for a FIFO queue, in which a request that does not
  /// fit blocks all later ones.
  std::function<std::unique_ptr<queue::Ordering>()> ordering;
  queue::QueuePolicy policy;
};

/// Returns the queue and placement of parsleyline, with these floors indexed by Kind.
System ParsleylineSystem(std::array<std::uint32_t, 3> floors_permille);

/// Returns a FIFO queue with first-fit placement, and queues by team and kind in order of arrival
/// with first-fit and with random-of-two placement.
std::vector<System> BaselineSystems();

/// Outcome of one job.
struct JobRecord {
  const Job* job = nullptr;
  /// Empty if the job was rejected or its deadline passed.
  std::optional<TimePoint> started;
  bool rejected = false;

  /// Returns the time from the arrival to the start, or to the deadline if the job did not start.
  /// Zero if the job was rejected.
  double WaitMs() const;
};

struct SimulationResult {
  std::vector<JobRecord> records;
  /// Longest wall time of one dispatch.
  std::chrono::nanoseconds longest_dispatch{0};
};

/// Simulates the arrivals, the queue, the placement and the ends of jobs in virtual time. `jobs`
/// must be sorted by arrival.
SimulationResult Simulate(const Fleet& fleet, const System& system, const std::vector<Job>& jobs,
                          std::uint64_t seed);

/// Prints the header of the table of floods.
void PrintFloodHeader();

/// Measures and prints one row for each flood and system.
void PrintFloods(const Fleet& fleet, const std::vector<System>& systems, std::uint64_t seed);

/// Start of virtual time.
TimePoint Origin();

/// Returns the waits in milliseconds of the accepted jobs that arrived in [from, to) and pass the
/// filter.
std::vector<double> Waits(const SimulationResult& result, Duration from, Duration to,
                          const std::function<bool(const Job&)>& filter);

/// Returns the average dominant share of the fleet, without accelerators, that the jobs that pass
/// the filter used in [from, to).
double UsedShare(const SimulationResult& result, const Resources& fleet, Duration from, Duration to,
                 const std::function<bool(const Job&)>& filter);

}  // namespace parsleyline::bench
