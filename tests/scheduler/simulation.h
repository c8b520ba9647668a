#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "scheduler/domain_scheduler.h"
#include "tests/scheduler/sim_log.h"
#include "tests/scheduler/sim_worker.h"

namespace parsleyline::scheduler {

/// Thrown when a guarantee of the scheduler is violated.
struct Violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Records what actually happens in the simulation and checks it against the guarantees of the
/// scheduler.
class Oracle {
 public:
  void OnStart(const SimWorker& worker, const SimDispatch& dispatch);
  void OnEnd(const SimWorker& worker, const SimDispatch& dispatch);
  void OnRejected(const RequestId& id);
  std::size_t starts() const { return starts_; }
  std::size_t rejections() const { return rejected_.size(); }

 private:
  static void Check(bool holds, const std::string& rule, const RequestId& id);

  struct History {
    std::uint64_t digest = 0;
    /// Number of starts of each task.
    std::map<std::uint64_t, int> starts;
    std::set<FencingToken> running;
  };
  std::map<RequestId, History> requests_;
  std::set<RequestId> rejected_;
  std::size_t starts_ = 0;
};

class SimFlow;

/// Simulated failure domain with two schedulers, workers, entry flows and an unreliable network.
/// All random choices derive from one seed.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed);
  ~Simulation();

  /// Runs a number of steps with faults, then continues without faults until all requests have
  /// ended, and checks the final state.
  void Run(std::size_t steps);
  const Oracle& oracle() const { return oracle_; }

 private:
  friend class SimFlow;

  std::uint64_t Random(std::uint64_t bound) { return random_() % bound; }
  bool Chance(unsigned percent) { return Random(100) < percent; }
  void After(Milliseconds delay, std::function<void()> action);
  /// Sends a message that may be lost or delayed.
  void Send(std::function<void()> deliver);
  DomainScheduler& PickReplica();
  SimWorker& FindWorker(const WorkerId& id);

  void Step();
  void Advance(Milliseconds time);
  void StartRequest();
  void Announce(SimWorker* worker);
  void CancelRandomRequest();
  void InjectWorkerFault();
  void CheckReplicas();
  void CommitAll();
  void Quiesce();
  bool HasAbandonedTasks();

  std::mt19937_64 random_;
  ManualClock clock_;
  bool faults_ = true;
  SimLog log_;
  std::vector<std::unique_ptr<DomainScheduler>> replicas_;
  std::vector<std::unique_ptr<SimWorker>> workers_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<wire::Submit> submitted_;
  std::size_t open_flows_ = 0;
  /// Tasks whose entry daemon crashed or gave up before their grant, with the time of that or, if
  /// later, of the task's end. Nothing reports these ends, so only the leases release the charges.
  std::map<FencingToken, TimePoint> abandoned_tasks_;
  std::uint64_t next_flow_ = 0;
  Oracle oracle_;
};

}  // namespace parsleyline::scheduler
