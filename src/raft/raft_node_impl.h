#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "raft/raft_log.h"
#include "raft/raft_node.h"
#include "raft/send_window.h"

// Private state of RaftNode, shared by its source files: raft_node.cpp (events, actions),
// raft_election.cpp, raft_replication.cpp (leader side), raft_follower.cpp and
// raft_membership.cpp.
namespace parsleyline::raft {

/// Interval at which a leader logs the members that are no full voters.
inline constexpr Milliseconds kMemberReportInterval{1000};

/// Replication state that a leader keeps for each other member.
struct Progress {
  using State = ReplicationState;

  /// A kAppend message that is not yet acknowledged.
  struct InFlight {
    LogIndex last_index;
    std::size_t bytes = 0;
    TimePoint sent_at;
  };
  /// Part of the log that a learner has to reach within an election timeout to count as caught up.
  /// The entries that are appended meanwhile belong to the next round.
  struct CatchUpRound {
    LogIndex end;
    TimePoint start;
    /// Whether the previous round ended within an election timeout.
    bool previous_was_prompt = false;
  };

  explicit Progress(const RaftOptions& options) : window(options) {}

  State state = State::kProbe;
  /// Last entry that the replica is known to have stored.
  LogIndex match_index;
  /// First entry of the next message to the replica.
  LogIndex next_index;
  /// Time of the last reply.
  TimePoint last_reply_time;
  SendWindow window;
  /// kProbe, kSnapshot: a message was sent and its reply has not arrived.
  bool awaiting_reply = false;
  /// kProbe, kSnapshot: whether the message that awaits a reply replaces one that counts as lost.
  bool sent_again = false;
  /// kProbe, kSnapshot: time and size of the message that awaits a reply.
  TimePoint sent_at;
  std::size_t sent_bytes = 0;
  std::deque<InFlight> in_flight;
  std::size_t in_flight_bytes = 0;
  /// kReplicate: entry before an empty kAppend that asks which messages have arrived, and the time
  /// when it was sent. Index 0 if there is none.
  LogIndex check_index;
  TimePoint check_sent_at;
  /// kSnapshot: the snapshot that is being sent, and the offset of its next chunk.
  SnapshotPtr snapshot;
  std::uint64_t snapshot_offset = 0;
  CatchUpRound round;
};

struct RaftNode::Impl {
  enum class Phase {
    /// Also the phase of a learner.
    kFollower,
    /// Waits for the replies to its pre-vote messages.
    kPreCandidate,
    /// Waits for the replies to its vote messages.
    kCandidate,
    kLeader,
  };

  Impl(NodeOptions node_options, DurableState state, std::uint64_t seed, TimePoint now);

  // raft_node.cpp
  void Tick(TimePoint now);
  void Receive(Message m);
  void Dispatch(const Message& m);
  bool IsAddressedToMe(const Message& m) const;
  void IgnoreIdentity(Message* m) const;
  bool AcceptGroup(const Message& m);
  bool AcceptTerm(const Message& m);
  void RejectOldTerm(const Message& m);
  void TakeActions(Actions* out);
  /// Adds the hard state and entries that are not yet stored to `out`.
  void CollectUnpersisted(Actions* out);
  void OnPersisted(std::uint64_t batch);
  /// Queues the calls to the state machine for the entries that were committed.
  void ApplyCommitted();
  void RequestSnapshot();
  Message MakeMessage(MessageType type, const ReplicaId& to) const;
  void Send(Message m) { actions.messages.push_back(std::move(m)); }
  void SendAfterSync(Message m);
  bool HasTestFault(TestFault fault) const { return options.test_fault == fault; }
  void AppendEntry(EntryKind kind, std::string data);
  void TruncateFrom(LogIndex index);
  /// Queues a call to OnRoleChange(), unless the state machine already knows the role.
  void ReportRole(Role role);

  // raft_election.cpp
  void ResetElectionTimer();
  void BecomeFollower(Term new_term, const ReplicaId& new_leader);
  void StartPreVote();
  void StartElection(ElectionReason reason);
  void CountVotes();
  void BecomeLeader();
  void CheckQuorum();
  bool HeardFromLeaderRecently() const;
  bool IsUpToDate(const Message& m) const;
  void OnPreVote(const Message& m);
  void OnVote(const Message& m);
  void OnVoteReply(const Message& m);
  void RequestToJoin(const Configuration& configuration);

  // raft_replication.cpp
  Result<LogIndex> Propose(std::string command);
  /// Adds and removes Progress objects so that there is one for each other member.
  void UpdateProgressMembers();
  void BroadcastHeartbeat();
  void Replicate();
  void ReplicateTo(const ReplicaId& to, Progress* progress);
  void SendEntries(const ReplicaId& to, Progress* progress);
  void SendSnapshotChunk(const ReplicaId& to, Progress* progress);
  void EnterProbe(Progress* progress, LogIndex next);
  void RecordSent(std::size_t bytes, Progress* progress);
  void OnAppendRejected(const Message& m, Progress* progress);
  void OnAppendAccepted(const Message& m, Progress* progress);
  /// Asks a replica that has not acknowledged anything for long whether messages were lost.
  void CheckInFlight(const ReplicaId& to, Progress* progress);
  void AdvanceRound(Progress* progress) const;
  void OnAppendReply(const Message& m);
  void OnHeartbeatReply(const Message& m);
  void OnSnapshotReply(const Message& m);
  void AdvanceCommit();
  Result<void> TransferLeadership(const NodeId& target);
  void ContinueTransfer();

  // raft_follower.cpp
  void OnAppend(const Message& m);
  void AcceptEntries(const Message& m);
  void RejectAppend(const Message& m);
  /// Keeps a message that has overtaken the one before it.
  void KeepEarlyAppend(const Message& m);
  /// Accepts the kept messages whose preceding entries have arrived.
  void AcceptEarlyAppends();
  void OnHeartbeat(const Message& m);
  void OnSnapshot(const Message& m);
  void InstallSnapshot(const Message& m);
  void AcknowledgeUpTo(const ReplicaId& to, LogIndex index);
  void FollowLeader(const Message& m);

  // raft_membership.cpp
  Result<LogIndex> ChangeMembership(const MembershipChange& change);
  /// Returns the current configuration with `change` made, or why the change is rejected.
  Result<Configuration> ConfigurationAfter(const MembershipChange& change) const;
  /// Returns a voter that has not replied for `time`, or null.
  /// Returns whether a replica replied within the last election timeout.
  bool IsReachable(const Progress& progress) const;
  bool HasCaughtUp(const Progress& progress) const;
  /// Returns a member whose disk is lost: it is silent, and a replica with a later identity replies
  /// from its node.
  const Member* FindLostIdentity() const;
  MemberStatus StatusOf(const Member& member, const Progress& progress) const;
  MemberObstacle ObstacleOf(const Member& member, const Progress& progress) const;
  /// Logs the members that are no full voters, and why.
  void ReportMembers();
  const Member* FindUnresponsiveVoter(Milliseconds time) const;
  std::size_t CountUnresponsiveVoters(Milliseconds time) const;
  bool IsUnresponsiveVoter(const Member& member, Milliseconds time) const;
  /// Returns the next change that the LostReplicaPolicy calls for, if there is one.
  std::optional<MembershipChange> NextMembershipChange() const;
  std::size_t CountReachableVoters(const Configuration& configuration) const;
  void MaintainMembership();
  void SendHello();
  /// Asks the known nodes to add this learner again: the leader that added it may have failed
  /// before the change was committed.
  void AskToBeAdded();
  void OnHello(const Message& m);
  void OnHelloReply(const Message& m);
  void OnBootstrap(const Message& m);
  void BootstrapIfReady();
  void JoinGroup(GroupId group);
  bool HasNoGroup() const { return hard_state.group == GroupId(); }

  const RaftOptions options;
  const std::vector<NodeId> initial_voters;
  const bool may_bootstrap;
  const ReplicaId self;
  std::mt19937_64 random;
  // Time of the event that is being handled.
  TimePoint now;

  HardState hard_state;
  RaftLog log;
  SnapshotPtr snapshot;
  LogIndex commit_index;

  Phase phase = Phase::kFollower;
  // The leader of the current term; empty if it is not known.
  ReplicaId leader;
  // Time of the last message from a leader; valid if one has arrived since the start.
  TimePoint last_leader_contact;
  bool has_leader_contact = false;
  TimePoint election_deadline;
  // Replicas that granted their (pre-)vote in the current election.
  std::set<ReplicaId> votes;
  ElectionReason election_reason = ElectionReason::kTimeout;

  // Used by a leader.
  std::map<ReplicaId, Progress> progress;
  TimePoint heartbeat_deadline;
  TimePoint next_member_report;
  // The no-op entry with which the current term of this leader began.
  LogIndex no_op_index;
  std::size_t uncommitted_bytes = 0;
  std::optional<ReplicaId> transfer_target;
  // Whether kTimeoutNow was sent to the transfer target since the last heartbeat.
  bool timeout_now_sent = false;
  TimePoint transfer_deadline;
  // Replicas that are no members and asked to be added, by node.
  std::map<NodeId, ReplicaId> join_requests;

  // Used by a replica without a group.
  TimePoint hello_deadline;
  // Nodes that receive a kHello.
  std::set<NodeId> hello_targets;
  // Identities of this replica and of the nodes that replied to a kHello.
  std::map<NodeId, ReplicaIdentity> node_identities;
  bool group_exists = false;

  // Messages of the current leader whose preceding entries have not arrived, by the index before
  // their first entry.
  std::map<LogIndex, Message> early_appends;
  std::size_t early_append_bytes = 0;
  // Snapshot of which some chunks have been received.
  std::optional<Snapshot> incoming_snapshot;

  // Last entry whose call to the state machine is in `actions` or was returned with them.
  LogIndex applying_index;
  std::size_t bytes_since_snapshot = 0;
  bool snapshot_requested = false;
  // Role that was last reported to the state machine, and its term.
  Role reported_role = Role::kFollower;
  Term reported_term;

  // Number of the last batch for the storage.
  std::uint64_t last_batch = 0;
  // Batch that contains the vote of this candidate for itself.
  std::uint64_t vote_batch = 0;
  bool hard_state_changed = false;
  // First entry that was not yet returned for storing.
  LogIndex first_unwritten;
  // Last entry that is known to be synced.
  LogIndex persisted_index;
  // A batch that is not yet synced, and the last entry that is stored once it is.
  struct PendingPersist {
    std::uint64_t batch_number = 0;
    LogIndex last_index;
  };
  std::deque<PendingPersist> pending_persists;

  Actions actions;
};

}  // namespace parsleyline::raft
