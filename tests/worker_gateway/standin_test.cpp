#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "http/server.h"
#include "tests/http/raw_peer.h"
#include "tests/standin_worker/worker.h"

namespace parsleyline::standin {

using testing::FakeServer;
using testing::IoThreads;
using testing::RawSocket;
using testing::WaitFor;

class StandinWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinWorkerTest);
  CPPUNIT_TEST(Lease_NotRenewed_StopsTask);
  CPPUNIT_TEST(Lease_Renewed_TaskEnds);
  CPPUNIT_TEST(Announcement_EntrySilent_GoesToNextEntry);
  CPPUNIT_TEST(Drain_TaskRunning_WaitsForEnd);
  CPPUNIT_TEST(Slots_Exceeded_CountsViolationAndRunsTask);
  CPPUNIT_TEST(Restart_OldTasks_AreUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { threads_ = std::make_unique<IoThreads>(); }

  void tearDown() override {
    worker_.reset();
    threads_->Stop();
    entry_.reset();
    threads_.reset();
    silent_.reset();
  }

  // Guards against a stand-in that keeps running tasks without a lease and so hides lost renewals.
  void Lease_NotRenewed_StopsTask() {
    StartWorker();
    const auto answer = Run(1, 20000, 100);
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), answer["outcome"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, Stat("lease_stops"));
  }

  // Guards against a stand-in that ignores renewals of leases.
  void Lease_Renewed_TaskEnds() {
    settings_.announce_interval_ms = 50;
    StartEntry();
    StartWorker();
    const auto answer = Run(1, 1500, 1000);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), answer["outcome"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(0, Stat("lease_stops"));
  }

  // Guards against a worker that stops its announcements because one entry does not respond.
  void Announcement_EntrySilent_GoesToNextEntry() {
    silent_ = std::make_unique<FakeServer>([](RawSocket& peer, int) { peer.ReadToEnd(); });
    settings_.entries.push_back({"127.0.0.1", silent_->port()});
    settings_.announce_interval_ms = 600000;
    StartEntry();
    StartWorker();
    CPPUNIT_ASSERT(WaitFor([&] { return announcements_ > 0; }));
  }

  // Guards against a drain that ends a running task, and against a task that starts during a drain.
  void Drain_TaskRunning_WaitsForEnd() {
    StartEntry();
    StartWorker();
    auto call = std::async(std::launch::async, [this] { return Run(1, 300, 10000); });
    CPPUNIT_ASSERT(WaitFor([&] { return Stat("started") == 1; }));
    std::promise<void> drained;
    worker_->Drain([&] { drained.set_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("not_started"), Run(2, 0, 1000)["outcome"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("done"), call.get()["outcome"].get<std::string>());
    CPPUNIT_ASSERT(drained.get_future().wait_for(testing::kTestTimeout) ==
                   std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), last_state_);
  }

  // Guards against a stand-in that hides faults of the scheduler by rejecting tasks over its slots.
  void Slots_Exceeded_CountsViolationAndRunsTask() {
    settings_.slots = 1;
    StartWorker();
    auto call = std::async(std::launch::async, [this] { return Run(1, 300, 10000); });
    CPPUNIT_ASSERT(WaitFor([&] { return Stat("started") == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Run(2, 0, 1000)["outcome"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, Stat("slot_violations"));
    Run(2, 0, 1000);
    CPPUNIT_ASSERT_EQUAL(1, Stat("repeated_tokens"));
    call.get();
  }

  // Guards against a simulated restart after which the worker still knows its earlier tasks.
  void Restart_OldTasks_AreUnknown() {
    StartWorker();
    Run(1, 0, 1000);
    Exchange("POST /control", R"({"restart":true})");
    CPPUNIT_ASSERT(WaitFor([&] {
      return Exchange("GET /v1/ping", "").find(R"("incarnation":2)") != std::string::npos;
    }));
    CPPUNIT_ASSERT(Exchange("GET /v1/tasks/1", "").find("never_started") != std::string::npos);
  }

 private:
  void StartWorker() {
    worker_ = std::make_unique<Worker>(threads_->io(), settings_);
    const auto port = worker_->Start();
    CPPUNIT_ASSERT(port.has_value());
    port_ = *port;
  }

  /// Starts an entry server that renews the lease of every task.
  void StartEntry() {
    entry_ = std::make_unique<http::Server>(
        threads_->io(),
        [this](const http::Request& request, const http::ResponseCallback& respond) {
          const auto body = nlohmann::json::parse(request.body);
          nlohmann::json reply = {{"renewed", nlohmann::json::array()},
                                  {"stop", nlohmann::json::array()}};
          for (const auto& row : body["running"]) reply["renewed"].push_back(row["token"]);
          last_state_ = body["state"];
          ++announcements_;
          http::Response response;
          response.body = reply.dump();
          respond(response);
        });
    settings_.entries.push_back({"127.0.0.1", *entry_->Listen("127.0.0.1", 0)});
  }

  std::string Exchange(const std::string& start, const std::string& body) {
    auto peer = RawSocket::Connect(port_);
    peer.Send(start + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
              body);
    return peer.ReadMessage();
  }

  nlohmann::json Run(int token, int duration_ms, int lease_ms) {
    const nlohmann::json body = {{"token", token},
                                 {"request", "r"},
                                 {"attempt", 1},
                                 {"lease_ms", lease_ms},
                                 {"payload", {{"op", "echo"}, {"duration_ms", duration_ms}}}};
    const std::string answer = Exchange("POST /v1/tasks", body.dump());
    return nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")));
  }

  int Stat(const std::string& name) {
    const std::string answer = Exchange("GET /control/stats", "");
    return nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")))[name];
  }

  WorkerSettings settings_;
  std::unique_ptr<IoThreads> threads_;
  std::unique_ptr<FakeServer> silent_;
  std::unique_ptr<http::Server> entry_;
  std::unique_ptr<Worker> worker_;
  std::uint16_t port_ = 0;
  std::atomic<int> announcements_ = 0;
  std::string last_state_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinWorkerTest);

}  // namespace parsleyline::standin
