#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/http/raw_peer.h"
#include "tests/standin_worker/worker.h"
#include "worker_gateway/http_worker_gateway.h"

namespace parsleyline::entry {

using testing::FakeServer;
using testing::HttpResponse;
using testing::IoThreads;
using testing::RawSocket;
using testing::WaitFor;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

/// Bound on the time from the silence of a connection to the result of its call.
constexpr std::chrono::seconds kMaxResolutionTime{2};

}  // namespace

class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(Run_TaskEnds_IsDoneOrFailed);
  CPPUNIT_TEST(Run_WorkerDraining_IsNotStarted);
  CPPUNIT_TEST(Run_ConnectionRefused_IsNotStarted);
  CPPUNIT_TEST(Run_TokenSeenBefore_IsUnknown);
  CPPUNIT_TEST(Run_ResponseToOtherTask_IsUnknown);
  CPPUNIT_TEST(Run_ResponseInvalid_IsUnknown);
  CPPUNIT_TEST(Run_SilentWhileRunning_IsResolvedByQuery);
  CPPUNIT_TEST(Run_SilentBeforeSending_IsNotStarted);
  CPPUNIT_TEST(Run_SilentAndWorkerRestarts_IsUnknown);
  CPPUNIT_TEST(Run_LongTask_KeepsConnection);
  CPPUNIT_TEST(Run_AllConnectionsBusy_IsNotStartedInTime);
  CPPUNIT_TEST(Connections_ManyCalls_StayWithinLimit);
  CPPUNIT_TEST(Query_RunningTask_WaitsForEnd);
  CPPUNIT_TEST(Query_ResponseAboutOtherToken_IsUnreachable);
  CPPUNIT_TEST(Fence_NeverStarted_RejectsTask);
  CPPUNIT_TEST(Cancel_RunningTask_Ends);
  CPPUNIT_TEST(RemoveWorker_TaskRunning_IsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    options_ = GatewayOptions();
    threads_ = std::make_unique<IoThreads>();
  }

  void tearDown() override {
    gateway_.reset();
    worker_.reset();
    threads_.reset();
    fake_.reset();
  }

  // Guards against an answer that is lost or changed by the gateway.
  void Run_TaskEnds_IsDoneOrFailed() {
    StartWorker();
    const TaskResult done = Run(1, R"({"op":"echo","value":{"b":1,"a":2},"duration_ms":5})");
    CPPUNIT_ASSERT(done.outcome == DispatchOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"echo":{"b":1,"a":2},"token":1,"worker":"w1"})"),
                         done.answer);
    CPPUNIT_ASSERT(done.run_time >= Milliseconds(5));
    const TaskResult failed = Run(2, R"({"op":"echo","fail":true})");
    CPPUNIT_ASSERT(failed.outcome == DispatchOutcome::kFailed);
    CPPUNIT_ASSERT(!failed.message.empty());
  }

  // Guards against a task that is rejected before it starts and counts as a failed run.
  void Run_WorkerDraining_IsNotStarted() {
    StartWorker();
    Control(R"({"drain":true})");
    CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kNotStarted);
  }

  // Guards against an unknown outcome of a task of which no byte was sent.
  void Run_ConnectionRefused_IsNotStarted() {
    StartFake([](RawSocket&, int) {});
    fake_.reset();
    CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kNotStarted);
    address_ = "no address";
    CPPUNIT_ASSERT(Run(2, kEcho).outcome == DispatchOutcome::kNotStarted);
  }

  // Guards against the rejection of a token that did run being taken for "never started", after
  // which the task would be granted and run a second time.
  void Run_TokenSeenBefore_IsUnknown() {
    StartWorker();
    CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kDone);
    CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kUnknown);
  }

  // Guards against a response to another request that is taken for the answer of the task.
  void Run_ResponseToOtherTask_IsUnknown() {
    for (const std::string& wrong :
         {Answer(2, "r", 1), Answer(1, "s", 1), Answer(1, "r", 2), std::string("[]")}) {
      StartFake([&](RawSocket& peer, int) { RespondToTask(peer, HttpResponse(wrong)); });
      CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kUnknown);
      CPPUNIT_ASSERT(WaitFor([&] { return gateway_->ConnectionCount(address_) == 0; }));
      gateway_.reset();
      fake_.reset();
    }
  }

  // Guards against a task that is granted again although it may have run.
  void Run_ResponseInvalid_IsUnknown() {
    const std::string whole = HttpResponse(Answer(1, "r", 1));
    for (const std::string& broken : {std::string(), whole.substr(0, whole.size() - 1), whole + "x",
                                      HttpResponse("{}", 500), HttpResponse("{", 409)}) {
      StartFake([&](RawSocket& peer, int) { RespondToTask(peer, broken); });
      CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kUnknown);
      gateway_.reset();
      fake_.reset();
    }
  }

  // Guards against a call that waits for its whole timeout on a connection that has become silent.
  void Run_SilentWhileRunning_IsResolvedByQuery() {
    StartWorker();
    auto call = StartRun(1, R"({"op":"echo","value":7,"duration_ms":700})");
    CPPUNIT_ASSERT(WaitFor([&] { return Stat("started") == 1; }));
    Control(R"({"silent":"existing"})");
    const auto silence = std::chrono::steady_clock::now();
    const TaskResult answer = call.get();
    const auto ended = silence + std::chrono::milliseconds(700);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - ended < kMaxResolutionTime);
    CPPUNIT_ASSERT(answer.outcome == DispatchOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"echo":7,"token":1,"worker":"w1"})"), answer.answer);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Stat("started"));
    CPPUNIT_ASSERT(Run(2, kEcho).outcome == DispatchOutcome::kDone);
  }

  // Guards against a task that is lost on a connection that became silent while idle, and against a
  // task that the worker starts after it was reported as not started.
  void Run_SilentBeforeSending_IsNotStarted() {
    StartWorker();
    CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kDone);
    Control(R"({"silent":"existing"})");
    const auto silence = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(Run(2, kEcho).outcome == DispatchOutcome::kNotStarted);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - silence < kMaxResolutionTime);
    CPPUNIT_ASSERT(Run(3, kEcho).outcome == DispatchOutcome::kDone);
    CPPUNIT_ASSERT(Post("/v1/tasks", Dispatch(2)).find("409") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Stat("started"));
  }

  // Guards against a second run of a task: a restarted worker does not know the tasks of its
  // earlier incarnation and reports them as never started.
  void Run_SilentAndWorkerRestarts_IsUnknown() {
    StartFake([this](RawSocket& peer, int) {
      const std::string request = peer.ReadMessage();
      if (request.find("/v1/ping") != std::string::npos) {
        peer.Send(
            HttpResponse(R"({"worker":"w1","incarnation":)" + std::to_string(incarnation_) + "}"));
      } else if (request.find("POST /v1/tasks ") != std::string::npos) {
        ++incarnation_;
      } else {
        peer.Send(HttpResponse(R"({"token":1,"state":"never_started"})"));
      }
      peer.ReadToEnd();
    });
    // The response to this query ensures that the incarnation is known before the task is sent.
    CPPUNIT_ASSERT(Query(1, Milliseconds(0)).state == TokenState::kNeverStarted);
    CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kUnknown);
    CPPUNIT_ASSERT(Fence(1).state == TokenState::kUnreachable);
    gateway_->RemoveWorker(address_);
    CPPUNIT_ASSERT(Fence(1).state == TokenState::kUnreachable);
  }

  // Guards against a long task that is taken for a silent connection.
  void Run_LongTask_KeepsConnection() {
    options_.check_interval = Milliseconds(20);
    options_.late_response_timeout = Milliseconds(20);
    StartWorker();
    const TaskResult answer = Run(1, R"({"op":"echo","value":7,"duration_ms":600})");
    CPPUNIT_ASSERT(answer.outcome == DispatchOutcome::kDone);
    CPPUNIT_ASSERT(answer.run_time >= Milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Stat("refused"));
  }

  // Guards against a task that starts after the scheduler has declared its lease expired.
  void Run_AllConnectionsBusy_IsNotStartedInTime() {
    options_.connections_per_worker = 2;
    // Otherwise the periodic check would resolve the task too, though later.
    options_.check_interval = Milliseconds(10000);
    StartWorker();
    auto busy = StartRun(1, R"({"op":"echo","duration_ms":1500})");
    CPPUNIT_ASSERT(WaitFor([&] { return Stat("started") == 1; }));
    const auto begin = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(Run(2, kEcho).outcome == DispatchOutcome::kNotStarted);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < std::chrono::seconds(1));
    CPPUNIT_ASSERT(busy.get().outcome == DispatchOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Stat("started"));
  }

  // Guards against more connections to a worker than the limit of this entry daemon.
  void Connections_ManyCalls_StayWithinLimit() {
    options_.start_timeout = Milliseconds(10000);
    StartWorker();
    std::vector<std::future<TaskResult>> calls;
    std::vector<std::future<TokenReport>> queries;
    std::size_t most = 0;
    for (std::uint64_t token = 1; token <= 100; ++token) {
      calls.push_back(StartRun(token, R"({"op":"echo","duration_ms":10})"));
      queries.push_back(StartQuery(token, Milliseconds(0)));
      most = std::max(most, gateway_->ConnectionCount(address_));
    }
    for (auto& call : calls) CPPUNIT_ASSERT(call.get().outcome == DispatchOutcome::kDone);
    for (auto& query : queries) CPPUNIT_ASSERT(query.get().state != TokenState::kUnreachable);
    CPPUNIT_ASSERT(most <= options_.connections_per_worker);
    // One more is the connection of this query, and the worker may not have noticed one that
    // closed.
    CPPUNIT_ASSERT(Stat("max_connections") <= options_.connections_per_worker + 2);
    gateway_->SetConnectionsPerWorker(2);
    CPPUNIT_ASSERT(WaitFor([&] { return gateway_->ConnectionCount(address_) <= 2; }));
  }

  // Guards against a query that returns before the task has ended, or that polls the worker without
  // a pause.
  void Query_RunningTask_WaitsForEnd() {
    StartWorker();
    auto call = StartRun(1, R"({"op":"echo","value":1,"duration_ms":400})");
    CPPUNIT_ASSERT(WaitFor([&] { return Stat("started") == 1; }));
    CPPUNIT_ASSERT(Query(1, Milliseconds(0)).state == TokenState::kRunning);
    const TokenReport report = Query(1, Milliseconds(5000));
    CPPUNIT_ASSERT(report.state == TokenState::kDone);
    CPPUNIT_ASSERT_EQUAL(call.get().answer, report.answer);
  }

  // Guards against a report about another token that is accepted.
  void Query_ResponseAboutOtherToken_IsUnreachable() {
    StartFake([](RawSocket& peer, int) {
      peer.ReadMessage();
      peer.Send(HttpResponse(R"({"token":2,"state":"done","answer":1})"));
      peer.ReadToEnd();
    });
    CPPUNIT_ASSERT(Query(1, Milliseconds(0)).state == TokenState::kUnreachable);
  }

  // Guards against a fenced task that starts later.
  void Fence_NeverStarted_RejectsTask() {
    StartWorker();
    CPPUNIT_ASSERT(Fence(1).state == TokenState::kNeverStarted);
    CPPUNIT_ASSERT(Run(1, kEcho).outcome == DispatchOutcome::kNotStarted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Stat("started"));
  }

  // Guards against a cancellation that does not reach the worker.
  void Cancel_RunningTask_Ends() {
    StartWorker();
    auto call = StartRun(1, R"({"op":"echo","duration_ms":20000})");
    CPPUNIT_ASSERT(WaitFor([&] { return Stat("started") == 1; }));
    std::promise<TokenReport> promise;
    gateway_->Cancel(address_, FencingToken(1),
                     [&](TokenReport report) { promise.set_value(std::move(report)); });
    CPPUNIT_ASSERT(promise.get_future().get().state == TokenState::kFailed);
    CPPUNIT_ASSERT(call.get().outcome == DispatchOutcome::kFailed);
  }

  // Guards against calls that never return because their worker was removed.
  void RemoveWorker_TaskRunning_IsUnknown() {
    StartWorker();
    auto call = StartRun(1, R"({"op":"echo","duration_ms":20000})");
    CPPUNIT_ASSERT(WaitFor([&] { return Stat("started") == 1; }));
    gateway_->RemoveWorker(address_);
    CPPUNIT_ASSERT(call.get().outcome == DispatchOutcome::kUnknown);
  }

 private:
  static constexpr auto kEcho = R"({"op":"lookup","value":1})";

  void StartWorker() {
    standin::WorkerSettings settings;
    worker_ = std::make_unique<standin::Worker>(threads_->io(), settings);
    const auto port = worker_->Start();
    CPPUNIT_ASSERT(port.has_value());
    port_ = *port;
    StartGateway("127.0.0.1:" + std::to_string(port_));
  }

  void StartFake(FakeServer::ConnectionHandler behaviour) {
    fake_ = std::make_unique<FakeServer>(std::move(behaviour));
    StartGateway(fake_->address());
  }

  void StartGateway(const std::string& address) {
    address_ = address;
    gateway_ = std::make_unique<HttpWorkerGateway>(threads_->io(), options_);
  }

  /// Responds to a task with `bytes` and not at all to other requests.
  static void RespondToTask(RawSocket& peer, const std::string& bytes) {
    const bool task = peer.ReadMessage().find("POST /v1/tasks ") != std::string::npos;
    if (task) peer.Send(bytes);
    if (task) peer.ShutdownWrite();
    peer.ReadToEnd();
  }

  static std::string Answer(int token, const std::string& request, int attempt) {
    return R"({"token":)" + std::to_string(token) + R"(,"request":")" + request +
           R"(","attempt":)" + std::to_string(attempt) + R"(,"outcome":"done","answer":1})";
  }

  static std::string Dispatch(std::uint64_t token) {
    return R"({"token":)" + std::to_string(token) +
           R"(,"request":"r","attempt":1,"lease_ms":1000,"payload":{"op":"lookup"}})";
  }

  std::future<TaskResult> StartRun(std::uint64_t token, const std::string& payload) {
    TaskDispatch dispatch;
    dispatch.token = FencingToken(token);
    dispatch.request = RequestId("r");
    dispatch.attempt = 1;
    dispatch.worker = WorkerId("w1");
    dispatch.address = address_;
    dispatch.lease = Milliseconds(30000);
    dispatch.timeout = Milliseconds(30000);
    dispatch.payload = payload;
    auto promise = std::make_shared<std::promise<TaskResult>>();
    auto future = promise->get_future();
    gateway_->Run(dispatch,
                  [promise](TaskResult answer) { promise->set_value(std::move(answer)); });
    return future;
  }
  TaskResult Run(std::uint64_t token, const std::string& payload) {
    return StartRun(token, payload).get();
  }

  std::future<TokenReport> StartQuery(std::uint64_t token, Milliseconds wait) {
    auto promise = std::make_shared<std::promise<TokenReport>>();
    gateway_->Query(address_, FencingToken(token), wait,
                    [promise](TokenReport report) { promise->set_value(std::move(report)); });
    return promise->get_future();
  }
  TokenReport Query(std::uint64_t token, Milliseconds wait) {
    return StartQuery(token, wait).get();
  }

  TokenReport Fence(std::uint64_t token) {
    std::promise<TokenReport> promise;
    gateway_->Fence(address_, FencingToken(token),
                    [&](TokenReport report) { promise.set_value(std::move(report)); });
    return promise.get_future().get();
  }

  std::string Post(const std::string& path, const std::string& body) {
    auto peer = RawSocket::Connect(port_);
    peer.Send("POST " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body);
    return peer.ReadMessage();
  }
  void Control(const std::string& command) {
    CPPUNIT_ASSERT(Post("/control", command).find("200") != std::string::npos);
    // The command takes effect after its response; the next request waits for that.
    Stat("started");
  }

  std::uint64_t Stat(const std::string& name) {
    auto peer = RawSocket::Connect(port_);
    peer.Send("GET /control/stats HTTP/1.1\r\n\r\n");
    const std::string answer = peer.ReadMessage();
    return nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")))[name];
  }

  GatewayOptions options_;
  std::unique_ptr<IoThreads> threads_;
  std::unique_ptr<standin::Worker> worker_;
  std::unique_ptr<FakeServer> fake_;
  std::unique_ptr<HttpWorkerGateway> gateway_;
  std::string address_;
  std::atomic<int> incarnation_ = 1;
  std::uint16_t port_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

}  // namespace parsleyline::entry
