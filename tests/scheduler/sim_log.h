#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "raft/replicated_log.h"

namespace parsleyline::scheduler {

/// Simulated log with two replicas. Commands are committed one at a time, uncommitted commands may
/// be lost in an election, and a deposed leader may learn of the election only later.
class SimLog {
 public:
  static constexpr std::size_t kReplicas = 2;

  SimLog() {
    for (std::size_t i = 0; i < kReplicas; ++i) views_[i] = {this, i};
  }

  raft::ReplicatedLog* LogOf(std::size_t replica) { return &views_[replica]; }
  void Connect(std::size_t replica, raft::StateMachine* machine) {
    replicas_[replica].machine = machine;
  }
  std::size_t leader() const { return leader_; }
  const std::vector<std::string>& commands() const { return commands_; }
  bool AllCommitted() const { return committed_ == commands_.size(); }

  void CommitOne() {
    if (committed_ < commands_.size()) ++committed_;
    for (Replica& replica : replicas_) CatchUp(&replica);
  }

  /// Makes `replica` the leader and keeps at most `kept` of the uncommitted commands. With
  /// `isolated`, the previous leader learns of the election only at the next Heal().
  void Elect(std::size_t replica, std::size_t kept, bool isolated) {
    Heal();
    const std::size_t old = std::exchange(leader_, replica);
    commands_.resize(std::min(commands_.size(), committed_ + kept));
    ++term_;
    if (isolated && old != replica) {
      replicas_[old].isolated = true;
    } else {
      replicas_[old].machine->OnRoleChange(raft::Role::kFollower, Term(term_));
    }
    committed_ = commands_.size();
    CatchUp(&replicas_[replica]);
    replicas_[replica].machine->OnRoleChange(raft::Role::kLeader, Term(term_));
  }

  void Heal() {
    for (Replica& replica : replicas_) {
      if (!std::exchange(replica.isolated, false)) continue;
      replica.machine->OnRoleChange(raft::Role::kFollower, Term(term_));
      CatchUp(&replica);
    }
  }

 private:
  struct ReplicaLog : raft::ReplicatedLog {
    ReplicaLog() = default;
    ReplicaLog(SimLog* owner, std::size_t number) : log(owner), self(number) {}

    Result<LogIndex> Propose(std::string command) override {
      // Proposals of an isolated leader are accepted, but never committed.
      if (log->replicas_[self].isolated) return LogIndex(log->commands_.size() + 1);
      if (log->leader_ != self) return Fail(ResultCode::kNotLeader, "");
      log->commands_.push_back(std::move(command));
      return LogIndex(log->commands_.size());
    }
    NodeId Leader() const override { return NodeId(std::to_string(log->leader_)); }
    Term CurrentTerm() const override { return Term(log->term_); }
    LogIndex CommitIndex() const override { return LogIndex(log->committed_); }

    SimLog* log = nullptr;
    std::size_t self = 0;
  };
  struct Replica {
    raft::StateMachine* machine = nullptr;
    std::size_t applied = 0;
    bool isolated = false;
  };

  void CatchUp(Replica* replica) {
    while (!replica->isolated && replica->applied < committed_) {
      const std::string command = commands_[replica->applied++];
      replica->machine->Apply(LogIndex(replica->applied), command);
    }
  }

  std::array<ReplicaLog, kReplicas> views_;
  std::array<Replica, kReplicas> replicas_;
  std::vector<std::string> commands_;
  std::size_t committed_ = 0;
  std::size_t leader_ = 0;
  std::uint64_t term_ = 0;
};

}  // namespace parsleyline::scheduler
