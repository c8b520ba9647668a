#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/cell_client.h"
#include "cell/messages.h"
#include "cell/peers.h"
#include "cell/stale_call_filter.h"
#include "cell/worker_client.h"
#include "dispatch/coordinator.h"
#include "job/cell_state.h"
#include "raft/raft_group.h"
#include "transport/rpc.h"

namespace parsleyline::cell {

/// Settings of a core process, which replicates the state of the cell.
struct CoreSettings {
  NodeId node;
  std::string data_folder;
  /// Voters of the Raft group at bootstrap; a replica that joins later asks them for admission.
  std::vector<NodeId> seeds;
  /// True only when the whole cell starts for the first time.
  bool bootstrap = false;
  /// Null for the file system of the operating system. Tests pass one that injects faults.
  raft::FileSystem* file_system = nullptr;
  /// Longest lease that a worker takes.
  Milliseconds max_worker_lease{10'000};
};

/// One replica of the cell's Raft log, with the coordinator, which is active while the replica
/// leads. All methods and callbacks run on the only thread of the io_context.
class CellCore : public raft::StateMachine, public dispatch::Outbox {
 public:
  CellCore(boost::asio::io_context& io, CoreSettings settings, Peers& peers, WorkerClient& workers,
           AdvisorClient& advisor);
  ~CellCore() override;

  /// Registers the RPC methods; call before the server listens.
  void RegisterMethods(transport::RpcServer& server);
  Result<void> Start();
  /// Transfers the leadership and stops.
  void Stop(std::function<void()> done);

  bool IsLeader() const { return coordinator_->IsLeader(); }
  dispatch::Coordinator::Counts counts() const { return coordinator_->counts(); }
  const job::CellState& state() const { return state_; }

  // raft::StateMachine
  void Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() override;
  Result<void> Restore(std::string_view snapshot) override;
  void OnRoleChange(raft::Role role, Term term) override;

  // dispatch::Outbox
  void SendStart(const dispatch::StartOrder& order) override;
  void SendStop(const dispatch::StopOrder& order) override;
  void SendHold(const dispatch::HoldOrder& order) override;
  void QueryAdvisor(const NodeId& caller, const dispatch::AdvisorQuery& query) override;
  dispatch::ProposalResult Propose(const job::CommandBatch& batch) override;
  void RequestSchedulingPass() override;

 private:
  using Respond = transport::RpcResponseCallback;
  /// Registers a method that only the leader serves; other replicas reply kNotLeader.
  template <typename Message>
  void RegisterLeaderMethod(transport::RpcServer& server, const char* method,
                            void (CellCore::*handler)(const Message&, const Respond&));
  void OnJob(const JobCall& call, const Respond& respond);
  void OnSubmit(const job::QueueSettings& queue, const job::JobId& id, const JobCall& call,
                const Respond& respond);
  void OnQuery(const job::JobId& id, const Respond& respond);
  void OnCancel(const job::JobId& id, const Respond& respond);
  void OnHeartbeat(const Heartbeat& heartbeat, const Respond& respond);
  void OnReport(const job::WorkerReport& report, const Respond& respond);
  void OnDeregisterWorker(const DeregisterWorker& call, const Respond& respond);
  void OnPutConfig(const job::CellConfig& config, const Respond& respond);
  void OnGetConfig(const ConfigQuery& query, const Respond& respond);
  void ScheduleTick();
  std::unique_ptr<raft::RaftGroup> CreateRaftGroup();
  void OnStorageFailure(const Error& error);
  void RestartRaftGroup();

  struct Timers;
  boost::asio::io_context& io_;
  const CoreSettings settings_;
  Peers& peers_;
  WorkerClient& workers_;
  AdvisorClient& advisor_;
  const SteadyClock clock_;
  job::CellState state_;
  StaleCallFilter stale_calls_;
  std::unique_ptr<dispatch::Coordinator> coordinator_;
  std::unique_ptr<raft::RaftGroup> group_;
  std::unique_ptr<Timers> timers_;
  bool pass_requested_ = false;
  /// Duration of the last scheduling pass.
  Duration last_pass_duration_{0};
  bool stopping_ = false;
};

}  // namespace parsleyline::cell
