#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/standin/net.h"
#include "review/standin/record.h"

namespace parsleyline::review {

/// One run of a task, as the worker saw it.
struct SeenRun {
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  std::int64_t born = 0;
  Time started;
  Time ended;
  /// How the run ended; empty while it is active. "lost" if it ended with its worker.
  std::string how;
};

/// What all workers saw. Thread-safe.
class RunLog {
 public:
  explicit RunLog(Record& record) : record_(record) {}

  std::size_t Start(const SeenRun& run);
  void End(std::size_t number, const std::string& how);
  std::vector<SeenRun> Runs() const;
  /// Returns the runs of the tasks of a job.
  std::vector<SeenRun> RunsOf(const std::string& job) const;
  /// Returns a line for each pair of runs of one task that were active at the same time.
  std::vector<std::string> Overlaps() const;

 private:
  Record& record_;
  mutable std::mutex mutex_;
  std::vector<SeenRun> runs_;
};

struct WorkerSettings {
  std::string id;
  Address address;
  std::string zone = "z1";
  std::string service = "svc-1";
  std::string rack = "r1-1";
  std::int64_t cpu = 16'000;
  std::int64_t memory_mb = 32'768;
  /// Where the worker reports, in this order; the next one after a failure.
  std::vector<Address> control;
  Ms heartbeat{1500};
};

/// A worker as PROTOCOL.md specifies it. A task runs for the time that its `spec` names
/// ("run-ms=N"). The worker doesn't guard its capacity.
class Worker {
 public:
  Worker(WorkerSettings settings, RunLog& log, Record& record);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Begins a life: listens, and reports itself. Returns false if the address can't be used.
  bool Start();
  /// Reports that it drains. Returns whether that was acknowledged.
  bool Drain();
  /// Says that it leaves, to the nodes in the given order until one acknowledges it, and ends.
  void Leave(const std::vector<Address>& control);
  /// Ends without a word.
  void Crash();

  /// Sends the report of the current life to one node.
  bool Report(const Address& control);
  std::int64_t born() const { return born_; }
  const WorkerSettings& settings() const { return settings_; }
  std::size_t ActiveCount() const;

 private:
  using RunId = std::pair<std::string, std::uint64_t>;
  struct ActiveRun {
    std::size_t seen = 0;
    Time end;
    /// Set once a stop was ordered.
    bool stopping = false;
    Ms length{0};
    Time started;
  };
  struct FinishedRun {
    std::uint64_t number = 0;
    RunId id;
    std::string how;
  };

  Response Handle(const Request& request);
  Response OnStart(const nlohmann::json& body);
  Response OnStop(const nlohmann::json& body);
  Response OnHold(const nlohmann::json& body);
  Response Refuse(const char* reason) const;
  nlohmann::json Body() const;
  std::int64_t ClockMs() const;
  void ExtendLease(std::int64_t end);
  void EndRun(const RunId& id, const std::string& how);
  void EndDueRuns();
  void SendReports();
  void Stop(const char* how);

  const WorkerSettings settings_;
  RunLog& log_;
  Record& record_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = false;
  bool draining_ = false;
  std::int64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  Time clock_start_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_end_ = 0;
  std::map<RunId, ActiveRun> active_;
  std::map<std::string, std::uint64_t> closed_;
  std::deque<FinishedRun> finished_;
  std::uint64_t last_number_ = 0;

  std::unique_ptr<HttpServer> server_;
  std::atomic<bool> running_{false};
  std::thread ticker_;
  std::thread reporter_;
};

}  // namespace parsleyline::review
