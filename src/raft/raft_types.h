#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "raft/replicated_log.h"

namespace parsleyline::raft {

/// Random number generated when a replica starts with an empty disk. A replica that lost its disk
/// gets a new one, so the group never counts it as the replica that had the lost state. 0 is never
/// assigned.
using ReplicaIdentity = StrongId<struct ReplicaIdentityTag, std::uint64_t>;
/// Random number generated when a group is bootstrapped. A replica with the group id 0 is not a
/// member of any group yet.
using GroupId = StrongId<struct GroupIdTag, std::uint64_t>;

inline LogIndex operator+(LogIndex index, std::uint64_t n) { return LogIndex(index.value() + n); }
inline LogIndex operator-(LogIndex index, std::uint64_t n) { return LogIndex(index.value() - n); }
inline std::uint64_t operator-(LogIndex a, LogIndex b) { return a.value() - b.value(); }

/// Identifies a replica: the node it runs on and the identity of its stored state. Printed as
/// "<node>/<identity in hexadecimal>".
struct ReplicaId {
  NodeId node;
  ReplicaIdentity identity;

  auto operator<=>(const ReplicaId&) const = default;
  auto Fields() { return std::tie(node, identity); }
};

std::ostream& operator<<(std::ostream& out, const ReplicaId& id);

enum class Membership : std::uint8_t {
  /// Receives the log, but counts neither in elections nor in commits.
  kLearner = 0,
  /// Counts in elections and commits.
  kVoter = 1,
};

struct Member {
  ReplicaId replica;
  Membership membership = Membership::kLearner;

  bool operator==(const Member&) const = default;
  auto Fields() { return std::tie(replica, membership); }
};

/// The members of a group. A new configuration takes effect as soon as its entry is appended to the
/// log, before that entry is committed.
struct Configuration {
  std::vector<Member> members;

  bool operator==(const Configuration&) const = default;
  auto Fields() { return std::tie(members); }

  /// Returns the member with this id, or null.
  const Member* Find(const ReplicaId& replica) const;
  /// Returns whether the node has a member, under any identity.
  bool HasNode(const NodeId& node) const;
  bool IsVoter(const ReplicaId& replica) const;
  std::size_t VoterCount() const;
  /// Number of voters that must agree to elect a leader or to commit an entry.
  std::size_t Majority() const { return VoterCount() / 2 + 1; }
};

enum class EntryKind : std::uint8_t {
  /// A command for the state machine.
  kCommand = 0,
  /// Appended by a new leader, which can commit entries of earlier terms only together with one of
  /// its own term.
  kNoOp = 1,
  /// `data` is an encoded Configuration.
  kConfiguration = 2,
};

/// One entry of the replicated log.
struct Entry {
  LogIndex index;
  Term term;
  EntryKind kind = EntryKind::kCommand;
  std::string data;

  bool operator==(const Entry&) const = default;
  auto Fields() { return std::tie(index, term, kind, data); }
};

/// The part of a replica's state, besides the log, that must survive a restart, so that the replica
/// does not vote twice in a term.
struct HardState {
  Term term;
  /// Candidate that got the vote of this replica in `term`; empty if none did.
  ReplicaId vote;
  GroupId group;

  bool operator==(const HardState&) const = default;
  auto Fields() { return std::tie(term, vote, group); }
};

/// The state of the state machine after the entry at `index`, which has the term `term`.
struct Snapshot {
  LogIndex index;
  Term term;
  /// The configuration in effect at `index`.
  Configuration configuration;
  /// Result of StateMachine::TakeSnapshot().
  std::string data;

  auto Fields() { return std::tie(index, term, configuration, data); }
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// The stored state of a replica, as read when it starts.
struct DurableState {
  ReplicaId self;
  HardState hard_state;
  /// Null before the first snapshot.
  SnapshotPtr snapshot;
  /// Entries that follow the snapshot, without gaps.
  std::vector<Entry> entries;
};

enum class MessageType : std::uint8_t {
  /// Sent by a replica without a group to announce its identity and to ask to be added.
  kHello = 0,
  /// Carries the identity, group and configuration of the receiver of a kHello.
  kHelloReply = 1,
  /// Carries the first log entry to a replica without a group that this entry lists as a voter.
  kBootstrap = 2,
  /// Asks whether the receiver would vote for the sender in an election.
  kPreVote = 3,
  kPreVoteReply = 4,
  kVote = 5,
  kVoteReply = 6,
  /// Carries log entries.
  kAppend = 7,
  kAppendReply = 8,
  kHeartbeat = 9,
  kHeartbeatReply = 10,
  /// Carries one chunk of a snapshot.
  kSnapshot = 11,
  /// Acknowledges a chunk that is not the last one.
  kSnapshotReply = 12,
  /// Makes the target of a leadership transfer start an election at once.
  kTimeoutNow = 13,
};

/// Whether the sender of a reply granted the vote or accepted the entries.
enum class ReplyStatus : std::uint8_t { kAccepted = 0, kRejected = 1 };

enum class ElectionReason : std::uint8_t {
  /// The candidate has not heard from a leader for an election timeout.
  kTimeout = 0,
  /// The leader handed its leadership over to the candidate.
  kTransfer = 1,
};

/// A message between two replicas. The type determines which members are used.
struct Message {
  MessageType type = MessageType::kHello;
  GroupId group;
  ReplicaId from;
  ReplicaId to;
  Term term;
  /// kPreVote, kVote: last entry of the candidate. kAppend: entry before `entries`. kAppendReply:
  /// last matching entry, or if rejected, the entry after which the leader should continue.
  /// kSnapshot, kSnapshotReply: last entry that the snapshot covers.
  LogIndex index;
  /// Term of the entry at `index`.
  Term log_term;
  /// kAppend, kHeartbeat: commit index up to which the receiver may apply entries.
  LogIndex commit_index;
  /// kAppendReply: `index` of the rejected kAppend.
  LogIndex rejected_index;
  ReplyStatus status = ReplyStatus::kAccepted;
  ElectionReason reason = ElectionReason::kTimeout;
  std::vector<Entry> entries;
  /// kSnapshot: configuration of the snapshot. kHelloReply: current configuration of the sender.
  Configuration configuration;
  /// kSnapshot: offset of `chunk` in the data of the snapshot. kSnapshotReply: bytes received so
  /// far.
  std::uint64_t offset = 0;
  /// kSnapshot: size of the data of the snapshot in bytes.
  std::uint64_t total_bytes = 0;
  std::string chunk;

  auto Fields() {
    return std::tie(type, group, from, to, term, index, log_term, commit_index, rejected_index,
                    status, reason, entries, configuration, offset, total_bytes, chunk);
  }
};

/// One call to the state machine. The owner of the RaftNode makes the calls in order.
struct StateMachineCall {
  enum class Kind {
    /// StateMachine::Apply().
    kApply,
    /// StateMachine::OnRoleChange().
    kRoleChange,
    /// StateMachine::Restore().
    kRestore,
    /// StateMachine::TakeSnapshot().
    kTakeSnapshot,
  };
  Kind kind = Kind::kApply;
  /// kApply: the entry, always of the kind kCommand.
  Entry entry;
  /// kRoleChange: the new role and its term.
  Role role = Role::kFollower;
  Term term;
  /// kRestore: the snapshot. kTakeSnapshot: index, term and configuration for the new snapshot,
  /// without data.
  SnapshotPtr snapshot;
};

/// What the owner of a RaftNode has to carry out after one or more events.
struct Actions {
  /// Number to pass to RaftNode::OnPersisted() once the hard state, snapshot and entries of this
  /// batch are synced. 0 if there is nothing to sync and `messages_after_sync` is empty.
  std::uint64_t batch_number = 0;
  /// The new hard state, if it has changed.
  std::optional<HardState> hard_state;
  /// A snapshot received from the leader, to be stored before `entries`. Null if there is none.
  SnapshotPtr snapshot;
  /// Whether the entries that were stored before `snapshot` remain part of the log.
  enum class Prefix { kKept, kDiscarded } prefix = Prefix::kKept;
  /// Entries to append. An entry whose index is already stored replaces the stored entry and all
  /// entries after it.
  std::vector<Entry> entries;
  /// Messages to send at once.
  std::vector<Message> messages;
  /// Messages that rely on durable state: to be sent only after this batch and all earlier ones are
  /// synced.
  std::vector<Message> messages_after_sync;
  /// Calls to the state machine.
  std::vector<StateMachineCall> calls;
};

}  // namespace parsleyline::raft
