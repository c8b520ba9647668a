#pragma once

#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"
#include "raft/raft_options.h"
#include "raft/raft_types.h"

namespace parsleyline::raft {

/// A change of one member of a group. Only one change may be in progress at a time.
struct MembershipChange {
  enum class Kind {
    kAddLearner,
    /// Makes a learner a voter. Rejected until the learner has caught up, and while so many voters
    /// are unreachable that the group would lose its majority if the new voter failed.
    kPromote,
    /// Rejected for the leader itself (its leadership must be transferred first), and if the
    /// reachable voters among the remaining ones would not be a majority.
    kRemove,
  };
  Kind kind = Kind::kAddLearner;
  ReplicaId replica;
};

/// How a leader replicates to another member.
enum class ReplicationState : std::uint8_t {
  /// It is not known where the logs match: one message is sent at a time.
  kProbe = 0,
  /// Messages are sent without waiting for replies, within the limits for data in flight.
  kReplicate = 1,
  /// The entries that the replica needs are compacted: it receives the latest snapshot.
  kSnapshot = 2,
};

/// Why a member does not count as a full voter yet.
enum class MemberObstacle : std::uint8_t {
  kNone = 0,
  /// It has not replied for an election timeout.
  kSilent = 1,
  /// It is too far behind the end of the log.
  kBehind = 2,
  /// A learner that has caught up, but another change of the members is not committed yet.
  kChangeInProgress = 3,
  /// A learner that has caught up, but the number of voters is odd.
  kSpare = 4,
};

std::ostream& operator<<(std::ostream& out, ReplicationState state);
std::ostream& operator<<(std::ostream& out, MemberObstacle obstacle);

/// What a leader knows of another member.
struct MemberStatus {
  ReplicaId replica;
  Membership membership = Membership::kLearner;
  ReplicationState state = ReplicationState::kProbe;
  LogIndex match_index;
  /// Committed entries that the member is not known to have.
  std::uint64_t lag_entries = 0;
  Milliseconds since_reply{0};
  /// Bytes that may be sent to the member ahead of its acknowledgements.
  std::size_t window_bytes = 0;
  MemberObstacle obstacle = MemberObstacle::kNone;
};

/// Status of a replica for operators and tests.
struct NodeStatus {
  ReplicaId self;
  Role role = Role::kFollower;
  Term term;
  ReplicaId leader;
  LogIndex commit_index;
  LogIndex last_index;
  LogIndex first_index_in_memory;
  Configuration configuration;
  /// Entry that holds `configuration`; it may not be committed yet.
  LogIndex configuration_index;
  /// The other members; empty unless this replica leads.
  std::vector<MemberStatus> members;
};

/// The Raft algorithm for one replica, without any I/O. The owner passes events in through the
/// methods, carries out the actions that TakeActions() returns in order, and reports their
/// completion through OnPersisted() and OnSnapshotSaved(). Not thread-safe.
class RaftNode {
 public:
  RaftNode(NodeOptions options, DurableState state, std::uint64_t seed, TimePoint now);
  ~RaftNode();

  /// Does what is due at `now`: sends heartbeats and checks the quorum as leader, starts an
  /// election as follower, and asks to be added to a group as a replica without one.
  void Tick(TimePoint now);
  /// Handles a message from another replica.
  void Receive(const Message& message, TimePoint now);

  /// Appends a command if this replica is the leader, see ReplicatedLog::Propose().
  Result<LogIndex> Propose(std::string command);
  /// Appends a changed configuration if this replica is the leader, and returns its index.
  Result<LogIndex> ChangeMembership(const MembershipChange& change);
  /// Starts a transfer of the leadership to the voter on `target`, or to the reachable voter with
  /// the most advanced log if `target` is empty. Proposals are rejected during the transfer, which
  /// is abandoned after an election timeout.
  Result<void> TransferLeadership(const NodeId& target, TimePoint now);

  /// Returns the actions that have accumulated since the last call.
  Actions TakeActions(TimePoint now);
  /// Reports that the batch with this number and all earlier ones are synced.
  void OnPersisted(std::uint64_t batch);
  /// Reports that a snapshot requested with StateMachineCall::Kind::kTakeSnapshot is durable.
  void OnSnapshotSaved(SnapshotPtr snapshot);

  /// Returns the time at which Tick() must be called next.
  TimePoint NextDeadline() const;
  Role CurrentRole() const;
  Term CurrentTerm() const;
  const ReplicaId& Leader() const;
  LogIndex CommitIndex() const;
  NodeStatus Status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::raft
