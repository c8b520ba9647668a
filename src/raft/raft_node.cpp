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
      hard(state.hard),
      log(state.snapshot.get(), std::move(state.entries)),
      snapshot(std::move(state.snapshot)) {
  if (snapshot != nullptr) {
    commit = emitted = snapshot->index;
    actions.calls.push_back({.kind = StateMachineCall::Kind::kRestore, .snapshot = snapshot});
  }
  persisted = log.LastIndex();
  unsaved_from = log.LastIndex() + 1;
  hello_deadline = now;
  ResetElectionTimer();
}

void RaftNode::Impl::Tick(TimePoint time) {
  now = time;
  if (IsBlank()) {
    if (now >= hello_deadline) SendHello();
    return;
  }
  if (phase != Phase::kLeader) {
    if (now < election_deadline) return;
    return log.CurrentConfiguration().IsVoter(self) ? StartPreVote() : ResetElectionTimer();
  }
  CheckQuorum();
  if (phase != Phase::kLeader || now < heartbeat_deadline) return;
  if (transfer_target && now >= transfer_deadline) transfer_target.reset();
  BroadcastHeartbeat();
  MaintainMembership();
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
// the group of the first leader that addresses it by its identity.
bool RaftNode::Impl::BelongsToGroup(const Message& m) {
  if (m.group == hard.group && !IsBlank()) return true;
  if (!IsBlank() || m.group == GroupId()) return false;
  const bool from_leader = m.type == MessageType::kAppend || m.type == MessageType::kHeartbeat ||
                           m.type == MessageType::kSnapshot;
  if (!from_leader && !Has(TestFault::kIgnoreIdentity)) return false;
  AdoptGroup(m.group);
  return true;
}

void RaftNode::Impl::Receive(Message m) {
  if (Has(TestFault::kIgnoreIdentity)) IgnoreIdentity(&m);
  if (!IsAddressedToMe(m)) return;
  if (m.type == MessageType::kHello) return OnHello(m);
  if (m.type == MessageType::kHelloReply) return OnHelloReply(m);
  if (m.type == MessageType::kBootstrap) return OnBootstrap(m);
  if (!BelongsToGroup(m)) return;
  if (m.term < hard.term) return RefuseOldTerm(m);
  if (m.term > hard.term && !AcceptTerm(m)) return;
  Dispatch(m);
}

// Moves to the term of a message with a later term, if the message calls for that. Returns false if
// the message is to be ignored.
bool RaftNode::Impl::AcceptTerm(const Message& m) {
  switch (m.type) {
    case MessageType::kPreVote:
      return true;
    case MessageType::kPreVoteReply:
      if (m.verdict == Verdict::kAccepted) return true;
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
void RaftNode::Impl::RefuseOldTerm(const Message& m) {
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
  reply.verdict = Verdict::kRejected;
  reply.rejected = m.index;
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
  m.group = hard.group;
  m.from = self;
  m.to = to;
  m.term = hard.term;
  return m;
}

void RaftNode::Impl::SendAfterSync(Message m) {
  auto& queue = Has(TestFault::kAckBeforeSync) ? actions.send : actions.send_after_sync;
  queue.push_back(std::move(m));
}

void RaftNode::Impl::AppendLocal(EntryKind kind, std::string data) {
  log.Append({log.LastIndex() + 1, hard.term, kind, std::move(data)});
  uncommitted_bytes += RaftLog::Size(log.At(log.LastIndex()));
}

void RaftNode::Impl::TruncateFrom(LogIndex index) {
  log.TruncateFrom(index);
  const LogIndex last = index - 1;
  unsaved_from = std::min(unsaved_from, index);
  persisted = std::min(persisted, last);
  for (PendingPersist& pending : pending_persists) pending.last = std::min(pending.last, last);
}

void RaftNode::Impl::Announce(Role role) {
  const bool same_term = role != Role::kLeader || announced_term == hard.term;
  if (role == announced_role && same_term) return;
  announced_role = role;
  announced_term = hard.term;
  actions.calls.push_back(
      {.kind = StateMachineCall::Kind::kRoleChange, .role = role, .term = hard.term});
}

void RaftNode::Impl::EmitCommitted() {
  while (emitted < commit) {
    emitted = emitted + 1;
    const Entry& entry = log.At(emitted);
    bytes_since_snapshot += RaftLog::Size(entry);
    if (entry.kind == EntryKind::kCommand) {
      actions.calls.push_back({.kind = StateMachineCall::Kind::kApply, .entry = entry});
    }
    if (phase == Phase::kLeader && emitted == no_op_index) Announce(Role::kLeader);
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
  auto wanted = std::make_shared<Snapshot>();
  wanted->index = emitted;
  wanted->term = log.TermAt(emitted).value_or(Term());
  wanted->configuration = log.ConfigurationAt(emitted);
  actions.calls.push_back(
      {.kind = StateMachineCall::Kind::kTakeSnapshot, .snapshot = std::move(wanted)});
}

void RaftNode::Impl::TakeDurable(Actions* out) {
  if (hard_state_changed) {
    out->hard_state = hard;
    if (Has(TestFault::kForgetVote)) out->hard_state->vote = ReplicaId();
    hard_state_changed = false;
  }
  const LogIndex from = std::max(unsaved_from, log.FirstIndex());
  if (from <= log.LastIndex()) {
    out->entries = log.Slice(from, SIZE_MAX);
    unsaved_from = log.LastIndex() + 1;
  }
  const bool durable = out->hard_state || out->snapshot != nullptr || !out->entries.empty();
  if (!durable && out->send_after_sync.empty()) return;
  out->batch = ++batch;
  pending_persists.push_back({batch, log.LastIndex()});
  if (Has(TestFault::kAckBeforeSync)) OnPersisted(batch);
}

void RaftNode::Impl::FillActions(Actions* out) {
  if (phase == Phase::kLeader) Replicate();
  *out = std::exchange(actions, Actions());
  TakeDurable(out);
}

void RaftNode::Impl::OnPersisted(std::uint64_t synced) {
  while (!pending_persists.empty() && pending_persists.front().batch <= synced) {
    persisted = std::max(persisted, pending_persists.front().last);
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

Actions RaftNode::Take(TimePoint now) {
  impl_->now = now;
  Actions out;
  impl_->FillActions(&out);
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
  if (impl_->IsBlank()) return impl_->hello_deadline;
  const bool leads = impl_->phase == Impl::Phase::kLeader;
  return leads ? impl_->heartbeat_deadline : impl_->election_deadline;
}

Role RaftNode::CurrentRole() const {
  if (impl_->phase == Impl::Phase::kLeader) return Role::kLeader;
  if (impl_->phase != Impl::Phase::kFollower) return Role::kCandidate;
  return impl_->log.CurrentConfiguration().IsVoter(impl_->self) ? Role::kFollower : Role::kLearner;
}

Term RaftNode::CurrentTerm() const { return impl_->hard.term; }

const ReplicaId& RaftNode::Leader() const { return impl_->leader; }

LogIndex RaftNode::CommitIndex() const { return impl_->commit; }

NodeStatus RaftNode::Status() const {
  return {.self = impl_->self,
          .role = CurrentRole(),
          .term = impl_->hard.term,
          .leader = impl_->leader,
          .commit = impl_->commit,
          .last = impl_->log.LastIndex(),
          .first_in_memory = impl_->log.FirstIndex(),
          .configuration = impl_->log.CurrentConfiguration()};
}

}  // namespace parsleyline::raft
