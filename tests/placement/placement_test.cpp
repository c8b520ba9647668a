#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "tests/placement/placement_fixture.h"

namespace parsleyline::placement {

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(Choose_DemandExceedsOneResource_IsNotPlaced);
  CPPUNIT_TEST(Choose_DrainingSilentOrShrunkWorker_IsSkipped);
  CPPUNIT_TEST(Charge_SameTokenTwice_CountsOnce);
  CPPUNIT_TEST(Charge_BeyondCapacity_CountsAndBlocks);
  CPPUNIT_TEST(CanEverFit_DemandTooLarge_NamesShortResource);
  CPPUNIT_TEST(CanEverFit_GangLargerThanFleet_IsRejected);
  CPPUNIT_TEST(Service_SeveralTasks_SpreadOverRacks);
  CPPUNIT_TEST(Batch_Headroom_LeavesProcessorsToServices);
  CPPUNIT_TEST(Batch_FullestWorkersHaveOnlyHeadroom_UsesOther);
  CPPUNIT_TEST(Batch_UnevenWorkers_TakesBestAligned);
  CPPUNIT_TEST(Batch_PlainTask_LeavesAcceleratorsFree);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a check that omits one of the four resources.
  void Choose_DemandExceedsOneResource_IsNotPlaced() {
    const Resources full = Size(1000, 1000, 1, 1);
    for (const Resources& too_much :
         {Size(1001, 1, 0, 1), Size(1, 1001, 0, 1), Size(1, 1, 2, 1), Size(1, 1, 0, 2)}) {
      for (const Kind kind : kAllKinds) {
        PlacementFixture f;
        f.AddWorkers(2, full);
        CPPUNIT_ASSERT(f.Place(PlacementFixture::Work(kind, too_much)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.Place(PlacementFixture::Work(kind, full)).size());
      }
    }
  }

  // Guards against tasks that are placed on a draining or silent worker, or on one whose charges
  // exceed its reduced capacity.
  void Choose_DrainingSilentOrShrunkWorker_IsSkipped() {
    PlacementFixture f;
    f.AddWorkers(3, Size(4000, 4000, 0, 8));
    f.placement.SetAvailability(f.Name(0), Availability::kDraining);
    f.placement.SetAvailability(f.Name(1), Availability::kSilent);
    const auto token = f.Charge(f.Name(2), Size(2000, 2000));
    f.placement.UpsertWorker({f.Name(2), RackId("rack0"), Size(1000, 1000, 0, 8)});
    const Demand small = f.Work(Kind::kService, Size(10, 10));
    CPPUNIT_ASSERT(f.Place(small).empty());
    f.placement.Release(token);
    CPPUNIT_ASSERT(f.Place(small) == std::vector<WorkerId>{f.Name(2)});
  }

  // Guards against a charge that is counted twice because its token is charged again.
  void Charge_SameTokenTwice_CountsOnce() {
    PlacementFixture f;
    f.AddWorkers(2, Size(4000, 4000, 0, 8));
    f.placement.Charge(FencingToken(7), f.Name(0), Size(1000, 1000));
    f.placement.Charge(FencingToken(7), f.Name(1), Size(3000, 3000));
    CPPUNIT_ASSERT(f.placement.TotalCharged() == Size(1000, 1000));
    f.placement.Release(FencingToken(7));
    f.placement.Release(FencingToken(7));
    CPPUNIT_ASSERT(f.placement.TotalCharged() == Resources{});
  }

  // Guards against ignoring the charge of a running task that exceeds the worker's capacity.
  void Charge_BeyondCapacity_CountsAndBlocks() {
    PlacementFixture f;
    f.AddWorkers(1, Size(1000, 1000, 0, 8));
    f.Charge(f.Name(0), Size(5000, 100));
    CPPUNIT_ASSERT(f.View(f.Name(0)).charged == Size(5000, 100));
    CPPUNIT_ASSERT(f.Place(f.Work(Kind::kBatch, Size(0, 10))).empty());
  }

  // Guards against a rejection that does not name the insufficient resource.
  void CanEverFit_DemandTooLarge_NamesShortResource() {
    PlacementFixture f;
    f.AddWorkers(2, Size(4000, 1000, 0, 8));
    f.placement.UpsertWorker({WorkerId("big"), RackId("r"), Size(1000, 8000, 2, 8)});
    const auto message = [&](const Resources& size) {
      const auto result = f.placement.CheckCanEverFit(f.Work(Kind::kBatch, size));
      CPPUNIT_ASSERT(!result && result.error().code == ResultCode::kCanNeverFit);
      return result.error().message;
    };
    CPPUNIT_ASSERT(message(Size(5000, 10)).find("cpu_millis") != std::string::npos);
    CPPUNIT_ASSERT(message(Size(10, 9000)).find("memory_mib") != std::string::npos);
    CPPUNIT_ASSERT(message(Size(10, 10, 3)).find("accelerators") != std::string::npos);
    CPPUNIT_ASSERT(message(Size(10, 10, 0, 9)).find("slots") != std::string::npos);
    // Some worker has enough of each resource, but none of both. The smallest relative shortage is
    // 1000 of 1200 MiB.
    CPPUNIT_ASSERT(message(Size(4000, 1200)).find("memory_mib") != std::string::npos);
    CPPUNIT_ASSERT(f.placement.CheckCanEverFit(f.Work(Kind::kBatch, Size(4000, 1000))));
  }

  // Guards against a gang that stays queued although all workers together cannot run it.
  void CanEverFit_GangLargerThanFleet_IsRejected() {
    PlacementFixture f;
    f.AddWorkers(3, Size(2000, 2000, 0, 8));
    CPPUNIT_ASSERT(f.placement.CheckCanEverFit(f.Work(Kind::kGang, Size(1000, 10), 6)));
    const auto result = f.placement.CheckCanEverFit(f.Work(Kind::kGang, Size(1000, 10), 7));
    CPPUNIT_ASSERT(!result && result.error().code == ResultCode::kCanNeverFit);
  }

  // Guards against placing all tasks of a service in one rack, whose failure would end all of them.
  void Service_SeveralTasks_SpreadOverRacks() {
    PlacementFixture f;
    f.AddWorkers(16, Size(4000, 4000, 0, 8), 4);
    const auto workers = f.Place(f.Work(Kind::kService, Size(100, 100), 4));
    std::set<std::string> racks;
    for (const auto& worker : workers) racks.insert(f.View(worker).spec.rack.value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, racks.size());
  }

  // Guards against batch work that uses the headroom for bursts of service work.
  void Batch_Headroom_LeavesProcessorsToServices() {
    PlacementOptions options;
    options.service_headroom_permille = 250;
    PlacementFixture f(options);
    f.AddWorkers(1, Size(4000, 4000, 0, 8));
    CPPUNIT_ASSERT(!f.placement.CheckCanEverFit(f.Work(Kind::kBatch, Size(3001, 10))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.Place(f.Work(Kind::kBatch, Size(3000, 10))).size());
    CPPUNIT_ASSERT(f.Place(f.Work(Kind::kBatch, Size(1, 10))).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.Place(f.Work(Kind::kService, Size(1000, 10))).size());
  }

  // Guards against a search that ends after a number of workers whose only free capacity is the
  // headroom for services.
  void Batch_FullestWorkersHaveOnlyHeadroom_UsesOther() {
    PlacementOptions options;
    options.service_headroom_permille = 250;
    PlacementFixture f(options);
    f.AddWorkers(50, Size(4000, 4000, 0, 8));
    for (int i = 0; i < 49; ++i) f.Charge(f.Name(i), Size(2500, 10));
    CPPUNIT_ASSERT(f.Place(f.Work(Kind::kBatch, Size(1000, 10))) == std::vector{f.Name(49)});
  }

  // Guards against packing that uses up one resource of a worker and makes the rest of the others
  // unusable.
  void Batch_UnevenWorkers_TakesBestAligned() {
    PlacementFixture f;
    f.AddWorkers(2, Size(8000, 8000, 0, 8));
    f.Charge(f.Name(0), Size(1000, 5000));
    f.Charge(f.Name(1), Size(5000, 1000));
    CPPUNIT_ASSERT(f.Place(f.Work(Kind::kBatch, Size(2000, 200))) == std::vector{f.Name(0)});
    CPPUNIT_ASSERT(f.Place(f.Work(Kind::kBatch, Size(200, 2000))) == std::vector{f.Name(1)});
  }

  // Guards against tasks without accelerators that fill a worker with accelerators, which makes
  // these unusable.
  void Batch_PlainTask_LeavesAcceleratorsFree() {
    PlacementFixture f;
    f.placement.UpsertWorker({WorkerId("accelerated"), RackId("r"), Size(4000, 4000, 4, 8)});
    f.placement.UpsertWorker({WorkerId("plain"), RackId("r"), Size(4000, 4000, 0, 8)});
    for (int i = 0; i < 8; ++i) {
      const auto workers = f.Place(f.Work(Kind::kBatch, Size(500, 500)));
      CPPUNIT_ASSERT(workers == std::vector<WorkerId>{WorkerId("plain")});
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace parsleyline::placement
