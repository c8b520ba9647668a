#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "raft/raft_node_impl.h"

namespace parsleyline::raft {

void RaftNode::Impl::FollowLeader(const Message& m) {
  if (phase != Phase::kFollower) BecomeFollower(hard.term, m.from);
  leader = m.from;
  leader_contact = now;
  leader_heard = true;
  ResetElectionTimer();
}

void RaftNode::Impl::OnAppend(const Message& m) {
  if (!PARSLEYLINE_CHECK(phase != Phase::kLeader)) return;
  FollowLeader(m);
  // The leader has every committed entry, so the logs match up to the commit index.
  if (m.index < commit) return AcknowledgeUpTo(m.from, commit);
  if (log.TermAt(m.index) != m.log_term) return RejectAppend(m);
  AcceptEntries(m);
}

void RaftNode::Impl::AcceptEntries(const Message& m) {
  for (const Entry& entry : m.entries) {
    const auto term = log.TermAt(entry.index);
    if (term == entry.term) continue;
    if (term) {
      if (!PARSLEYLINE_CHECK(entry.index > commit)) return;
      TruncateFrom(entry.index);
    }
    log.Append(entry);
  }
  const LogIndex last_matching = m.index + m.entries.size();
  commit = std::max(commit, std::min(m.commit, last_matching));
  EmitCommitted();
  AcknowledgeUpTo(m.from, last_matching);
}

void RaftNode::Impl::RejectAppend(const Message& m) {
  // Skips entries of terms later than the leader's entry at `m.index`, which the leader cannot
  // have, so that the last common entry is found with fewer messages.
  LogIndex hint = std::min(log.LastIndex(), m.index - 1);
  while (hint > commit && log.TermAt(hint) > m.log_term) hint = hint - 1;
  Message reply = MakeMessage(MessageType::kAppendReply, m.from);
  reply.verdict = Verdict::kRejected;
  reply.rejected = m.index;
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
  commit = std::max(commit, std::min(m.commit, log.LastIndex()));
  EmitCommitted();
  Send(MakeMessage(MessageType::kHeartbeatReply, m.from));
}

void RaftNode::Impl::OnSnapshot(const Message& m) {
  if (!PARSLEYLINE_CHECK(phase != Phase::kLeader)) return;
  FollowLeader(m);
  if (m.index <= commit) return AcknowledgeUpTo(m.from, commit);
  const bool continues = incoming && incoming->index == m.index && incoming->term == m.log_term;
  if (!continues) incoming = Snapshot{m.index, m.log_term, m.configuration, ""};
  if (m.offset == incoming->data.size()) incoming->data += m.chunk;
  if (incoming->data.size() == m.total) return InstallSnapshot(m);
  Message reply = MakeMessage(MessageType::kSnapshotReply, m.from);
  reply.index = m.index;
  reply.offset = incoming->data.size();
  Send(std::move(reply));
}

void RaftNode::Impl::InstallSnapshot(const Message& m) {
  snapshot = std::make_shared<const Snapshot>(std::move(*incoming));
  incoming.reset();
  actions.snapshot = snapshot;
  actions.prefix = log.Install(*snapshot);
  if (actions.prefix == Actions::Prefix::kDiscarded) TruncateFrom(snapshot->index + 1);
  // The files may still hold other entries in place of those up to the snapshot that were not
  // written yet, so the stored entries are no longer part of the log.
  if (unsaved_from <= snapshot->index) actions.prefix = Actions::Prefix::kDiscarded;
  if (actions.prefix == Actions::Prefix::kDiscarded) unsaved_from = snapshot->index + 1;
  commit = emitted = snapshot->index;
  bytes_since_snapshot = 0;
  actions.calls.push_back({.kind = StateMachineCall::Kind::kRestore, .snapshot = snapshot});
  Event("raft_snapshot_installed")
      .With("replica", self)
      .With("index", snapshot->index)
      .With("bytes", snapshot->data.size());
  AcknowledgeUpTo(m.from, commit);
}

}  // namespace parsleyline::raft
