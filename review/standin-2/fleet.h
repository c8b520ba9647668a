#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http/client.h"
#include "review/standin-2/worker_server.h"

namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// Writes what was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  double Seconds() const;

 private:
  std::ofstream file_;
  SteadyTime start_;
};

struct FleetSetup {
  std::size_t workers = 48;
  std::int64_t cpu = 64'000;
  std::int64_t memory_mb = 131'072;
  std::size_t rack = 8;
  std::string service = "workers";
  milliseconds heartbeat{1500};
  milliseconds hold_max{10'000};
  milliseconds kill_grace{200};
  /// Control addresses.
  std::vector<std::pair<std::string, std::uint16_t>> control;
  /// Third byte of the workers' loopback addresses.
  int subnet = 1;
};

/// A run that a worker holds.
struct ActiveRun {
  SteadyTime started;
  milliseconds work{0};
  bool stopping = false;
  SteadyTime stop_requested;
};

/// One row of a worker's list of ends.
struct EndRow {
  std::uint64_t number = 0;
  std::string task;
  std::uint64_t run = 0;
  std::string how;
};

/// Stand-in workers that behave as `PROTOCOL.md` says: leases on their own clocks, fences, lists of
/// active and finished runs, and a new `born` for each lifetime. A task works for the number of
/// milliseconds that its `spec` names. Runs on the only thread of `io`.
class Fleet {
 public:
  Fleet(boost::asio::io_context& io, FleetSetup setup, Record& record);

  /// Lets all workers listen and send heartbeats.
  void Start();
  std::size_t size() const { return workers_.size(); }

  /// While a worker is cut off, nothing that is sent to it or by it arrives.
  void SetCut(std::size_t number, bool cut);
  /// Ends the lifetime of a worker with everything that runs there.
  void Crash(std::size_t number);
  /// Lets an active run end now. `how` is `done` or `failed`.
  void EndNow(std::size_t number, const std::string& task, std::uint64_t run,
              const std::string& how);
  /// Starts the next lifetime under the same id and at the same address.
  void Restart(std::size_t number);

  bool IsUp(std::size_t number) const { return workers_[number].up; }
  std::uint64_t lifetime(std::size_t number) const { return workers_[number].lifetime; }
  /// Returns the worker's active runs by task and run number.
  const std::map<std::pair<std::string, std::uint64_t>, ActiveRun>& Runs(std::size_t number) const {
    return workers_[number].runs;
  }
  /// Number of ends of a task by how it ended: `done`, `failed` and so on. Runs that ended with
  /// their worker are not among them.
  std::uint64_t EndCount(const std::string& job, const std::string& how) const;
  std::uint64_t starts() const { return starts_; }
  std::uint64_t crashes() const { return crashes_; }
  /// Times at which two runs of a task were active at once, on workers that were up.
  std::uint64_t overlaps() const { return overlaps_; }
  milliseconds longest_overlap() const { return longest_overlap_; }
  /// Called after each start, with the worker, the task and the run.
  std::function<void(std::size_t, const std::string&, std::uint64_t)> on_start;

 private:
  struct Worker {
    std::string id;
    std::string address;
    std::unique_ptr<WorkerServer> server;
    bool up = true;
    bool cut = false;
    std::uint64_t lifetime = 0;
    std::int64_t born = 0;
    SteadyTime clock_start;
    std::uint64_t fence = 0;
    SteadyTime lease_end;
    std::map<std::pair<std::string, std::uint64_t>, ActiveRun> runs;
    /// Highest run that was stopped or has ended, by task.
    std::map<std::string, std::uint64_t> closed;
    std::deque<EndRow> ends;
    std::uint64_t last_end = 0;
    std::uint64_t sequence = 0;
    std::size_t next_control = 0;
    Respond waiting_hold;
    std::uint64_t hold_number = 0;
  };
  using RunId = std::pair<std::string, std::uint64_t>;

  void Handle(std::size_t number, const OrderRequest& request, const Respond& respond);
  void OnStart(std::size_t number, const nlohmann::json& body, const Respond& respond);
  void OnStop(std::size_t number, const nlohmann::json& body, const Respond& respond);
  void OnHold(std::size_t number, const nlohmann::json& body, const Respond& respond);
  void AnswerHold(std::size_t number);
  void LoseAnswer(const Respond& respond);
  void Answer(std::size_t number, const Respond& respond, int status, nlohmann::json body);
  void ExtendLease(Worker* worker, std::int64_t expires_at_ms);
  void EndRun(std::size_t number, const RunId& id, const std::string& how);
  void NoteEnd(const RunId& id, std::size_t number);
  void SendHeartbeat(std::size_t number);
  void SendHeartbeatTo(std::size_t number, std::uint64_t lifetime, std::size_t attempts);
  void ScheduleHeartbeat(std::size_t number, milliseconds delay);
  void Tick();
  void RunAfter(milliseconds delay, std::function<void()> then);
  std::int64_t ClockMs(const Worker& worker) const;

  boost::asio::io_context& io_;
  const FleetSetup setup_;
  Record& record_;
  std::vector<Worker> workers_;
  std::vector<std::unique_ptr<parsleyline::http::Client>> control_;
  /// Answers that are lost, and when. Their connections stay open for as long as a caller may wait,
  /// because closing them would tell it something.
  std::deque<std::pair<SteadyTime, Respond>> lost_answers_;
  boost::asio::steady_timer tick_;
  std::map<std::string, std::map<std::string, std::uint64_t>> ends_by_job_;
  /// Active runs of each task: worker and run number, and when a second one began.
  std::map<std::string, std::set<std::pair<std::size_t, std::uint64_t>>> active_;
  std::map<std::string, SteadyTime> overlap_since_;
  std::int64_t last_born_ = 0;
  std::uint64_t starts_ = 0;
  std::uint64_t crashes_ = 0;
  std::uint64_t overlaps_ = 0;
  milliseconds longest_overlap_{0};
};

}  // namespace review
