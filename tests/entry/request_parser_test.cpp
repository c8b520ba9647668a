#include "entry/request_parser.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace parsleyline::entry {
namespace {

constexpr char kGood[] =
    R"({"team":"suva","kind":"gang","tasks":2,"resources":{"cpu_millis":500,"memory_mib":256,)"
    R"("accelerators":1},"idempotent":true,"timeout_ms":5000,"expected_ms":20,"payload":{"n":7}})";

// Returns kGood with the first occurrence of `from` replaced by `to`.
std::string With(const std::string& from, const std::string& to) {
  std::string body = kGood;
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
  CPPUNIT_TEST(Parse_GoodBody_TakesEveryField);
  CPPUNIT_TEST(Parse_BadBody_GetsItsCode);
  CPPUNIT_TEST(Parse_Fault_NamesField);
  CPPUNIT_TEST(Digest_ReorderedFields_IsEqual);
  CPPUNIT_TEST(Digest_AnyOtherValue_Differs);
  CPPUNIT_TEST(Parse_MutatedBody_NeverCrashes);
  CPPUNIT_TEST(Key_BadText_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is ignored or stored in another member.
  void Parse_GoodBody_TakesEveryField() {
    const auto parsed = ParseRequest(kGood);
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
  void Parse_BadBody_GetsItsCode() {
    const std::vector<std::pair<std::string, ResultCode>> cases = {
        {"", ResultCode::kMalformedJson},
        {"{\"team\":", ResultCode::kMalformedJson},
        {std::string(kGood) + "}", ResultCode::kMalformedJson},
        {"\xff\xfe{}", ResultCode::kMalformedJson},
        {"[]", ResultCode::kWrongType},
        {"null", ResultCode::kWrongType},
        {"{}", ResultCode::kMissingField},
        {With(R"("memory_mib":256,)", ""), ResultCode::kMissingField},
        {With(R"("suva")", "7"), ResultCode::kWrongType},
        {With(":2,", ":\"2\","), ResultCode::kWrongType},
        {With(":2,", ":2.5,"), ResultCode::kWrongType},
        {With(":2,", ":null,"), ResultCode::kWrongType},
        {With("true", "1"), ResultCode::kWrongType},
        {With(R"("resources":{)", R"("resources":[],"x":{)"), ResultCode::kWrongType},
        {With("500", "-500"), ResultCode::kOutOfRange},
        {With("500", "0"), ResultCode::kOutOfRange},
        {With("500", "1000001"), ResultCode::kOutOfRange},
        {With("256", "9223372036854775807"), ResultCode::kOutOfRange},
        {With("256", "18446744073709551615"), ResultCode::kOutOfRange},
        {With("256", "-9223372036854775808"), ResultCode::kOutOfRange},
        {With("256", "99999999999999999999"), ResultCode::kWrongType},
        {With(":5000", ":0"), ResultCode::kOutOfRange},
        {With(":5000", ":86400001"), ResultCode::kOutOfRange},
        {With(":20,", ":-1,"), ResultCode::kOutOfRange},
        {With(":2,", ":1025,"), ResultCode::kOutOfRange},
        {With(":2,", ":0,"), ResultCode::kOutOfRange},
        {With("gang", "service"), ResultCode::kOutOfRange},
        {With("suva", "Suva!"), ResultCode::kOutOfRange},
        {With("suva", ""), ResultCode::kOutOfRange},
        {With("suva", std::string(65, 'a')), ResultCode::kOutOfRange},
        {With("gang", "cron"), ResultCode::kUnknownKind},
        {With("\"idempotent\"", "\"idempotnet\""), ResultCode::kUnknownField},
        {With("\"accelerators\"", "\"gpus\""), ResultCode::kUnknownField},
    };
    for (const auto& [body, code] : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, static_cast<int>(code), static_cast<int>(CodeOf(body)));
    }
  }

  // Guards against messages that do not name the invalid field and the allowed range.
  void Parse_Fault_NamesField() {
    const auto parsed = ParseRequest(With("500", "-500"));
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
    CPPUNIT_ASSERT_EQUAL(ParseRequest(kGood)->digest, ParseRequest(reordered)->digest);
  }

  // Guards against a different request with a used key that gets the answer of the first one.
  void Digest_AnyOtherValue_Differs() {
    const std::vector<std::pair<std::string, std::string>> changes = {
        {"suva", "suvb"},  {":2,", ":3,"},           {"500", "501"},
        {"true", "false"}, {R"("n":7)", R"("n":8)"}, {":20,", ":21,"}};
    for (const auto& [from, to] : changes) {
      CPPUNIT_ASSERT(ParseRequest(kGood)->digest != ParseRequest(With(from, to))->digest);
    }
  }

  // Guards against a body that crashes the process, or that is accepted with values out of range.
  void Parse_MutatedBody_NeverCrashes() {
    CPPUNIT_ASSERT(rc::check("mutated request bodies", [] {
      std::string body = kGood;
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

  // Guards against keys that cannot be logged or forwarded in a header.
  void Key_BadText_IsRefused() {
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
