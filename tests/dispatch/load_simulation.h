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

/// Jobs of one queue in a simulated load.
struct LoadClass {
  std::string queue;
  std::uint32_t priority = 0;
  /// Mean rate of submissions.
  double jobs_per_second = 1;
  std::uint32_t steps = 1;
  double mean_tasks = 4;
  /// Standard deviation of the logarithm of the number of tasks.
  double task_count_spread = 0.5;
  double mean_millicores = 4000;
  double mean_duration_ms = 1000;
  /// Declared durations differ from the actual ones by up to this share.
  double estimate_error = 0.5;
  bool gang = false;
  double slack_factor = 2;
  std::int64_t latency_target_ms = 1000;
  double advisor_call_ms = 20;
  double advisor_call_ms_per_worker = 0.2;
  /// Share of the workers that the advisor approves for a step.
  double approved_share = 0.5;
  /// Share of the runs that fail on every worker.
  double failing_share = 0.02;
  /// For `burst_ms` from `burst_at_ms` on, the rate is this many times as high.
  double burst_factor = 1;
  std::int64_t burst_at_ms = 0;
  std::int64_t burst_ms = 0;
};

/// Parameters of a simulation.
struct LoadSetup {
  std::uint64_t seed = 1;
  /// Time in which jobs are submitted.
  std::int64_t length_ms = 20'000;
  std::size_t workers = 48;
  std::int64_t worker_millicores = 64'000;
  /// One of this many workers takes `slow_factor` times as long.
  std::size_t slow_every = 3;
  double slow_factor = 1.3;
  /// The first workers, of this number, fail all tasks.
  std::size_t failing_workers = 0;
  /// The last workers, of this number, make no progress on their tasks.
  std::size_t hanging_workers = 0;
  std::size_t advisor_clients = 12;
  std::vector<LoadClass> classes;
  Policy policy;
};

/// Number of jobs by result.
struct ClassResult {
  std::uint32_t submitted = 0;
  std::uint32_t rejected = 0;
  std::uint32_t in_time = 0;
  /// Ended after the objective, but within kLateFactor times the objective.
  std::uint32_t late = 0;
  std::uint32_t failed = 0;

  /// Returns the number of accepted jobs that did not end within kLateFactor times the objective.
  std::uint32_t Expired() const { return submitted - rejected - in_time - late - failed; }
  double InTimeShare() const {
    return submitted == 0 ? 1 : static_cast<double>(in_time) / submitted;
  }
};

/// Result of a simulation.
struct LoadResult {
  /// By queue.
  std::map<std::string, ClassResult> classes;
  /// The same for the jobs with more than twice the mean number of tasks.
  std::map<std::string, ClassResult> wide_classes;
  /// CPU time of runs that did not succeed.
  double wasted_core_seconds = 0;
  /// Maximum over the workers of the demand of their runs beyond their capacity.
  std::int64_t max_overcharge_millicores = 0;
  /// Runs that started while another run of the same task was active.
  std::uint32_t double_runs = 0;
  std::uint64_t starts = 0;
};

/// Runs a coordinator in virtual time with emulated workers, an emulated advisor and seeded random
/// submissions. The same setup always gives the same result.
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
    std::int64_t started_at = 0;
    std::int64_t duration_ms = 0;
    bool fails = false;
  };
  struct SimWorker {
    WorkerId id;
    bool fails = false;
    bool hangs = false;
    double slowdown = 1;
    std::map<job::RunKey, SimRun> runs;
    std::vector<FinishedRun> ends;
    std::uint64_t last_end_number = 0;
    /// Hold that is answered when a run ends or its wait is over.
    std::shared_ptr<HoldOrder> pending_hold;
  };

  /// Calls `action` after `ms` of virtual time.
  void After(std::int64_t ms, std::function<void()> action);
  void ReportWorker(const SimWorker& worker);
  void SubmitNextJob(std::size_t class_index);
  void CountEnd(const job::JobId& job, ClassResult* result) const;
  void StartRun(const job::RunKey& key, SimWorker* worker);
  void StartGangIfComplete(const job::StepKey& step, job::RunNumber run);
  void EndRun(SimWorker* worker, const job::RunKey& key, job::RunEnd end);
  void AnswerHold(SimWorker* worker, const HoldOrder& order);
  SimWorker* Find(const WorkerId& id);
  std::int64_t Now() const;
  std::size_t ClassOf(const job::JobId& job) const { return class_of_.at(job); }

  struct TimedEvent {
    std::int64_t at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator>(const TimedEvent& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  const LoadSetup setup_;
  ManualClock clock_;
  job::CellState cell_state_;
  std::unique_ptr<Coordinator> coordinator_;
  /// Each class has its own random numbers, so that the load is the same under all policies.
  std::vector<std::mt19937_64> random_by_class_;
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>> events_;
  std::uint64_t event_number_ = 0;
  std::uint64_t job_number_ = 0;
  std::vector<SimWorker> workers_;
  std::map<job::JobId, std::size_t> class_of_;
  std::set<job::JobId> wide_jobs_;
  std::map<job::JobId, std::int64_t> submitted_at_;
  std::map<job::JobId, std::int64_t> objective_ms_;
  std::map<std::pair<job::JobId, std::uint32_t>, double> actual_ms_;
  std::set<job::RunKey> running_;
  bool pass_requested_ = false;
  LoadResult result_;
};

}  // namespace parsleyline::dispatch
