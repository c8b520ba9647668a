#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/coordinator.h"
#include "tests/standin_platform/emulated_fleet.h"
#include "tests/standin_platform/run_oracle.h"

namespace parsleyline::dispatch {

/// Which faults a CellSimulation injects.
enum class FaultMix : std::uint8_t {
  kAll,
  /// Workers restart under their ids and are cut off, while orders are lost or delayed and leaders
  /// change.
  kRestarts,
};

/// Parameters of a CellSimulation.
struct CellSetup {
  std::uint32_t seed = 1;
  FaultMix faults = FaultMix::kAll;
  std::size_t replicas = 3;
  std::size_t workers = 120;
  std::size_t advisor_clients = 8;
  /// Clients that register and whose calls fail until the end.
  std::size_t mute_clients = 0;
  double jobs_per_second = 1.5;
  /// Share of the steps whose tasks form a gang.
  double gang_share = 0.5;
  /// Number of workers that the advisor approves for each step. A gang of the widest steps fits
  /// into them only if nearly all of them are known to be approved.
  std::size_t approved_workers = 8;
  /// False if tasks start without the advisor's tickets, which only one incarnation accepts.
  bool needs_tickets = true;
  Milliseconds max_run_time{3000};
  /// Time in which jobs are submitted and faults injected, and the time after it in which the cell
  /// has to end all accepted jobs.
  Milliseconds load{30'000};
  Milliseconds calm{90'000};
  /// Mean time between two faults.
  Milliseconds fault_interval{700};
};

/// A cell in virtual time: coordinators that take turns as the leader of a replicated log, emulated
/// workers that keep leases and fences, callers of the advisor, and seeded faults of all of them.
/// After the faults there is a calm period, in which every accepted job has to end.
class CellSimulation {
 public:
  explicit CellSimulation(const CellSetup& setup);
  ~CellSimulation();

  /// Plays the whole time. To be called once.
  void Run();

  /// Guarantees that were violated, among them accepted jobs that did not end.
  const std::vector<std::string>& violations() const { return oracle_.violations(); }
  std::size_t accepted_jobs() const { return oracle_.accepted_count(); }
  std::size_t started_runs() const { return oracle_.started_count(); }
  std::size_t leader_changes() const { return leader_changes_; }

 private:
  class Replica;
  struct TimedEvent {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator>(const TimedEvent& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  /// A hold that a worker has not answered yet.
  struct PendingHold {
    HoldOrder order;
    Replica* sender = nullptr;
    std::uint64_t process = 0;
  };

  TimePoint Now() const { return clock_.Now(); }
  job::UnixMillis UnixNow() const;
  /// Calls `action` after `delay` of virtual time.
  void After(Milliseconds delay, std::function<void()> action);
  Milliseconds RandomTime(Milliseconds min, Milliseconds max);
  bool Chance(double probability);
  std::size_t RandomIndex(std::size_t size);

  void ElectLeader();
  void LoseLeader();
  void Append(Replica* proposer, std::uint64_t leadership, job::CommandBatch batch);
  /// Lets a replica apply all committed entries.
  void CatchUp(Replica* replica);
  void PutConfig(bool with_extra_queue);

  void Tick();
  void ReportWorkers();
  void SubmitJob();
  void CallSubmit(const std::string& id, const job::JobSpec& spec);
  void CheckJobs();
  void SendOrder(const std::function<std::optional<OrderReply>()>& carry_out,
                 const std::function<void(const OrderReply&)>& reply);
  void DeliverStart(Replica* sender, const StartOrder& order);
  void DeliverStop(Replica* sender, const StopOrder& order);
  void DeliverHold(Replica* sender, const HoldOrder& order);
  void AnswerHold(std::size_t worker);
  /// Fails the hold that waits at a worker which ends.
  void DropPendingHold(std::size_t worker);
  void DeliverQuery(Replica* sender, const NodeId& client, const AdvisorQuery& query);
  bool IsApproved(const job::StepKey& step, const WorkerId& worker) const;
  bool IsTicketValid(const std::string& ticket, const testing::EmulatedWorker& worker) const;
  /// Returns the number of the worker, which its id contains.
  static std::size_t NumberOf(const WorkerId& worker);

  void InjectFaults();
  void CrashLeader();
  void RestartAllReplicas();
  void DeposeLeader();
  void PartitionLeader();
  void CrashWorkers();
  /// Restarts workers under their ids. Some are cut off soon after, and the first reports of some
  /// are lost.
  void RestartWorkers();
  void CutWorkers();
  void LoseMessages();
  void DelayOrders();
  void SilenceClients();
  void FailWorkers();
  void HangWorkers();
  void ChangeConfig();

  const CellSetup setup_;
  std::mt19937 random_;
  ManualClock clock_;
  testing::RunOracle oracle_;
  testing::EmulatedFleet fleet_;
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>> events_;
  std::uint64_t event_number_ = 0;
  /// Wall-clock time at the start. The fleet numbers its incarnations from there.
  std::int64_t unix_start_ms_ = 0;
  std::vector<std::unique_ptr<Replica>> replicas_;
  /// Committed entries.
  std::vector<job::CommandBatch> log_;
  /// Entries that the leader has proposed and that are not committed yet.
  std::deque<job::CommandBatch> proposed_;
  Replica* leader_ = nullptr;
  std::uint64_t term_ = 0;
  /// True while a leader cannot be elected.
  bool no_majority_ = false;
  std::size_t leader_changes_ = 0;
  std::uint64_t config_version_ = 0;
  std::uint64_t next_process_ = 1;
  std::uint64_t next_job_ = 1;
  std::uint64_t report_sequence_ = 0;
  /// Incarnation of each worker that was reported last.
  std::map<std::size_t, std::int64_t> reported_;
  /// Accepted jobs that have not ended.
  std::set<std::string> unfinished_;
  std::map<std::size_t, PendingHold> pending_holds_;
  /// When a client of the advisor is free for the next call.
  std::map<NodeId, TimePoint> client_free_at_;
  std::set<NodeId> silent_clients_;
  std::set<std::size_t> cut_workers_;
  /// Until when the reports of a worker are lost.
  std::map<std::size_t, TimePoint> mute_until_;
  double loss_probability_ = 0;
  double late_probability_ = 0;
};

}  // namespace parsleyline::dispatch
