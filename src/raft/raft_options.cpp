#include "raft/raft_options.h"

namespace parsleyline::raft {
namespace {

// The loss of one or two heartbeats must not start an election.
constexpr int kMinHeartbeatsPerElection = 3;
// Leaves space for the other members of a message within the maximum size of an RPC body.
constexpr std::size_t kMaxMessageBytes = std::size_t{4} << 20U;
constexpr std::size_t kMaxCommandBytes = (std::size_t{8} << 20U) - (std::size_t{64} << 10U);

}  // namespace

Result<void> RaftOptions::Validate() const {
  const auto fail = [](const char* message) { return Fail(ResultCode::kOutOfRange, message); };
  if (heartbeat < Milliseconds(1)) return fail("heartbeat must be at least 1 ms");
  if (election_timeout_min < heartbeat * kMinHeartbeatsPerElection) {
    return fail("election_timeout_min must be at least three heartbeats");
  }
  if (election_timeout_max <= election_timeout_min) {
    return fail("election_timeout_max must exceed election_timeout_min");
  }
  if (max_message_bytes == 0 || max_message_bytes > kMaxMessageBytes) {
    return fail("max_message_bytes must be between 1 and 4194304");
  }
  if (max_command_bytes == 0 || max_command_bytes > kMaxCommandBytes) {
    return fail("max_command_bytes must be between 1 and 8323072");
  }
  if (snapshot_chunk_bytes == 0 || snapshot_chunk_bytes > kMaxMessageBytes) {
    return fail("snapshot_chunk_bytes must be between 1 and 4194304");
  }
  if (max_in_flight_bytes < max_message_bytes) {
    return fail("max_in_flight_bytes must be at least max_message_bytes");
  }
  if (max_in_flight_messages == 0) return fail("max_in_flight_messages must be at least 1");
  if (max_uncommitted_bytes == 0) return fail("max_uncommitted_bytes must be at least 1");
  if (compaction_threshold_bytes == 0) return fail("compaction_threshold_bytes must be at least 1");
  return {};
}

}  // namespace parsleyline::raft
