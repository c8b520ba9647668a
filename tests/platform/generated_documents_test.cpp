#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "cell/messages.h"
#include "platform/node_file.h"
#include "platform/wire_json.h"
#include "tests/platform/odd_document_generator.h"
#include "wire/codec.h"

namespace parsleyline::platform {
namespace {

constexpr std::uint32_t kSeed = 20261205;
constexpr int kDocuments = 4000;

constexpr char kReport[] =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","state":"ready","slots":8,"seq":4,
        "capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"born":77,
        "drain-remaining-ms":0})";
constexpr char kJob[] =
    R"({"spec":"text","repeats":2,"start-at-ms":5,"interval-ms":100,"job-steps":[
        {"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"data-rack":"r1-3"},
        {"count":20,"cpu":2000,"depends-on":[0],"gang":true,"max-per-server":2,"target-ms":5}]})";
constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","target-latency-ms":250,
        "slack-factor":1.5,"timeout-ms":3000,"service":"s","priority":1,"attempts":3,
        "advisor":{"decision-ms":7.4,"per-worker-ms":0.11,"valid-ms":1500}}],
        "services":[{"name":"s","enforce-capacity":true}],"limits":{}})";
constexpr char kHold[] =
    R"({"clock-ms":482113,"born":77,"active":[["j.0.1.17",2,"c0",41,900]],
        "finished":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",1,"failed",""]]})";
constexpr char kOrder[] = R"({"clock-ms":482113,"reason":"fence"})";
constexpr char kAdvice[] = R"({"valid-ms":1500,"approved":[["i-1","t"],["i-2","u"]]})";
constexpr char kNode[] =
    R"({"node-name":"core-1","ip":"10.1.0.16","zone":"a","listen":{"control":"10.1.0.16:8166"},
        "internal-ports":[7720,7735],"seeds":["10.1.0.16:8166"],"bootstrap":true,
        "advisor":"10.200.1.9:8169","bounds":{"grace-s":6,"hold-max-ms":6000}})";

/// Encodes and decodes a message as on its way to the leader and to the log.
template <typename Message>
void CheckRoundTrip(const Message& message) {
  const std::string bytes = wire::Encode(message);
  const auto decoded = wire::Decode<Message>(bytes);
  CPPUNIT_ASSERT(decoded.has_value());
  CPPUNIT_ASSERT(bytes == wire::Encode(*decoded));
}

}  // namespace

/// Decodes generated documents. The build with sanitizers checks the calculations too.
class GeneratedDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GeneratedDocumentsTest);
  CPPUNIT_TEST(Reports_Generated_AreRejectedOrInRange);
  CPPUNIT_TEST(Jobs_Generated_AreRejectedOrInRange);
  CPPUNIT_TEST(Configs_Generated_AreRejectedOrInRange);
  CPPUNIT_TEST(Replies_Generated_AreDecoded);
  CPPUNIT_TEST(NodeFiles_Generated_AreRejectedOrInRange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Reports_Generated_AreRejectedOrInRange() {
    int accepted = 0;
    for (int i = 0; i < kDocuments; ++i) {
      const auto report = DecodeReport("i-1", generator_.Mutate(kReport));
      if (!report) continue;
      ++accepted;
      CPPUNIT_ASSERT(ParseAddress(report->address).has_value());
      CPPUNIT_ASSERT(report->capacity.cpu >= MilliCpu(0) &&
                     report->capacity.cpu <= MilliCpu(10'000'000));
      CPPUNIT_ASSERT(report->sequence <= std::uint64_t{1} << 53U);
      CheckRoundTrip(*report);
    }
    CPPUNIT_ASSERT(accepted > 0 && accepted < kDocuments);
  }

  void Jobs_Generated_AreRejectedOrInRange() {
    int accepted = 0;
    for (int i = 0; i < kDocuments; ++i) {
      const auto spec = DecodeJobSpec(generator_.Mutate(kJob));
      if (!spec) continue;
      ++accepted;
      std::uint64_t tasks = 0;
      for (const job::StepSpec& it : spec->steps) tasks += it.tasks;
      CPPUNIT_ASSERT(tasks * spec->OccurrenceCount() <= 20'000);
      CPPUNIT_ASSERT(spec->DueTime(spec->OccurrenceCount()) >= spec->first_due);
      CheckRoundTrip(*spec);
    }
    CPPUNIT_ASSERT(accepted > 0 && accepted < kDocuments);
  }

  void Configs_Generated_AreRejectedOrInRange() {
    int accepted = 0;
    for (int i = 0; i < kDocuments; ++i) {
      const auto config = DecodeConfig(generator_.Mutate(kConfig));
      if (!config) continue;
      ++accepted;
      for (const job::QueueSettings& it : config->queues) {
        CPPUNIT_ASSERT(it.call_timeout > Milliseconds(0) && it.slack_permille >= 0);
      }
      CheckRoundTrip(*config);
    }
    CPPUNIT_ASSERT(accepted > 0 && accepted < kDocuments);
  }

  void Replies_Generated_AreDecoded() {
    int accepted = 0;
    for (int i = 0; i < kDocuments; ++i) {
      const auto hold = DecodeHoldReply(200, generator_.Mutate(kHold));
      if (hold.outcome == dispatch::OrderOutcome::kAccepted) ++accepted;
      for (const dispatch::ActiveRun& it : hold.active) CPPUNIT_ASSERT(it.percent <= 100);
      const auto order = DecodeOrderReply(409, generator_.Mutate(kOrder));
      CPPUNIT_ASSERT(order.clock >= dispatch::WorkerMillis(0));
      const auto advice = DecodeAdvisorReply(200, generator_.Mutate(kAdvice));
      CPPUNIT_ASSERT(advice.ticket_validity >= Milliseconds(0));
    }
    CPPUNIT_ASSERT(accepted > 0 && accepted < kDocuments);
  }

  void NodeFiles_Generated_AreRejectedOrInRange() {
    int accepted = 0;
    for (int i = 0; i < kDocuments; ++i) {
      const auto node = DecodeNodeFile(generator_.Mutate(kNode));
      if (!node) continue;
      ++accepted;
      CPPUNIT_ASSERT(node->rpc_port > 0 && node->stop_grace >= Milliseconds(0));
    }
    CPPUNIT_ASSERT(accepted > 0 && accepted < kDocuments);
  }

 private:
  testing::OddDocumentGenerator generator_{kSeed};
};

CPPUNIT_TEST_SUITE_REGISTRATION(GeneratedDocumentsTest);

}  // namespace parsleyline::platform
