#include "ledger/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

namespace parsleyline::ledger {
namespace {

using wire::Idempotency;
using wire::RequestState;
using wire::TaskOutcome;

const RequestId kId("suva-1");
const FencingToken kToken = MakeFencingToken(LogIndex(1), 0);

Grant GrantOf(const RequestId& id, Idempotency idempotency, std::uint32_t attempt = 0,
              std::uint32_t tasks = 1) {
  Grant grant;
  grant.id = id;
  grant.digest = 7;
  grant.spec.idempotency = idempotency;
  grant.spec.tasks = tasks;
  grant.attempt = attempt;
  grant.workers.assign(tasks, WorkerId("w"));
  grant.incarnations.assign(tasks, Incarnation(1));
  return grant;
}

wire::FinishTask FinishOf(FencingToken token, TaskOutcome outcome, const RequestId& id = kId) {
  wire::FinishTask finish;
  finish.id = id;
  finish.token = token;
  finish.outcome = outcome;
  return finish;
}

Rejection RejectionOf(const RequestId& id, Idempotency idempotency) {
  Rejection rejection;
  rejection.id = id;
  rejection.digest = 7;
  rejection.spec.idempotency = idempotency;
  return rejection;
}

}  // namespace

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(Grant_RequestRunning_IsRejected);
  CPPUNIT_TEST(Grant_AfterRejection_IsRejected);
  CPPUNIT_TEST(Rejection_AfterGrant_HasNoEffect);
  CPPUNIT_TEST(Finish_Repeated_ChangesNothing);
  CPPUNIT_TEST(Finish_LostThenDone_BecomesDone);
  CPPUNIT_TEST(Finish_LostThenNotStarted_StaysUnknown);
  CPPUNIT_TEST(Finish_OfEarlierGrant_ChangesNothing);
  CPPUNIT_TEST(Grant_AfterFailure_OnlyIdempotentWithHigherAttempt);
  CPPUNIT_TEST(Grant_AfterNotStarted_IsAccepted);
  CPPUNIT_TEST(Rejection_AfterRetryThatNeverStarted_HasNoEffect);
  CPPUNIT_TEST(Gang_MixedOutcomes_WorstDecidesState);
  CPPUNIT_TEST(Trim_OldestFirst_KeepsRunningAndOtherRetention);
  CPPUNIT_TEST(Snapshot_Restored_IsEqual);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a running request that is granted again.
  void Grant_RequestRunning_IsRejected() {
    CPPUNIT_ASSERT(Apply(1, Idempotency::kIdempotent));
    CPPUNIT_ASSERT(!Apply(2, Idempotency::kIdempotent, 1));
    CPPUNIT_ASSERT(ledger_.FindByToken(kToken) != nullptr);
    CPPUNIT_ASSERT(ledger_.FindByToken(MakeFencingToken(LogIndex(2), 0)) == nullptr);
  }

  // Guards against a request that runs after its caller got a rejection.
  void Grant_AfterRejection_IsRejected() {
    CPPUNIT_ASSERT(ledger_.ApplyRejection(RejectionOf(kId, Idempotency::kIdempotent)));
    CPPUNIT_ASSERT(!Apply(2, Idempotency::kIdempotent, 5));
    CPPUNIT_ASSERT(State() == RequestState::kRejected);
  }

  // Guards against a caller that gets a rejection although the request was granted, in any state
  // after the grant.
  void Rejection_AfterGrant_HasNoEffect() {
    const Rejection rejection = RejectionOf(kId, Idempotency::kNotIdempotent);
    Apply(1, Idempotency::kNotIdempotent);
    CPPUNIT_ASSERT(!ledger_.ApplyRejection(rejection));
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kLost));
    CPPUNIT_ASSERT(!ledger_.ApplyRejection(rejection));
    CPPUNIT_ASSERT(State() == RequestState::kUnknown);
  }

  // Guards against a repeated report that releases a charge twice or replaces the task's result.
  void Finish_Repeated_ChangesNothing() {
    Apply(1, Idempotency::kNotIdempotent);
    wire::FinishTask finish = FinishOf(kToken, TaskOutcome::kDone);
    finish.answer = "first";
    CPPUNIT_ASSERT(ledger_.ApplyFinish(finish) != nullptr);
    finish.answer = "second";
    CPPUNIT_ASSERT(ledger_.ApplyFinish(finish) == nullptr);
    CPPUNIT_ASSERT(ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kNotStarted)) == nullptr);
    CPPUNIT_ASSERT(State() == RequestState::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), ledger_.Find(kId)->tasks[0].answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger_.TrimmableCount(Retention::kLong));
  }

  // Guards against a result that is dropped because it arrived after the lease had ended.
  void Finish_LostThenDone_BecomesDone() {
    Apply(1, Idempotency::kNotIdempotent);
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kLost));
    CPPUNIT_ASSERT(ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kDone)) == nullptr);
    CPPUNIT_ASSERT(State() == RequestState::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger_.TrimmableCount(Retention::kLong));
  }

  // Guards against a lost task that may have run but is granted again, because a restarted worker
  // does not know it and reports it as not started.
  void Finish_LostThenNotStarted_StaysUnknown() {
    Apply(1, Idempotency::kNotIdempotent);
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kLost));
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kNotStarted));
    CPPUNIT_ASSERT(State() == RequestState::kUnknown);
    CPPUNIT_ASSERT(!ledger_.MayGrant(kId, 9));
  }

  // Guards against a late report about an earlier grant that ends the task of the current one.
  void Finish_OfEarlierGrant_ChangesNothing() {
    Apply(1, Idempotency::kIdempotent);
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kFailed));
    CPPUNIT_ASSERT(Apply(2, Idempotency::kIdempotent, 1));
    CPPUNIT_ASSERT(ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kDone)) == nullptr);
    CPPUNIT_ASSERT(State() == RequestState::kRunning);
  }

  // Guards against a non-idempotent request that runs twice, and against a resent submission, which
  // has the same attempt number, that counts as a retry.
  void Grant_AfterFailure_OnlyIdempotentWithHigherAttempt() {
    Apply(1, Idempotency::kNotIdempotent);
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kFailed));
    CPPUNIT_ASSERT(!Apply(2, Idempotency::kNotIdempotent, 1));
    const RequestId other("suva-2");
    ledger_.ApplyGrant(LogIndex(3), GrantOf(other, Idempotency::kIdempotent, 4));
    ledger_.ApplyFinish(FinishOf(MakeFencingToken(LogIndex(3), 0), TaskOutcome::kFailed, other));
    CPPUNIT_ASSERT(!ledger_.MayGrant(other, 4));
    CPPUNIT_ASSERT(ledger_.MayGrant(other, 5));
  }

  // Guards against a request that can never be granted again after a worker rejected its task.
  void Grant_AfterNotStarted_IsAccepted() {
    Apply(1, Idempotency::kNotIdempotent);
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kNotStarted));
    CPPUNIT_ASSERT(State() == RequestState::kQueued);
    CPPUNIT_ASSERT(Apply(2, Idempotency::kNotIdempotent));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger_.TrimmableCount(Retention::kLong));
  }

  // Guards against a caller that gets a rejection because the last attempt did not start, although
  // an earlier attempt may have run.
  void Rejection_AfterRetryThatNeverStarted_HasNoEffect() {
    Apply(1, Idempotency::kIdempotent);
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kLost));
    CPPUNIT_ASSERT(Apply(2, Idempotency::kIdempotent, 1));
    ledger_.ApplyFinish(FinishOf(MakeFencingToken(LogIndex(2), 0), TaskOutcome::kNotStarted));
    CPPUNIT_ASSERT(State() == RequestState::kUnknown);
    CPPUNIT_ASSERT(!ledger_.ApplyRejection(RejectionOf(kId, Idempotency::kIdempotent)));
    CPPUNIT_ASSERT(!ledger_.MayGrant(kId, 1));
    CPPUNIT_ASSERT(ledger_.MayGrant(kId, 2));
  }

  // Guards against a gang that counts as never started or as done although only some of its tasks
  // ran.
  void Gang_MixedOutcomes_WorstDecidesState() {
    using Outcomes = std::vector<TaskOutcome>;
    CPPUNIT_ASSERT(StateOfGang(Outcomes(2, TaskOutcome::kNotStarted)) == RequestState::kQueued);
    CPPUNIT_ASSERT(StateOfGang({TaskOutcome::kNotStarted, TaskOutcome::kDone}) ==
                   RequestState::kFailed);
    CPPUNIT_ASSERT(StateOfGang({TaskOutcome::kLost, TaskOutcome::kNotStarted}) ==
                   RequestState::kUnknown);
    CPPUNIT_ASSERT(StateOfGang({TaskOutcome::kDone, TaskOutcome::kFailed}) ==
                   RequestState::kFailed);
    CPPUNIT_ASSERT(StateOfGang(Outcomes(2, TaskOutcome::kDone)) == RequestState::kDone);
  }

  // Guards against a flood of idempotent requests that removes the records of non-idempotent ones.
  void Trim_OldestFirst_KeepsRunningAndOtherRetention() {
    for (std::uint64_t i = 1; i <= 4; ++i) {
      const auto kind = i < 4 ? Idempotency::kNotIdempotent : Idempotency::kIdempotent;
      const RequestId id("suva-" + std::to_string(i));
      ledger_.ApplyGrant(LogIndex(i), GrantOf(id, kind));
      if (i == 1) continue;
      ledger_.ApplyFinish(FinishOf(MakeFencingToken(LogIndex(i), 0), TaskOutcome::kDone, id));
    }
    ledger_.Trim(Retention::kLong, 1);
    CPPUNIT_ASSERT(ledger_.Find(RequestId("suva-1")) != nullptr);
    CPPUNIT_ASSERT(ledger_.Find(RequestId("suva-2")) == nullptr);
    CPPUNIT_ASSERT(ledger_.Find(RequestId("suva-3")) != nullptr);
    CPPUNIT_ASSERT(ledger_.Find(RequestId("suva-4")) != nullptr);
  }

  // Guards against a snapshot that misses running tasks or the order of trimming.
  void Snapshot_Restored_IsEqual() {
    Apply(1, Idempotency::kNotIdempotent, 0, 2);
    ledger_.ApplyFinish(FinishOf(kToken, TaskOutcome::kFailed));
    ledger_.ApplyRejection(RejectionOf(RequestId("suva-2"), Idempotency::kIdempotent));
    Ledger copy;
    CPPUNIT_ASSERT(copy.Restore(ledger_.TakeSnapshot()).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, copy.size());
    CPPUNIT_ASSERT(copy.FindByToken(kToken) == nullptr);
    CPPUNIT_ASSERT(copy.FindByToken(MakeFencingToken(LogIndex(1), 1)) != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, copy.TrimmableCount(Retention::kShort));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, copy.TrimmableCount(Retention::kLong));
    CPPUNIT_ASSERT(!copy.Restore("damaged").has_value());
  }

 private:
  bool Apply(std::uint64_t index, Idempotency idempotency, std::uint32_t attempt = 0,
             std::uint32_t tasks = 1) {
    return ledger_.ApplyGrant(LogIndex(index), GrantOf(kId, idempotency, attempt, tasks));
  }

  RequestState State() const { return ledger_.Find(kId)->state; }

  static RequestState StateOfGang(const std::vector<TaskOutcome>& outcomes) {
    Ledger ledger;
    const auto tasks = static_cast<std::uint32_t>(outcomes.size());
    ledger.ApplyGrant(LogIndex(1), GrantOf(kId, Idempotency::kNotIdempotent, 0, tasks));
    for (std::uint32_t i = 0; i < tasks; ++i) {
      CPPUNIT_ASSERT(ledger.Find(kId)->state == RequestState::kRunning);
      ledger.ApplyFinish(FinishOf(MakeFencingToken(LogIndex(1), i), outcomes[i]));
    }
    return ledger.Find(kId)->state;
  }

  Ledger ledger_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

}  // namespace parsleyline::ledger
