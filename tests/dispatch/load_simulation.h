#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/coordinator.h"

namespace parsleyline::dispatch {

/// One kind of job in a simulated load.
struct LoadClass {
  std::string queue;
  std::uint32_t priority = 0;
  /// Jobs a second.
  double rate = 1;
  std::uint32_t steps = 1;
  double mean_tasks = 4;
  /// Spread of the logarithm of the number of tasks.
  double width_spread = 0.5;
  double mean_cpu = 4000;
  double mean_ms = 1000;
  /// Declared times are off by up to this share, up or down.
  double estimate_error = 0.5;
  bool gang = false;
  double slack_factor = 2;
  std::int64_t latency_target_ms = 1000;
  double advice_ms = 20;
  double advice_ms_per_worker = 0.2;
  /// Share of the workers that the advisor approves for a step.
  double approved = 0.5;
  /// Share of the runs that fail by their own fault.
  double failing = 0.02;
  /// From `burst_at_ms` for `burst_ms` the rate is this many times as high.
  double burst = 1;
  std::int64_t burst_at_ms = 0;
  std::int64_t burst_ms = 0;
};

struct LoadSetup {
  std::uint64_t seed = 1;
  std::int64_t length_ms = 20'000;
  std::size_t workers = 48;
  std::int64_t worker_cpu = 64'000;
  /// Every so many-th worker is slower by `slow_factor`.
  std::size_t slow_every = 3;
  double slow_factor = 1.3;
  /// Workers of this number, from the first on, fail everything that they start.
  std::size_t failing_workers = 0;
  /// Workers of this number, from the last on, let tasks stand still.
  std::size_t hanging_workers = 0;
  std::size_t callers = 12;
  std::vector<LoadClass> classes;
  Policy policy;
};

struct ClassResult {
  std::uint32_t submitted = 0;
  std::uint32_t rejected = 0;
  std::uint32_t in_time = 0;
  /// Within three times the objective.
  std::uint32_t late = 0;
  std::uint32_t failed = 0;

  /// Accepted, and not done while it counted.
  std::uint32_t Lost() const { return submitted - rejected - in_time - late - failed; }
  double InTimeShare() const {
    return submitted == 0 ? 1 : static_cast<double>(in_time) / submitted;
  }
};

struct LoadResult {
  std::map<std::string, ClassResult> classes;
  /// The same for jobs of more than twice the mean number of tasks.
  std::map<std::string, ClassResult> wide;
  double wasted_core_seconds = 0;
  /// Most that any worker was charged beyond its capacity, in thousandths of a core.
  std::int64_t overcharged = 0;
  std::uint32_t double_runs = 0;
  std::uint64_t starts = 0;
};

/// Runs a coordinator in virtual time against emulated workers, an emulated advisor and seeded
/// arrivals. The same setup always gives the same result.
class LoadSimulation : public Outbox {
 public:
  explicit LoadSimulation(LoadSetup setup);
  LoadResult Run();

  void SendStart(const StartOrder& order) override;
  void SendStop(const StopOrder& order) override;
  void SendHold(const HoldOrder& order) override;
  void QueryAdvisor(const NodeId& caller, const AdvisorQuery& query) override;
  ProposalResult Propose(const job::CommandBatch& batch) override;
  void RequestSchedulingPass() override;

 private:
  struct SimRun {
    Resources demand;
    std::size_t class_index = 0;
    bool gang = false;
    bool working = false;
    std::int64_t begun = 0;
    std::int64_t length = 0;
    bool fails = false;
  };
  struct SimWorker {
    WorkerId id;
    bool fails = false;
    bool hangs = false;
    double slowness = 1;
    std::map<job::RunKey, SimRun> runs;
    std::vector<FinishedRun> ends;
    std::uint64_t last_end = 0;
    /// Hold that waits for an end.
    std::shared_ptr<HoldOrder> waiting;
  };

  void At(std::int64_t ms, std::function<void()> action);
  void Announce(const SimWorker& worker);
  void Arrive(std::size_t class_index);
  void CountEnd(const job::JobId& job, ClassResult* result) const;
  void Begin(const job::RunKey& key, SimWorker* worker);
  void BeginGang(const job::StepKey& step, job::RunNumber run);
  void End(SimWorker* worker, const job::RunKey& key, job::RunEnd end);
  void AnswerHold(SimWorker* worker, const HoldOrder& order);
  SimWorker* Find(const WorkerId& id);
  std::int64_t Now() const;
  std::size_t ClassOf(const job::JobId& job) const { return class_of_.at(job); }

  struct Later {
    std::int64_t at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator>(const Later& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  const LoadSetup setup_;
  ManualClock clock_;
  job::CellState book_;
  std::unique_ptr<Coordinator> coordinator_;
  /// Arrivals of each class are drawn apart, so that all policies meet the same load.
  std::vector<std::mt19937_64> arrivals_;
  std::priority_queue<Later, std::vector<Later>, std::greater<>> events_;
  std::uint64_t event_number_ = 0;
  std::uint64_t job_number_ = 0;
  std::vector<SimWorker> workers_;
  std::map<job::JobId, std::size_t> class_of_;
  std::set<job::JobId> wide_jobs_;
  std::map<job::JobId, std::int64_t> submitted_at_;
  std::map<job::JobId, std::int64_t> objective_ms_;
  std::map<std::pair<job::JobId, std::uint32_t>, double> real_factor_;
  std::set<job::RunKey> running_;
  bool pump_wanted_ = false;
  LoadResult result_;
};

}  // namespace parsleyline::dispatch
