#include "tests/standin_platform/standin_platform.h"

#include <charconv>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "tests/support/run_after.h"

namespace parsleyline::testing {
namespace {

using nlohmann::json;

constexpr char kLoopback[] = "127.0.0.1";
constexpr milliseconds kTickInterval{10};
constexpr milliseconds kControlTimeout{1000};
constexpr milliseconds kTicketValidity{2000};
// How long a request is kept open without a response; longer than any client waits.
constexpr milliseconds kNoResponseTime{5000};
constexpr std::uint32_t kPermille = 1000;
// Delayed orders are carried out after the minimum and a random part of the span, in ms.
constexpr std::uint32_t kMinOrderDelayMs = 500;
constexpr std::uint32_t kOrderDelaySpanMs = 4000;
// A worker that a deadly task has crashed is back after the minimum and a random part of the span,
// in ms. Some are back only after their lease has expired.
constexpr std::uint32_t kMinRestartMs = 500;
constexpr std::uint32_t kRestartSpanMs = 6000;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kNotFound = 404;
constexpr std::size_t kMaxFinishedRuns = 500;

SteadyTime Now() { return std::chrono::steady_clock::now(); }

std::string WireName(const TaskName& task) {
  return task.job + ".0." + std::to_string(task.step) + '.' + std::to_string(task.index);
}

TaskName ParseWireName(const std::string& name) {
  TaskName task;
  const auto first = name.find('.');
  const auto second = name.find('.', first + 1);
  const auto third = name.find('.', second + 1);
  task.job = name.substr(0, first);
  task.step = static_cast<std::uint32_t>(std::stoul(name.substr(second + 1, third - second - 1)));
  task.index = static_cast<std::uint32_t>(std::stoul(name.substr(third + 1)));
  return task;
}

bool IsApproved(const std::string& step, const std::string& worker, std::uint32_t permille) {
  return std::hash<std::string>{}(step + '/' + worker) % kPermille < permille;
}

std::pair<std::string, std::uint16_t> Split(const std::string& address) {
  const auto colon = address.rfind(':');
  return {address.substr(0, colon),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

}  // namespace

StandinPlatform::StandinPlatform(boost::asio::io_context& io, PlatformSetup setup,
                                 RunOracle& oracle)
    : io_(io),
      setup_(std::move(setup)),
      oracle_(oracle),
      fleet_(oracle, setup_.seed),
      tick_(io),
      random_(setup_.seed) {
  for (const std::string& it : setup_.control_addresses) {
    const auto [ip, port] = Split(it);
    http::ClientOptions options;
    options.max_connections = 64;
    control_.push_back(std::make_unique<http::Client>(io_, ip, port, options));
  }
  endpoints_.resize(setup_.workers);
  for (std::size_t i = 0; i < setup_.workers; ++i) {
    fleet_.AddWorker(setup_.worker_cpu, setup_.worker_memory_mb, Now());
    fleet_.worker(i).slowness = i % 3 == 0 ? 1.3 : 1;
    ListenForOrders(i);
  }
  fleet_.on_deadly_run = [this](std::size_t number) {
    CrashWorker(number);
    RunAfter(io_, milliseconds(kMinRestartMs + random_() % kRestartSpanMs),
             [this, number] { RestartWorker(number); });
  };
  fleet_.on_run_end = [this](std::size_t number) { RespondToHold(number); };
  advisor_server_ = std::make_unique<http::Server>(
      io_, [this](const http::Request& request, const http::ResponseCallback& respond) {
        OnAdvise(request, respond);
      });
  advisor_address_ =
      std::string(kLoopback) + ':' + std::to_string(advisor_server_->Listen(kLoopback, 0).value());
}

StandinPlatform::~StandinPlatform() = default;

void StandinPlatform::ListenForOrders(std::size_t number) {
  WorkerEndpoint& endpoint = endpoints_[number];
  endpoint.server = std::make_unique<http::Server>(
      io_, [this, number](const http::Request& request, const http::ResponseCallback& respond) {
        HandleOrder(number, request, respond);
      });
  const auto port = endpoint.server->Listen(kLoopback, 0);
  if (!port) throw std::runtime_error(port.error().message);
  endpoint.address = std::string(kLoopback) + ':' + std::to_string(*port);
  endpoint.announced_address = endpoint.address;
}

void StandinPlatform::SetAnnouncedAddress(std::size_t number, const std::string& announced) {
  endpoints_[number].announced_address = announced;
}

void StandinPlatform::Start() {
  Tick();
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const auto offset =
        setup_.report_interval * static_cast<int>(i) / static_cast<int>(endpoints_.size());
    RunAfter(io_, std::chrono::duration_cast<milliseconds>(offset), [this, i] { SendReport(i); });
  }
}

void StandinPlatform::Tick() {
  fleet_.EndDueRuns(Now());
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) Tick();
  });
}

void StandinPlatform::SendReport(std::size_t number) {
  RunAfter(io_, setup_.report_interval, [this, number] { SendReport(number); });
  const EmulatedWorker& worker = fleet_.worker(number);
  if (!worker.up) return;
  WorkerEndpoint& endpoint = endpoints_[number];
  const json body{
      {"service", setup_.pool},
      {"addr", endpoint.announced_address},
      {"zone", "z" + std::to_string(number % 2)},
      {"version", "v1"},
      {"slots", 8},
      {"state", endpoint.draining ? "draining" : "ready"},
      {"cold-left-ms", 0},
      {"capacity", {{"cpu", worker.cpu}, {"mem-mb", worker.memory_mb}, {"gpu", 0}}},
      {"labels", {"a", "r1-" + std::to_string(number / 8)}},
      {"clock-ms", std::chrono::duration_cast<milliseconds>(Now() - worker.clock_start).count()},
      {"seq", ++endpoint.sequence},
      {"born", worker.started_at}};
  SendToControl(number, "PUT", body.dump());
}

void StandinPlatform::SendToControl(std::size_t number, const std::string& method,
                                    std::string body) {
  WorkerEndpoint& endpoint = endpoints_[number];
  http::ClientRequest request;
  request.method = method;
  request.target = "/parsleyline/instances/" + fleet_.worker(number).id;
  request.body = std::move(body);
  http::Client& control = *control_[(number + endpoint.next_control) % control_.size()];
  control.Send(std::move(request), kControlTimeout,
               [this, number](const http::ClientResult& result) {
                 if (!result || result->status >= 300) ++endpoints_[number].next_control;
               });
}

void StandinPlatform::HandleOrder(std::size_t number, const http::Request& request,
                                  const http::ResponseCallback& respond) {
  const EmulatedWorker& worker = fleet_.worker(number);
  // A crashed worker does not respond.
  if (!worker.up) return RunAfter(io_, kNoResponseTime, [respond] { (void)respond; });
  const auto expected = request.headers.find("x-parsleyline-expect-instance");
  if (expected != request.headers.end() && expected->second != worker.id) {
    http::Response response;
    response.status = kMisdirected;
    return respond(response);
  }
  const json body = json::parse(request.body, nullptr, false);
  if (body.is_discarded()) {
    oracle_.RecordViolation("WIRE", "the order is not valid JSON: " + request.body);
    return;
  }
  if (request.path == "/parsleyline/hold") return OnHold(number, body, respond);
  const bool start = request.path == "/parsleyline/run-start";
  const auto handler = start ? &StandinPlatform::OnStart : &StandinPlatform::OnStop;
  if (random_() % kPermille >= delayed_order_permille_) {
    return (this->*handler)(number, body, respond);
  }
  // The order is carried out late and gets no response.
  const std::int64_t started_at = worker.started_at;
  RunAfter(io_, milliseconds(kMinOrderDelayMs + random_() % kOrderDelaySpanMs),
           [this, number, body, handler, started_at] {
             if (fleet_.worker(number).up && fleet_.worker(number).started_at == started_at) {
               (this->*handler)(number, body, [](const http::Response&) {});
             }
           });
  RunAfter(io_, kNoResponseTime, [respond] { (void)respond; });
}

http::Response StandinPlatform::OrderResponse(const OrderReply& answer) {
  http::Response response;
  json body{{"clock-ms", answer.clock}};
  if (!answer.reason.empty()) {
    response.status = kConflict;
    body["reason"] = answer.reason;
  }
  response.body = body.dump();
  return response;
}

void StandinPlatform::OnStart(std::size_t number, const json& body,
                              const http::ResponseCallback& respond) {
  StartOrder call;
  const std::string name = body.at("task-id");
  call.task = ParseWireName(name);
  call.run = body.at("run-id");
  call.payload = body.at("spec");
  call.lease_end = body.at("expires-at-ms");
  call.fence = body.at("fencing-token");
  const std::string step = name.substr(0, name.rfind('.'));
  const std::string& id = fleet_.worker(number).id;
  if (body.value("ticket", "") != "t-" + step + '-' + id) {
    return respond(OrderResponse({"ticket", 0}));
  }
  respond(OrderResponse(fleet_.StartRun(number, call, Now())));
}

void StandinPlatform::OnStop(std::size_t number, const json& body,
                             const http::ResponseCallback& respond) {
  respond(OrderResponse(fleet_.StopRun(number, ParseWireName(body.at("task-id")), body.at("run-id"),
                                       body.at("fencing-token"), Now())));
}

void StandinPlatform::OnHold(std::size_t number, const json& body,
                             const http::ResponseCallback& respond) {
  const OrderReply answer =
      fleet_.RenewLease(number, body.value("expires-at-ms", std::int64_t{0}),
                        body.at("fencing-token"), body.value("ack-seq", std::uint64_t{0}), Now());
  if (!answer.reason.empty()) return respond(OrderResponse(answer));
  const std::int64_t wait = body.value("wait-ms", std::int64_t{0});
  if (wait == 0 || !fleet_.worker(number).finished_runs.empty()) {
    return respond(HoldResponse(number));
  }
  WorkerEndpoint& endpoint = endpoints_[number];
  RespondToHold(number);
  endpoint.pending_hold = respond;
  const std::uint64_t hold = ++endpoint.hold_number;
  RunAfter(io_, milliseconds(wait), [this, number, hold] {
    if (endpoints_[number].hold_number == hold) RespondToHold(number);
  });
}

void StandinPlatform::RespondToHold(std::size_t number) {
  const http::ResponseCallback respond = std::exchange(endpoints_[number].pending_hold, nullptr);
  if (respond != nullptr) respond(HoldResponse(number));
}

http::Response StandinPlatform::HoldResponse(std::size_t number) {
  const EmulatedWorker& worker = fleet_.worker(number);
  const SteadyTime now = Now();
  json active = json::array();
  for (const auto& [id, run] : worker.runs) {
    const auto age = now - run.started;
    const bool moves = run.working && !worker.hangs;
    const std::int64_t percent =
        moves ? std::min<std::int64_t>(99, static_cast<std::int64_t>(
                                               100 * (age / (run.step.run_time * worker.slowness))))
              : 0;
    active.push_back({WireName(id.first), id.second, "", percent, run.step.cpu});
  }
  json finished = json::array();
  for (const FinishedRun& it : worker.finished_runs) {
    if (finished.size() >= kMaxFinishedRuns) break;
    finished.push_back({it.number, WireName(it.task), it.run, it.outcome, ""});
  }
  http::Response response;
  response.body =
      json{{"clock-ms", std::chrono::duration_cast<milliseconds>(now - worker.clock_start).count()},
           {"born", worker.started_at},
           {"active", std::move(active)},
           {"finished", std::move(finished)}}
          .dump();
  return response;
}

void StandinPlatform::OnAdvise(const http::Request& request,
                               const http::ResponseCallback& respond) {
  const json body = json::parse(request.body, nullptr, false);
  if (request.path != "/parsleyline/advise" || body.is_discarded()) {
    http::Response response;
    response.status = kNotFound;
    return respond(response);
  }
  const std::string step = body.at("step-index");
  json approved = json::array();
  for (const json& it : body.at("workers")) {
    const std::string worker = it;
    if (!IsApproved(step, worker, setup_.approved_permille)) continue;
    approved.push_back({worker, "t-" + step + '-' + worker});
  }
  http::Response response;
  response.body =
      json{{"approved", std::move(approved)}, {"valid-ms", kTicketValidity.count()}}.dump();
  RunAfter(io_, setup_.advisor_delay, [respond, response] { respond(response); });
}

void StandinPlatform::ResetEndpoint(std::size_t number) {
  endpoints_[number].pending_hold = nullptr;
  endpoints_[number].draining = false;
  endpoints_[number].sequence = 0;
}

void StandinPlatform::CrashWorker(std::size_t number) {
  ResetEndpoint(number);
  fleet_.CrashWorker(number);
}

void StandinPlatform::ResizeWorker(std::size_t number, std::int64_t cpu) {
  fleet_.ResizeWorker(number, cpu, Now());
}

void StandinPlatform::RestartWorker(std::size_t number, milliseconds clock) {
  fleet_.RestartWorker(number, Now(), clock);
}

void StandinPlatform::DrainWorker(std::size_t number, milliseconds patience) {
  if (!fleet_.worker(number).up || endpoints_[number].draining) return;
  endpoints_[number].draining = true;
  RunAfter(io_, patience, [this, number, patience] {
    if (!endpoints_[number].draining) return;
    SendToControl(number, "DELETE", "");
    ResetEndpoint(number);
    fleet_.EndWorker(number);
    RunAfter(io_, patience, [this, number] { RestartWorker(number); });
  });
}

}  // namespace parsleyline::testing
