#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>

#include "queue/fair_queue.h"

namespace parsleyline::queue {

// Simulates floods in steps of one second of virtual time. The fleet has 100 slots, and each task
// uses one slot for ten seconds.
class FloodTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FloodTest);
  CPPUNIT_TEST(Flood_OfBatchByOneTeam_OthersKeepTheirShare);
  CPPUNIT_TEST(Flood_OfServicesByOneTeam_OthersKeepTheirShare);
  CPPUNIT_TEST(Flood_OfBatchByAllTeams_KeepsServiceFloor);
  CPPUNIT_TEST(Flood_OfServicesByAllTeams_KeepsBatchAndGangFloors);
  CPPUNIT_TEST(Flood_OfBatch_KeepsCapacityFreeForServices);
  CPPUNIT_TEST(Flood_OfBatch_GangOutsideServiceReserveStarts);
  CPPUNIT_TEST(Dispatch_ManyTeamsAndShapes_AllAreReached);
  CPPUNIT_TEST(Gang_ThatFailedFirst_IsOfferedAfterEqualOnes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    QueuePolicy policy;
    policy.kinds[0].floor_permille = 300;
    policy.kinds[1].floor_permille = 300;
    policy.kinds[2].floor_permille = 200;
    queue_ = std::make_unique<FairQueue>(policy);
    queue_->SetFleetCapacity(SlotResources(kSlots));
    now_ = TimePoint(std::chrono::hours(1));
    free_slots_ = kSlots;
    running_.clear();
    varied_run_times_ = false;
    started_ = {};
    flooder_started_ = 0;
    last_id_ = 0;
  }

  // Guards against a flood of batch work by one team that displaces the work of other teams.
  void Flood_OfBatchByOneTeam_OthersKeepTheirShare() { FloodByOneTeam(Kind::kBatch); }

  // Guards against a flood of service work by one team that displaces the work of other teams.
  void Flood_OfServicesByOneTeam_OthersKeepTheirShare() { FloodByOneTeam(Kind::kService); }

  // Guards against a flood of batch work that uses the capacity guaranteed to service work.
  void Flood_OfBatchByAllTeams_KeepsServiceFloor() {
    for (int second = 0; second < 200; ++second) {
      PushMany("team" + std::to_string(second % 5), Kind::kBatch, 50);
      PushMany("team" + std::to_string(second % 5), Kind::kService, 3);
      Step();
    }
    // Three tasks per second of ten seconds each use 30 slots, which is the floor of the kind.
    CPPUNIT_ASSERT_GREATEREQUAL(3 * 200 * 95 / 100, started_[0]);
  }

  // Guards against a flood of service work that starves the other kinds. The flood starts first and
  // uses the whole fleet, so the floors are kept only after its first tasks have ended.
  void Flood_OfServicesByAllTeams_KeepsBatchAndGangFloors() {
    std::array<int, 3> before{};
    for (int second = 0; second < 220; ++second) {
      if (second == 20) before = started_;
      PushMany("team" + std::to_string(second % 5), Kind::kService, 50);
      PushMany("team" + std::to_string(second % 5), Kind::kBatch, 3);
      PushMany("team" + std::to_string(second % 5), Kind::kGang, 2);
      Step();
    }
    CPPUNIT_ASSERT_GREATEREQUAL(3 * 200 * 95 / 100, started_[1] - before[1]);
    CPPUNIT_ASSERT_GREATEREQUAL(2 * 200 * 95 / 100, started_[2] - before[2]);
  }

  // Guards against service requests that wait for a long batch task to end.
  void Flood_OfBatch_KeepsCapacityFreeForServices() {
    for (int second = 0; second < 100; ++second) {
      PushMany("team" + std::to_string(second % 5), Kind::kService, 2);
      Step();
    }
    for (int second = 0; second < 100; ++second) {
      PushMany("flooder", Kind::kBatch, 100);
      Step();
      const int before = started_[0];
      PushMany("team" + std::to_string(second % 5), Kind::kService, 2);
      Dispatch();
      CPPUNIT_ASSERT_EQUAL_MESSAGE("second " + std::to_string(second), before + 2, started_[0]);
    }
  }

  // Guards against a gang that never starts because small tasks take each slot outside the service
  // reserve as soon as it is freed.
  void Flood_OfBatch_GangOutsideServiceReserveStarts() {
    varied_run_times_ = true;
    for (int second = 0; second < 100; ++second) {
      PushMany("team1", Kind::kService, 2);
      PushMany("flooder", Kind::kBatch, 100);
      Step();
    }
    Push("team2", Kind::kGang, SlotResources(1), 20);
    for (int second = 0; second < 20 && started_[2] == 0; ++second) {
      PushMany("team1", Kind::kService, 2);
      PushMany("flooder", Kind::kBatch, 100);
      Step();
    }
    CPPUNIT_ASSERT_EQUAL(1, started_[2]);
  }

  // Guards against queues that are never offered because the limit of failed placements in each
  // pass is used up by other queues.
  void Dispatch_ManyTeamsAndShapes_AllAreReached() {
    free_slots_ = 1;
    for (int team = 0; team < 400; ++team) {
      Push("a" + std::to_string(1000 + team), Kind::kBatch,
           {MilliCpu(1000 - team), Mebibytes(1 + team), Accelerators(0), Slots(2)});
    }
    Push("z", Kind::kBatch, SlotResources(1));
    for (int call = 0; call < 30; ++call) {
      queue_->RemoveRunning(TeamId("x"), Kind::kBatch, SlotResources(1), Milliseconds(1));
      Dispatch();
    }
    CPPUNIT_ASSERT_EQUAL(1, started_[1]);
  }

  // Guards against a gang that holds the reservation but is not offered, because an equal gang of a
  // team with a lower share has just not fitted.
  void Gang_ThatFailedFirst_IsOfferedAfterEqualOnes() {
    free_slots_ = 1;
    queue_->AddRunning(TeamId("a"), Kind::kBatch, SlotResources(30));
    queue_->AddRunning(TeamId("b"), Kind::kBatch, SlotResources(20));
    Push("a", Kind::kGang, SlotResources(1), 5);
    Dispatch();
    Push("b", Kind::kGang, SlotResources(1), 5);
    CPPUNIT_ASSERT_EQUAL(std::string("r2 r1 "), OfferedAfterRelease());
    CPPUNIT_ASSERT(queue_->Remove(RequestId("r1")));
    CPPUNIT_ASSERT_EQUAL(std::string("r2 "), OfferedAfterRelease());
    Push("c", Kind::kGang, SlotResources(1), 5);
    CPPUNIT_ASSERT_EQUAL(std::string("r3 r2 "), OfferedAfterRelease());
  }

 private:
  std::string OfferedAfterRelease() {
    queue_->RemoveRunning(TeamId("x"), Kind::kBatch, SlotResources(0), Milliseconds(1));
    offered_.clear();
    Dispatch();
    return offered_;
  }

  static constexpr std::int64_t kSlots = 100;

  static Resources SlotResources(std::int64_t n) {
    return {MilliCpu(n * 1000), Mebibytes(n * 1000), Accelerators(0), Slots(n)};
  }

  void FloodByOneTeam(Kind kind) {
    for (int second = 0; second < 200; ++second) {
      PushMany("flooder", kind, 70);
      for (int team = 0; team < 3; ++team) {
        PushMany("team" + std::to_string(team), Kind::kBatch, 1);
        PushMany("team" + std::to_string(team), Kind::kService, 1);
      }
      Step();
    }
    // Six tasks per second of ten seconds each use 60 of the 100 slots, 20 for each of the three
    // teams. The flooding team gets the rest.
    const int others = started_[0] + started_[1] - flooder_started_;
    CPPUNIT_ASSERT_GREATEREQUAL(6 * 200 * 95 / 100, others);
    CPPUNIT_ASSERT_MESSAGE("the flood gets the rest", flooder_started_ >= 4 * 200 * 80 / 100);
  }

  void PushMany(const std::string& team, Kind kind, int n) {
    for (int i = 0; i < n; ++i) Push(team, kind, SlotResources(1));
  }

  void Push(const std::string& team, Kind kind, const Resources& size, std::uint32_t tasks = 1) {
    QueuedRequest request;
    request.id = RequestId("r" + std::to_string(++last_id_));
    request.team = TeamId(team);
    request.kind = kind;
    request.tasks = tasks;
    request.per_task = size;
    request.enqueued = now_;
    request.deadline = now_ + std::chrono::seconds(1000);
    // Requests of the flood may be rejected.
    static_cast<void>(queue_->Push(request, now_));
  }

  void Step() {
    now_ += std::chrono::seconds(1);
    while (!running_.empty() && running_.begin()->first <= now_) {
      const QueuedRequest& request = running_.begin()->second;
      free_slots_ += request.tasks;
      queue_->RemoveRunning(request.team, request.kind, SlotResources(request.tasks),
                            Milliseconds(10000));
      running_.erase(running_.begin());
    }
    Dispatch();
  }

  void Dispatch() {
    queue_->Dispatch(now_, 1000, [this](const QueuedRequest& request) {
      const std::int64_t slots = request.tasks * request.per_task.slots.count();
      offered_ += request.id.value() + " ";
      if (slots > free_slots_) return false;
      free_slots_ -= slots;
      ++started_.at(static_cast<std::size_t>(request.kind));
      if (request.team == TeamId("flooder")) ++flooder_started_;
      const int seconds = varied_run_times_ ? 6 + started_[1] % 9 : 10;
      running_.emplace(now_ + std::chrono::seconds(seconds), request);
      return true;
    });
  }

  std::unique_ptr<FairQueue> queue_;
  TimePoint now_;
  std::int64_t free_slots_ = 0;
  std::multimap<TimePoint, QueuedRequest> running_;
  bool varied_run_times_ = false;
  std::array<int, 3> started_{};
  int flooder_started_ = 0;
  int last_id_ = 0;
  std::string offered_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FloodTest);

}  // namespace parsleyline::queue
