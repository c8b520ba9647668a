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
// Longer than any caller waits.
constexpr milliseconds kDarkTime{5000};
constexpr std::uint32_t kPermille = 1000;
// Late orders are carried out within this span after they came.
constexpr std::uint32_t kLateMin = 500;
constexpr std::uint32_t kLateSpan = 4000;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kNotFound = 404;
constexpr std::size_t kListedEnds = 500;

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
  for (const std::string& it : setup_.control) {
    const auto [ip, port] = Split(it);
    http::ClientOptions options;
    options.max_connections = 64;
    control_.push_back(std::make_unique<http::Client>(io_, ip, port, options));
  }
  sites_.resize(setup_.workers);
  for (std::size_t i = 0; i < setup_.workers; ++i) {
    fleet_.Add(setup_.worker_cpu, setup_.worker_memory_mb, Now());
    fleet_.worker(i).slowness = i % 3 == 0 ? 1.3 : 1;
    Listen(i);
  }
  fleet_.on_end = [this](std::size_t number) { AnswerHold(number); };
  advisor_server_ = std::make_unique<http::Server>(
      io_, [this](const http::Request& request, const http::ResponseCallback& respond) {
        OnAdvise(request, respond);
      });
  advisor_address_ =
      std::string(kLoopback) + ':' + std::to_string(advisor_server_->Listen(kLoopback, 0).value());
}

StandinPlatform::~StandinPlatform() = default;

void StandinPlatform::Listen(std::size_t number) {
  Site& site = sites_[number];
  site.server = std::make_unique<http::Server>(
      io_, [this, number](const http::Request& request, const http::ResponseCallback& respond) {
        Handle(number, request, respond);
      });
  const auto port = site.server->Listen(kLoopback, 0);
  if (!port) throw std::runtime_error(port.error().message);
  site.address = std::string(kLoopback) + ':' + std::to_string(*port);
  site.announced = site.address;
}

void StandinPlatform::Announce(std::size_t number, const std::string& announced) {
  sites_[number].announced = announced;
}

void StandinPlatform::Start() {
  Tick();
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    const auto offset = setup_.heartbeat * static_cast<int>(i) / static_cast<int>(sites_.size());
    RunAfter(io_, std::chrono::duration_cast<milliseconds>(offset), [this, i] { Heartbeat(i); });
  }
}

void StandinPlatform::Tick() {
  fleet_.Advance(Now());
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) Tick();
  });
}

void StandinPlatform::Heartbeat(std::size_t number) {
  RunAfter(io_, setup_.heartbeat, [this, number] { Heartbeat(number); });
  const EmulatedWorker& worker = fleet_.worker(number);
  if (!worker.up) return;
  Site& site = sites_[number];
  const json body{
      {"service", setup_.pool},
      {"addr", site.announced},
      {"zone", "z" + std::to_string(number % 2)},
      {"version", "v1"},
      {"slots", 8},
      {"state", site.draining ? "draining" : "ready"},
      {"cold-left-ms", 0},
      {"capacity", {{"cpu", worker.cpu}, {"mem-mb", worker.memory_mb}, {"gpu", 0}}},
      {"labels", {"a", "r1-" + std::to_string(number / 8)}},
      {"clock-ms", std::chrono::duration_cast<milliseconds>(Now() - worker.begun).count()},
      {"seq", ++site.sequence},
      {"born", worker.born}};
  SendToControl(number, "PUT", body.dump());
}

void StandinPlatform::SendToControl(std::size_t number, const std::string& method,
                                    std::string body) {
  Site& site = sites_[number];
  http::ClientRequest request;
  request.method = method;
  request.target = "/parsleyline/instances/" + fleet_.worker(number).id;
  request.body = std::move(body);
  http::Client& control = *control_[(number + site.next_control) % control_.size()];
  control.Send(std::move(request), kControlTimeout,
               [this, number](const http::ClientResult& result) {
                 if (!result || result->status >= 300) ++sites_[number].next_control;
               });
}

void StandinPlatform::Handle(std::size_t number, const http::Request& request,
                             const http::ResponseCallback& respond) {
  const EmulatedWorker& worker = fleet_.worker(number);
  // A worker without power does not answer.
  if (!worker.up) return RunAfter(io_, kDarkTime, [respond] { (void)respond; });
  const auto expected = request.headers.find("x-parsleyline-expect-instance");
  if (expected != request.headers.end() && expected->second != worker.id) {
    http::Response response;
    response.status = kMisdirected;
    return respond(response);
  }
  const json body = json::parse(request.body, nullptr, false);
  if (body.is_discarded()) {
    oracle_.Breach("WIRE", "unreadable order: " + request.body);
    return;
  }
  if (request.path == "/parsleyline/hold") return OnHold(number, body, respond);
  const bool start = request.path == "/parsleyline/run-start";
  const auto carry_out = start ? &StandinPlatform::OnStart : &StandinPlatform::OnStop;
  if (random_() % kPermille >= late_permille_) return (this->*carry_out)(number, body, respond);
  // The order is carried out late, and its caller never hears of it.
  const std::int64_t born = worker.born;
  RunAfter(io_, milliseconds(kLateMin + random_() % kLateSpan),
           [this, number, body, carry_out, born] {
             if (fleet_.worker(number).up && fleet_.worker(number).born == born) {
               (this->*carry_out)(number, body, [](const http::Response&) {});
             }
           });
  RunAfter(io_, kDarkTime, [respond] { (void)respond; });
}

http::Response StandinPlatform::Answer(const CallAnswer& answer) {
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
  StartCall call;
  const std::string name = body.at("task-id");
  call.task = ParseWireName(name);
  call.run = body.at("run-id");
  call.payload = body.at("spec");
  call.lease_end = body.at("expires-at-ms");
  call.fence = body.at("fencing-token");
  const std::string step = name.substr(0, name.rfind('.'));
  const std::string& id = fleet_.worker(number).id;
  if (body.value("ticket", "") != "t-" + step + '-' + id) {
    return respond(Answer({"ticket", 0}));
  }
  respond(Answer(fleet_.Start(number, call, Now())));
}

void StandinPlatform::OnStop(std::size_t number, const json& body,
                             const http::ResponseCallback& respond) {
  respond(Answer(fleet_.Stop(number, ParseWireName(body.at("task-id")), body.at("run-id"),
                             body.at("fencing-token"), Now())));
}

void StandinPlatform::OnHold(std::size_t number, const json& body,
                             const http::ResponseCallback& respond) {
  const CallAnswer answer =
      fleet_.Renew(number, body.value("expires-at-ms", std::int64_t{0}), body.at("fencing-token"),
                   body.value("ack-seq", std::uint64_t{0}), Now());
  if (!answer.reason.empty()) return respond(Answer(answer));
  const std::int64_t wait = body.value("wait-ms", std::int64_t{0});
  if (wait == 0 || !fleet_.worker(number).ends.empty()) return respond(Lists(number));
  Site& site = sites_[number];
  AnswerHold(number);
  site.waiting = respond;
  const std::uint64_t hold = ++site.hold_number;
  RunAfter(io_, milliseconds(wait), [this, number, hold] {
    if (sites_[number].hold_number == hold) AnswerHold(number);
  });
}

void StandinPlatform::AnswerHold(std::size_t number) {
  const http::ResponseCallback respond = std::exchange(sites_[number].waiting, nullptr);
  if (respond != nullptr) respond(Lists(number));
}

http::Response StandinPlatform::Lists(std::size_t number) {
  const EmulatedWorker& worker = fleet_.worker(number);
  const SteadyTime now = Now();
  json active = json::array();
  for (const auto& [id, run] : worker.runs) {
    const auto age = now - run.begun;
    const bool moves = run.working && !worker.hangs;
    const std::int64_t percent =
        moves ? std::min<std::int64_t>(
                    99, static_cast<std::int64_t>(100 * (age / (run.sheet.work * worker.slowness))))
              : 0;
    active.push_back({WireName(id.first), id.second, "", percent, run.sheet.cpu});
  }
  json finished = json::array();
  for (const EmulatedEnd& it : worker.ends) {
    if (finished.size() >= kListedEnds) break;
    finished.push_back({it.number, WireName(it.task), it.run, it.how, ""});
  }
  http::Response response;
  response.body =
      json{{"clock-ms", std::chrono::duration_cast<milliseconds>(now - worker.begun).count()},
           {"born", worker.born},
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
  RunAfter(io_, setup_.advice_time, [respond, response] { respond(response); });
}

void StandinPlatform::Crash(std::size_t number) {
  sites_[number].waiting = nullptr;
  sites_[number].draining = false;
  sites_[number].sequence = 0;
  fleet_.Crash(number);
}

void StandinPlatform::Restart(std::size_t number) { fleet_.Restart(number, Now()); }

void StandinPlatform::Drain(std::size_t number, milliseconds patience) {
  if (!fleet_.worker(number).up || sites_[number].draining) return;
  sites_[number].draining = true;
  RunAfter(io_, patience, [this, number, patience] {
    if (!sites_[number].draining) return;
    SendToControl(number, "DELETE", "");
    Crash(number);
    RunAfter(io_, patience, [this, number] { Restart(number); });
  });
}

}  // namespace parsleyline::testing
