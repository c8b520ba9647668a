#include <set>

#include "tests/dispatch/coordinator_fixture.h"

namespace parsleyline::dispatch {

/// Tests which process calls the advisor, and what its reply changes.
class AdvisorCallsTest : public CoordinatorFixture {
  CPPUNIT_TEST_SUITE(AdvisorCallsTest);
  CPPUNIT_TEST(Reply_ToCallOfEarlierLeadership_DecidesNothing);
  CPPUNIT_TEST(Call_ClientThatNeverAnswers_IsRepeatedByAnother);
  CPPUNIT_TEST(Call_AllClientsHaveFailed_IsRepeated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoordinatorFixture::setUp();
    job::CellConfig config = DefaultConfig();
    config.version = job::ConfigVersion(2);
    config.queues[0].needs_ticket = 1;
    config.queues[0].advisor = {20'000, 200, Milliseconds(2000)};
    PutConfig(config);
  }

  // Guards against a step that is never started because workers that the advisor approves are taken
  // for rejected: the reply to an earlier call about the step named other workers.
  void Reply_ToCallOfEarlierLeadership_DecidesNothing() {
    coordinator_->RegisterAdvisorClient(NodeId("c"));
    AddWorker("w1");
    Submit("j", Spec(1, 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->advisor_queries.size());
    const AdvisorQuery first = outbox_->advisor_queries.front().second;
    coordinator_->StepDown();
    coordinator_->BecomeLeader(Fence(2));
    coordinator_->RegisterAdvisorClient(NodeId("c"));
    AddWorker("w2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox_->advisor_queries.size());
    const AdvisorQuery second = outbox_->advisor_queries.back().second;
    CPPUNIT_ASSERT(std::vector<WorkerId>{WorkerId("w2")} == second.workers);
    ReplyTo(first);
    CPPUNIT_ASSERT(outbox_->starts.empty());
    ReplyTo(second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
    CPPUNIT_ASSERT(WorkerId("w2") == outbox_->starts.front().to.incarnation.worker);
  }

  // Guards against a step that is never started because each of its calls goes to the same client,
  // which registers and cannot reach the advisor.
  void Call_ClientThatNeverAnswers_IsRepeatedByAnother() {
    for (const char* it : {"c1", "c2", "c3"}) coordinator_->RegisterAdvisorClient(NodeId(it));
    AddWorker("w1");
    Submit("j", Spec(1, 1000));
    std::set<NodeId> called;
    for (std::size_t i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(i + 1, outbox_->advisor_queries.size());
      const auto [client, query] = outbox_->advisor_queries.back();
      called.insert(client);
      coordinator_->OnAdvisorReply(client, query, AdvisorReply());
      Advance(300);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, called.size());
  }

  // Guards against an advisor that is not called any more after an outage.
  void Call_AllClientsHaveFailed_IsRepeated() {
    coordinator_->RegisterAdvisorClient(NodeId("c"));
    AddWorker("w1");
    Submit("j", Spec(1, 1000));
    for (std::size_t i = 0; i < 8; ++i) {
      const auto [client, query] = outbox_->advisor_queries.back();
      coordinator_->OnAdvisorReply(client, query, AdvisorReply());
      Advance(300);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, outbox_->advisor_queries.size());
    ApproveLastQuery(Milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox_->starts.size());
  }

 private:
  /// Approves all workers of a call of client "c".
  void ReplyTo(const AdvisorQuery& query) {
    AdvisorReply reply;
    reply.answered = 1;
    reply.ticket_validity = Milliseconds(2000);
    for (const WorkerId& it : query.workers) reply.approvals.push_back({it, "t"});
    coordinator_->OnAdvisorReply(NodeId("c"), query, reply);
    CommitAll();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdvisorCallsTest);

}  // namespace parsleyline::dispatch
