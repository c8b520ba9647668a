#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/placement/placement_fixture.h"

namespace parsleyline::placement {

class HealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HealthTest);
  CPPUNIT_TEST(Failures_OfDistinctJobs_LeadToProbation);
  CPPUNIT_TEST(Failures_OfOneJob_DoNotLeadToProbation);
  CPPUNIT_TEST(Failures_OfJobThatFailsEverywhere_AreIgnored);
  CPPUNIT_TEST(Probation_ManyFaultyWorkers_IsLimited);
  CPPUNIT_TEST(Probes_WhileFailing_IntervalDoubles);
  CPPUNIT_TEST(Probe_Success_EndsProbation);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a worker on which every task fails and that gets more tasks because it is always
  // free.
  void Failures_OfDistinctJobs_LeadToProbation() {
    PlacementFixture f;
    f.AddWorkers(10, kWorker);
    RecordFailures(&f, 0, "job", 4);
    CPPUNIT_ASSERT(!f.View(f.Name(0)).on_probation);
    RecordFailures(&f, 0, "other", 1);
    CPPUNIT_ASSERT(f.View(f.Name(0)).on_probation);
    for (int i = 0; i < 72; ++i) {
      const auto workers = f.Place(f.Work(Kind::kBatch, Size(1, 1)));
      CPPUNIT_ASSERT(workers.size() == 1 && workers[0] != f.Name(0));
    }
    CPPUNIT_ASSERT(f.Place(f.Work(Kind::kBatch, Size(1, 1))).empty());
  }

  // Guards against a faulty job that is resubmitted and puts a healthy worker on probation.
  void Failures_OfOneJob_DoNotLeadToProbation() {
    PlacementFixture f;
    f.AddWorkers(10, kWorker);
    for (int i = 0; i < 50; ++i) f.placement.RecordFailure(f.Name(0), RequestId("bad"), f.now);
    CPPUNIT_ASSERT(!f.View(f.Name(0)).on_probation);
  }

  // Guards against faulty jobs that put healthy workers on probation.
  void Failures_OfJobThatFailsEverywhere_AreIgnored() {
    PlacementFixture f;
    f.AddWorkers(10, kWorker);
    RecordFailures(&f, 0, "job", 5);
    CPPUNIT_ASSERT(f.View(f.Name(0)).on_probation);
    // One of the five jobs also fails on two other workers, so only four failures count against
    // this one.
    f.placement.RecordFailure(f.Name(1), RequestId("job0"), f.now);
    f.placement.RecordFailure(f.Name(2), RequestId("job0"), f.now);
    CPPUNIT_ASSERT(!f.View(f.Name(0)).on_probation);
    // Later failures of the job count against no worker.
    RecordFailures(&f, 3, "x", 4);
    f.placement.RecordFailure(f.Name(3), RequestId("job0"), f.now);
    CPPUNIT_ASSERT(!f.View(f.Name(3)).on_probation);
  }

  // Guards against a fault common to all workers that puts all of them on probation.
  void Probation_ManyFaultyWorkers_IsLimited() {
    PlacementFixture f;
    f.AddWorkers(10, kWorker);
    for (int i = 0; i < 10; ++i) RecordFailures(&f, i, "job" + std::to_string(i), 8);
    const auto views = f.placement.Workers();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2},
                         std::count_if(views.begin(), views.end(),
                                       [](const auto& view) { return view.on_probation; }));
  }

  // Guards against a faulty worker that gets probes at a constant rate although they fail.
  void Probes_WhileFailing_IntervalDoubles() {
    PlacementFixture f;
    f.AddWorkers(2, kWorker);
    RecordFailures(&f, 0, "job", 5);
    std::vector<Milliseconds::rep> gaps;
    TimePoint last = f.now;
    for (int i = 0; gaps.size() < 5 && i < 100000; ++i) {
      f.now += Milliseconds(10);
      if (f.placement.Choose(f.Work(Kind::kBatch, Size(1, 1)), f.now).reason != "probe") continue;
      gaps.push_back(std::chrono::duration_cast<Milliseconds>(f.now - last).count());
      last = f.now;
      f.placement.RecordFailure(f.Name(0), RequestId("probe" + std::to_string(i)), f.now);
    }
    CPPUNIT_ASSERT(gaps == (std::vector<Milliseconds::rep>{1000, 2000, 4000, 8000, 16000}));
  }

  // Guards against a repaired worker that stays on probation.
  void Probe_Success_EndsProbation() {
    PlacementFixture f;
    f.AddWorkers(2, kWorker);
    RecordFailures(&f, 0, "job", 5);
    f.now += Milliseconds(1000);
    CPPUNIT_ASSERT(f.Place(f.Work(Kind::kBatch, Size(1, 1))) == std::vector{f.Name(0)});
    f.placement.RecordSuccess(f.Name(0), RequestId("job"), f.now);
    CPPUNIT_ASSERT(!f.View(f.Name(0)).on_probation);
    RecordFailures(&f, 0, "again", 4);
    CPPUNIT_ASSERT(!f.View(f.Name(0)).on_probation);
  }

 private:
  inline static const Resources kWorker = Size(8000, 8000, 0, 8);

  static void RecordFailures(PlacementFixture* f, int worker, const std::string& job, int n) {
    for (int i = 0; i < n; ++i) {
      f->placement.RecordFailure(f->Name(worker), RequestId(job + std::to_string(i)), f->now);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthTest);

}  // namespace parsleyline::placement
