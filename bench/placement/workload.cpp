#include "bench/placement/workload.h"

#include <algorithm>
#include <cmath>

namespace parsleyline::bench {

namespace {

constexpr std::int64_t kSlotsPerWorker = 8;

void AddWorkers(Fleet* fleet, int n, int per_rack, Resources capacity) {
  capacity.slots = Slots(kSlotsPerWorker);
  const auto first = static_cast<int>(fleet->workers.size());
  for (int i = first; i < first + n; ++i) {
    fleet->workers.push_back({WorkerId("w" + std::to_string(i)),
                              RackId("rack" + std::to_string(i / per_rack)), capacity});
  }
}

template <typename T>
T Pick(std::initializer_list<T> values, Random* random) {
  return *(values.begin() + (*random)() % values.size());
}

// Returns an exponentially distributed time, limited to between 0.1 and 4 times the mean.
Milliseconds DrawTime(double mean_ms, Random* random) {
  std::exponential_distribution<double> distribution(1.0);
  return Milliseconds(std::llround(mean_ms * std::clamp(distribution(*random), 0.1, 4.0)));
}

}  // namespace

Resources Size(std::int64_t cpu, std::int64_t memory, std::int64_t accelerators) {
  return {MilliCpu(cpu), Mebibytes(memory), Accelerators(accelerators), Slots(1)};
}

Resources Fleet::Total() const {
  Resources total;
  for (const auto& worker : workers) total += worker.capacity;
  return total;
}

Fleet VanuaFleet() {
  Fleet fleet{"vanua", {}, {0.20, 0.35, 0.45}, {300, 250, 300}};
  AddWorkers(&fleet, 48, 8, Size(64000, 131072));
  return fleet;
}

Fleet FichasFleet() {
  Fleet fleet{"fichas", {}, {0.35, 0.55, 0.10}, {450, 400, 100}};
  AddWorkers(&fleet, 48, 6, Size(32000, 131072));
  return fleet;
}

Fleet MixedFleet(int n) {
  Fleet fleet{"mixed" + std::to_string(n), {}, {0.20, 0.60, 0.20}, {300, 300, 300}};
  AddWorkers(&fleet, n * 7 / 10, 8, Size(64000, 131072));
  AddWorkers(&fleet, n * 2 / 10, 8, Size(32000, 131072));
  AddWorkers(&fleet, n - n * 7 / 10 - n * 2 / 10, 8, Size(64000, 262144, 4));
  return fleet;
}

Job DrawJob(Kind kind, Random* random) {
  Job job;
  queue::QueuedRequest& request = job.request;
  request.kind = kind;
  double mean_ms = 0;
  if (kind == Kind::kService) {
    request.per_task = Size(Pick({500, 1000, 2000}, random), Pick({256, 512, 1024}, random));
    mean_ms = 60;
  } else if (kind == Kind::kBatch) {
    request.per_task = Size(Pick({1000, 2000, 4000, 8000}, random),
                            Pick({2048, 4096, 8192, 16384, 24576}, random));
    mean_ms = 6000;
  } else {
    request.per_task = Size(Pick({2000, 4000, 8000}, random), Pick({2048, 4096, 8192}, random));
    request.tasks = Pick({4U, 6U, 8U, 12U, 16U}, random);
    mean_ms = 5000;
  }
  const Milliseconds run_time = DrawTime(mean_ms, random);
  job.run_time = run_time;
  // The declared run time is up to three times too long or too short.
  std::uniform_real_distribution<double> error(-1.0, 1.0);
  request.estimate = Milliseconds(
      std::llround(static_cast<double>(run_time.count()) * std::pow(3.0, error(*random))) + 1);
  return job;
}

double MeanShareSeconds(Kind kind, const Resources& fleet) {
  constexpr int kSamples = 20000;
  Random random(7);
  double cpu = 0;
  double memory = 0;
  double slots = 0;
  for (int i = 0; i < kSamples; ++i) {
    const Job job = DrawJob(kind, &random);
    const double seconds = std::chrono::duration<double>(job.run_time).count() * job.request.tasks;
    cpu += static_cast<double>(job.request.per_task.cpu.count()) * seconds;
    memory += static_cast<double>(job.request.per_task.memory.count()) * seconds;
    slots += seconds;
  }
  return std::max({cpu / static_cast<double>(fleet.cpu.count()),
                   memory / static_cast<double>(fleet.memory.count()),
                   slots / static_cast<double>(fleet.slots.count())}) /
         kSamples;
}

void AddArrivals(const ArrivalStream& stream, Random* random, std::vector<Job>* jobs) {
  std::exponential_distribution<double> gap(stream.per_second);
  const TimePoint origin(std::chrono::hours(1));
  double seconds = std::chrono::duration<double>(stream.start).count();
  const double end = std::chrono::duration<double>(stream.end).count();
  for (seconds += gap(*random); seconds < end; seconds += gap(*random)) {
    Job job = DrawJob(stream.kind, random);
    const auto team = stream.first_team + static_cast<int>((*random)() % stream.teams);
    job.request.team = TeamId("team" + std::to_string(team));
    job.request.enqueued =
        origin + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    // Callers of services wait for seconds, callers of other work for minutes.
    job.request.deadline =
        job.request.enqueued + std::chrono::seconds(stream.kind == Kind::kService ? 10 : 300);
    job.is_flood = stream.is_flood;
    jobs->push_back(std::move(job));
  }
}

std::vector<ArrivalStream> BaseLoadStreams(const Fleet& fleet, double load, Duration length) {
  std::vector<ArrivalStream> streams;
  for (const Kind kind : kAllKinds) {
    ArrivalStream stream;
    stream.kind = kind;
    const double part = fleet.load_fractions.at(static_cast<std::size_t>(kind));
    stream.per_second = load * part / MeanShareSeconds(kind, fleet.Total());
    stream.end = length;
    streams.push_back(stream);
  }
  return streams;
}

void SortAndNumber(std::vector<Job>* jobs) {
  std::sort(jobs->begin(), jobs->end(),
            [](const Job& a, const Job& b) { return a.request.enqueued < b.request.enqueued; });
  std::size_t n = 0;
  for (Job& job : *jobs) job.request.id = RequestId("bench-" + std::to_string(++n));
}

double Quantile(std::vector<double>* values, double part) {
  if (values->empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(part * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(), values->begin() + at, values->end());
  return (*values)[static_cast<std::size_t>(at)];
}

}  // namespace parsleyline::bench
