#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "platform/wire_json.h"

namespace parsleyline::platform {
namespace {

using dispatch::OrderOutcome;

// Deep enough to exhaust the stack of a recursive function.
constexpr std::size_t kDeep = 1'000'000;

std::string Nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

std::string ReportWith(const std::string& member) {
  return R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","state":"ready",
             "capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],)" +
         member + "}";
}

}  // namespace

/// Decodes documents that no correct process sends.
class OddDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddDocumentsTest);
  CPPUNIT_TEST(HoldReply_RunNestedDeeply_IsUnreadable);
  CPPUNIT_TEST(OrderReply_ReasonNestedDeeply_IsInvalid);
  CPPUNIT_TEST(AdvisorReply_NestedDeeply_IsUnreadable);
  CPPUNIT_TEST(Report_NestedDeeply_IsRejected);
  CPPUNIT_TEST(JobAndConfig_NestedDeeply_AreRejected);
  CPPUNIT_TEST(Document_BracketsInStrings_AreNotNesting);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that ends because the message about an invalid row is written
  // recursively.
  void HoldReply_RunNestedDeeply_IsUnreadable() {
    const auto reply = DecodeHoldReply(
        200, R"({"clock-ms":1,"active":[[)" + Nested(kDeep) + R"(,1,"",0]],"finished":[]})");
    CPPUNIT_ASSERT(reply.outcome == OrderOutcome::kUnknown);
  }

  // Guards against a process that ends because it copies the reason of a refusal.
  void OrderReply_ReasonNestedDeeply_IsInvalid() {
    const auto reply = DecodeOrderReply(409, R"({"reason":)" + Nested(kDeep) + "}");
    CPPUNIT_ASSERT(reply.outcome == OrderOutcome::kInvalid);
  }

  void AdvisorReply_NestedDeeply_IsUnreadable() {
    const auto reply =
        DecodeAdvisorReply(200, R"({"valid-ms":1,"approved":[)" + Nested(kDeep) + "]}");
    CPPUNIT_ASSERT_EQUAL(0U, static_cast<unsigned>(reply.answered));
  }

  // Guards against documents of 4 MB that take hundreds of megabytes in memory.
  void Report_NestedDeeply_IsRejected() {
    const std::string beside = ReportWith(R"("seq":4,"born":77,"x":)" + Nested(kDeep));
    CPPUNIT_ASSERT(!DecodeReport("i", beside).has_value());
    CPPUNIT_ASSERT(!DecodeReport("i", Nested(kDeep)).has_value());
    CPPUNIT_ASSERT(!DecodeReport("i", std::string(kDeep, '[')).has_value());
    std::string objects;
    for (std::size_t i = 0; i < kDeep; ++i) objects += R"({"a":)";
    CPPUNIT_ASSERT(!DecodeReport("i", objects + "1" + std::string(kDeep, '}')).has_value());
  }

  void JobAndConfig_NestedDeeply_AreRejected() {
    CPPUNIT_ASSERT(!DecodeJobSpec(R"({"job-steps":[{"count":1}],"x":)" + Nested(kDeep) + "}"));
    CPPUNIT_ASSERT(
        !DecodeConfig(R"({"version":1,"routes":[],"services":[],"limits":)" + Nested(kDeep) + "}"));
  }

  void Document_BracketsInStrings_AreNotNesting() {
    const std::string text = R"("seq":4,"born":77,"x":")" + std::string(kDeep, '[') + R"(\"{[")";
    CPPUNIT_ASSERT(DecodeReport("i", ReportWith(text)).has_value());
    const std::string nested = R"("seq":4,"born":77,"x":)" + Nested(63);
    CPPUNIT_ASSERT(DecodeReport("i", ReportWith(nested)).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddDocumentsTest);

}  // namespace parsleyline::platform
