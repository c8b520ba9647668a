#include "entry/request_parser.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace parsleyline::entry {
namespace {

constexpr char kValidBody[] =
    R"({"team":"suva","kind":"gang","tasks":2,"resources":{"cpu_millis":500,"memory_mib":256,)"
    R"("accelerators":1},"idempotent":true,"timeout_ms":5000,"expected_ms":20,"payload":{"n":7}})";

// Returns kValidBody with the first occurrence of `from` replaced by `to`.
std::string WithReplaced(const std::string& from, const std::string& to) {
  std::string body = kValidBody;
  body.replace(body.find(from), from.size(), to);
  return body;
}

ResultCode CodeOf(const std::string& body) {
  const auto parsed = ParseRequest(body);
  return parsed ? ResultCode::kOk : parsed.error().code;
}

}  // namespace

class RequestParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestParserTest);
  CPPUNIT_TEST(Parse_ValidBody_ReadsEveryField);
  CPPUNIT_TEST(Parse_InvalidBody_FailsWithCode);
  CPPUNIT_TEST(Parse_InvalidField_IsNamedInMessage);
  CPPUNIT_TEST(Digest_ReorderedFields_IsEqual);
  CPPUNIT_TEST(Digest_ChangedValue_Differs);
  CPPUNIT_TEST(Parse_MutatedBody_NeverCrashes);
  CPPUNIT_TEST(Parse_PayloadNestedDeeply_IsRejected);
  CPPUNIT_TEST(Key_InvalidText_IsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is ignored or stored in another member.
  void Parse_ValidBody_ReadsEveryField() {
    const auto parsed = ParseRequest(kValidBody);
    CPPUNIT_ASSERT(parsed.has_value());
    const wire::RequestSpec& spec = parsed->spec;
    CPPUNIT_ASSERT_EQUAL(std::string("suva"), spec.team.value());
    CPPUNIT_ASSERT(spec.kind == Kind::kGang && spec.tasks == 2);
    const Resources expected{MilliCpu(500), Mebibytes(256), Accelerators(1), Slots(1)};
    CPPUNIT_ASSERT(spec.resources == expected);
    CPPUNIT_ASSERT(spec.idempotency == wire::Idempotency::kIdempotent);
    CPPUNIT_ASSERT(parsed->timeout == Milliseconds(5000) &&
                   spec.expected_run_time == Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"n":7})"), parsed->payload);
    const auto defaults =
        ParseRequest(R"({"team":"a","kind":"batch","resources":{"cpu_millis":1,"memory_mib":1}})");
    CPPUNIT_ASSERT(defaults.has_value() && defaults->timeout == Milliseconds(30000));
    CPPUNIT_ASSERT(defaults->spec.idempotency == wire::Idempotency::kNotIdempotent);
  }

  // Guards against invalid input that is accepted, or rejected with a misleading code.
  void Parse_InvalidBody_FailsWithCode() {
    const std::vector<std::pair<std::string, ResultCode>> cases = {
        {"", ResultCode::kMalformedJson},
        {"{\"team\":", ResultCode::kMalformedJson},
        {std::string(kValidBody) + "}", ResultCode::kMalformedJson},
        {"\xff\xfe{}", ResultCode::kMalformedJson},
        {"[]", ResultCode::kWrongType},
        {"null", ResultCode::kWrongType},
        {"{}", ResultCode::kMissingField},
        {WithReplaced(R"("memory_mib":256,)", ""), ResultCode::kMissingField},
        {WithReplaced(R"("suva")", "7"), ResultCode::kWrongType},
        {WithReplaced(":2,", ":\"2\","), ResultCode::kWrongType},
        {WithReplaced(":2,", ":2.5,"), ResultCode::kWrongType},
        {WithReplaced(":2,", ":null,"), ResultCode::kWrongType},
        {WithReplaced("true", "1"), ResultCode::kWrongType},
        {WithReplaced(R"("resources":{)", R"("resources":[],"x":{)"), ResultCode::kWrongType},
        {WithReplaced("500", "-500"), ResultCode::kOutOfRange},
        {WithReplaced("500", "0"), ResultCode::kOutOfRange},
        {WithReplaced("500", "1000001"), ResultCode::kOutOfRange},
        {WithReplaced("256", "9223372036854775807"), ResultCode::kOutOfRange},
        {WithReplaced("256", "18446744073709551615"), ResultCode::kOutOfRange},
        {WithReplaced("256", "-9223372036854775808"), ResultCode::kOutOfRange},
        {WithReplaced("256", "99999999999999999999"), ResultCode::kWrongType},
        {WithReplaced(":5000", ":0"), ResultCode::kOutOfRange},
        {WithReplaced(":5000", ":86400001"), ResultCode::kOutOfRange},
        {WithReplaced(":20,", ":-1,"), ResultCode::kOutOfRange},
        {WithReplaced(":2,", ":1025,"), ResultCode::kOutOfRange},
        {WithReplaced(":2,", ":0,"), ResultCode::kOutOfRange},
        {WithReplaced("gang", "service"), ResultCode::kOutOfRange},
        {WithReplaced("suva", "Suva!"), ResultCode::kOutOfRange},
        {WithReplaced("suva", ""), ResultCode::kOutOfRange},
        {WithReplaced("suva", std::string(65, 'a')), ResultCode::kOutOfRange},
        {WithReplaced("gang", "cron"), ResultCode::kUnknownKind},
        {WithReplaced("\"idempotent\"", "\"idempotnet\""), ResultCode::kUnknownField},
        {WithReplaced("\"accelerators\"", "\"gpus\""), ResultCode::kUnknownField},
    };
    for (const auto& [body, code] : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, static_cast<int>(code), static_cast<int>(CodeOf(body)));
    }
  }

  // Guards against messages that do not name the invalid field and the allowed range.
  void Parse_InvalidField_IsNamedInMessage() {
    const auto parsed = ParseRequest(WithReplaced("500", "-500"));
    CPPUNIT_ASSERT(parsed.error().message.find("/resources/cpu_millis") != std::string::npos);
    CPPUNIT_ASSERT(parsed.error().message.find("1000000") != std::string::npos);
  }

  // Guards against a resend that is rejected because a client library orders the fields
  // differently.
  void Digest_ReorderedFields_IsEqual() {
    const std::string reordered =
        R"({ "payload": {"n": 7}, "expected_ms": 20, "timeout_ms": 5000, "idempotent": true,
             "resources": {"accelerators": 1, "memory_mib": 256, "cpu_millis": 500},
             "tasks": 2, "kind": "gang", "team": "suva" })";
    CPPUNIT_ASSERT_EQUAL(ParseRequest(kValidBody)->digest, ParseRequest(reordered)->digest);
  }

  // Guards against a different request with a used key that gets the answer of the first one.
  void Digest_ChangedValue_Differs() {
    const std::vector<std::pair<std::string, std::string>> changes = {
        {"suva", "suvb"},  {":2,", ":3,"},           {"500", "501"},
        {"true", "false"}, {R"("n":7)", R"("n":8)"}, {":20,", ":21,"}};
    for (const auto& [from, to] : changes) {
      CPPUNIT_ASSERT(ParseRequest(kValidBody)->digest !=
                     ParseRequest(WithReplaced(from, to))->digest);
    }
  }

  // Guards against a body that crashes the process, or that is accepted with values out of range.
  void Parse_MutatedBody_NeverCrashes() {
    CPPUNIT_ASSERT(rc::check("mutated request bodies", [] {
      std::string body = kValidBody;
      const auto edits = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
          rc::gen::pair(rc::gen::inRange<std::size_t>(0, body.size()),
                        rc::gen::oneOf(rc::gen::arbitrary<char>(),
                                       rc::gen::elementOf(std::string("{}[]\",:0189-.eE")))));
      for (const auto& [position, text] : edits) body[position] = text;
      body.resize(body.size() - *rc::gen::weightedElement<std::size_t>({{8, 0}, {1, 1}, {1, 50}}));
      const auto parsed = ParseRequest(body);
      if (!parsed) return;
      RC_ASSERT(parsed->spec.tasks >= 1U && parsed->spec.tasks <= 1024U);
      RC_ASSERT(parsed->spec.resources.cpu >= MilliCpu(1));
      RC_ASSERT(parsed->spec.resources.memory >= Mebibytes(1));
      RC_ASSERT(parsed->timeout >= Milliseconds(1));
    }));
  }

  // Guards against an entry daemon that ends because it writes the payload recursively.
  void Parse_PayloadNestedDeeply_IsRejected() {
    const auto nested = [](std::size_t depth) {
      return WithReplaced("{\"n\":7}", std::string(depth, '[') + std::string(depth, ']'));
    };
    CPPUNIT_ASSERT(CodeOf(nested(60)) == ResultCode::kOk);
    CPPUNIT_ASSERT(CodeOf(nested(100'000)) == ResultCode::kMalformedJson);
    CPPUNIT_ASSERT(CodeOf(WithReplaced("\"suva\"", std::string(100'000, '['))) ==
                   ResultCode::kMalformedJson);
  }

  // Guards against keys that cannot be logged or forwarded in a header.
  void Key_InvalidText_IsRejected() {
    CPPUNIT_ASSERT(CheckIdempotencyKey("order-17").has_value());
    CPPUNIT_ASSERT(CheckIdempotencyKey(std::string(128, 'k')).has_value());
    for (const std::string& key : {std::string(), std::string(129, 'k'), std::string("a b"),
                                   std::string("a\n"), std::string("\xc3\xa9")}) {
      CPPUNIT_ASSERT(CheckIdempotencyKey(key).error().code == ResultCode::kOutOfRange);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestParserTest);

}  // namespace parsleyline::entry
