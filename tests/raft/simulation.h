#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "raft/log_storage.h"
#include "raft/raft_node.h"
#include "tests/raft/memory_file_system.h"

namespace parsleyline::raft {

/// A broken promise of the protocol.
struct Violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Several replicas with their files over a simulated network, in steps of 1 ms. Checks after each
/// step: one leader per term, and all replicas apply the same commands at the same indexes.
class Simulation {
 public:
  struct Faults {
    TestFault node = TestFault::kNone;
    ChecksumPolicy checksum = ChecksumPolicy::kVerify;
    LostReplicaPolicy policy = LostReplicaPolicy::kReplace;
    /// Replica that is cut off from the start on; empty for none.
    std::string absent;
  };

  explicit Simulation(std::uint64_t seed) : Simulation(seed, Faults()) {}
  Simulation(std::uint64_t seed, Faults faults);

  void Run(Milliseconds time);
  /// Runs with random faults of all kinds.
  void RunWithFaults(Milliseconds time);
  /// Ends all faults, then throws unless all members reach the same state.
  void HealAndConverge();

  void Cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void Isolate(const std::string& name);
  void Heal() { cuts_.clear(); }
  /// Name of the leader with the highest term, or empty.
  std::string Leader() const;
  NodeStatus Status(const std::string& name) const { return replicas_.at(name).node->Status(); }
  /// Highest index that any replica has applied.
  /// How often the random faults led to the rarer events.
  struct Coverage {
    int crashes = 0;
    int disk_losses = 0;
    int membership_changes = 0;
    int restores = 0;
    int leaders = 0;
  };
  const Coverage& Covered() const { return coverage_; }
  LogIndex Applied() const { return history_.empty() ? LogIndex() : history_.rbegin()->first; }
  RaftNode& Node(const std::string& name) { return *replicas_.at(name).node; }

 private:
  struct Replica {
    std::unique_ptr<MemoryFileSystem> disk;
    std::unique_ptr<LogStorage> storage;
    std::unique_ptr<RaftNode> node;  // Null while crashed.
    ReplicaId id;
    Configuration configuration;  // As last seen.
    TimePoint paused_until;
    TimePoint restart_at;
    TimePoint sync_due = TimePoint::max();
    std::uint64_t written = 0;
    std::vector<Message> after_sync;
    std::vector<SnapshotPtr> snapshots;
    LogIndex applied;
    std::uint64_t hash = 0;
  };

  void Start(const std::string& name);
  void Step();
  void StepReplica(const std::string& name, Replica* replica);
  void Deliver();
  void Carry(Replica* replica, Actions actions);
  void Call(Replica* replica, const StateMachineCall& call);
  void Record(Replica* replica, LogIndex index);
  void Sync(Replica* replica);
  void Send(const Message& m);
  void ProposeSomewhere();
  void InjectFault();
  void Crash(const std::string& name);
  void LoseDisk(const std::string& name);
  void ChangeMembership();
  bool MayLose(const std::string& name) const;
  void CheckLeader(const Replica& replica);
  void CheckLogs();
  bool Converged() const;
  std::uint64_t Pick(std::uint64_t n) { return random_() % n; }
  std::string PickName();

  std::mt19937_64 random_;
  const Faults faults_;
  TimePoint now_{std::chrono::hours(1)};
  std::map<std::string, Replica> replicas_;
  std::multimap<TimePoint, Message> network_;
  std::set<std::pair<std::string, std::string>> cuts_;
  bool lossy_ = false;
  std::uint64_t proposed_ = 0;
  Coverage coverage_;
  // The oracle: leader of each term, and hash of all commands up to each applied index.
  std::map<Term, ReplicaId> leaders_;
  std::map<LogIndex, std::uint64_t> history_;
};

}  // namespace parsleyline::raft
