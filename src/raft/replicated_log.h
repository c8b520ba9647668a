#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result_code.h"

namespace parsleyline::raft {

/// Role of a replica in its group.
enum class Role : std::uint8_t { kFollower, kCandidate, kLeader, kLearner };

/// A state machine that is replicated by applying the commands of a log. Calls never overlap and
/// are made in log order.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  /// Applies one committed command. Must be deterministic, because every replica applies it.
  virtual void Apply(LogIndex index, std::string_view command) = 0;

  /// Serializes the complete state for Restore().
  virtual std::string TakeSnapshot() = 0;

  /// Replaces the complete state with a snapshot.
  virtual Result<void> Restore(std::string_view snapshot) = 0;

  /// Called when the role of this replica changes. Role::kLeader is reported only after all
  /// commands of earlier terms have been applied.
  virtual void OnRoleChange(Role role, Term term) = 0;
};

/// A log of commands that is replicated to all members of a group.
class ReplicatedLog {
 public:
  virtual ~ReplicatedLog() = default;

  /// Appends a command and returns its index. Success means that the command was accepted for
  /// replication. It is committed only when StateMachine::Apply() is called for it. Fails with
  /// kNotLeader, kOutOfRange (command too large) or kOverloaded.
  virtual Result<LogIndex> Propose(std::string command) = 0;

  /// Returns the node of the leader, or an empty id if no leader is known.
  virtual NodeId Leader() const = 0;
  virtual Term CurrentTerm() const = 0;
  /// Returns the index of the last entry that is known to be committed.
  virtual LogIndex CommitIndex() const = 0;
};

}  // namespace parsleyline::raft
