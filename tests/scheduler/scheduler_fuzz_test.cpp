#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>

#include "base/event_log.h"
#include "tests/scheduler/simulation.h"

namespace parsleyline::scheduler {

class SchedulerFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerFuzzTest);
  CPPUNIT_TEST(Quiesce_EntryCrashedBeforeLateDispatch_LeaseEnds);
  CPPUNIT_TEST(Quiesce_GrantedAfterEntryGaveUp_LeaseEnds);
  CPPUNIT_TEST(Worker_LateDispatchAfterSilence_KeepsCapacity);
  CPPUNIT_TEST(Domain_FaultsOfEveryKind_KeepsGuarantees);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { SetMinimumSeverity(Severity::kError); }
  void tearDown() override { SetMinimumSeverity(Severity::kInfo); }

  // Guards against "leases stay" in the fuzz test below while the lease of a task still lasts: the
  // entry daemon crashed and the dispatch arrived late.
  void Quiesce_EntryCrashedBeforeLateDispatch_LeaseEnds() { Simulation(4261408759).Run(377); }

  // Guards against the same failure if the scheduler granted a request after the entry daemon had
  // given up, because the first submission arrived late.
  void Quiesce_GrantedAfterEntryGaveUp_LeaseEnds() { Simulation(4261408759).Run(433); }

  // Guards against a worker that exceeds its capacity, because it was silent until the lease of a
  // task ended and starts the task from a late dispatch when it is heard again.
  void Worker_LateDispatchAfterSilence_KeepsCapacity() {
    Simulation(4293918591).Run(283);
    Simulation(4294899455).Run(242);
    Simulation(4261396471).Run(532);
  }

  // Guards against workers charged beyond their capacity, requests that run twice, on two workers
  // or after they were reported as rejected, charges that are never released, and replicas whose
  // state differs. Random requests run while messages are lost or delayed, workers crash, and
  // leaders change.
  void Domain_FaultsOfEveryKind_KeepsGuarantees() {
    std::size_t starts = 0;
    std::size_t rejections = 0;
    CPPUNIT_ASSERT(rc::check("domain under faults", [&] {
      Simulation simulation(*rc::gen::resize(1000, rc::gen::arbitrary<std::uint32_t>()));
      simulation.Run(*rc::gen::inRange<std::size_t>(50, 2500));
      starts += simulation.oracle().starts();
      rejections += simulation.oracle().rejections();
    }));
    std::cerr << "starts=" << starts << " rejections=" << rejections << '\n';
    CPPUNIT_ASSERT(starts > 1000 && rejections > 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerFuzzTest);

}  // namespace parsleyline::scheduler
