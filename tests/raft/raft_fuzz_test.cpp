#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "tests/raft/simulation.h"

namespace parsleyline::raft {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr int kSeeds = 40;
constexpr Milliseconds kFaultTime{15000};

std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text != nullptr ? std::strtoull(text, nullptr, 10) : default_value;
}

// Runs one seed and returns the violated invariant, or an empty string.
std::string RunSeed(std::uint64_t seed, Simulation::Faults faults, Simulation::Coverage* total) {
  try {
    Simulation simulation(seed, faults);
    simulation.RunWithFaults(kFaultTime);
    simulation.HealAndConverge();
    const auto& coverage = simulation.coverage();
    total->crashes += coverage.crashes;
    total->disk_losses += coverage.disk_losses;
    total->membership_changes += coverage.membership_changes;
    total->restores += coverage.restores;
    total->leaders += coverage.leaders;
    return "";
  } catch (const Violation& violation) {
    return "seed " + std::to_string(seed) + ": " + violation.what();
  }
}

// Runs several seeds and returns the first violation, or an empty string. The environment variables
// PARSLEYLINE_RAFT_SEED and PARSLEYLINE_RAFT_SEEDS override the first seed and the number of seeds.
std::string RunSeeds(Simulation::Faults faults, int seeds, Simulation::Coverage* total) {
  const std::uint64_t first = FromEnvironment("PARSLEYLINE_RAFT_SEED", kFirstSeed);
  const std::uint64_t count = FromEnvironment("PARSLEYLINE_RAFT_SEEDS", seeds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    std::string violation = RunSeed(seed, faults, total);
    if (!violation.empty()) return violation;
  }
  return "";
}

void ExpectViolation(const char* mechanism, Simulation::Faults faults) {
  Simulation::Coverage total;
  const std::string violation = RunSeeds(faults, kSeeds * 3, &total);
  std::cerr << "\n  without " << mechanism << ": " << violation << '\n';
  CPPUNIT_ASSERT_MESSAGE(mechanism, !violation.empty());
}

}  // namespace

class RaftFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftFuzzTest);
  CPPUNIT_TEST(Group_RandomFaults_KeepsInvariants);
  CPPUNIT_TEST(Group_WithoutSyncBeforeAck_IsDetected);
  CPPUNIT_TEST(Group_WithoutStoredVote_IsDetected);
  CPPUNIT_TEST(Group_WithoutIdentityCheck_IsDetected);
  CPPUNIT_TEST(Group_WithoutChecksum_IsDetected);
  CPPUNIT_TEST(Leader_FollowerReconnects_StaysLeader);
  CPPUNIT_TEST(Leader_ReceivesNoMessages_IsReplaced);
  CPPUNIT_TEST(AdmitNew_RandomFaults_KeepsInvariants);
  CPPUNIT_TEST(AdmitNew_TwoVotersUnresponsive_AreRemovedAndAddedAgain);
  CPPUNIT_TEST(AdmitNew_EvenNumberOfReplicas_KeepsVotersOdd);
  CPPUNIT_TEST(AdmitNew_ThreeVoters_KeepsUnresponsiveOnes);
  CPPUNIT_TEST(AdmitNew_DisksFullOneAfterAnother_AllReplicasReturn);
  CPPUNIT_TEST(AdmitNew_RemovedWhileDownAndLeaderUnknown_IsAddedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { SetMinimumSeverity(Severity::kError); }

  // Guards against lost or changed committed entries, two leaders in a term, diverging logs and a
  // group that does not recover after all faults have ended.
  void Group_RandomFaults_KeepsInvariants() {
    Simulation::Coverage total;
    CPPUNIT_ASSERT_EQUAL(std::string(), RunSeeds({}, kSeeds, &total));
    std::cerr << " crashes=" << total.crashes << " disk_losses=" << total.disk_losses
              << " membership_changes=" << total.membership_changes
              << " restores=" << total.restores << " leaders=" << total.leaders;
    CPPUNIT_ASSERT(total.crashes > kSeeds && total.disk_losses > kSeeds);
    CPPUNIT_ASSERT(total.membership_changes > kSeeds && total.restores > kSeeds);
    CPPUNIT_ASSERT(total.leaders > kSeeds);
  }

  // The following tests show that the simulation detects when a safety mechanism is missing.
  void Group_WithoutSyncBeforeAck_IsDetected() {
    ExpectViolation("sync before acknowledge", {.test_fault = TestFault::kAckBeforeSync});
  }
  void Group_WithoutStoredVote_IsDetected() {
    CPPUNIT_ASSERT(!VotesTwice(TestFault::kNone));
    CPPUNIT_ASSERT(VotesTwice(TestFault::kDiscardVote));
  }
  void Group_WithoutIdentityCheck_IsDetected() {
    ExpectViolation("identity check", {.test_fault = TestFault::kIgnoreIdentity});
  }
  void Group_WithoutChecksum_IsDetected() {
    ExpectViolation("checksum", {.checksum = ChecksumPolicy::kIgnore});
  }

  // Guards against a replica that deposes the leader when it reconnects.
  void Leader_FollowerReconnects_StaysLeader() {
    CPPUNIT_ASSERT(LeaderStaysAfterReconnect(TestFault::kNone));
    CPPUNIT_ASSERT(!LeaderStaysAfterReconnect(TestFault::kNoPreVote));
  }

  // Guards against a leader that can send but not receive messages and thus blocks the group
  // forever.
  void Leader_ReceivesNoMessages_IsReplaced() {
    CPPUNIT_ASSERT(NonReceivingLeaderIsReplaced(TestFault::kNone));
    CPPUNIT_ASSERT(!NonReceivingLeaderIsReplaced(TestFault::kNoCheckQuorum));
  }

  void AdmitNew_RandomFaults_KeepsInvariants() {
    Simulation::Coverage total;
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         RunSeeds({.lost_replicas = LostReplicaPolicy::kAdmitNew}, kSeeds, &total));
  }

  // Guards against keeping voters that have failed permanently: if two of five voters have failed,
  // the failure of a third would stop the group.
  void AdmitNew_TwoVotersUnresponsive_AreRemovedAndAddedAgain() {
    Simulation simulation(11, {.lost_replicas = LostReplicaPolicy::kAdmitNew});
    simulation.Run(Milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, VotersSeenByLeader(simulation));
    std::vector<std::string> isolated;
    for (const char* it : {"a", "b", "c"}) {
      if (it != simulation.Leader() && isolated.size() < 2) isolated.emplace_back(it);
    }
    for (const std::string& it : isolated) simulation.Isolate(it);
    simulation.Run(Milliseconds(12'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, VotersSeenByLeader(simulation));
    simulation.Heal();
    simulation.Run(Milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, VotersSeenByLeader(simulation));
  }

  // Guards against a group of six voters that is partitioned into halves and has no leader until
  // the partition ends, as seen in a benchmark. This test uses four replicas instead of six.
  void AdmitNew_EvenNumberOfReplicas_KeepsVotersOdd() {
    Simulation simulation(13, {.lost_replicas = LostReplicaPolicy::kAdmitNew, .disconnected = "e"});
    simulation.Run(Milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, VotersSeenByLeader(simulation));
    // The learner replaces an unresponsive voter.
    const std::string isolated = simulation.Leader() == "a" ? "b" : "a";
    simulation.Isolate(isolated);
    simulation.Run(Milliseconds(6000));
    const NodeStatus status = simulation.Status(simulation.Leader());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, status.configuration.VoterCount());
    CPPUNIT_ASSERT(!status.configuration.HasNode(NodeId(isolated)));
  }

  // Guards against removing unresponsive voters until the failure of one more voter stops the
  // group.
  void AdmitNew_ThreeVoters_KeepsUnresponsiveOnes() {
    Simulation simulation(12, {.lost_replicas = LostReplicaPolicy::kAdmitNew});
    simulation.Run(Milliseconds(3000));
    std::vector<std::string> others;
    for (const char* it : {"a", "b", "c", "d", "e"}) {
      if (it != simulation.Leader()) others.emplace_back(it);
    }
    for (std::size_t i = 0; i < 3; ++i) {
      simulation.Isolate(others[i]);
      simulation.Run(Milliseconds(12'000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, VotersSeenByLeader(simulation));
  }

  // Guards against a group that makes no progress, or has lost members, after each disk was full
  // for a while.
  void AdmitNew_DisksFullOneAfterAnother_AllReplicasReturn() {
    for (const int replicas : {3, 4, 5}) {
      for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        const std::string violation = FillDisksInTurn(seed, replicas);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            std::to_string(replicas) + " replicas, seed " + std::to_string(seed), std::string(),
            violation);
      }
    }
  }

  // Guards against a replica that was removed while it was down and does not know the replica that
  // leads the group since then.
  void AdmitNew_RemovedWhileDownAndLeaderUnknown_IsAddedAgain() {
    Simulation simulation(
        14, {.lost_replicas = LostReplicaPolicy::kAdmitNew, .disconnected = "d", .replicas = 4});
    const std::string removed = simulation.Leader() == "a" ? "b" : "a";
    simulation.Isolate(removed);
    simulation.Run(Milliseconds(1000));
    // "d" joins the group and takes the place of the voter that does not reply.
    simulation.Heal();
    simulation.Isolate(removed);
    simulation.Run(Milliseconds(8000));
    CPPUNIT_ASSERT(!simulation.Status(simulation.Leader()).configuration.HasNode(NodeId(removed)));
    CPPUNIT_ASSERT(simulation.MakeLeader("d"));
    simulation.Heal();
    simulation.Run(Milliseconds(5000));
    const Configuration configuration = simulation.Status(simulation.Leader()).configuration;
    CPPUNIT_ASSERT(configuration.HasNode(NodeId(removed)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, configuration.members.size());
  }

 private:
  // Fills the disks of all replicas in turn, twice, each for 2 to 6 s, and returns what is wrong
  // afterwards. With odd seeds replicas also crash meanwhile.
  static std::string FillDisksInTurn(std::uint64_t seed, int replicas) {
    try {
      std::mt19937_64 random(seed);
      Simulation simulation(seed,
                            {.lost_replicas = LostReplicaPolicy::kAdmitNew, .replicas = replicas});
      simulation.Run(Milliseconds(2000));
      std::vector<std::string> order;
      for (int i = 0; i < replicas; ++i) order.emplace_back(1, static_cast<char>('a' + i));
      for (int round = 0; round < 2; ++round) {
        std::shuffle(order.begin(), order.end(), random);
        for (const std::string& it : order) {
          // In the second round it is the disk of the leader, whichever that is.
          const std::string leader = simulation.Leader();
          const std::string full = round == 0 || leader.empty() ? it : leader;
          simulation.SetDiskFull(full, true);
          simulation.Run(Milliseconds(2000 + random() % 4000));
          simulation.SetDiskFull(full, false);
          if (seed % 2 == 1) simulation.Crash(it);
          simulation.Run(Milliseconds(random() % 1500));
        }
      }
      simulation.Run(Milliseconds(5000));
      const LogIndex before = simulation.HighestApplied();
      simulation.Run(Milliseconds(1000));
      if (simulation.HighestApplied() <= before) return "no progress";
      const std::string leader = simulation.Leader();
      if (leader.empty()) return "no leader";
      const Configuration configuration = simulation.Status(leader).configuration;
      if (configuration.members.size() != order.size()) {
        return std::to_string(configuration.members.size()) + " members";
      }
      simulation.HealAndConverge();
      return "";
    } catch (const Violation& violation) {
      return violation.what();
    }
  }

  static std::size_t VotersSeenByLeader(const Simulation& simulation) {
    return simulation.Status(simulation.Leader()).configuration.VoterCount();
  }

  // Lets a replica vote for "a" in term 5, restarts it, and returns whether it then votes for "b"
  // in the same term.
  static bool VotesTwice(TestFault fault) {
    MemoryFileSystem disk;
    const auto request_vote = [&](const char* candidate) {
      auto storage = LogStorage::Open({.folder = "/v", .node = NodeId("v")}, &disk);
      DurableState state = (*storage)->TakeState();
      state.hard_state.group = GroupId(1);
      Message vote;
      vote.type = MessageType::kVote;
      vote.group = GroupId(1);
      vote.from = {NodeId(candidate), ReplicaIdentity(1)};
      vote.to = state.self;
      vote.term = Term(5);
      RaftNode node({.raft = {.test_fault = fault}}, std::move(state), 1, TimePoint());
      node.Receive(vote, TimePoint());
      const Actions actions = node.TakeActions(TimePoint());
      CPPUNIT_ASSERT((*storage)->Write(actions) && (*storage)->Sync());
      return !actions.messages_after_sync.empty();
    };
    CPPUNIT_ASSERT(request_vote("a"));
    return request_vote("b");
  }

  static bool LeaderStaysAfterReconnect(TestFault fault) {
    Simulation simulation(7, {.test_fault = fault});
    const std::string leader = simulation.Leader();
    const Term term = simulation.Status(leader).term;
    simulation.Isolate(leader == "a" ? "b" : "a");
    simulation.Run(Milliseconds(5000));
    simulation.Heal();
    simulation.Run(Milliseconds(2000));
    return simulation.Leader() == leader && simulation.Status(leader).term == term;
  }

  static bool NonReceivingLeaderIsReplaced(TestFault fault) {
    Simulation simulation(8, {.test_fault = fault});
    const std::string leader = simulation.Leader();
    for (const char* other : {"a", "b", "c", "d", "e"}) simulation.BlockLink(other, leader);
    simulation.Run(Milliseconds(1000));
    const LogIndex before = simulation.HighestApplied();
    simulation.Run(Milliseconds(1000));
    return simulation.Leader() != leader && simulation.HighestApplied() > before;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftFuzzTest);

}  // namespace parsleyline::raft
