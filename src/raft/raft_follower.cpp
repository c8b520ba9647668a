#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "raft/raft_node_impl.h"

namespace parsleyline::raft {

void RaftNode::Impl::FollowLeader(const Message& m) {
  if (phase != Phase::kFollower) BecomeFollower(hard_state.term, m.from);
  leader = m.from;
  last_leader_contact = now;
  has_leader_contact = true;
  ResetElectionTimer();
}

void RaftNode::Impl::OnAppend(const Message& m) {
  if (!PARSLEYLINE_CHECK(phase != Phase::kLeader)) return;
  FollowLeader(m);
  // The leader has every committed entry, so the logs match up to the commit index.
  if (m.index < commit_index) return AcknowledgeUpTo(m.from, commit_index);
  if (log.TermAt(m.index) != m.log_term) {
    if (m.index > log.LastIndex()) KeepEarlyAppend(m);
    return RejectAppend(m);
  }
  AcceptEntries(m);
  AcceptEarlyAppends();
}

void RaftNode::Impl::KeepEarlyAppend(const Message& m) {
  std::size_t bytes = 0;
  for (const Entry& it : m.entries) bytes += RaftLog::EntryBytes(it);
  if (bytes == 0 || early_appends.size() >= options.max_in_flight_messages) return;
  if (early_append_bytes + bytes > options.max_in_flight_bytes) return;
  if (early_appends.emplace(m.index, m).second) early_append_bytes += bytes;
}

void RaftNode::Impl::AcceptEarlyAppends() {
  while (!early_appends.empty() && early_appends.begin()->first <= log.LastIndex()) {
    const Message m = std::move(early_appends.extract(early_appends.begin()).mapped());
    for (const Entry& it : m.entries) early_append_bytes -= RaftLog::EntryBytes(it);
    const bool of_this_leader = m.term == hard_state.term && m.index >= commit_index;
    if (of_this_leader && log.TermAt(m.index) == m.log_term) AcceptEntries(m);
  }
}

void RaftNode::Impl::AcceptEntries(const Message& m) {
  for (const Entry& entry : m.entries) {
    const auto term = log.TermAt(entry.index);
    if (term == entry.term) continue;
    if (term) {
      if (!PARSLEYLINE_CHECK(entry.index > commit_index)) return;
      TruncateFrom(entry.index);
    }
    log.Append(entry);
  }
  const LogIndex last_matching = m.index + m.entries.size();
  commit_index = std::max(commit_index, std::min(m.commit_index, last_matching));
  ApplyCommitted();
  AcknowledgeUpTo(m.from, last_matching);
}

void RaftNode::Impl::RejectAppend(const Message& m) {
  // Skips entries of terms later than the leader's entry at `m.index`, which the leader cannot
  // have, so that the last common entry is found with fewer messages.
  LogIndex hint = std::min(log.LastIndex(), m.index - 1);
  while (hint > commit_index && log.TermAt(hint) > m.log_term) hint = hint - 1;
  Message reply = MakeMessage(MessageType::kAppendReply, m.from);
  reply.status = ReplyStatus::kRejected;
  reply.rejected_index = m.index;
  reply.index = hint;
  Send(std::move(reply));
}

// The reply waits for the next sync even if the message contained no new entries, because the
// acknowledged entries may not be synced yet.
void RaftNode::Impl::AcknowledgeUpTo(const ReplicaId& to, LogIndex index) {
  Message reply = MakeMessage(MessageType::kAppendReply, to);
  reply.index = index;
  SendAfterSync(std::move(reply));
}

void RaftNode::Impl::OnHeartbeat(const Message& m) {
  if (!PARSLEYLINE_CHECK(phase != Phase::kLeader)) return;
  FollowLeader(m);
  commit_index = std::max(commit_index, std::min(m.commit_index, log.LastIndex()));
  ApplyCommitted();
  Send(MakeMessage(MessageType::kHeartbeatReply, m.from));
}

void RaftNode::Impl::OnSnapshot(const Message& m) {
  if (!PARSLEYLINE_CHECK(phase != Phase::kLeader)) return;
  FollowLeader(m);
  if (m.index <= commit_index) return AcknowledgeUpTo(m.from, commit_index);
  const bool continues = incoming_snapshot && incoming_snapshot->index == m.index &&
                         incoming_snapshot->term == m.log_term;
  if (!continues) incoming_snapshot = Snapshot{m.index, m.log_term, m.configuration, ""};
  if (m.offset == incoming_snapshot->data.size()) incoming_snapshot->data += m.chunk;
  if (incoming_snapshot->data.size() == m.total_bytes) return InstallSnapshot(m);
  Message reply = MakeMessage(MessageType::kSnapshotReply, m.from);
  reply.index = m.index;
  reply.offset = incoming_snapshot->data.size();
  Send(std::move(reply));
}

void RaftNode::Impl::InstallSnapshot(const Message& m) {
  snapshot = std::make_shared<const Snapshot>(std::move(*incoming_snapshot));
  incoming_snapshot.reset();
  actions.snapshot = snapshot;
  actions.prefix = log.InstallSnapshot(*snapshot);
  if (actions.prefix == Actions::Prefix::kDiscarded) TruncateFrom(snapshot->index + 1);
  // The files may still hold other entries in place of those up to the snapshot that were not
  // written yet, so the stored entries are no longer part of the log.
  if (first_unwritten <= snapshot->index) actions.prefix = Actions::Prefix::kDiscarded;
  if (actions.prefix == Actions::Prefix::kDiscarded) first_unwritten = snapshot->index + 1;
  commit_index = applying_index = snapshot->index;
  bytes_since_snapshot = 0;
  actions.calls.push_back({.kind = StateMachineCall::Kind::kRestore, .snapshot = snapshot});
  Event("raft_snapshot_installed")
      .With("replica", self)
      .With("index", snapshot->index)
      .With("bytes", snapshot->data.size());
  AcknowledgeUpTo(m.from, commit_index);
}

}  // namespace parsleyline::raft
