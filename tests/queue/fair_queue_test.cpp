#include "queue/fair_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace parsleyline::queue {

namespace {

Resources Size(std::int64_t cpu, std::int64_t memory = 1, std::int64_t accelerators = 0) {
  return {MilliCpu(cpu), Mebibytes(memory), Accelerators(accelerators), Slots(1)};
}

const Resources kFleet = {MilliCpu(100000), Mebibytes(100000), Accelerators(0), Slots(1000)};

}  // namespace

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(Dispatch_TwoTeamsWithWeights_ShareByWeight);
  CPPUNIT_TEST(Dispatch_HeadDoesNotFit_OthersArePlaced);
  CPPUNIT_TEST(Dispatch_NothingFreed_DoesNotRetry);
  CPPUNIT_TEST(Push_QueueFull_IsRejectedWithRetryAfter);
  CPPUNIT_TEST(Push_ExpectedWaitTooLong_IsRejectedWithRetryAfter);
  CPPUNIT_TEST(Quota_ReachedOrExceeded_DelaysOrRejects);
  CPPUNIT_TEST(TakeExpired_DeadlinePassed_ReturnsOnlyThose);
  CPPUNIT_TEST(Remove_QueuedRequest_IsNeverOffered);
  CPPUNIT_TEST(Estimate_AfterObservations_ReplacesDeclared);
  CPPUNIT_TEST(Rows_QueuedAndRunning_AreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Reset({}); }

  // Guards against a team that gets more than its weighted share because it submits more requests.
  void Dispatch_TwoTeamsWithWeights_ShareByWeight() {
    QueuePolicy policy;
    policy.teams[TeamId("heavy")].weight = 3;
    Reset(policy);
    PushMany("heavy", Kind::kBatch, 100);
    PushMany("light", Kind::kBatch, 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{80}, Dispatch(80));
    CPPUNIT_ASSERT_EQUAL(60, placed_["heavy"]);
    CPPUNIT_ASSERT_EQUAL(20, placed_["light"]);
  }

  // Guards against a request that does not fit and blocks those of other teams and kinds.
  void Dispatch_HeadDoesNotFit_OthersArePlaced() {
    free_capacity_ = kFleet;
    free_capacity_.cpu = MilliCpu(1500);
    Push("a", Kind::kBatch, Size(2000));
    Push("a", Kind::kService, Size(100));
    Push("b", Kind::kBatch, Size(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Dispatch(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue_->size());
  }

  // Guards against passes that try all queues again although no capacity was freed.
  void Dispatch_NothingFreed_DoesNotRetry() {
    free_capacity_ = Size(0);
    for (int team = 0; team < 140; ++team) {
      PushMany("team" + std::to_string(team), Kind::kBatch, 3);
    }
    Dispatch(10);
    const int first_pass = attempts_;
    CPPUNIT_ASSERT_MESSAGE("equal demands are tried once", first_pass == 1);
    for (int i = 0; i < 20; ++i) Dispatch(10);
    CPPUNIT_ASSERT_EQUAL(first_pass, attempts_);
    queue_->AddRunning(TeamId("x"), Kind::kBatch, Size(1000));
    queue_->RemoveRunning(TeamId("x"), Kind::kBatch, Size(1000), Milliseconds(10));
    free_capacity_ = Size(1000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Dispatch(10));
  }

  // Guards against a queue that grows without bound.
  void Push_QueueFull_IsRejectedWithRetryAfter() {
    QueuePolicy policy;
    policy.kinds[1].max_queued = 5;
    Reset(policy);
    PushMany("a", Kind::kBatch, 5);
    const auto rejected = Push("a", Kind::kBatch, Size(1));
    CPPUNIT_ASSERT(!rejected && rejected.error().error.code == ResultCode::kQueueFull);
    CPPUNIT_ASSERT(rejected.error().retry_after > Milliseconds(0));
    CPPUNIT_ASSERT(Push("a", Kind::kService, Size(1)));
    CPPUNIT_ASSERT(Push("b", Kind::kBatch, Size(1)));
  }

  // Guards against accepting a request that cannot start within the longest expected wait.
  void Push_ExpectedWaitTooLong_IsRejectedWithRetryAfter() {
    QueuePolicy policy;
    policy.kinds[1].max_expected_wait = Milliseconds(2000);
    Reset(policy);
    PushMany("a", Kind::kBatch, 30);
    for (int i = 0; i < 10; ++i) {
      now_ += Milliseconds(100);
      Dispatch(1);
    }
    // Ten tasks leave the queue per second, and twenty are left.
    const auto rejected = Push("a", Kind::kBatch, Size(1));
    CPPUNIT_ASSERT(!rejected && rejected.error().error.code == ResultCode::kWaitTooLong);
    CPPUNIT_ASSERT(rejected.error().retry_after >= Milliseconds(100));
    Dispatch(10);
    CPPUNIT_ASSERT(Push("a", Kind::kBatch, Size(1)));
  }

  // Guards against a team that exceeds its quota, and against queueing a request that exceeds it by
  // itself.
  void Quota_ReachedOrExceeded_DelaysOrRejects() {
    QueuePolicy policy;
    policy.teams[TeamId("a")].cpu_quota = MilliCpu(2500);
    policy.teams[TeamId("b")].accelerator_quota = Accelerators(1);
    Reset(policy);
    PushMany("a", Kind::kBatch, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Dispatch(10));
    queue_->RemoveRunning(TeamId("a"), Kind::kBatch, Size(1000), Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Dispatch(10));
    const auto rejected = Push("b", Kind::kBatch, Size(1, 1, 2));
    CPPUNIT_ASSERT(!rejected && rejected.error().error.code == ResultCode::kQuotaExceeded);
  }

  // Guards against a request that stays queued after its deadline, or is removed before it.
  void TakeExpired_DeadlinePassed_ReturnsOnlyThose() {
    Push("a", Kind::kBatch, Size(1), Milliseconds(100));
    Push("a", Kind::kBatch, Size(1), Milliseconds(50));
    Push("a", Kind::kBatch, Size(1));
    now_ += Milliseconds(60);
    const auto expired = queue_->TakeExpired(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), expired[0].id.value());
    CPPUNIT_ASSERT(!queue_->Contains(RequestId("r2")) && queue_->Contains(RequestId("r1")));
  }

  // Guards against a cancelled request that is placed.
  void Remove_QueuedRequest_IsNeverOffered() {
    PushMany("a", Kind::kBatch, 2);
    CPPUNIT_ASSERT(queue_->Remove(RequestId("r1")));
    CPPUNIT_ASSERT(!queue_->Remove(RequestId("r1")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Dispatch(10));
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), last_placed_);
  }

  // Guards against estimates that follow a wrong declared run time although the actual run times
  // are known.
  void Estimate_AfterObservations_ReplacesDeclared() {
    const TeamId team("a");
    const Milliseconds declared(100);
    CPPUNIT_ASSERT(queue_->Estimate(team, Kind::kBatch, declared) == declared);
    for (int i = 0; i < 20; ++i) {
      queue_->RemoveRunning(team, Kind::kBatch, Size(1), Milliseconds(5000));
    }
    CPPUNIT_ASSERT(queue_->Estimate(team, Kind::kBatch, declared) == Milliseconds(5000));
    CPPUNIT_ASSERT(queue_->Estimate(team, Kind::kGang, declared) == declared);
    CPPUNIT_ASSERT(queue_->Estimate(TeamId("b"), Kind::kBatch, declared) == declared);
  }

  // Guards against counts that miss requests or do not return to zero.
  void Rows_QueuedAndRunning_AreCounted() {
    PushMany("a", Kind::kBatch, 3);
    Dispatch(2);
    now_ += Milliseconds(40);
    auto rows = queue_->Rows(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows[0].queued);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, rows[0].running);
    CPPUNIT_ASSERT(rows[0].oldest_wait == Milliseconds(40));
    queue_->Remove(RequestId("r3"));
    for (int i = 0; i < 2; ++i) {
      queue_->RemoveRunning(TeamId("a"), Kind::kBatch, Size(1000), Milliseconds(0));
    }
    CPPUNIT_ASSERT(queue_->Rows(now_).empty());
  }

 private:
  void Reset(const QueuePolicy& policy) {
    queue_ = std::make_unique<FairQueue>(policy);
    queue_->SetFleetCapacity(kFleet);
    now_ = TimePoint(std::chrono::hours(1));
    free_capacity_ = kFleet;
    placed_.clear();
    attempts_ = 0;
    last_id_ = 0;
  }

  tl::expected<void, Rejection> Push(const std::string& team, Kind kind, const Resources& size,
                                     Milliseconds timeout = Milliseconds(1000000)) {
    QueuedRequest request;
    request.id = RequestId("r" + std::to_string(++last_id_));
    request.team = TeamId(team);
    request.kind = kind;
    request.per_task = size;
    request.enqueued = now_;
    request.deadline = now_ + timeout;
    return queue_->Push(request, now_);
  }

  void PushMany(const std::string& team, Kind kind, int n) {
    for (int i = 0; i < n; ++i) CPPUNIT_ASSERT(Push(team, kind, Size(1000)));
  }

  std::size_t Dispatch(std::size_t limit) {
    return queue_->Dispatch(now_, limit, [this](const QueuedRequest& request) {
      ++attempts_;
      if (!request.per_task.FitsInto(free_capacity_)) return false;
      free_capacity_ -= request.per_task;
      ++placed_[request.team.value()];
      last_placed_ = request.id.value();
      return true;
    });
  }

  std::unique_ptr<FairQueue> queue_;
  TimePoint now_;
  Resources free_capacity_;
  std::map<std::string, int> placed_;
  std::string last_placed_;
  int attempts_ = 0;
  int last_id_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace parsleyline::queue
