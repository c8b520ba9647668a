#include <cppunit/extensions/HelperMacros.h>

#include "tests/placement/placement_fixture.h"

namespace parsleyline::placement {

class GangTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangTest);
  CPPUNIT_TEST(Gang_NotAllTasksFit_PlacesNone);
  CPPUNIT_TEST(Gang_WhileReserved_OtherWorkIsNotPlaced);
  CPPUNIT_TEST(Gangs_TwoThatDoNotFit_OnlyOneReserves);
  CPPUNIT_TEST(Reservation_Expired_PassesToNextGang);
  CPPUNIT_TEST(Backfill_ShortAndLongWork_OnlyShortStarts);
  CPPUNIT_TEST(Reservation_GangCancelled_FreesWorkers);
  CPPUNIT_TEST(Reservation_WorkerLost_IsPlannedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    fixture_ = std::make_unique<PlacementFixture>();
    fixture_->AddWorkers(2, Size(8000, 8000, 0, 4));
  }

  // Guards against a gang of which only some tasks are placed, and against tentative charges that
  // are kept after the decision.
  void Gang_NotAllTasksFit_PlacesNone() {
    ChargeTask(0, 3000);
    CPPUNIT_ASSERT(fixture_->Place(Gang("g", 8)).empty());
    fixture_->placement.DropReservation(RequestId("g"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, fixture_->Place(Gang("g", 7)).size());
  }

  // Guards against a gang that never starts because smaller requests take each slot that is freed.
  void Gang_WhileReserved_OtherWorkIsNotPlaced() {
    const auto first = ChargeTask(0, 3000);
    const auto second = ChargeTask(1, 3000);
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("g", 8), fixture_->now).reason == "reserved");
    CPPUNIT_ASSERT(fixture_->Place(fixture_->Work(Kind::kBatch, SmallTask())).empty());
    CPPUNIT_ASSERT(fixture_->Place(fixture_->Work(Kind::kService, SmallTask())).empty());
    fixture_->placement.Release(first);
    CPPUNIT_ASSERT(fixture_->Place(fixture_->Work(Kind::kBatch, SmallTask())).empty());
    fixture_->placement.Release(second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture_->Place(Gang("g", 8)).size());
  }

  // Guards against a deadlock of two gangs that each reserve half of the workers and wait for the
  // other half.
  void Gangs_TwoThatDoNotFit_OnlyOneReserves() {
    const auto token = ChargeTask(0, 3000);
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("a", 8), fixture_->now).reason == "reserved");
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("b", 8), fixture_->now).reason == "no_room");
    fixture_->placement.Release(token);
    CPPUNIT_ASSERT(fixture_->Place(Gang("b", 8)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture_->Place(Gang("a", 8)).size());
  }

  // Guards against a gang that keeps its reservation forever.
  void Reservation_Expired_PassesToNextGang() {
    ChargeTask(0, 3000);
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("a", 8), fixture_->now).reason == "reserved");
    fixture_->now += Milliseconds(9999);
    fixture_->placement.Tick(fixture_->now);
    CPPUNIT_ASSERT(fixture_->Place(fixture_->Work(Kind::kBatch, SmallTask())).empty());
    fixture_->now += Milliseconds(1);
    fixture_->placement.Tick(fixture_->now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture_->Place(fixture_->Work(Kind::kBatch, SmallTask())).size());
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("a", 8), fixture_->now).reason == "no_room");
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("b", 8), fixture_->now).reason == "reserved");
  }

  // Guards against backfilled tasks that delay the gang, and against workers that stay idle until
  // the gang starts.
  void Backfill_ShortAndLongWork_OnlyShortStarts() {
    ChargeTask(0, 3000);
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("g", 8), fixture_->now).reason == "reserved");
    const auto work = [this](int ms) {
      return fixture_->Place(
          fixture_->Work(Kind::kBatch, SmallTask(), 1, "fill", Milliseconds(ms)));
    };
    CPPUNIT_ASSERT(work(10000).empty());
    CPPUNIT_ASSERT_MESSAGE("an unknown run time counts as long", work(0).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, work(2900).size());
    fixture_->now += Milliseconds(1000);
    CPPUNIT_ASSERT_MESSAGE("the gang starts in 2 s", work(2900).empty());
  }

  // Guards against workers that stay reserved for a cancelled gang.
  void Reservation_GangCancelled_FreesWorkers() {
    ChargeTask(0, 3000);
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("g", 8), fixture_->now).reason == "reserved");
    fixture_->placement.DropReservation(RequestId("other"));
    CPPUNIT_ASSERT(fixture_->Place(fixture_->Work(Kind::kBatch, SmallTask())).empty());
    fixture_->placement.DropReservation(RequestId("g"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture_->Place(fixture_->Work(Kind::kBatch, SmallTask())).size());
  }

  // Guards against a reservation that still includes a removed worker.
  void Reservation_WorkerLost_IsPlannedAgain() {
    ChargeTask(0, 3000);
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("g", 8), fixture_->now).reason == "reserved");
    fixture_->placement.RemoveWorker(fixture_->Name(0));
    fixture_->placement.UpsertWorker({WorkerId("too small"), RackId("r"), Size(1000, 1000, 0, 0)});
    fixture_->placement.UpsertWorker({fixture_->Name(2), RackId("r"), Size(8000, 8000, 0, 4)});
    ChargeTask(2, 3000);
    CPPUNIT_ASSERT(fixture_->placement.Choose(Gang("g", 8), fixture_->now).reason == "reserved");
    CPPUNIT_ASSERT(fixture_->Place(fixture_->Work(Kind::kBatch, SmallTask())).empty());
  }

 private:
  static Resources SmallTask() { return Size(100, 100); }

  static Demand Gang(const std::string& job, std::uint32_t tasks) {
    return PlacementFixture::Work(Kind::kGang, Size(2000, 1000), tasks, job, Milliseconds(10000));
  }

  // Charges a task that is expected to end after `ms` milliseconds.
  FencingToken ChargeTask(int worker, int ms) {
    const FencingToken token(++fixture_->last_token);
    fixture_->placement.Charge(token, fixture_->Name(worker), Size(2000, 1000),
                               fixture_->now + Milliseconds(ms));
    return token;
  }

  std::unique_ptr<PlacementFixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangTest);

}  // namespace parsleyline::placement
