#include "entry/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include "base/units.h"

namespace parsleyline::entry {

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(Budget_UsedUp_RefillsWithTime);
  CPPUNIT_TEST(Budget_Requests_AddTheirShare);
  CPPUNIT_TEST(Budget_LongIdle_StaysAtCapacity);
  CPPUNIT_TEST(Budget_OneTeamUsedUp_OthersStayFull);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against retries that amplify an overload, and against a budget that never refills.
  void Budget_UsedUp_RefillsWithTime() {
    CPPUNIT_ASSERT_EQUAL(100, TakeAll(kTeam));
    clock_.Advance(Milliseconds(99));
    CPPUNIT_ASSERT(!budget_.TryTakeRetry(kTeam, clock_.Now()));
    clock_.Advance(Milliseconds(2));
    CPPUNIT_ASSERT(budget_.TryTakeRetry(kTeam, clock_.Now()));
    CPPUNIT_ASSERT(!budget_.TryTakeRetry(kTeam, clock_.Now()));
    clock_.Advance(Milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(10, TakeAll(kTeam));
  }

  // Guards against a team whose requests do not add to its budget.
  void Budget_Requests_AddTheirShare() {
    TakeAll(kTeam);
    for (int i = 0; i < 205; ++i) budget_.RecordRequest(kTeam, clock_.Now());
    CPPUNIT_ASSERT_EQUAL(20, TakeAll(kTeam));
  }

  // Guards against a budget that grows without bound while a team is idle.
  void Budget_LongIdle_StaysAtCapacity() {
    TakeAll(kTeam);
    clock_.Advance(std::chrono::hours(8));
    CPPUNIT_ASSERT_EQUAL(100, TakeAll(kTeam));
  }

  // Guards against a team whose retries use up the budget of another team.
  void Budget_OneTeamUsedUp_OthersStayFull() {
    TakeAll(kTeam);
    CPPUNIT_ASSERT_EQUAL(100, TakeAll(TeamId("other")));
  }

 private:
  int TakeAll(const TeamId& team) {
    int taken = 0;
    while (budget_.TryTakeRetry(team, clock_.Now())) ++taken;
    return taken;
  }

  const TeamId kTeam{"team"};
  ManualClock clock_;
  RetryBudget budget_{10, 10};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace parsleyline::entry
