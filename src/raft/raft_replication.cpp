#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "raft/raft_node_impl.h"

namespace parsleyline::raft {

Result<LogIndex> RaftNode::Impl::Propose(std::string command) {
  if (phase != Phase::kLeader) {
    return Fail(ResultCode::kNotLeader, "this replica is not the leader of the group");
  }
  if (transfer_target) {
    return Fail(ResultCode::kNotLeader, "a leadership transfer is in progress");
  }
  if (command.size() > options.max_command_bytes) {
    return Fail(ResultCode::kOutOfRange, "the command has " + std::to_string(command.size()) +
                                             " bytes; max_command_bytes is " +
                                             std::to_string(options.max_command_bytes));
  }
  if (uncommitted_bytes >= options.max_uncommitted_bytes) {
    return Fail(ResultCode::kOverloaded,
                std::to_string(uncommitted_bytes) + " bytes are not yet committed; " +
                    "max_uncommitted_bytes is " + std::to_string(options.max_uncommitted_bytes));
  }
  AppendEntry(EntryKind::kCommand, std::move(command));
  return log.LastIndex();
}

void RaftNode::Impl::UpdateProgressMembers() {
  const Configuration& configuration = log.CurrentConfiguration();
  std::erase_if(progress, [&configuration](const auto& item) {
    return configuration.Find(item.first) == nullptr;
  });
  for (const Member& member : configuration.members) {
    if (member.replica == self || progress.contains(member.replica)) continue;
    Progress added(options);
    added.round = {.end = log.LastIndex(), .start = now};
    added.next_index = log.LastIndex() + 1;
    added.last_reply_time = now;
    progress.emplace(member.replica, std::move(added));
  }
}

void RaftNode::Impl::BroadcastHeartbeat() {
  heartbeat_deadline = now + options.heartbeat;
  timeout_now_sent = false;
  for (auto& [replica, peer] : progress) {
    Message m = MakeMessage(MessageType::kHeartbeat, replica);
    m.commit_index = std::min(peer.match_index, commit_index);
    Send(std::move(m));
  }
  ContinueTransfer();
}

void RaftNode::Impl::Replicate() {
  for (auto& [replica, peer] : progress) ReplicateTo(replica, &peer);
}

void RaftNode::Impl::ReplicateTo(const ReplicaId& to, Progress* peer) {
  if (peer->state != Progress::State::kSnapshot && !log.TermAt(peer->next_index - 1)) {
    peer->state = Progress::State::kSnapshot;
    peer->snapshot = snapshot;
    peer->snapshot_offset = 0;
    peer->awaiting_reply = false;
    peer->sent_again = false;
  }
  switch (peer->state) {
    case Progress::State::kProbe:
      if (peer->awaiting_reply || peer->match_index >= log.LastIndex()) return;
      return SendEntries(to, peer);
    case Progress::State::kReplicate:
      while (peer->next_index <= log.LastIndex() &&
             peer->in_flight.size() < options.max_in_flight_messages &&
             peer->in_flight_bytes < peer->window.bytes()) {
        SendEntries(to, peer);
      }
      return;
    case Progress::State::kSnapshot:
      if (!peer->awaiting_reply) SendSnapshotChunk(to, peer);
      return;
  }
}

void RaftNode::Impl::SendEntries(const ReplicaId& to, Progress* peer) {
  Message m = MakeMessage(MessageType::kAppend, to);
  m.index = peer->next_index - 1;
  m.log_term = log.TermAt(m.index).value_or(Term());
  m.commit_index = commit_index;
  m.entries = log.Slice(peer->next_index, peer->window.message_bytes());
  std::size_t bytes = 0;
  for (const Entry& entry : m.entries) bytes += RaftLog::EntryBytes(entry);
  if (peer->state != Progress::State::kReplicate) {
    RecordSent(bytes, peer);
  } else if (!m.entries.empty()) {
    peer->next_index = m.entries.back().index + 1;
    peer->in_flight.push_back({m.entries.back().index, bytes, now});
    peer->in_flight_bytes += bytes;
  }
  Send(std::move(m));
}

void RaftNode::Impl::SendSnapshotChunk(const ReplicaId& to, Progress* peer) {
  if (!PARSLEYLINE_CHECK(peer->snapshot != nullptr)) return;
  const Snapshot& source = *peer->snapshot;
  Message m = MakeMessage(MessageType::kSnapshot, to);
  m.index = source.index;
  m.log_term = source.term;
  m.configuration = source.configuration;
  m.offset = peer->snapshot_offset;
  m.total_bytes = source.data.size();
  m.chunk = source.data.substr(peer->snapshot_offset,
                               std::min(options.snapshot_chunk_bytes, peer->window.bytes()));
  RecordSent(m.chunk.size(), peer);
  Send(std::move(m));
}

void RaftNode::Impl::RecordSent(std::size_t bytes, Progress* peer) {
  peer->awaiting_reply = true;
  peer->sent_at = now;
  peer->sent_bytes = bytes;
}

void RaftNode::Impl::EnterProbe(Progress* peer, LogIndex next) {
  peer->state = Progress::State::kProbe;
  peer->next_index = std::max(next, peer->match_index + 1);
  peer->awaiting_reply = false;
  peer->sent_again = false;
  peer->in_flight.clear();
  peer->in_flight_bytes = 0;
  peer->check_index = LogIndex();
  peer->snapshot.reset();
}

void RaftNode::Impl::OnAppendReply(const Message& m) {
  const auto it = progress.find(m.from);
  if (phase != Phase::kLeader || it == progress.end()) return;
  it->second.last_reply_time = now;
  if (m.status == ReplyStatus::kRejected) return OnAppendRejected(m, &it->second);
  OnAppendAccepted(m, &it->second);
  AdvanceCommit();
  ContinueTransfer();
}

// Messages may overtake each other, so only the reply to the newest question tells what is missing.
void RaftNode::Impl::OnAppendRejected(const Message& m, Progress* peer) {
  if (m.rejected_index <= peer->match_index) return;
  const LogIndex next = std::min(m.rejected_index, m.index + 1);
  if (peer->state == Progress::State::kProbe) {
    if (m.rejected_index == peer->next_index - 1) EnterProbe(peer, next);
    return;
  }
  if (peer->state != Progress::State::kReplicate || m.rejected_index != peer->check_index) return;
  peer->window.OnLost();
  EnterProbe(peer, next);
  peer->sent_again = true;
}

void RaftNode::Impl::OnAppendAccepted(const Message& m, Progress* peer) {
  const bool advanced = m.index > peer->match_index;
  peer->match_index = std::max(peer->match_index, m.index);
  // A rejected check that was sent before says nothing about the messages that are left.
  if (advanced) peer->check_index = LogIndex();
  const std::size_t in_flight_before = peer->in_flight_bytes;
  std::size_t acknowledged = 0;
  TimePoint sent_at;
  while (!peer->in_flight.empty() && peer->in_flight.front().last_index <= peer->match_index) {
    acknowledged += peer->in_flight.front().bytes;
    sent_at = peer->in_flight.front().sent_at;
    peer->in_flight_bytes -= peer->in_flight.front().bytes;
    peer->in_flight.pop_front();
  }
  if (peer->state == Progress::State::kProbe && peer->awaiting_reply && !peer->sent_again) {
    acknowledged = peer->sent_bytes;
    sent_at = peer->sent_at;
  }
  if (acknowledged > 0) {
    peer->window.OnAcknowledged(
        {.bytes = acknowledged, .in_flight = in_flight_before, .round_trip = now - sent_at}, now);
  } else if (advanced) {
    peer->window.OnProgress();
  }
  const bool snapshot_done =
      peer->state == Progress::State::kSnapshot && peer->match_index >= peer->snapshot->index;
  if (peer->state == Progress::State::kProbe || snapshot_done) {
    EnterProbe(peer, peer->match_index + 1);
    peer->state = Progress::State::kReplicate;
  }
  AdvanceRound(peer);
}

void RaftNode::Impl::AdvanceRound(Progress* peer) const {
  if (peer->match_index < peer->round.end) return;
  peer->round = {.end = log.LastIndex(),
                 .start = now,
                 .previous_was_prompt = now - peer->round.start <= options.election_timeout_min};
}

void RaftNode::Impl::OnHeartbeatReply(const Message& m) {
  const auto it = progress.find(m.from);
  if (phase != Phase::kLeader || it == progress.end()) return;
  Progress& peer = it->second;
  peer.last_reply_time = now;
  if (peer.state == Progress::State::kReplicate) return CheckInFlight(m.from, &peer);
  if (!peer.awaiting_reply || now - peer.sent_at < peer.window.timeout()) return;
  peer.window.OnLost();
  peer.awaiting_reply = false;
  peer.sent_again = true;
}

void RaftNode::Impl::CheckInFlight(const ReplicaId& to, Progress* peer) {
  const Duration timeout = peer->window.timeout();
  if (peer->in_flight.empty() || now - peer->in_flight.front().sent_at < timeout) return;
  if (peer->check_index != LogIndex() && now - peer->check_sent_at < timeout) return;
  Message check = MakeMessage(MessageType::kAppend, to);
  check.index = peer->next_index - 1;
  check.log_term = log.TermAt(check.index).value_or(Term());
  check.commit_index = commit_index;
  peer->check_index = check.index;
  peer->check_sent_at = now;
  Send(std::move(check));
}

void RaftNode::Impl::OnSnapshotReply(const Message& m) {
  const auto it = progress.find(m.from);
  if (phase != Phase::kLeader || it == progress.end()) return;
  Progress& peer = it->second;
  peer.last_reply_time = now;
  if (peer.state != Progress::State::kSnapshot || peer.snapshot->index != m.index) return;
  if (peer.awaiting_reply && !peer.sent_again) {
    peer.window.OnAcknowledged(
        {.bytes = peer.sent_bytes, .in_flight = peer.sent_bytes, .round_trip = now - peer.sent_at},
        now);
  } else {
    peer.window.OnProgress();
  }
  peer.snapshot_offset = std::min<std::uint64_t>(m.offset, peer.snapshot->data.size());
  peer.awaiting_reply = false;
  peer.sent_again = false;
}

void RaftNode::Impl::AdvanceCommit() {
  const Configuration& configuration = log.CurrentConfiguration();
  std::vector<LogIndex> matches;
  if (configuration.IsVoter(self)) matches.push_back(persisted_index);
  for (const auto& [replica, peer] : progress) {
    if (configuration.IsVoter(replica)) matches.push_back(peer.match_index);
  }
  if (matches.size() < configuration.Majority()) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex agreed = matches[configuration.Majority() - 1];
  if (agreed <= commit_index || log.TermAt(agreed) != hard_state.term) return;
  for (LogIndex i = commit_index + 1; i <= agreed; i = i + 1) {
    uncommitted_bytes -= std::min(uncommitted_bytes, RaftLog::EntryBytes(log.EntryAt(i)));
  }
  commit_index = agreed;
  ApplyCommitted();
}

Result<void> RaftNode::Impl::TransferLeadership(const NodeId& target) {
  if (phase != Phase::kLeader) {
    return Fail(ResultCode::kNotLeader, "this replica is not the leader of the group");
  }
  const std::pair<const ReplicaId, Progress>* best = nullptr;
  for (const auto& item : progress) {
    if (!log.CurrentConfiguration().IsVoter(item.first)) continue;
    if (target != NodeId() && item.first.node != target) continue;
    if (!IsReachable(item.second)) continue;
    if (best == nullptr || item.second.match_index > best->second.match_index) best = &item;
  }
  if (best == nullptr) {
    return Fail(ResultCode::kNotFound, target == NodeId()
                                           ? "no other voter is reachable"
                                           : "no reachable voter on node " + target.value());
  }
  Event("raft_transfer").With("replica", self).With("target", best->first);
  transfer_target = best->first;
  timeout_now_sent = false;
  transfer_deadline = now + options.election_timeout_max;
  ContinueTransfer();
  return {};
}

void RaftNode::Impl::ContinueTransfer() {
  if (!transfer_target || timeout_now_sent) return;
  const auto it = progress.find(*transfer_target);
  if (it == progress.end() || it->second.match_index < log.LastIndex()) return;
  timeout_now_sent = true;
  Send(MakeMessage(MessageType::kTimeoutNow, *transfer_target));
}

}  // namespace parsleyline::raft
