#include "worker_gateway/task_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace parsleyline::entry::internal {
namespace {

std::string Nested() { return std::string(100'000, '[') + std::string(100'000, ']'); }

http::ClientResult ResponseOf(std::string body) {
  http::ClientResponse response;
  response.status = 200;
  response.body = std::move(body);
  return response;
}

}  // namespace

/// Converts responses that no correct worker sends.
class TaskMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TaskMessagesTest);
  CPPUNIT_TEST(TaskResult_AnswerNestedDeeply_IsUnknown);
  CPPUNIT_TEST(TaskResult_RunTimeOutOfRange_IsNotNegative);
  CPPUNIT_TEST(TokenReport_AnswerNestedDeeply_IsUnreachable);
  CPPUNIT_TEST(Response_OddDocuments_AreInvalid);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an entry daemon that ends because it writes the answer recursively.
  void TaskResult_AnswerNestedDeeply_IsUnknown() {
    const auto result = ToTaskResult(ResponseOf(R"({"outcome":"done","answer":)" + Nested() + "}"));
    CPPUNIT_ASSERT(result.outcome == DispatchOutcome::kUnknown);
  }

  void TaskResult_RunTimeOutOfRange_IsNotNegative() {
    const auto result =
        ToTaskResult(ResponseOf(R"({"outcome":"done","run_ms":18446744073709551615})"));
    CPPUNIT_ASSERT(result.run_time >= Milliseconds(0));
  }

  void TokenReport_AnswerNestedDeeply_IsUnreachable() {
    const auto report = ToTokenReport(
        ResponseOf(R"({"token":7,"state":"done","answer":)" + Nested() + "}"), FencingToken(7));
    CPPUNIT_ASSERT(report.state == TokenState::kUnreachable);
  }

  void Response_OddDocuments_AreInvalid() {
    for (const std::string body : {"", "null", "[]", "7", "{\"token\":-7}", "{\"token\":1e300}",
                                   "{\"token\":18446744073709551616}", "\xff\xfe"}) {
      CPPUNIT_ASSERT(ToTaskResult(ResponseOf(body)).outcome == DispatchOutcome::kUnknown);
      CPPUNIT_ASSERT(ToTokenReport(ResponseOf(body), FencingToken(7)).state ==
                     TokenState::kUnreachable);
      CPPUNIT_ASSERT(!ToIncarnation(ResponseOf(body)).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskMessagesTest);

}  // namespace parsleyline::entry::internal
