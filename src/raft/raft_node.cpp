#include "raft/raft_node.h"

#include <algorithm>

#include "base/event_log.h"
#include "raft/raft_node_impl.h"

namespace parsleyline::raft {

RaftNode::Impl::Impl(NodeOptions node_options, DurableState state, std::uint64_t seed,
                     TimePoint start)
    : options(node_options.raft),
      initial_voters(std::move(node_options.initial_voters)),
      may_bootstrap(node_options.may_bootstrap),
      self(state.self),
      random(seed),
      now(start),
      hard_state(state.hard_state),
      log(state.snapshot.get(), std::move(state.entries)),
      snapshot(std::move(state.snapshot)) {
  if (snapshot != nullptr) {
    commit_index = applying_index = snapshot->index;
    actions.calls.push_back({.kind = StateMachineCall::Kind::kRestore, .snapshot = snapshot});
  }
  persisted_index = log.LastIndex();
  first_unwritten = log.LastIndex() + 1;
  hello_deadline = now;
  ResetElectionTimer();
}

void RaftNode::Impl::Tick(TimePoint time) {
  now = time;
  if (HasNoGroup()) {
    if (now >= hello_deadline) SendHello();
    return;
  }
  if (phase != Phase::kLeader) {
    if (now < election_deadline) return;
    return log.CurrentConfiguration().IsVoter(self) ? StartPreVote() : AskToBeAdded();
  }
  CheckQuorum();
  if (phase != Phase::kLeader || now < heartbeat_deadline) return;
  if (transfer_target && now >= transfer_deadline) transfer_target.reset();
  BroadcastHeartbeat();
  MaintainMembership();
  ReportMembers();
}

bool RaftNode::Impl::IsAddressedToMe(const Message& m) const {
  if (m.type == MessageType::kHello) return m.to.node == self.node;
  return m.to == self;
}

// TestFault::kIgnoreIdentity: treats any replica on the node of a member as that member.
void RaftNode::Impl::IgnoreIdentity(Message* m) const {
  if (m->type <= MessageType::kBootstrap) return;
  if (m->to.node == self.node) m->to = self;
  for (const Member& member : log.CurrentConfiguration().members) {
    if (member.replica.node == m->from.node) m->from = member.replica;
  }
}

// Returns whether the message belongs to the group of this replica. A replica without a group joins
// the group of the first leader that sends it a message addressed to its identity.
bool RaftNode::Impl::AcceptGroup(const Message& m) {
  if (m.group == hard_state.group && !HasNoGroup()) return true;
  if (!HasNoGroup() || m.group == GroupId()) return false;
  const bool from_leader = m.type == MessageType::kAppend || m.type == MessageType::kHeartbeat ||
                           m.type == MessageType::kSnapshot;
  if (!from_leader && !HasTestFault(TestFault::kIgnoreIdentity)) return false;
  JoinGroup(m.group);
  return true;
}

void RaftNode::Impl::Receive(Message m) {
  if (HasTestFault(TestFault::kIgnoreIdentity)) IgnoreIdentity(&m);
  if (!IsAddressedToMe(m)) return;
  if (m.type == MessageType::kHello) return OnHello(m);
  if (m.type == MessageType::kHelloReply) return OnHelloReply(m);
  if (m.type == MessageType::kBootstrap) return OnBootstrap(m);
  if (!AcceptGroup(m)) return;
  if (m.term < hard_state.term) return RejectOldTerm(m);
  if (m.term > hard_state.term && !AcceptTerm(m)) return;
  Dispatch(m);
}

// Moves to the term of a message with a later term, if the message calls for that. Returns false if
// the message is to be ignored.
bool RaftNode::Impl::AcceptTerm(const Message& m) {
  switch (m.type) {
    case MessageType::kPreVote:
      return true;
    case MessageType::kPreVoteReply:
      if (m.status == ReplyStatus::kAccepted) return true;
      break;
    case MessageType::kVote:
      // An election would needlessly depose a leader that still sends heartbeats.
      if (m.reason != ElectionReason::kTransfer && HeardFromLeaderRecently()) return false;
      break;
    default:
      break;
  }
  BecomeFollower(m.term, ReplicaId());
  return true;
}

// Sends the current term to the sender of a message of an earlier term, so that a deposed leader
// steps down.
void RaftNode::Impl::RejectOldTerm(const Message& m) {
  MessageType reply_type = MessageType::kAppendReply;
  if (m.type == MessageType::kPreVote) {
    reply_type = MessageType::kPreVoteReply;
  } else if (m.type == MessageType::kVote) {
    reply_type = MessageType::kVoteReply;
  } else if (m.type != MessageType::kAppend && m.type != MessageType::kHeartbeat &&
             m.type != MessageType::kSnapshot) {
    return;
  }
  Message reply = MakeMessage(reply_type, m.from);
  reply.status = ReplyStatus::kRejected;
  reply.rejected_index = m.index;
  Send(std::move(reply));
}

void RaftNode::Impl::Dispatch(const Message& m) {
  switch (m.type) {
    case MessageType::kPreVote:
      return OnPreVote(m);
    case MessageType::kVote:
      return OnVote(m);
    case MessageType::kPreVoteReply:
    case MessageType::kVoteReply:
      return OnVoteReply(m);
    case MessageType::kAppend:
      return OnAppend(m);
    case MessageType::kAppendReply:
      return OnAppendReply(m);
    case MessageType::kHeartbeat:
      return OnHeartbeat(m);
    case MessageType::kHeartbeatReply:
      return OnHeartbeatReply(m);
    case MessageType::kSnapshot:
      return OnSnapshot(m);
    case MessageType::kSnapshotReply:
      return OnSnapshotReply(m);
    case MessageType::kTimeoutNow:
      if (log.CurrentConfiguration().IsVoter(self)) StartElection(ElectionReason::kTransfer);
      return;
    default:
      return;
  }
}

Message RaftNode::Impl::MakeMessage(MessageType type, const ReplicaId& to) const {
  Message m;
  m.type = type;
  m.group = hard_state.group;
  m.from = self;
  m.to = to;
  m.term = hard_state.term;
  return m;
}

void RaftNode::Impl::SendAfterSync(Message m) {
  auto& queue =
      HasTestFault(TestFault::kAckBeforeSync) ? actions.messages : actions.messages_after_sync;
  queue.push_back(std::move(m));
}

void RaftNode::Impl::AppendEntry(EntryKind kind, std::string data) {
  log.Append({log.LastIndex() + 1, hard_state.term, kind, std::move(data)});
  uncommitted_bytes += RaftLog::EntryBytes(log.EntryAt(log.LastIndex()));
}

void RaftNode::Impl::TruncateFrom(LogIndex index) {
  log.TruncateFrom(index);
  const LogIndex last = index - 1;
  first_unwritten = std::min(first_unwritten, index);
  persisted_index = std::min(persisted_index, last);
  for (PendingPersist& pending : pending_persists) {
    pending.last_index = std::min(pending.last_index, last);
  }
}

void RaftNode::Impl::ReportRole(Role role) {
  const bool same_term = role != Role::kLeader || reported_term == hard_state.term;
  if (role == reported_role && same_term) return;
  reported_role = role;
  reported_term = hard_state.term;
  actions.calls.push_back(
      {.kind = StateMachineCall::Kind::kRoleChange, .role = role, .term = hard_state.term});
}

void RaftNode::Impl::ApplyCommitted() {
  while (applying_index < commit_index) {
    applying_index = applying_index + 1;
    const Entry& entry = log.EntryAt(applying_index);
    bytes_since_snapshot += RaftLog::EntryBytes(entry);
    if (entry.kind == EntryKind::kCommand) {
      actions.calls.push_back({.kind = StateMachineCall::Kind::kApply, .entry = entry});
    }
    if (phase == Phase::kLeader && applying_index == no_op_index) ReportRole(Role::kLeader);
  }
  RequestSnapshot();
}

void RaftNode::Impl::RequestSnapshot() {
  const std::size_t last_size = snapshot != nullptr ? snapshot->data.size() : 0;
  if (snapshot_requested ||
      bytes_since_snapshot < std::max(options.compaction_threshold_bytes, last_size)) {
    return;
  }
  snapshot_requested = true;
  bytes_since_snapshot = 0;
  auto request = std::make_shared<Snapshot>();
  request->index = applying_index;
  request->term = log.TermAt(applying_index).value_or(Term());
  request->configuration = log.ConfigurationAt(applying_index);
  actions.calls.push_back(
      {.kind = StateMachineCall::Kind::kTakeSnapshot, .snapshot = std::move(request)});
}

void RaftNode::Impl::CollectUnpersisted(Actions* out) {
  if (hard_state_changed) {
    out->hard_state = hard_state;
    if (HasTestFault(TestFault::kDiscardVote)) out->hard_state->vote = ReplicaId();
    hard_state_changed = false;
  }
  const LogIndex from = std::max(first_unwritten, log.FirstIndex());
  if (from <= log.LastIndex()) {
    out->entries = log.Slice(from, SIZE_MAX);
    first_unwritten = log.LastIndex() + 1;
  }
  const bool durable = out->hard_state || out->snapshot != nullptr || !out->entries.empty();
  if (!durable && out->messages_after_sync.empty()) return;
  out->batch_number = ++last_batch;
  pending_persists.push_back({last_batch, log.LastIndex()});
  if (HasTestFault(TestFault::kAckBeforeSync)) OnPersisted(last_batch);
}

void RaftNode::Impl::TakeActions(Actions* out) {
  if (phase == Phase::kLeader) Replicate();
  *out = std::exchange(actions, Actions());
  CollectUnpersisted(out);
}

void RaftNode::Impl::OnPersisted(std::uint64_t synced) {
  while (!pending_persists.empty() && pending_persists.front().batch_number <= synced) {
    persisted_index = std::max(persisted_index, pending_persists.front().last_index);
    pending_persists.pop_front();
  }
  if (phase == Phase::kCandidate && synced >= vote_batch) {
    votes.insert(self);
    CountVotes();
  }
  if (phase == Phase::kLeader) AdvanceCommit();
}

RaftNode::RaftNode(NodeOptions options, DurableState state, std::uint64_t seed, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(state), seed, now)) {}

RaftNode::~RaftNode() = default;

void RaftNode::Tick(TimePoint now) { impl_->Tick(now); }

void RaftNode::Receive(const Message& message, TimePoint now) {
  impl_->now = now;
  impl_->Receive(message);
}

Result<LogIndex> RaftNode::Propose(std::string command) {
  return impl_->Propose(std::move(command));
}

Result<LogIndex> RaftNode::ChangeMembership(const MembershipChange& change) {
  return impl_->ChangeMembership(change);
}

Result<void> RaftNode::TransferLeadership(const NodeId& target, TimePoint now) {
  impl_->now = now;
  return impl_->TransferLeadership(target);
}

Actions RaftNode::TakeActions(TimePoint now) {
  impl_->now = now;
  Actions out;
  impl_->TakeActions(&out);
  return out;
}

void RaftNode::OnPersisted(std::uint64_t batch) { impl_->OnPersisted(batch); }

void RaftNode::OnSnapshotSaved(SnapshotPtr snapshot) {
  impl_->snapshot_requested = false;
  if (impl_->snapshot == nullptr || snapshot->index > impl_->snapshot->index) {
    impl_->log.Compact(snapshot->index, impl_->options.compaction_threshold_bytes / 4);
    impl_->snapshot = std::move(snapshot);
  }
  // Enough entries for the next snapshot may have been applied while this one was saved.
  impl_->RequestSnapshot();
}

TimePoint RaftNode::NextDeadline() const {
  if (impl_->HasNoGroup()) return impl_->hello_deadline;
  const bool leads = impl_->phase == Impl::Phase::kLeader;
  return leads ? impl_->heartbeat_deadline : impl_->election_deadline;
}

Role RaftNode::CurrentRole() const {
  if (impl_->phase == Impl::Phase::kLeader) return Role::kLeader;
  if (impl_->phase != Impl::Phase::kFollower) return Role::kCandidate;
  return impl_->log.CurrentConfiguration().IsVoter(impl_->self) ? Role::kFollower : Role::kLearner;
}

Term RaftNode::CurrentTerm() const { return impl_->hard_state.term; }

const ReplicaId& RaftNode::Leader() const { return impl_->leader; }

LogIndex RaftNode::CommitIndex() const { return impl_->commit_index; }

NodeStatus RaftNode::Status() const {
  std::vector<MemberStatus> members;
  for (const auto& [replica, peer] : impl_->progress) {
    const Member* member = impl_->log.CurrentConfiguration().Find(replica);
    if (member != nullptr) members.push_back(impl_->StatusOf(*member, peer));
  }
  return {.self = impl_->self,
          .role = CurrentRole(),
          .term = impl_->hard_state.term,
          .leader = impl_->leader,
          .commit_index = impl_->commit_index,
          .last_index = impl_->log.LastIndex(),
          .first_index_in_memory = impl_->log.FirstIndex(),
          .configuration = impl_->log.CurrentConfiguration(),
          .configuration_index = impl_->log.ConfigurationIndex(),
          .members = std::move(members)};
}

}  // namespace parsleyline::raft
