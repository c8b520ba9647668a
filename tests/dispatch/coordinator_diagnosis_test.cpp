#include "tests/dispatch/coordinator_fixture.h"

namespace parsleyline::dispatch {

constexpr auto kGang = static_cast<std::uint32_t>(job::StepFlag::kGang);

/// Tests the report about steps that wait although the cell has capacity.
class CoordinatorDiagnosisTest : public CoordinatorFixture {
  CPPUNIT_TEST_SUITE(CoordinatorDiagnosisTest);
  CPPUNIT_TEST(Step_NoCallerOfTheAdvisor_IsOverdue);
  CPPUNIT_TEST(Step_CellFull_IsNotOverdue);
  CPPUNIT_TEST(Gang_OpenRunNotListed_IsOverdue);
  CPPUNIT_TEST(Hold_NeverAnswered_IsOverdue);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Step_NoCallerOfTheAdvisor_IsOverdue() {
    job::CellConfig config = DefaultConfig();
    config.version = job::ConfigVersion(2);
    config.queues[0].needs_ticket = 1;
    PutConfig(config);
    AddWorker("w1");
    Submit("j", Spec(1, 1000));
    AdvanceWithHolds(4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, coordinator_->counts().overdue_steps);
    AdvanceWithHolds(8000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, coordinator_->counts().overdue_steps);
  }

  void Step_CellFull_IsNotOverdue() {
    AddWorker("w1", 4000);
    Submit("running", Spec(4, 1000));
    Submit("waiting", Spec(1, 1000), "batch");
    for (const StartOrder& it : std::vector<StartOrder>(outbox_->starts)) {
      Reply(it, OrderOutcome::kAccepted);
    }
    AdvanceWithHolds(12'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, coordinator_->counts().overdue_steps);
  }

  void Gang_OpenRunNotListed_IsOverdue() {
    AddWorker("w1", 1000);
    AddWorker("w2", 8000);
    Submit("j", Spec(2, 1000, kGang));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->starts.size());
    Reply(outbox_->starts[0], OrderOutcome::kNoCapacity);
    // The other member is neither confirmed nor refused.
    AdvanceWithHolds(12'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, coordinator_->counts().overdue_steps);
  }

  void Hold_NeverAnswered_IsOverdue() {
    AddWorker("w1");
    AdvanceWithHolds(4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, coordinator_->counts().overdue_holds);
    Advance(8000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, coordinator_->counts().overdue_holds);
  }

 private:
  /// Advances the clock; each second the workers answer a hold with empty lists.
  void AdvanceWithHolds(std::int64_t ms) {
    for (; ms > 0; ms -= 1000) {
      Advance(std::min<std::int64_t>(ms, 1000));
      for (const auto& [id, order] : std::map<WorkerId, HoldOrder>(outbox_->holds)) {
        AnswerHold(id.value());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorDiagnosisTest);

}  // namespace parsleyline::dispatch
