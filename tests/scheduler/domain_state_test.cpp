#include "scheduler/domain_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace parsleyline::scheduler {

class DomainStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainStateTest);
  CPPUNIT_TEST(Grant_OfEarlierTerm_HasNoEffect);
  CPPUNIT_TEST(StartTerm_OfEarlierTerm_IsIgnored);
  CPPUNIT_TEST(Register_NewIncarnation_EndsEarlierTasksOnly);
  CPPUNIT_TEST(Register_OldIncarnation_IsIgnored);
  CPPUNIT_TEST(Snapshot_Restored_BehavesAlike);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a grant that is applied although a later leader has recorded other decisions
  // since it was proposed.
  void Grant_OfEarlierTerm_HasNoEffect() {
    CPPUNIT_ASSERT(Apply(StartTerm{Term(1)}).accepted);
    CPPUNIT_ASSERT(Apply(StartTerm{Term(3)}).accepted);
    CPPUNIT_ASSERT(!Apply(GrantOf("a", Term(1))).accepted);
    CPPUNIT_ASSERT(state_.ledger().Find(RequestId("a")) == nullptr);
    CPPUNIT_ASSERT(Apply(GrantOf("a", Term(3))).accepted);
  }

  // Guards against a delayed StartTerm record that makes grants of an earlier term valid again.
  void StartTerm_OfEarlierTerm_IsIgnored() {
    Apply(StartTerm{Term(3)});
    CPPUNIT_ASSERT(!Apply(StartTerm{Term(2)}).accepted);
    CPPUNIT_ASSERT(!Apply(GrantOf("a", Term(2))).accepted);
  }

  // Guards against a restarted worker whose lost tasks stay charged, or whose new tasks are ended
  // too.
  void Register_NewIncarnation_EndsEarlierTasksOnly() {
    Apply(StartTerm{Term(1)});
    Apply(Registration(1));
    Apply(GrantOf("a", Term(1), 1));
    Apply(GrantOf("b", Term(1), 2));
    Apply(GrantOf("c", Term(1), 1, "other"));
    const ApplyResult applied = Apply(Registration(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, applied.ended.size());
    CPPUNIT_ASSERT(applied.ended[0].request == RequestId("a"));
    CPPUNIT_ASSERT(applied.ended[0].task.outcome == wire::TaskOutcome::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state_.ledger().Running().size());
  }

  // Guards against a delayed announcement that replaces a worker's registration by that of a
  // previous incarnation.
  void Register_OldIncarnation_IsIgnored() {
    Apply(Registration(2));
    CPPUNIT_ASSERT(!Apply(Registration(1)).accepted);
    CPPUNIT_ASSERT(state_.workers().Find(WorkerId("w"))->registration.incarnation ==
                   Incarnation(2));
  }

  // Guards against a snapshot that misses the term, an operator's drain, running or lost tasks.
  void Snapshot_Restored_BehavesAlike() {
    Apply(StartTerm{Term(3)});
    Apply(Registration(1));
    Apply(SetOperatorState{WorkerId("w"), wire::WorkerState::kDraining});
    Apply(GrantOf("a", Term(3), 1));
    Apply(GrantOf("lost", Term(3), 1));
    const FencingToken token = state_.ledger().Find(RequestId("lost"))->tasks.at(0).token;
    Apply(wire::FinishTask{
        .id = RequestId("lost"), .token = token, .outcome = wire::TaskOutcome::kLost});
    DomainState copy;
    CPPUNIT_ASSERT(copy.Restore(state_.TakeSnapshot(), TimePoint()).has_value());
    CPPUNIT_ASSERT(copy.workers().Find(WorkerId("w"))->Availability() ==
                   placement::Availability::kDraining);
    CPPUNIT_ASSERT(copy.workers().Find(WorkerId("w"))->lost_tasks == std::set{token});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, copy.ledger().Running().size());
    CPPUNIT_ASSERT(!copy.Apply(LogIndex(9), GrantOf("b", Term(2)), TimePoint()).accepted);
    CPPUNIT_ASSERT(copy.Apply(LogIndex(9), GrantOf("b", Term(3)), TimePoint()).accepted);
  }

 private:
  ApplyResult Apply(const Record& record) {
    return state_.Apply(LogIndex(++index_), record, TimePoint());
  }

  static GrantTasks GrantOf(const std::string& id, Term term, std::uint64_t incarnation = 1,
                            const std::string& worker = "w") {
    GrantTasks record;
    record.proposer_term = term;
    record.grant.id = RequestId(id);
    record.grant.workers = {WorkerId(worker)};
    record.grant.incarnations = {Incarnation(incarnation)};
    return record;
  }

  static RegisterWorker Registration(std::uint64_t incarnation) {
    RegisterWorker record;
    record.worker = WorkerId("w");
    record.incarnation = Incarnation(incarnation);
    return record;
  }

  std::uint64_t index_ = 0;
  DomainState state_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainStateTest);

}  // namespace parsleyline::scheduler
