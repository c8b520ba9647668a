#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "base/event_log.h"
#include "raft/raft_node_impl.h"
#include "wire/codec.h"

namespace parsleyline::raft {
std::ostream& operator<<(std::ostream& out, ReplicationState state) {
  constexpr std::array kNames = {"probe", "replicate", "snapshot"};
  return out << kNames.at(static_cast<std::size_t>(state));
}

std::ostream& operator<<(std::ostream& out, MemberObstacle obstacle) {
  constexpr std::array kNames = {"none", "silent", "behind", "change_in_progress", "spare"};
  return out << kNames.at(static_cast<std::size_t>(obstacle));
}

Result<LogIndex> RaftNode::Impl::ChangeMembership(const MembershipChange& change) {
  if (phase != Phase::kLeader) {
    return Fail(ResultCode::kNotLeader, "this replica is not the leader of the group");
  }
  // Only one change at a time: majorities of configurations that differ by more than one voter may
  // not overlap.
  if (log.ConfigurationIndex() > commit_index || no_op_index > commit_index || transfer_target) {
    return Fail(ResultCode::kOverloaded,
                "a membership change or leadership transfer is in progress, or the first entry of "
                "this term is not yet committed");
  }
  auto configuration = ConfigurationAfter(change);
  if (!configuration) return tl::make_unexpected(configuration.error());
  Event("raft_membership")
      .With("replica", self)
      .With("change", static_cast<int>(change.kind))
      .With("member", change.replica)
      .With("voters", configuration->VoterCount());
  AppendEntry(EntryKind::kConfiguration, wire::Encode(*configuration));
  UpdateProgressMembers();
  return log.LastIndex();
}

Result<Configuration> RaftNode::Impl::ConfigurationAfter(const MembershipChange& change) const {
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
    if (CountReachableVoters(next) < next.Majority()) {
      return Fail(ResultCode::kOverloaded,
                  "the reachable voters among the remaining ones would not be a majority");
    }
    return next;
  }
  const auto peer = progress.find(change.replica);
  if (peer == progress.end() || !HasCaughtUp(peer->second)) {
    return Fail(ResultCode::kOverloaded, "the learner has not caught up with the log yet");
  }
  // The group must still have a majority if the new voter fails at once.
  const Configuration& current = log.CurrentConfiguration();
  const std::size_t reachable = CountReachableVoters(current);
  it->membership = Membership::kVoter;
  if (reachable < next.Majority() && reachable < current.VoterCount()) {
    return Fail(ResultCode::kOverloaded,
                "too many voters are unreachable; remove or replace them first");
  }
  return next;
}

std::size_t RaftNode::Impl::CountReachableVoters(const Configuration& configuration) const {
  std::size_t reachable = configuration.IsVoter(self) ? 1 : 0;
  for (const auto& [replica, peer] : progress) {
    if (IsReachable(peer) && configuration.IsVoter(replica)) ++reachable;
  }
  return reachable;
}

bool RaftNode::Impl::IsReachable(const Progress& peer) const {
  return now - peer.last_reply_time < options.election_timeout_min;
}

// Under a steady load the newest entry is always on its way, so a learner that is behind by less
// than an election timeout counts as caught up as well.
bool RaftNode::Impl::HasCaughtUp(const Progress& peer) const {
  if (peer.match_index >= commit_index) return true;
  return peer.round.previous_was_prompt && now - peer.round.start <= options.election_timeout_min;
}

MemberObstacle RaftNode::Impl::ObstacleOf(const Member& member, const Progress& peer) const {
  if (!IsReachable(peer)) return MemberObstacle::kSilent;
  if (!HasCaughtUp(peer)) return MemberObstacle::kBehind;
  if (member.membership == Membership::kVoter) return MemberObstacle::kNone;
  if (log.ConfigurationIndex() > commit_index) return MemberObstacle::kChangeInProgress;
  const bool odd = log.CurrentConfiguration().VoterCount() % 2 == 1;
  const bool keeps_odd = options.lost_replicas == LostReplicaPolicy::kAdmitNew;
  return odd && keeps_odd ? MemberObstacle::kSpare : MemberObstacle::kNone;
}

MemberStatus RaftNode::Impl::StatusOf(const Member& member, const Progress& peer) const {
  const bool behind = peer.match_index < commit_index;
  return {.replica = member.replica,
          .membership = member.membership,
          .state = peer.state,
          .match_index = peer.match_index,
          .lag_entries = behind ? commit_index - peer.match_index : 0,
          .since_reply = std::chrono::duration_cast<Milliseconds>(now - peer.last_reply_time),
          .window_bytes = peer.window.bytes(),
          .obstacle = ObstacleOf(member, peer)};
}

void RaftNode::Impl::ReportMembers() {
  if (now < next_member_report) return;
  next_member_report = now + kMemberReportInterval;
  for (const auto& [replica, peer] : progress) {
    const Member* member = log.CurrentConfiguration().Find(replica);
    if (member == nullptr) continue;
    const MemberStatus status = StatusOf(*member, peer);
    const bool voter = member->membership == Membership::kVoter;
    if (status.obstacle == MemberObstacle::kSpare) continue;
    if (voter && status.obstacle == MemberObstacle::kNone) continue;
    Event("raft_member")
        .With("replica", self)
        .With("member", replica)
        .With("voter", voter)
        .With("state", status.state)
        .With("match", status.match_index)
        .With("lag_entries", status.lag_entries)
        .With("since_reply_ms", status.since_reply.count())
        .With("window_bytes", status.window_bytes)
        .With("obstacle", status.obstacle);
  }
}

const Member* RaftNode::Impl::FindLostIdentity() const {
  const auto& members = log.CurrentConfiguration().members;
  for (auto it = members.begin(); it != members.end(); ++it) {
    const auto old = progress.find(it->replica);
    if (old == progress.end() || IsReachable(old->second)) continue;
    // Members are listed in the order in which they were added.
    const bool replaced = std::any_of(std::next(it), members.end(), [&](const Member& later) {
      const auto peer = progress.find(later.replica);
      return later.replica.node == it->replica.node && peer != progress.end() &&
             IsReachable(peer->second);
    });
    if (replaced) return &*it;
  }
  return nullptr;
}

// Changes the members as the LostReplicaPolicy calls for, one change at a time.
void RaftNode::Impl::MaintainMembership() {
  if (options.lost_replicas == LostReplicaPolicy::kManual || transfer_target) return;
  if (log.ConfigurationIndex() > commit_index || no_op_index > commit_index) return;
  const Configuration& configuration = log.CurrentConfiguration();
  std::erase_if(join_requests, [&configuration](const auto& request) {
    return configuration.Find(request.second) != nullptr;
  });
  if (const auto change = NextMembershipChange()) ChangeMembership(*change);
}

// With LostReplicaPolicy::kAdmitNew, the number of voters stays odd: if a network partition splits
// the replicas into halves, neither half of an even number of voters is a majority.
std::optional<MembershipChange> RaftNode::Impl::NextMembershipChange() const {
  using Kind = MembershipChange::Kind;
  const Configuration& configuration = log.CurrentConfiguration();
  const bool admits_new = options.lost_replicas == LostReplicaPolicy::kAdmitNew;
  for (const auto& [node, replica] : join_requests) {
    const bool admitted =
        admits_new || configuration.HasNode(node) ||
        std::find(initial_voters.begin(), initial_voters.end(), node) != initial_voters.end();
    if (admitted) return MembershipChange{Kind::kAddLearner, replica};
  }
  if (const Member* lost = FindLostIdentity()) {
    return MembershipChange{Kind::kRemove, lost->replica};
  }
  std::vector<ReplicaId> caught_up;
  for (const auto& [replica, peer] : progress) {
    if (!configuration.IsVoter(replica) && IsReachable(peer) && HasCaughtUp(peer)) {
      caught_up.push_back(replica);
    }
  }
  const bool even = configuration.VoterCount() % 2 == 0;
  for (const ReplicaId& replica : caught_up) {
    const auto old = std::find_if(
        configuration.members.begin(), configuration.members.end(), [&replica](const Member& m) {
          return m.replica.node == replica.node && m.replica.identity != replica.identity;
        });
    if (old != configuration.members.end()) return MembershipChange{Kind::kRemove, old->replica};
    const Member* unresponsive =
        admits_new ? FindUnresponsiveVoter(options.replace_voter_after) : nullptr;
    if (unresponsive != nullptr) return MembershipChange{Kind::kRemove, unresponsive->replica};
    if (admits_new && !even && caught_up.size() < 2) continue;
    return MembershipChange{Kind::kPromote, replica};
  }
  // A voter that has failed permanently only makes a majority harder to reach.
  constexpr std::size_t kMinVoters = 3;
  if (!admits_new || configuration.VoterCount() <= kMinVoters) return std::nullopt;
  if (!even && CountUnresponsiveVoters(options.drop_voter_after) < 2) return std::nullopt;
  const Member* unresponsive = FindUnresponsiveVoter(options.drop_voter_after);
  if (unresponsive == nullptr) return std::nullopt;
  return MembershipChange{Kind::kRemove, unresponsive->replica};
}

bool RaftNode::Impl::IsUnresponsiveVoter(const Member& member, Milliseconds time) const {
  const auto peer = progress.find(member.replica);
  return member.membership == Membership::kVoter && peer != progress.end() &&
         now - peer->second.last_reply_time >= time;
}

const Member* RaftNode::Impl::FindUnresponsiveVoter(Milliseconds time) const {
  const auto& members = log.CurrentConfiguration().members;
  const auto it = std::find_if(members.begin(), members.end(), [this, time](const Member& member) {
    return IsUnresponsiveVoter(member, time);
  });
  return it == members.end() ? nullptr : &*it;
}

std::size_t RaftNode::Impl::CountUnresponsiveVoters(Milliseconds time) const {
  const auto& members = log.CurrentConfiguration().members;
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [this, time](const Member& member) { return IsUnresponsiveVoter(member, time); }));
}

// A replica without a group asks the other nodes for their identities, and to be added to their
// group if they have one.
void RaftNode::Impl::SendHello() {
  hello_deadline = now + options.election_timeout_min;
  hello_targets.insert(initial_voters.begin(), initial_voters.end());
  for (const NodeId& node : hello_targets) {
    if (node != self.node) Send(MakeMessage(MessageType::kHello, {node, ReplicaIdentity()}));
  }
  node_identities[self.node] = self.identity;
  BootstrapIfReady();
}

void RaftNode::Impl::AskToBeAdded() {
  ResetElectionTimer();
  std::set<NodeId> nodes(initial_voters.begin(), initial_voters.end());
  for (const Member& it : log.CurrentConfiguration().members) nodes.insert(it.replica.node);
  nodes.erase(self.node);
  for (const NodeId& it : nodes) Send(MakeMessage(MessageType::kHello, {it, ReplicaIdentity()}));
}

void RaftNode::Impl::OnHello(const Message& m) {
  const bool foreign = m.group != GroupId() && m.group != hard_state.group;
  if (phase == Phase::kLeader && !foreign) join_requests[m.from.node] = m.from;
  // A replica that is a member of the first configuration can start with the first log entry.
  if (!HasNoGroup() && log.FirstIndex() == LogIndex(1) && log.LastIndex() >= LogIndex(1)) {
    const auto first = wire::Decode<Configuration>(log.EntryAt(LogIndex(1)).data);
    if (first && first->Find(m.from) != nullptr) {
      Message bootstrap = MakeMessage(MessageType::kBootstrap, m.from);
      bootstrap.entries.push_back(log.EntryAt(LogIndex(1)));
      return Send(std::move(bootstrap));
    }
  }
  Message reply = MakeMessage(MessageType::kHelloReply, m.from);
  reply.configuration = log.CurrentConfiguration();
  Send(std::move(reply));
}

void RaftNode::Impl::OnHelloReply(const Message& m) {
  if (!HasNoGroup()) return;
  if (m.group != GroupId()) group_exists = true;
  // The leader may be a member that was added after the bootstrap.
  for (const Member& member : m.configuration.members) hello_targets.insert(member.replica.node);
  node_identities[m.from.node] = m.from.identity;
  BootstrapIfReady();
}

// The initial voter with the lowest node id creates the group once every initial voter has replied
// that it has no group. Thus a voter that lost its disk cannot create a second group.
void RaftNode::Impl::BootstrapIfReady() {
  const auto lowest = std::min_element(initial_voters.begin(), initial_voters.end());
  if (lowest == initial_voters.end() || *lowest != self.node || group_exists) return;
  if (!may_bootstrap) return;
  Configuration configuration;
  for (const NodeId& node : initial_voters) {
    const auto it = node_identities.find(node);
    if (it == node_identities.end()) return;
    configuration.members.push_back({{node, it->second}, Membership::kVoter});
  }
  JoinGroup(GroupId(random() | 1U));
  hard_state.term = Term(1);
  AppendEntry(EntryKind::kConfiguration, wire::Encode(configuration));
  Event("raft_bootstrap").With("replica", self).With("voters", configuration.VoterCount());
  for (const Member& member : configuration.members) {
    if (member.replica == self) continue;
    Message m = MakeMessage(MessageType::kBootstrap, member.replica);
    m.entries.push_back(log.EntryAt(LogIndex(1)));
    SendAfterSync(std::move(m));
  }
}

void RaftNode::Impl::OnBootstrap(const Message& m) {
  if (!HasNoGroup() || m.entries.size() != 1 || m.entries.front().index != LogIndex(1)) return;
  const auto configuration = wire::Decode<Configuration>(m.entries.front().data);
  if (!configuration || configuration->Find(self) == nullptr) return;
  JoinGroup(m.group);
  hard_state.term = m.entries.front().term;
  log.Append(m.entries.front());
}

void RaftNode::Impl::JoinGroup(GroupId group) {
  hard_state.group = group;
  hard_state_changed = true;
  node_identities.clear();
  ResetElectionTimer();
}

}  // namespace parsleyline::raft
