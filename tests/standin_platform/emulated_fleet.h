#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tests/standin_platform/run_oracle.h"

namespace parsleyline::testing {

using std::chrono::milliseconds;

/// An order to start a task, as decoded from the wire.
struct StartCall {
  TaskName task;
  std::uint64_t run = 0;
  std::string payload;
  std::int64_t lease_end = 0;
  std::uint64_t fence = 0;
};

/// Answer to an order: empty reason if it was carried out.
struct CallAnswer {
  std::string reason;
  std::int64_t clock = 0;
};

/// A run that an emulated worker holds.
struct EmulatedRun {
  StepSheet sheet;
  SteadyTime arrived;
  SteadyTime begun;
  /// False while a gang waits for its members, or on a worker that hangs.
  bool working = false;
  bool stopping = false;
};

/// An end in a worker's list.
struct EmulatedEnd {
  std::uint64_t number = 0;
  TaskName task;
  std::uint64_t run = 0;
  std::string how;
};

/// One life of a worker.
struct EmulatedWorker {
  std::string id;
  std::int64_t born = 0;
  SteadyTime begun;
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  bool up = true;
  /// How the worker misbehaves.
  bool fails_all = false;
  bool hangs = false;
  double slowness = 1;
  std::uint64_t fence = 0;
  SteadyTime lease_end;
  std::map<std::pair<TaskName, std::uint64_t>, EmulatedRun> runs;
  /// Highest run of each task that ended or was stopped here.
  std::map<TaskName, std::uint64_t> closed;
  std::deque<EmulatedEnd> ends;
  std::uint64_t last_end = 0;
};

/// Workers that run emulated tasks under leases and fence numbers as the users' pages say. Without
/// I/O and not thread-safe; time comes in through the calls.
class EmulatedFleet {
 public:
  EmulatedFleet(RunOracle& oracle, std::uint32_t seed);

  std::size_t Add(std::int64_t cpu, std::int64_t memory_mb, SteadyTime now);
  EmulatedWorker& worker(std::size_t number) { return workers_[number]; }
  std::size_t size() const { return workers_.size(); }

  CallAnswer Start(std::size_t number, const StartCall& call, SteadyTime now);
  CallAnswer Stop(std::size_t number, const TaskName& task, std::uint64_t run, std::uint64_t fence,
                  SteadyTime now);
  /// Renews the lease and forgets acknowledged ends; returns the reason of a refusal.
  CallAnswer Renew(std::size_t number, std::int64_t lease_end, std::uint64_t fence,
                   std::uint64_t acknowledged, SteadyTime now);
  /// Ends what is due: work that is done, leases that have run out, stops, gangs that wait alone.
  void Advance(SteadyTime now);
  /// The worker loses all that it runs and knows. It starts again as another lifetime.
  void Crash(std::size_t number);
  void Restart(std::size_t number, SteadyTime now);

  /// Called with the worker's number when an end is listed.
  std::function<void(std::size_t)> on_end;

 private:
  using RunId = std::pair<TaskName, std::uint64_t>;

  static std::int64_t Clock(const EmulatedWorker& worker, SteadyTime now);
  static void RaiseLease(EmulatedWorker* worker, std::int64_t lease_end, SteadyTime now);
  void BeginGang(const TaskName& member, std::uint64_t run, SteadyTime now);
  void EndGang(const TaskName& member, std::uint64_t run, const std::string& how);
  void End(std::size_t number, const RunId& id, const std::string& how);
  void EndAll(std::size_t number, const std::string& how);
  /// Returns how a run ends now, or an empty string.
  std::string DueEnd(const EmulatedWorker& worker, const RunId& id, const EmulatedRun& run,
                     SteadyTime now);

  RunOracle& oracle_;
  std::deque<EmulatedWorker> workers_;
  std::mt19937 random_;
  std::int64_t next_born_ = 0;
};

}  // namespace parsleyline::testing
