#pragma once

#include <random>
#include <string>
#include <vector>

#include "placement/placement.h"
#include "queue/fair_queue.h"

namespace parsleyline::bench {

using Random = std::mt19937_64;

/// Returns the resources of one task: processors in thousandths of a core, memory in MiB, and one
/// slot.
Resources Size(std::int64_t cpu, std::int64_t memory, std::int64_t accelerators = 0);

/// A fleet of workers as described on the design page, with the mix of work that its user runs.
struct Fleet {
  std::string name;
  std::vector<placement::WorkerSpec> workers;
  /// Fractions of the load (dominant share) by kind; their sum is 1.
  std::array<double, 3> load_fractions;
  /// Floors by kind that an operator would set for this mix.
  std::array<std::uint32_t, 3> floors_permille;

  Resources Total() const;
};

/// Fleet of the user Vanua: 48 workers with 64 cores and 128 GiB, eight per rack. Many gangs.
Fleet VanuaFleet();

/// Fleet of the user Fichas: 48 workers with 32 cores and 128 GiB, six per rack. Many service
/// requests and batch jobs.
Fleet FichasFleet();

/// `n` workers of three sizes, a tenth of them with accelerators.
Fleet MixedFleet(int n);

/// One request with its actual run time, which differs from the declared one.
struct Job {
  queue::QueuedRequest request;
  Duration run_time{0};
  /// Set on requests that belong to the flood.
  bool is_flood = false;
};

/// Draws the size, number of tasks and run time of one job of a kind.
Job DrawJob(Kind kind, Random* random);

/// Returns the mean, over jobs of the kind, of the dominant share of the fleet times the run time
/// in seconds.
double MeanShareSeconds(Kind kind, const Resources& fleet);

/// Arrivals of jobs of one kind from a range of teams.
struct ArrivalStream {
  Kind kind = Kind::kBatch;
  /// Arrival rate of all teams together.
  double per_second = 0;
  int first_team = 0;
  int teams = 20;
  Duration start{0};
  Duration end{0};
  bool is_flood = false;
};

/// Adds Poisson arrivals of a stream to `jobs`.
void AddArrivals(const ArrivalStream& stream, Random* random, std::vector<Job>* jobs);

/// Returns a stream for each kind, without a flood, that together use `load` of the fleet's
/// dominant resource.
std::vector<ArrivalStream> BaseLoadStreams(const Fleet& fleet, double load, Duration length);

/// Sorts the jobs by arrival and assigns the request ids.
void SortAndNumber(std::vector<Job>* jobs);

/// Returns the value below which the fraction `part` of the values lies; 0 if there are none.
/// Reorders the values.
double Quantile(std::vector<double>* values, double part);

}  // namespace parsleyline::bench
