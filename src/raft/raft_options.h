#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "base/units.h"

namespace parsleyline::raft {

/// Safety mechanism that a test disables to show that its checks detect the missing mechanism.
/// Production code always uses kNone.
enum class TestFault : std::uint8_t {
  kNone,
  /// Acknowledges entries and votes before they are synced.
  kAckBeforeSync,
  /// Does not persist the vote.
  kDiscardVote,
  /// Starts elections without a preceding pre-vote.
  kNoPreVote,
  /// The leader does not step down when a majority stops replying.
  kNoCheckQuorum,
  /// Treats a replica as a member whatever its identity, and lets a replica that lost its disk
  /// vote.
  kIgnoreIdentity,
};

/// How a leader treats a replica that asks to be added to the group.
enum class LostReplicaPolicy : std::uint8_t {
  /// Members change only through explicit membership changes.
  kManual,
  /// A replica on a node of the group or of `initial_voters` is added as a learner. Any learner
  /// that has caught up is promoted, after the members on its node with other identities have been
  /// removed.
  kReplace,
  /// Like kReplace, but admits replicas of any node. Used by groups whose members are not
  /// configured. The leader also keeps the number of voters odd and removes unresponsive voters.
  kAdmitNew,
};

/// Timeouts and limits of a replica.
struct RaftOptions {
  /// Interval between the heartbeats of a leader.
  Milliseconds heartbeat{50};
  /// Each replica chooses a random election timeout between these two limits.
  Milliseconds election_timeout_min{300};
  Milliseconds election_timeout_max{600};
  /// A snapshot is taken after this many bytes were applied since the last one, or after as many
  /// bytes as the last snapshot has if that is more. A quarter of this amount of covered entries
  /// stays in memory for followers that lag behind.
  std::size_t compaction_threshold_bytes = std::size_t{8} << 20U;
  /// Limit for proposed entries that are not yet committed. Proposals beyond it fail with
  /// kOverloaded.
  std::size_t max_uncommitted_bytes = std::size_t{8} << 20U;
  /// Limits for the entries sent to one follower that it has not yet acknowledged.
  std::size_t max_in_flight_bytes = std::size_t{4} << 20U;
  std::size_t max_in_flight_messages = 8;
  /// Limit for the entries of one message. A larger entry has a message of its own.
  std::size_t max_message_bytes = std::size_t{1} << 20U;
  /// Limit for a single command.
  std::size_t max_command_bytes = std::size_t{1} << 20U;
  /// Size of the chunks in which a snapshot is sent to a follower.
  std::size_t snapshot_chunk_bytes = std::size_t{1} << 20U;
  LostReplicaPolicy lost_replicas = LostReplicaPolicy::kReplace;
  /// kAdmitNew: a voter that has not replied for this long is replaced by a learner that has caught
  /// up. Must be longer than a restart takes.
  Milliseconds replace_voter_after{3000};
  /// kAdmitNew: a voter that has not replied for this long is removed from a group of more than
  /// three voters, if the number of voters is even or another voter does not reply either.
  Milliseconds drop_voter_after{8000};
  TestFault test_fault = TestFault::kNone;

  /// Checks each option and the relations between them. The error names the option to change.
  Result<void> Validate() const;
};

/// Options of one replica of one group.
struct NodeOptions {
  RaftOptions raft;
  /// Voters with which the group is bootstrapped. For that, all of them must run and have no stored
  /// state. A replica that starts later asks these nodes to add it to the group.
  std::vector<NodeId> initial_voters;
  /// False if the group is known to exist. A replica without stored state then only waits to be
  /// added to the group and never bootstraps a new one.
  bool may_bootstrap = true;
};

}  // namespace parsleyline::raft
