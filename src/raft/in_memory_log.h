#pragma once

#include <memory>
#include <string>
#include <vector>

#include "raft/replicated_log.h"

namespace parsleyline::raft {

/// A log in memory with a single replica, which commits every command at once. Unit tests of state
/// machines use it instead of a RaftGroup.
class InMemoryLog : public ReplicatedLog {
 public:
  explicit InMemoryLog(NodeId node = NodeId("local"));
  ~InMemoryLog() override;

  /// Applies all commands to `machine` from now on, and makes the replica leader of term 1.
  void Start(StateMachine* machine);

  /// Applies the command before it returns. If a call to the state machine is in progress, for
  /// example because Apply() proposes a command, the command is applied after that call.
  Result<LogIndex> Propose(std::string command) override;

  NodeId Leader() const override;
  Term CurrentTerm() const override;
  LogIndex CommitIndex() const override;

  /// Makes the replica a follower of `leader`, so that Propose() fails with kNotLeader.
  void StepDown(NodeId leader = NodeId());

  /// Makes the replica leader of the next term.
  void BecomeLeader();

  /// Returns all proposed commands in order, starting with index 1, so that tests can replay them
  /// on another state machine.
  std::vector<std::string> Commands() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::raft
