#include "raft/in_memory_log.h"

#include <cppunit/extensions/HelperMacros.h>

namespace parsleyline::raft {
namespace {

// Records all calls. Proposes another command from within Apply() when it applies "again".
class RecordingMachine : public StateMachine {
 public:
  void Apply(LogIndex index, std::string_view command) override {
    CPPUNIT_ASSERT(!applying_);
    applying_ = true;
    if (command == "again") CPPUNIT_ASSERT(log->Propose("nested").has_value());
    history += std::to_string(index.value()) + "=" + std::string(command) + ";";
    applying_ = false;
  }
  std::string TakeSnapshot() override { return history; }
  Result<void> Restore(std::string_view snapshot) override {
    history = snapshot;
    return {};
  }
  void OnRoleChange(Role role, Term term) override {
    history += (role == Role::kLeader ? "leader" : "follower") + std::to_string(term.value()) + ";";
  }

  InMemoryLog* log = nullptr;
  std::string history;

 private:
  bool applying_ = false;
};

}  // namespace

class InMemoryLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InMemoryLogTest);
  CPPUNIT_TEST(Propose_WithinApply_IsAppliedAfterwards);
  CPPUNIT_TEST(Propose_AfterStepDown_IsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against overlapping calls when a state machine proposes a command from within Apply().
  void Propose_WithinApply_IsAppliedAfterwards() {
    InMemoryLog log;
    RecordingMachine machine;
    machine.log = &log;
    log.Start(&machine);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log.Propose("again")->value());
    CPPUNIT_ASSERT_EQUAL(std::string("leader1;1=again;2=nested;"), machine.history);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, log.CommitIndex().value());
  }

  // Guards against accepting commands after the leadership was lost.
  void Propose_AfterStepDown_IsRejected() {
    InMemoryLog log;
    RecordingMachine machine;
    log.Start(&machine);
    log.StepDown(NodeId("other"));
    CPPUNIT_ASSERT(log.Propose("x").error().code == ResultCode::kNotLeader);
    log.BecomeLeader();
    CPPUNIT_ASSERT(log.Propose("y").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("leader1;follower2;leader3;1=y;"), machine.history);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InMemoryLogTest);

}  // namespace parsleyline::raft
