#include <algorithm>

#include "base/event_log.h"
#include "raft/raft_node_impl.h"

namespace parsleyline::raft {

void RaftNode::Impl::ResetElectionTimer() {
  const auto min = std::chrono::duration_cast<Microseconds>(options.election_timeout_min);
  const auto max = std::chrono::duration_cast<Microseconds>(options.election_timeout_max);
  std::uniform_int_distribution<std::int64_t> timeout(min.count(), max.count());
  election_deadline = now + Microseconds(timeout(random));
}

void RaftNode::Impl::BecomeFollower(Term new_term, const ReplicaId& new_leader) {
  if (new_term > hard_state.term) {
    hard_state.term = new_term;
    hard_state.vote = ReplicaId();
    hard_state_changed = true;
  }
  if (phase == Phase::kLeader) {
    Event("raft_stepped_down").With("replica", self).With("term", hard_state.term);
    progress.clear();
    join_requests.clear();
    transfer_target.reset();
  }
  phase = Phase::kFollower;
  leader = new_leader;
  votes.clear();
  early_appends.clear();
  early_append_bytes = 0;
  ResetElectionTimer();
  const bool voter = log.CurrentConfiguration().IsVoter(self);
  ReportRole(voter ? Role::kFollower : Role::kLearner);
}

bool RaftNode::Impl::HeardFromLeaderRecently() const {
  if (phase == Phase::kLeader) return true;
  return has_leader_contact && now - last_leader_contact < options.election_timeout_min;
}

bool RaftNode::Impl::IsUpToDate(const Message& m) const {
  if (m.log_term != log.LastTerm()) return m.log_term > log.LastTerm();
  return m.index >= log.LastIndex();
}

// Asks the voters whether an election could be won, because a new term deposes the current leader
// even if the election fails.
void RaftNode::Impl::StartPreVote() {
  if (HasTestFault(TestFault::kNoPreVote)) return StartElection(ElectionReason::kTimeout);
  phase = Phase::kPreCandidate;
  leader = ReplicaId();
  votes = {self};
  ResetElectionTimer();
  for (const Member& member : log.CurrentConfiguration().members) {
    if (member.membership != Membership::kVoter || member.replica == self) continue;
    Message m = MakeMessage(MessageType::kPreVote, member.replica);
    m.term = Term(hard_state.term.value() + 1);
    m.index = log.LastIndex();
    m.log_term = log.LastTerm();
    Send(std::move(m));
  }
  CountVotes();
}

void RaftNode::Impl::StartElection(ElectionReason reason) {
  phase = Phase::kCandidate;
  leader = ReplicaId();
  hard_state.term = Term(hard_state.term.value() + 1);
  hard_state.vote = self;
  hard_state_changed = true;
  // This replica's own vote counts once it is durable, see OnPersisted().
  votes.clear();
  vote_batch = last_batch + 1;
  ResetElectionTimer();
  Event("raft_election").With("replica", self).With("term", hard_state.term);
  for (const Member& member : log.CurrentConfiguration().members) {
    if (member.membership != Membership::kVoter || member.replica == self) continue;
    Message m = MakeMessage(MessageType::kVote, member.replica);
    m.index = log.LastIndex();
    m.log_term = log.LastTerm();
    m.reason = reason;
    SendAfterSync(std::move(m));
  }
}

void RaftNode::Impl::CountVotes() {
  const Configuration& configuration = log.CurrentConfiguration();
  const auto count = static_cast<std::size_t>(
      std::count_if(votes.begin(), votes.end(),
                    [&configuration](const ReplicaId& id) { return configuration.IsVoter(id); }));
  if (count < configuration.Majority()) return;
  if (phase == Phase::kPreCandidate) {
    StartElection(ElectionReason::kTimeout);
  } else if (phase == Phase::kCandidate) {
    BecomeLeader();
  }
}

void RaftNode::Impl::BecomeLeader() {
  phase = Phase::kLeader;
  leader = self;
  Event("raft_leader")
      .With("replica", self)
      .With("term", hard_state.term)
      .With("votes", votes.size());
  progress.clear();
  UpdateProgressMembers();
  uncommitted_bytes = 0;
  for (LogIndex i = commit_index + 1; i <= log.LastIndex(); i = i + 1) {
    uncommitted_bytes += RaftLog::EntryBytes(log.EntryAt(i));
  }
  // Entries of earlier terms can only be committed together with an entry of this term.
  AppendEntry(EntryKind::kNoOp, "");
  no_op_index = log.LastIndex();
  heartbeat_deadline = now;
  // At first a leader does not know how far the others are.
  next_member_report = now + kMemberReportInterval;
}

// A leader that no longer gets replies from a majority steps down, so that clients look for the new
// leader.
void RaftNode::Impl::CheckQuorum() {
  if (HasTestFault(TestFault::kNoCheckQuorum)) return;
  const Configuration& configuration = log.CurrentConfiguration();
  const std::size_t reachable = CountReachableVoters(configuration);
  if (reachable >= configuration.Majority()) return;
  Event("raft_quorum_lost", Severity::kWarning)
      .With("replica", self)
      .With("term", hard_state.term)
      .With("reachable", reachable);
  BecomeFollower(hard_state.term, ReplicaId());
}

void RaftNode::Impl::OnPreVote(const Message& m) {
  // A replica that was removed while it was disconnected does not know that and asks for votes when
  // it reconnects. It is treated as a request to be added again. Other replicas than the leader
  // reply with the members, because the sender may not know the replica that leads now.
  const bool is_member = log.CurrentConfiguration().Find(m.from) != nullptr;
  if (phase == Phase::kLeader && !is_member) join_requests[m.from.node] = m.from;
  const bool grant = m.term > hard_state.term && !HeardFromLeaderRecently() && IsUpToDate(m);
  Message reply = MakeMessage(MessageType::kPreVoteReply, m.from);
  reply.status = grant ? ReplyStatus::kAccepted : ReplyStatus::kRejected;
  if (grant) reply.term = m.term;
  if (!is_member) reply.configuration = log.CurrentConfiguration();
  Send(std::move(reply));
}

void RaftNode::Impl::OnVote(const Message& m) {
  const bool can_vote = hard_state.vote == ReplicaId() || hard_state.vote == m.from;
  const bool grant = can_vote && IsUpToDate(m);
  Message reply = MakeMessage(MessageType::kVoteReply, m.from);
  reply.status = grant ? ReplyStatus::kAccepted : ReplyStatus::kRejected;
  if (!grant) return Send(std::move(reply));
  if (hard_state.vote != m.from) {
    hard_state.vote = m.from;
    hard_state_changed = true;
  }
  phase = Phase::kFollower;
  ResetElectionTimer();
  SendAfterSync(std::move(reply));
}

// Asks all nodes of a configuration from which this replica was removed to add it again. Only the
// leader does so.
void RaftNode::Impl::RequestToJoin(const Configuration& configuration) {
  if (configuration.Find(self) != nullptr) return;
  for (const Member& member : configuration.members) {
    if (member.replica.node == self.node) continue;
    Send(MakeMessage(MessageType::kHello, {member.replica.node, ReplicaIdentity()}));
  }
}

void RaftNode::Impl::OnVoteReply(const Message& m) {
  if (m.status != ReplyStatus::kAccepted) return RequestToJoin(m.configuration);
  const bool pre_vote = m.type == MessageType::kPreVoteReply;
  if (pre_vote &&
      (phase != Phase::kPreCandidate || m.term.value() != hard_state.term.value() + 1)) {
    return;
  }
  if (!pre_vote && phase != Phase::kCandidate) return;
  votes.insert(m.from);
  CountVotes();
}

}  // namespace parsleyline::raft
