#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "raft/raft_node_impl.h"
#include "wire/codec.h"

namespace parsleyline::raft {

Result<LogIndex> RaftNode::Impl::ChangeMembership(const MembershipChange& change) {
  if (phase != Phase::kLeader) {
    return Fail(ResultCode::kNotLeader, "this replica is not the leader of the group");
  }
  // Only one change at a time: majorities of configurations that differ by more than one voter may
  // not overlap.
  if (log.ConfigurationIndex() > commit || no_op_index > commit || transfer_target) {
    return Fail(ResultCode::kOverloaded,
                "a membership change or leadership transfer is in progress, or the first entry of "
                "this term is not yet committed");
  }
  auto configuration = Changed(change);
  if (!configuration) return tl::make_unexpected(configuration.error());
  Event("raft_membership")
      .With("replica", self)
      .With("change", static_cast<int>(change.kind))
      .With("member", change.replica)
      .With("voters", configuration->VoterCount());
  AppendLocal(EntryKind::kConfiguration, wire::Encode(*configuration));
  SyncProgressWithConfiguration();
  return log.LastIndex();
}

Result<Configuration> RaftNode::Impl::Changed(const MembershipChange& change) const {
  Configuration next = log.CurrentConfiguration();
  auto& members = next.members;
  const auto it = std::find_if(members.begin(), members.end(), [&change](const Member& member) {
    return member.replica == change.replica;
  });
  if (change.kind == MembershipChange::Kind::kAddLearner) {
    if (it != members.end()) {
      return Fail(ResultCode::kOutOfRange, "the replica is already a member of the group");
    }
    members.push_back({change.replica, Membership::kLearner});
    return next;
  }
  if (it == members.end()) {
    return Fail(ResultCode::kNotFound, "the replica is not a member of the group");
  }
  if (change.kind == MembershipChange::Kind::kRemove) {
    if (change.replica == self) {
      return Fail(ResultCode::kOutOfRange,
                  "the leader cannot be removed; transfer the leadership first");
    }
    members.erase(it);
    if (LiveVoters(next) < next.Majority()) {
      return Fail(ResultCode::kOverloaded,
                  "the reachable voters among the remaining ones would not be a majority");
    }
    return next;
  }
  const auto peer = progress.find(change.replica);
  if (peer == progress.end() || peer->second.match < commit) {
    return Fail(ResultCode::kOverloaded, "the learner has not caught up with the log yet");
  }
  // The group must still have a majority if the new voter fails at once.
  const Configuration& current = log.CurrentConfiguration();
  const std::size_t live = LiveVoters(current);
  it->membership = Membership::kVoter;
  if (live < next.Majority() && live < current.VoterCount()) {
    return Fail(ResultCode::kOverloaded,
                "too many voters are unreachable; remove or replace them first");
  }
  return next;
}

std::size_t RaftNode::Impl::LiveVoters(const Configuration& configuration) const {
  std::size_t live = configuration.IsVoter(self) ? 1 : 0;
  for (const auto& [replica, peer] : progress) {
    const bool recent = now - peer.last_contact < options.election_timeout_min;
    if (recent && configuration.IsVoter(replica)) ++live;
  }
  return live;
}

// Changes the members as the LostReplicaPolicy calls for, one change at a time.
void RaftNode::Impl::MaintainMembership() {
  if (options.lost_replicas == LostReplicaPolicy::kManual || transfer_target) return;
  if (log.ConfigurationIndex() > commit || no_op_index > commit) return;
  const Configuration& configuration = log.CurrentConfiguration();
  std::erase_if(applicants, [&configuration](const auto& applicant) {
    return configuration.Find(applicant.second) != nullptr;
  });
  if (const auto change = NextMembershipChange()) ChangeMembership(*change);
}

// With LostReplicaPolicy::kAdmitNew, the number of voters stays odd: if a network partition splits
// the replicas into halves, neither half of an even number of voters is a majority.
std::optional<MembershipChange> RaftNode::Impl::NextMembershipChange() const {
  using Kind = MembershipChange::Kind;
  const Configuration& configuration = log.CurrentConfiguration();
  const bool admits_new = options.lost_replicas == LostReplicaPolicy::kAdmitNew;
  for (const auto& [node, replica] : applicants) {
    const bool expected =
        admits_new || configuration.HasNode(node) ||
        std::find(initial_voters.begin(), initial_voters.end(), node) != initial_voters.end();
    if (expected) return MembershipChange{Kind::kAddLearner, replica};
  }
  std::vector<ReplicaId> ready;
  for (const auto& [replica, peer] : progress) {
    const bool live = now - peer.last_contact < options.election_timeout_min;
    if (!configuration.IsVoter(replica) && live && peer.match >= commit) ready.push_back(replica);
  }
  const bool even = configuration.VoterCount() % 2 == 0;
  for (const ReplicaId& replica : ready) {
    const auto old = std::find_if(
        configuration.members.begin(), configuration.members.end(), [&replica](const Member& m) {
          return m.replica.node == replica.node && m.replica.identity != replica.identity;
        });
    if (old != configuration.members.end()) return MembershipChange{Kind::kRemove, old->replica};
    const Member* gone = admits_new ? SilentVoter(options.replace_voter_after) : nullptr;
    if (gone != nullptr) return MembershipChange{Kind::kRemove, gone->replica};
    if (admits_new && !even && ready.size() < 2) continue;
    return MembershipChange{Kind::kPromote, replica};
  }
  // A voter that has failed permanently only makes a majority harder to reach.
  constexpr std::size_t kSmallestGroup = 3;
  if (!admits_new || configuration.VoterCount() <= kSmallestGroup) return std::nullopt;
  if (!even && SilentVoters(options.drop_voter_after) < 2) return std::nullopt;
  const Member* gone = SilentVoter(options.drop_voter_after);
  if (gone == nullptr) return std::nullopt;
  return MembershipChange{Kind::kRemove, gone->replica};
}

bool RaftNode::Impl::IsSilentVoter(const Member& member, Milliseconds time) const {
  const auto peer = progress.find(member.replica);
  return member.membership == Membership::kVoter && peer != progress.end() &&
         now - peer->second.last_contact >= time;
}

const Member* RaftNode::Impl::SilentVoter(Milliseconds time) const {
  const auto& members = log.CurrentConfiguration().members;
  const auto it = std::find_if(members.begin(), members.end(), [this, time](const Member& member) {
    return IsSilentVoter(member, time);
  });
  return it == members.end() ? nullptr : &*it;
}

std::size_t RaftNode::Impl::SilentVoters(Milliseconds time) const {
  const auto& members = log.CurrentConfiguration().members;
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [this, time](const Member& member) { return IsSilentVoter(member, time); }));
}

// A replica without a group asks the other nodes for their identities, and to be added to their
// group if they have one.
void RaftNode::Impl::SendHello() {
  hello_deadline = now + options.election_timeout_min;
  contacts.insert(initial_voters.begin(), initial_voters.end());
  for (const NodeId& node : contacts) {
    if (node != self.node) Send(MakeMessage(MessageType::kHello, {node, ReplicaIdentity()}));
  }
  blank_voters[self.node] = self.identity;
  Bootstrap();
}

void RaftNode::Impl::OnHello(const Message& m) {
  if (phase == Phase::kLeader) applicants[m.from.node] = m.from;
  // A replica that is a member of the first configuration can start with the first log entry.
  if (!IsBlank() && log.FirstIndex() == LogIndex(1) && log.LastIndex() >= LogIndex(1)) {
    const auto first = wire::Decode<Configuration>(log.At(LogIndex(1)).data);
    if (first && first->Find(m.from) != nullptr) {
      Message bootstrap = MakeMessage(MessageType::kBootstrap, m.from);
      bootstrap.entries.push_back(log.At(LogIndex(1)));
      return Send(std::move(bootstrap));
    }
  }
  Message reply = MakeMessage(MessageType::kHelloReply, m.from);
  reply.configuration = log.CurrentConfiguration();
  Send(std::move(reply));
}

void RaftNode::Impl::OnHelloReply(const Message& m) {
  if (!IsBlank()) return;
  if (m.group != GroupId()) group_exists = true;
  // The leader may be a member that was added after the bootstrap.
  for (const Member& member : m.configuration.members) contacts.insert(member.replica.node);
  blank_voters[m.from.node] = m.from.identity;
  Bootstrap();
}

// The initial voter with the lowest node id creates the group once every initial voter has replied
// that it has no group. Thus a voter that lost its disk cannot create a second group.
void RaftNode::Impl::Bootstrap() {
  const auto lowest = std::min_element(initial_voters.begin(), initial_voters.end());
  if (lowest == initial_voters.end() || *lowest != self.node || group_exists) return;
  if (!may_bootstrap) return;
  Configuration configuration;
  for (const NodeId& node : initial_voters) {
    const auto it = blank_voters.find(node);
    if (it == blank_voters.end()) return;
    configuration.members.push_back({{node, it->second}, Membership::kVoter});
  }
  AdoptGroup(GroupId(random() | 1U));
  hard.term = Term(1);
  AppendLocal(EntryKind::kConfiguration, wire::Encode(configuration));
  Event("raft_bootstrap").With("replica", self).With("voters", configuration.VoterCount());
  for (const Member& member : configuration.members) {
    if (member.replica == self) continue;
    Message m = MakeMessage(MessageType::kBootstrap, member.replica);
    m.entries.push_back(log.At(LogIndex(1)));
    SendAfterSync(std::move(m));
  }
}

void RaftNode::Impl::OnBootstrap(const Message& m) {
  if (!IsBlank() || m.entries.size() != 1 || m.entries.front().index != LogIndex(1)) return;
  const auto configuration = wire::Decode<Configuration>(m.entries.front().data);
  if (!configuration || configuration->Find(self) == nullptr) return;
  AdoptGroup(m.group);
  hard.term = m.entries.front().term;
  log.Append(m.entries.front());
}

void RaftNode::Impl::AdoptGroup(GroupId group) {
  hard.group = group;
  hard_state_changed = true;
  blank_voters.clear();
  ResetElectionTimer();
}

}  // namespace parsleyline::raft
