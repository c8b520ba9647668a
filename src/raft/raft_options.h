#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "base/units.h"

namespace parsleyline::raft {

/// Mechanisms that tests switch off to show that their checks notice it. Never set elsewhere.
enum class TestFault : std::uint8_t {
  kNone,
  /// Acknowledges entries and votes before they are synced.
  kAckBeforeSync,
  /// Does not store the vote.
  kForgetVote,
  /// Starts elections without asking whether they can be won.
  kNoPreVote,
  /// A leader stays leader without replies from a majority.
  kNoCheckQuorum,
  /// Accepts a replica under any identity, and lets a replica without a disk vote.
  kIgnoreIdentity,
};

/// What a leader does about a replica that reports under a new identity.
enum class LostReplicaPolicy : std::uint8_t {
  /// Waits for explicit membership changes.
  kManual,
  /// Adds it as a learner. Any learner that has caught up is promoted, after the replicas of the
  /// same name with another identity have been removed.
  kReplace,
  /// As kReplace, and admits replicas of any name: for groups whose members are not listed
  /// anywhere.
  kAdmitNew,
};

/// Timings and limits of a replica.
struct RaftOptions {
  Milliseconds heartbeat{50};
  Milliseconds election_timeout_min{300};
  Milliseconds election_timeout_max{600};
  /// A snapshot is taken when this many bytes were applied since the last one, or as many as the
  /// last snapshot has, whichever is more. A quarter of it stays for followers that lag.
  std::size_t compaction_threshold_bytes = std::size_t{8} << 20U;
  /// Bytes proposed and not yet committed; further proposals fail with kOverloaded.
  std::size_t max_uncommitted_bytes = std::size_t{8} << 20U;
  /// Bytes and messages sent to one follower and not yet acknowledged.
  std::size_t max_in_flight_bytes = std::size_t{4} << 20U;
  std::size_t max_in_flight_messages = 8;
  /// Entries in one message, and the largest command.
  std::size_t max_message_bytes = std::size_t{1} << 20U;
  std::size_t snapshot_chunk_bytes = std::size_t{1} << 20U;
  LostReplicaPolicy lost_replicas = LostReplicaPolicy::kReplace;
  /// kAdmitNew: a voter that has been silent for this long makes way for a new replica. Longer than
  /// a restart takes.
  Milliseconds replace_voter_after{3000};
  /// kAdmitNew: a voter that has been silent for this long leaves a group of more than three, if
  /// the number of voters is even or another one is silent too.
  Milliseconds drop_voter_after{8000};
  TestFault test_fault = TestFault::kNone;

  /// Checks each option and how they relate; the message names the option to change.
  Result<void> Validate() const;
};

/// Options of one replica of one group.
struct NodeOptions {
  RaftOptions raft;
  /// Voters of the group when it is bootstrapped. All of them must be running and without state
  /// for that; a replica that joins later asks them to be admitted.
  std::vector<NodeId> initial_voters;
  /// False if the group is known to exist: a replica without state then waits to be admitted.
  bool may_bootstrap = true;
};

}  // namespace parsleyline::raft
