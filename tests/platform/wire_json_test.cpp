#include "platform/wire_json.h"

#include <cppunit/extensions/HelperMacros.h>

#include "platform/node_file.h"

namespace parsleyline::platform {
namespace {

constexpr char kReport[] =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","state":"ready","slots":8,
        "capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"seq":4,"born":77})";

std::string ConfigWith(const std::string& routes) {
  return R"({"version":7,"routes":[)" + routes +
         R"(],"services":[{"name":"s","enforce-capacity":true}],"limits":{}})";
}

std::string Route(const std::string& name, const std::string& prefix,
                  const std::string& extra = R"("timeout-ms":3000,"service":"s")") {
  return R"({"name":")" + name + R"(","host":"h","prefix":")" + prefix +
         R"(","target-latency-ms":250,"slack-factor":1.5,)" + extra + "}";
}

}  // namespace

/// Decodes bodies as the platform's documentation shows them, and invalid ones.
class WireJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireJsonTest);
  CPPUNIT_TEST(Job_StepsAndFlags_AreDecoded);
  CPPUNIT_TEST(Job_Invalid_IsRejected);
  CPPUNIT_TEST(Config_Valid_IsDecodedAndKeepsDocument);
  CPPUNIT_TEST(Config_Invalid_IsRejected);
  CPPUNIT_TEST(Report_Valid_HasRackAndStartTime);
  CPPUNIT_TEST(Report_Invalid_IsRejected);
  CPPUNIT_TEST(TaskName_RoundTrip_IsEqual);
  CPPUNIT_TEST(TaskName_Invalid_IsRejected);
  CPPUNIT_TEST(Hold_Lists_AreDecoded);
  CPPUNIT_TEST(Hold_InvalidList_HasUnknownOutcome);
  CPPUNIT_TEST(OrderReply_Reasons_BecomeOutcomes);
  CPPUNIT_TEST(NodeFile_Documented_IsDecoded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Job_StepsAndFlags_AreDecoded() {
    const auto spec = DecodeJobSpec(
        R"({"spec":"text","job-steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,
            "data-rack":"r1-3"},{"count":20,"cpu":2000,"depends-on":[0],"gang":true}]})");
    CPPUNIT_ASSERT(spec.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spec->steps.size());
    CPPUNIT_ASSERT(spec->steps[1].Has(job::StepFlag::kGang));
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), spec->steps[0].data_rack);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, spec->steps[1].demand.cpu.count());
  }

  void Job_Invalid_IsRejected() {
    for (const char* body :
         {"", "[]", R"({"job-steps":[]})", R"({"job-steps":[{"count":0}]})",
          R"({"job-steps":[{"count":"1"}]})", R"({"job-steps":[{"count":1,"depends-on":[0]}]})",
          R"({"job-steps":[{"count":1,"cpu":-1}]})"}) {
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeJobSpec(body).has_value());
    }
  }

  void Config_Valid_IsDecodedAndKeepsDocument() {
    const std::string body = ConfigWith(Route("r", "/p/"));
    const auto config = DecodeConfig(body);
    CPPUNIT_ASSERT(config.has_value());
    CPPUNIT_ASSERT_EQUAL(body, config->document);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, config->queues[0].slack_permille);
    CPPUNIT_ASSERT_EQUAL(1U, config->pools[0].enforces_capacity);
  }

  // Covers each kind of invalid configuration that the platform's documentation lists.
  void Config_Invalid_IsRejected() {
    const std::string valid = ConfigWith(Route("r", "/p/"));
    CPPUNIT_ASSERT(!DecodeConfig(valid.substr(0, valid.size() / 2)).has_value());
    CPPUNIT_ASSERT(!DecodeConfig(ConfigWith(Route("a", "/p/") + "," + Route("b", "/p/"))));
    CPPUNIT_ASSERT(!DecodeConfig(ConfigWith(Route("a", "/p/", R"("timeout-ms":0,"service":"s")"))));
    CPPUNIT_ASSERT(!DecodeConfig(ConfigWith(Route("a", "/p/", R"("timeout-ms":9,"service":"x")"))));
    CPPUNIT_ASSERT(!DecodeConfig(ConfigWith(Route("a", "/p/", R"("service":"s")"))).has_value());
  }

  void Report_Valid_HasRackAndStartTime() {
    const auto report = DecodeReport("i-1", kReport);
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), report->rack.value());
    CPPUNIT_ASSERT(report->incarnation.started_at == job::UnixMillis(77));
  }

  void Report_Invalid_IsRejected() {
    const std::string valid(kReport);
    const auto replaced = [&valid](const std::string& from, const std::string& to) {
      std::string body = valid;
      return body.replace(body.find(from), from.size(), to);
    };
    CPPUNIT_ASSERT(!DecodeReport("i", replaced("\"ready\"", "\"odd\"")).has_value());
    CPPUNIT_ASSERT(!DecodeReport("i", replaced("10.0.0.9:8080", "10.0.0.9")).has_value());
    CPPUNIT_ASSERT(!DecodeReport("i", replaced("16000", "\"16000\"")).has_value());
    CPPUNIT_ASSERT(!DecodeReport("i", replaced("\"seq\":4", "\"seq\":4.5")).has_value());
    CPPUNIT_ASSERT(!DecodeReport("i", replaced("\"born\":77", "\"born\":\"x\"")).has_value());
    CPPUNIT_ASSERT(!DecodeReport("i", "\xff\xfe").has_value());
  }

  void TaskName_RoundTrip_IsEqual() {
    const job::TaskKey key{{job::JobId("5c0e7a21d94b36f8"), 2, 1}, 17};
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.2.1.17"), TaskName(key));
    CPPUNIT_ASSERT(*ParseTaskName(TaskName(key)) == key);
  }

  void TaskName_Invalid_IsRejected() {
    for (const char* name : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4", "a.-1.2.3"}) {
      CPPUNIT_ASSERT_MESSAGE(name, !ParseTaskName(name).has_value());
    }
  }

  void Hold_Lists_AreDecoded() {
    const auto reply =
        DecodeHoldReply(200,
                        R"({"clock-ms":482113,"born":77,"active":[["j.0.1.17",2,"c0",41,900]],
            "finished":[[58,"j.0.1.9",1,"done",""]]})");
    CPPUNIT_ASSERT(reply.outcome == dispatch::OrderOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(41U, reply.active.at(0).percent);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{900}, reply.active.at(0).gauge);
    CPPUNIT_ASSERT(reply.finished.at(0).end == job::RunEnd::kDone);
  }

  // Guards against a run that seems to be absent because a row of the list is invalid.
  void Hold_InvalidList_HasUnknownOutcome() {
    const auto reply =
        DecodeHoldReply(200, R"({"clock-ms":1,"active":[["j.0.1",2,"",41]],"finished":[]})");
    CPPUNIT_ASSERT(reply.outcome == dispatch::OrderOutcome::kUnknown);
  }

  void OrderReply_Reasons_BecomeOutcomes() {
    using dispatch::OrderOutcome;
    CPPUNIT_ASSERT(DecodeOrderReply(200, R"({"clock-ms":5})").clock == dispatch::WorkerMillis(5));
    CPPUNIT_ASSERT(DecodeOrderReply(409, R"({"reason":"fence"})").outcome == OrderOutcome::kFenced);
    CPPUNIT_ASSERT(DecodeOrderReply(409, R"({"reason":"old"})").outcome == OrderOutcome::kStaleRun);
    CPPUNIT_ASSERT(DecodeOrderReply(409, R"({"reason":"late"})").outcome ==
                   OrderOutcome::kLeaseExpired);
    CPPUNIT_ASSERT(DecodeOrderReply(503, "").outcome == OrderOutcome::kUnhealthy);
    CPPUNIT_ASSERT(DecodeOrderReply(421, "").outcome == OrderOutcome::kOtherIncarnation);
  }

  void NodeFile_Documented_IsDecoded() {
    const auto node = DecodeNodeFile(
        R"({"node-name":"core-1","ip":"10.1.0.16","zone":"suva","listen":{"control":"10.1.0.16:8166"},
            "internal-ports":[7720,7735],"seeds":["10.1.0.16:8166","10.2.0.32:8166"],
            "bootstrap":true,"data-dir":"/data/x","advisor":"10.200.1.9:8169","new-key":1,
            "bounds":{"grace-s":6,"hold-max-ms":6000}})");
    CPPUNIT_ASSERT(node.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.2.0.32"), node->seeds.at(1).value());
    CPPUNIT_ASSERT(node->bootstrap);
    CPPUNIT_ASSERT(node->control.IsSet() && !node->callers.IsSet());
    CPPUNIT_ASSERT(node->max_lease == Milliseconds(6000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireJsonTest);

}  // namespace parsleyline::platform
