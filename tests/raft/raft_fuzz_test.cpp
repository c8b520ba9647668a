#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "base/event_log.h"
#include "tests/raft/simulation.h"

namespace parsleyline::raft {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr int kSeeds = 40;
constexpr Milliseconds kFaultTime{15000};

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text != nullptr ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Runs one seed and returns what was violated, or nothing.
std::string RunSeed(std::uint64_t seed, Simulation::Faults faults, Simulation::Coverage* total) {
  try {
    Simulation simulation(seed, faults);
    simulation.RunWithFaults(kFaultTime);
    simulation.HealAndConverge();
    const auto& covered = simulation.Covered();
    total->crashes += covered.crashes;
    total->disk_losses += covered.disk_losses;
    total->membership_changes += covered.membership_changes;
    total->restores += covered.restores;
    total->leaders += covered.leaders;
    return "";
  } catch (const Violation& violation) {
    return "seed " + std::to_string(seed) + ": " + violation.what();
  }
}

// Returns the first violation over many seeds. PARSLEYLINE_RAFT_SEED and PARSLEYLINE_RAFT_SEEDS
// choose other ones.
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
  CPPUNIT_TEST(Group_RandomFaults_KeepsItsPromises);
  CPPUNIT_TEST(Group_WithoutSyncBeforeAck_IsCaught);
  CPPUNIT_TEST(Group_WithoutStoredVote_IsCaught);
  CPPUNIT_TEST(Group_WithoutIdentityCheck_IsCaught);
  CPPUNIT_TEST(Group_WithoutChecksum_IsCaught);
  CPPUNIT_TEST(Leader_AfterFollowerWasCutOff_Stays);
  CPPUNIT_TEST(Leader_ThatReceivesNothing_IsReplaced);
  CPPUNIT_TEST(OpenGroup_RandomFaults_KeepsItsPromises);
  CPPUNIT_TEST(OpenGroup_TwoVotersSilent_LeaveAndJoinAgain);
  CPPUNIT_TEST(OpenGroup_EvenNumberOfReplicas_KeepsVotersOdd);
  CPPUNIT_TEST(OpenGroup_ThreeVoters_KeepsTheSilentOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { SetMinimumSeverity(Severity::kError); }

  // Guards against lost or changed commits, two leaders in a term, diverging logs and a group
  // that does not recover.
  void Group_RandomFaults_KeepsItsPromises() {
    Simulation::Coverage total;
    CPPUNIT_ASSERT_EQUAL(std::string(), RunSeeds({}, kSeeds, &total));
    std::cerr << " crashes=" << total.crashes << " disk_losses=" << total.disk_losses
              << " membership_changes=" << total.membership_changes
              << " restores=" << total.restores << " leaders=" << total.leaders;
    CPPUNIT_ASSERT(total.crashes > kSeeds && total.disk_losses > kSeeds);
    CPPUNIT_ASSERT(total.membership_changes > kSeeds && total.restores > kSeeds);
    CPPUNIT_ASSERT(total.leaders > kSeeds);
  }

  // The following tests show that the simulation notices when a mechanism is missing.
  void Group_WithoutSyncBeforeAck_IsCaught() {
    ExpectViolation("sync before acknowledge", {.node = TestFault::kAckBeforeSync});
  }
  void Group_WithoutStoredVote_IsCaught() {
    CPPUNIT_ASSERT(!VotesTwice(TestFault::kNone));
    CPPUNIT_ASSERT(VotesTwice(TestFault::kDiscardVote));
  }
  void Group_WithoutIdentityCheck_IsCaught() {
    ExpectViolation("identity check", {.node = TestFault::kIgnoreIdentity});
  }
  void Group_WithoutChecksum_IsCaught() {
    ExpectViolation("checksum", {.checksum = ChecksumPolicy::kIgnore});
  }

  // Guards against a replica that deposes the leader when its connection comes back.
  void Leader_AfterFollowerWasCutOff_Stays() {
    CPPUNIT_ASSERT(LeaderSurvivesReturn(TestFault::kNone));
    CPPUNIT_ASSERT(!LeaderSurvivesReturn(TestFault::kNoPreVote));
  }

  // Guards against a leader that can send but not receive and blocks the group for ever.
  void Leader_ThatReceivesNothing_IsReplaced() {
    CPPUNIT_ASSERT(DeafLeaderIsReplaced(TestFault::kNone));
    CPPUNIT_ASSERT(!DeafLeaderIsReplaced(TestFault::kNoCheckQuorum));
  }

  void OpenGroup_RandomFaults_KeepsItsPromises() {
    Simulation::Coverage total;
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         RunSeeds({.policy = LostReplicaPolicy::kAdmitNew}, kSeeds, &total));
  }

  // Guards against a group whose majority includes voters that never come back: of five voters
  // with two gone, one more loss would stop it.
  void OpenGroup_TwoVotersSilent_LeaveAndJoinAgain() {
    Simulation simulation(11, {.policy = LostReplicaPolicy::kAdmitNew});
    simulation.Run(Milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, VotersSeenByLeader(simulation));
    std::vector<std::string> gone;
    for (const char* it : {"a", "b", "c"}) {
      if (it != simulation.Leader() && gone.size() < 2) gone.emplace_back(it);
    }
    for (const std::string& it : gone) simulation.Isolate(it);
    simulation.Run(Milliseconds(12'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, VotersSeenByLeader(simulation));
    simulation.Heal();
    simulation.Run(Milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, VotersSeenByLeader(simulation));
  }

  // Guards against a group of six voters that is split into halves and has no leader until the
  // split is over; seen on the bench. Here the sixth replica is the fourth.
  void OpenGroup_EvenNumberOfReplicas_KeepsVotersOdd() {
    Simulation simulation(13, {.policy = LostReplicaPolicy::kAdmitNew, .absent = "e"});
    simulation.Run(Milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, VotersSeenByLeader(simulation));
    // The learner takes the place of a voter that is gone.
    const std::string gone = simulation.Leader() == "a" ? "b" : "a";
    simulation.Isolate(gone);
    simulation.Run(Milliseconds(6000));
    const NodeStatus status = simulation.Status(simulation.Leader());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, status.configuration.VoterCount());
    CPPUNIT_ASSERT(!status.configuration.HasNode(NodeId(gone)));
  }

  // Guards against a group that shrinks until one more loss stops it.
  void OpenGroup_ThreeVoters_KeepsTheSilentOne() {
    Simulation simulation(12, {.policy = LostReplicaPolicy::kAdmitNew});
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

 private:
  static std::size_t VotersSeenByLeader(const Simulation& simulation) {
    return simulation.Status(simulation.Leader()).configuration.VoterCount();
  }

  // Votes for a in term 5, restarts, and is asked by b for its vote in the same term.
  static bool VotesTwice(TestFault fault) {
    MemoryFileSystem disk;
    const auto ask = [&](const char* candidate) {
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
    CPPUNIT_ASSERT(ask("a"));
    return ask("b");
  }

  static bool LeaderSurvivesReturn(TestFault fault) {
    Simulation simulation(7, {.node = fault});
    const std::string leader = simulation.Leader();
    const Term term = simulation.Status(leader).term;
    simulation.Isolate(leader == "a" ? "b" : "a");
    simulation.Run(Milliseconds(5000));
    simulation.Heal();
    simulation.Run(Milliseconds(2000));
    return simulation.Leader() == leader && simulation.Status(leader).term == term;
  }

  static bool DeafLeaderIsReplaced(TestFault fault) {
    Simulation simulation(8, {.node = fault});
    const std::string leader = simulation.Leader();
    for (const char* other : {"a", "b", "c", "d", "e"}) simulation.Cut(other, leader);
    simulation.Run(Milliseconds(1000));
    const LogIndex before = simulation.Applied();
    simulation.Run(Milliseconds(1000));
    return simulation.Leader() != leader && simulation.Applied() > before;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftFuzzTest);

}  // namespace parsleyline::raft
