#include "tests/raft/simulation.h"

#include <algorithm>
#include <sstream>

#include "raft/log_replay.h"

namespace parsleyline::raft {
namespace {

const std::vector<std::string> kNames = {"a", "b", "c", "d", "e"};
const std::vector<NodeId> kInitialVoters = {NodeId("a"), NodeId("b"), NodeId("c")};

template <typename... Parts>
[[noreturn]] void Violate(const Parts&... parts) {
  std::ostringstream text;
  (text << ... << parts);
  throw Violation(text.str());
}

}  // namespace

Simulation::Simulation(std::uint64_t seed, Faults faults)
    : random_(seed), faults_(std::move(faults)) {
  for (const std::string& name : kNames) {
    replicas_[name].disk = std::make_unique<MemoryFileSystem>();
    Start(name);
  }
  if (!faults_.absent.empty()) Isolate(faults_.absent);
  Run(Milliseconds(2000));
  if (Leader().empty()) Violate("no leader after the start");
}

void Simulation::Start(const std::string& name) {
  Replica& replica = replicas_[name];
  auto storage = LogStorage::Open({.folder = "/" + name,
                                   .node = NodeId(name),
                                   .segment_bytes = 4096,
                                   .checksum = faults_.checksum},
                                  replica.disk.get());
  if (!storage) Violate(name, " cannot open its files: ", storage.error().message);
  replica.storage = std::move(*storage);
  DurableState state = replica.storage->TakeState();
  replica.id = state.self;
  NodeOptions options{.raft = {}, .initial_voters = kInitialVoters};
  options.raft.compaction_threshold_bytes = 8192;
  options.raft.max_message_bytes = 512;
  options.raft.max_in_flight_bytes = 2048;
  options.raft.snapshot_chunk_bytes = 10;
  options.raft.test_fault = faults_.node;
  options.raft.lost_replicas = faults_.policy;
  replica.applied = LogIndex();
  replica.hash = 0;
  replica.node = std::make_unique<RaftNode>(options, std::move(state), random_(), now_);
}

void Simulation::Run(Milliseconds time) {
  for (auto left = time.count(); left > 0; --left) Step();
}

void Simulation::RunWithFaults(Milliseconds time) {
  lossy_ = true;
  for (auto left = time.count(); left > 0; --left) {
    if (Pick(100) == 0) InjectFault();
    if (Pick(200) == 0) CheckLogs();
    Step();
  }
}

void Simulation::Step() {
  now_ += Milliseconds(1);
  Deliver();
  if (Pick(4) == 0) ProposeSomewhere();
  for (auto& [name, replica] : replicas_) StepReplica(name, &replica);
}

void Simulation::StepReplica(const std::string& name, Replica* replica) {
  if (replica->node == nullptr) {
    if (now_ < replica->restart_at) return;
    Start(name);
  }
  if (now_ < replica->paused_until) return;
  if (now_ >= replica->sync_due) Sync(replica);
  replica->node->Tick(now_);
  Carry(replica, replica->node->TakeActions(now_));
  CheckLeader(*replica);
}

void Simulation::Deliver() {
  while (!network_.empty() && network_.begin()->first <= now_) {
    const Message m = std::move(network_.begin()->second);
    network_.erase(network_.begin());
    Replica& to = replicas_.at(m.to.node.value());
    if (to.node == nullptr) continue;
    if (now_ < to.paused_until) {
      network_.emplace(to.paused_until, m);
      continue;
    }
    to.node->Receive(m, now_);
    if (Pick(2) == 0) Carry(&to, to.node->TakeActions(now_));
  }
}

void Simulation::Carry(Replica* replica, Actions actions) {
  for (const Message& m : actions.messages) Send(m);
  for (const StateMachineCall& call : actions.calls) Call(replica, call);
  Configuration configuration = replica->node->Status().configuration;
  if (configuration != replica->configuration) ++coverage_.membership_changes;
  replica->configuration = std::move(configuration);
  if (actions.batch_number == 0) return;
  if (!replica->storage->Write(actions)) Violate("a write failed");
  replica->written = actions.batch_number;
  std::move(actions.messages_after_sync.begin(), actions.messages_after_sync.end(),
            std::back_inserter(replica->after_sync));
  if (replica->sync_due == TimePoint::max()) {
    replica->sync_due = now_ + Milliseconds(lossy_ && Pick(50) == 0 ? 200 : 1 + Pick(10));
  }
}

void Simulation::Call(Replica* replica, const StateMachineCall& call) {
  switch (call.kind) {
    case StateMachineCall::Kind::kApply: {
      if (call.entry.index <= replica->applied) Violate("index applied twice on ", replica->id);
      const std::string step = std::to_string(replica->hash) + "/" +
                               std::to_string(call.entry.index.value()) + "/" + call.entry.data;
      replica->hash = std::hash<std::string>{}(step);
      return Record(replica, call.entry.index);
    }
    case StateMachineCall::Kind::kRestore:
      ++coverage_.restores;
      replica->hash = std::stoull(call.snapshot->data);
      replica->applied = call.snapshot->index;
      return;
    case StateMachineCall::Kind::kTakeSnapshot: {
      auto taken = std::make_shared<Snapshot>(*call.snapshot);
      taken->data = std::to_string(replica->hash);
      if (!replica->storage->SaveSnapshot(*taken)) Violate("a snapshot failed");
      replica->snapshots.push_back(std::move(taken));
      return;
    }
    case StateMachineCall::Kind::kRoleChange:
      return;
  }
}

void Simulation::Record(Replica* replica, LogIndex index) {
  replica->applied = index;
  const auto [it, first] = history_.emplace(index, replica->hash);
  if (it->second != replica->hash) {
    Violate(replica->id, " applied another command at index ", index);
  }
  if (first && std::next(it) != history_.end()) {
    Violate(replica->id, " applied a command at index ", index, ", which others do not have");
  }
}

void Simulation::Sync(Replica* replica) {
  replica->sync_due = TimePoint::max();
  for (const SnapshotPtr& snapshot : std::exchange(replica->snapshots, {})) {
    const auto released = replica->storage->ReleaseSegments();
    if (!released || !replica->storage->RemoveFiles(*released)) Violate("a snapshot failed");
    replica->node->OnSnapshotSaved(snapshot);
  }
  if (!replica->storage->Sync()) Violate("a sync failed");
  for (const Message& m : std::exchange(replica->after_sync, {})) Send(m);
  replica->node->OnPersisted(replica->written);
}

void Simulation::Send(const Message& m) {
  if (cuts_.contains({m.from.node.value(), m.to.node.value()})) return;
  if (lossy_ && Pick(20) == 0) return;
  const auto delay = [this] { return Milliseconds(1 + Pick(lossy_ && Pick(50) == 0 ? 800 : 6)); };
  network_.emplace(now_ + delay(), m);
  if (lossy_ && Pick(20) == 0) network_.emplace(now_ + delay(), m);
}

void Simulation::ProposeSomewhere() {
  Replica& replica = replicas_.at(PickName());
  if (replica.node == nullptr || replica.node->CurrentRole() != Role::kLeader) return;
  if (replica.node->Propose("command-" + std::to_string(proposed_))) ++proposed_;
}

std::string Simulation::PickName() { return kNames[Pick(kNames.size())]; }

void Simulation::InjectFault() {
  const std::string name = PickName();
  switch (Pick(12)) {
    case 0:
    case 1:
      return Crash(name);
    case 2:
      replicas_.at(name).paused_until = now_ + Milliseconds(Pick(1500));
      return;
    case 3:
      return Isolate(name);
    case 4:
    case 5:
      return Cut(name, PickName());
    case 6:
      return LoseDisk(name);
    case 7:
      return ChangeMembership();
    case 9:
      // Power loss of all machines, then a start at about the same time.
      for (auto& [each, replica] : replicas_) {
        Crash(each);
        replica.restart_at = now_ + Milliseconds(Pick(30));
      }
      return;
    case 8:
      if (const std::string leader = Leader(); !leader.empty()) {
        Node(leader).TransferLeadership(NodeId(), now_);
      }
      return;
    default:
      return Heal();
  }
}

void Simulation::Isolate(const std::string& name) {
  for (const std::string& other : kNames) {
    Cut(name, other);
    Cut(other, name);
  }
}

void Simulation::Crash(const std::string& name) {
  Replica& replica = replicas_.at(name);
  if (replica.node == nullptr) return;
  replica.node.reset();
  replica.storage.reset();
  replica.disk->Crash(&random_);
  ++coverage_.crashes;
  replica.after_sync.clear();
  replica.snapshots.clear();
  replica.sync_due = TimePoint::max();
  replica.restart_at = now_ + Milliseconds(Pick(800));
}

void Simulation::LoseDisk(const std::string& name) {
  if (!MayLose(name)) return;
  Crash(name);
  ++coverage_.disk_losses;
  replicas_.at(name).disk = std::make_unique<MemoryFileSystem>();
  replicas_.at(name).id = ReplicaId();
}

// The protocol cannot survive the loss of a majority of disks in any configuration in use. A
// learner may become a voter before the leader notices the loss, so it counts as one here.
bool Simulation::MayLose(const std::string& name) const {
  for (const auto& [other, replica] : replicas_) {
    const Configuration& configuration = replica.configuration;
    if (configuration.Find(replica.id) == nullptr) continue;
    std::size_t intact = 0;
    for (const auto& [node, candidate] : replicas_) {
      if (node != name && configuration.IsVoter(candidate.id)) ++intact;
    }
    if (intact < configuration.members.size() / 2 + 1) return false;
  }
  return true;
}

void Simulation::ChangeMembership() {
  const std::string leader = Leader();
  const std::string name = PickName();
  if (leader.empty() || replicas_.at(name).id == ReplicaId()) return;
  const Configuration configuration = Status(leader).configuration;
  const ReplicaId id = replicas_.at(name).id;
  if (configuration.Find(id) == nullptr) {
    Node(leader).ChangeMembership({MembershipChange::Kind::kAddLearner, id});
  } else if (configuration.VoterCount() > 3 && MayLose(name)) {
    Node(leader).ChangeMembership({MembershipChange::Kind::kRemove, id});
  }
}

std::string Simulation::Leader() const {
  std::string leader;
  Term term;
  for (const auto& [name, replica] : replicas_) {
    if (replica.node == nullptr || replica.node->CurrentRole() != Role::kLeader) continue;
    if (replica.node->CurrentTerm() < term) continue;
    leader = name;
    term = replica.node->CurrentTerm();
  }
  return leader;
}

void Simulation::CheckLeader(const Replica& replica) {
  if (replica.node->CurrentRole() != Role::kLeader) return;
  const Term term = replica.node->CurrentTerm();
  const auto [it, first] = leaders_.emplace(term, replica.id);
  coverage_.leaders += first ? 1 : 0;
  if (it->second != replica.id) {
    Violate("two leaders in term ", term, ": ", it->second, " and ", replica.id);
  }
}

// Entries with the same index and term must be equal in all files, as must be those before them.
void Simulation::CheckLogs() {
  std::map<std::pair<LogIndex, Term>, std::pair<Entry, Term>> seen;
  for (const auto& [name, replica] : replicas_) {
    LogReplay replay(ChecksumPolicy::kVerify);
    for (const auto& [path, file] : *replica.disk->files) {
      if (path.find("/log-") == std::string::npos) continue;
      replay.ReadSegment(path, file.content, LogReplay::Tail::kMayBeTorn);
    }
    const auto state = replay.Finish(nullptr);
    if (!state) continue;  // The log begins after a snapshot.
    Term previous;
    for (const Entry& entry : state->entries) {
      const auto [it, first] =
          seen.emplace(std::pair(entry.index, entry.term), std::pair(entry, previous));
      if (!(it->second.first == entry) || it->second.second != previous) {
        Violate("the log of ", name, " differs at index ", entry.index);
      }
      previous = entry.term;
    }
  }
}

void Simulation::HealAndConverge() {
  Heal();
  lossy_ = false;
  for (auto& [name, replica] : replicas_) replica.paused_until = TimePoint();
  for (int i = 0; i < 30; ++i) {
    Run(Milliseconds(500));
    CheckLogs();
    if (i >= 4 && Converged()) return;
  }
  std::ostringstream states;
  for (const auto& [name, replica] : replicas_) {
    const NodeStatus status = replica.node->Status();
    states << "\n  " << status.self << " role " << static_cast<int>(status.role) << " term "
           << status.term << " leader " << status.leader << " commit " << status.commit_index
           << " last " << status.last_index << " members";
    for (const Member& member : status.configuration.members) {
      states << ' ' << member.replica << ':' << static_cast<int>(member.membership);
    }
  }
  Violate("the replicas do not reach the same state; highest index ", Applied(), states.str());
}

// Followers learn of the last commits with the next heartbeat, so a short lag is normal.
bool Simulation::Converged() const {
  const std::string leader = Leader();
  if (leader.empty()) return false;
  const LogIndex newest = Applied();
  if (replicas_.at(leader).applied != newest) return false;
  const Configuration configuration = Status(leader).configuration;
  if (configuration.VoterCount() < 3) return false;
  constexpr std::uint64_t kLag = 100;
  for (const auto& [name, replica] : replicas_) {
    if (configuration.IsVoter(replica.id) && replica.applied + kLag < newest) return false;
  }
  return true;
}

}  // namespace parsleyline::raft
