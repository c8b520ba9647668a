#include "review/standin-2/fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace review {
namespace {

using nlohmann::json;
using parsleyline::http::ClientRequest;
using parsleyline::http::ClientResult;

constexpr milliseconds kTick{5};
// A heartbeat counts as acknowledged if the answer arrives within this time.
constexpr milliseconds kHeartbeatTimeout{1000};
constexpr std::size_t kMaxListedEnds = 500;
// No caller waits for an answer for longer.
constexpr milliseconds kLongestWait{20'000};
// A stop takes this long, which is less than `kill-grace-ms`.
constexpr milliseconds kStopTime{150};

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

SteadyTime Now() { return std::chrono::steady_clock::now(); }

std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

}  // namespace

Record::Record(const std::string& path) : file_(path), start_(Now()) {}

double Record::Seconds() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
}

void Record::Write(const std::string& line) {
  char time[24];
  std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
  file_ << time << line << std::endl;
}

Fleet::Fleet(boost::asio::io_context& io, FleetSetup setup, Record& record)
    : io_(io), setup_(std::move(setup)), record_(record), tick_(io) {
  for (const auto& [ip, port] : setup_.control) {
    parsleyline::http::ClientOptions options;
    options.max_connections = setup_.workers;
    control_.push_back(std::make_unique<parsleyline::http::Client>(io_, ip, port, options));
  }
  workers_.resize(setup_.workers);
}

void Fleet::Start() {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    Worker& worker = workers_[i];
    worker.id = "w-" + std::to_string(i);
    const std::string ip =
        "127.77." + std::to_string(setup_.subnet) + '.' + std::to_string(100 + i);
    worker.server = std::make_unique<WorkerServer>(
        io_,
        [this, i](const OrderRequest& request, const Respond& respond) {
          Handle(i, request, respond);
        },
        [this, i] {
          const Worker& it = workers_[i];
          return LinkState{it.up ? it.lifetime : 0, it.up && !it.cut};
        });
    const std::uint16_t port = worker.server->Listen(ip);
    if (port == 0) {
      record_.Write("a worker cannot listen");
      std::exit(2);
    }
    worker.address = ip + ':' + std::to_string(port);
    Restart(i);
  }
  Tick();
}

void Fleet::RunAfter(milliseconds delay, std::function<void()> then) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
  timer->async_wait([timer, then = std::move(then)](const boost::system::error_code& ec) {
    if (!ec) then();
  });
}

std::int64_t Fleet::ClockMs(const Worker& worker) const {
  return std::chrono::duration_cast<milliseconds>(Now() - worker.clock_start).count();
}

void Fleet::SetCut(std::size_t number, bool cut) {
  workers_[number].cut = cut;
  record_.Write((cut ? "cut off " : "reachable again ") + workers_[number].id);
}

void Fleet::Crash(std::size_t number) {
  Worker& worker = workers_[number];
  if (!worker.up) return;
  ++crashes_;
  record_.Write("crash of " + worker.id + " with " + std::to_string(worker.runs.size()) + " runs");
  for (const auto& [id, run] : worker.runs) NoteEnd(id, number);
  worker.up = false;
  worker.runs.clear();
  worker.closed.clear();
  worker.ends.clear();
  worker.last_end = 0;
  worker.fence = 0;
  if (worker.waiting_hold) LoseAnswer(worker.waiting_hold);
  worker.waiting_hold = nullptr;
  ++worker.hold_number;
}

void Fleet::Restart(std::size_t number) {
  Worker& worker = workers_[number];
  worker.up = true;
  ++worker.lifetime;
  last_born_ = std::max(UnixMs(), last_born_ + 1);
  worker.born = last_born_;
  worker.clock_start = Now();
  worker.lease_end = Now();
  worker.sequence = 0;
  // A new lifetime picks any of the control addresses first.
  worker.next_control = static_cast<std::size_t>(worker.born);
  record_.Write("start of worker " + worker.id + " born " + std::to_string(worker.born));
  SendHeartbeat(number);
}

void Fleet::EndNow(std::size_t number, const std::string& task, std::uint64_t run,
                   const std::string& how) {
  if (!workers_[number].runs.contains({task, run})) return;
  EndRun(number, {task, run}, how);
  AnswerHold(number);
}

void Fleet::LoseAnswer(const Respond& respond) { lost_answers_.emplace_back(Now(), respond); }

void Fleet::ExtendLease(Worker* worker, std::int64_t expires_at_ms) {
  const SteadyTime asked = worker->clock_start + milliseconds(expires_at_ms);
  worker->lease_end = std::max(worker->lease_end, std::min(asked, Now() + setup_.hold_max));
}

void Fleet::Answer(std::size_t number, const Respond& respond, int status, json body) {
  const Worker& worker = workers_[number];
  if (worker.cut || !worker.up) {
    LoseAnswer(respond);
    return;
  }
  body["clock-ms"] = ClockMs(worker);
  respond(status, body.dump());
}

void Fleet::Handle(std::size_t number, const OrderRequest& request, const Respond& respond) {
  Worker& worker = workers_[number];
  // What is sent to a worker that is down or cut off gets no answer and has no effect.
  if (worker.cut || !worker.up) {
    LoseAnswer(respond);
    return;
  }
  const auto expected = request.headers.find("x-parsleyline-expect-instance");
  if (expected != request.headers.end() && expected->second != worker.id) {
    return Answer(number, respond, 421, json::object());
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return Answer(number, respond, 400, json::object());
  if (request.path == "/parsleyline/run-start") return OnStart(number, body, respond);
  if (request.path == "/parsleyline/run-stop") return OnStop(number, body, respond);
  if (request.path == "/parsleyline/hold") return OnHold(number, body, respond);
  Answer(number, respond, 404, json::object());
}

void Fleet::OnStart(std::size_t number, const json& body, const Respond& respond) {
  Worker& worker = workers_[number];
  const std::uint64_t fence = body.value("fencing-token", std::uint64_t{0});
  if (fence < worker.fence) return Answer(number, respond, 409, {{"reason", "fence"}});
  worker.fence = fence;
  ExtendLease(&worker, body.value("expires-at-ms", std::int64_t{0}));
  const std::string task = body.value("task-id", "");
  const std::uint64_t run = body.value("run-id", std::uint64_t{0});
  const RunId id{task, run};
  if (worker.runs.contains(id)) return Answer(number, respond, 200, json::object());
  const auto closed = worker.closed.find(task);
  if (closed != worker.closed.end() && run <= closed->second) {
    return Answer(number, respond, 409, {{"reason", "old"}});
  }
  if (worker.lease_end <= Now()) return Answer(number, respond, 409, {{"reason", "late"}});
  ActiveRun started;
  started.started = Now();
  started.work = milliseconds(std::atoll(body.value("spec", "0").c_str()));
  worker.runs[id] = started;
  ++starts_;
  record_.Write("start " + task + " run " + std::to_string(run) + " on " + worker.id + " born " +
                std::to_string(worker.born));
  auto& active = active_[task];
  if (!active.empty()) {
    ++overlaps_;
    overlap_since_.try_emplace(task, Now());
    for (const auto& [other, other_run] : active) {
      record_.Write("TWICE " + task + ": run " + std::to_string(run) + " starts on " + worker.id +
                    " while run " + std::to_string(other_run) + " is active on " +
                    workers_[other].id + ", which is up");
    }
  }
  active.emplace(number, run);
  Answer(number, respond, 200, json::object());
  if (on_start) on_start(number, task, run);
}

void Fleet::OnStop(std::size_t number, const json& body, const Respond& respond) {
  Worker& worker = workers_[number];
  const std::uint64_t fence = body.value("fencing-token", std::uint64_t{0});
  if (fence < worker.fence) return Answer(number, respond, 409, {{"reason", "fence"}});
  worker.fence = fence;
  const RunId id{body.value("task-id", ""), body.value("run-id", std::uint64_t{0})};
  std::uint64_t& closed = worker.closed[id.first];
  closed = std::max(closed, id.second);
  const auto run = worker.runs.find(id);
  if (run != worker.runs.end() && !run->second.stopping) {
    run->second.stopping = true;
    run->second.stop_requested = Now();
    record_.Write("stop " + id.first + " run " + std::to_string(id.second) + " on " + worker.id);
  }
  Answer(number, respond, 200, json::object());
}

void Fleet::OnHold(std::size_t number, const json& body, const Respond& respond) {
  Worker& worker = workers_[number];
  const std::uint64_t fence = body.value("fencing-token", std::uint64_t{0});
  if (fence < worker.fence) return Answer(number, respond, 409, {{"reason", "fence"}});
  worker.fence = fence;
  const SteadyTime before = worker.lease_end;
  if (body.contains("expires-at-ms")) ExtendLease(&worker, body["expires-at-ms"]);
  if (before <= Now()) {
    record_.Write("hold on " + worker.id + " born " + std::to_string(worker.born) + " at clock " +
                  std::to_string(ClockMs(worker)) + " with expires-at-ms " +
                  std::to_string(body.value("expires-at-ms", std::int64_t{0})));
  }
  const std::uint64_t acknowledged = body.value("ack-seq", std::uint64_t{0});
  while (!worker.ends.empty() && worker.ends.front().number <= acknowledged) {
    worker.ends.pop_front();
  }
  if (worker.waiting_hold) AnswerHold(number);
  worker.waiting_hold = respond;
  const std::uint64_t hold = ++worker.hold_number;
  const milliseconds wait(std::min<std::int64_t>(body.value("wait-ms", std::int64_t{0}), 2000));
  if (wait <= milliseconds(0) || !worker.ends.empty()) return AnswerHold(number);
  RunAfter(wait, [this, number, hold] {
    if (workers_[number].hold_number == hold) AnswerHold(number);
  });
}

void Fleet::AnswerHold(std::size_t number) {
  Worker& worker = workers_[number];
  if (!worker.waiting_hold) return;
  const Respond respond = std::exchange(worker.waiting_hold, nullptr);
  ++worker.hold_number;
  json active = json::array();
  for (const auto& [id, run] : worker.runs) {
    const auto passed = std::chrono::duration_cast<milliseconds>(Now() - run.started);
    const auto percent =
        std::min<std::int64_t>(99, passed * 100 / std::max(run.work, milliseconds(1)));
    active.push_back({id.first, id.second, "", percent, 1000});
  }
  json finished = json::array();
  for (const EndRow& it : worker.ends) {
    if (finished.size() >= kMaxListedEnds) break;
    finished.push_back({it.number, it.task, it.run, it.how, ""});
  }
  Answer(number, respond, 200, {{"active", active}, {"finished", finished}, {"born", worker.born}});
}

void Fleet::NoteEnd(const RunId& id, std::size_t number) {
  auto& active = active_[id.first];
  active.erase({number, id.second});
  const auto overlap = overlap_since_.find(id.first);
  if (overlap != overlap_since_.end() && active.size() < 2) {
    const auto length = std::chrono::duration_cast<milliseconds>(Now() - overlap->second);
    longest_overlap_ = std::max(longest_overlap_, length);
    record_.Write("TWICE " + id.first + ": both were active for " + std::to_string(length.count()) +
                  " ms");
    overlap_since_.erase(overlap);
  }
  if (active.empty()) active_.erase(id.first);
}

void Fleet::EndRun(std::size_t number, const RunId& id, const std::string& how) {
  Worker& worker = workers_[number];
  worker.runs.erase(id);
  std::uint64_t& closed = worker.closed[id.first];
  closed = std::max(closed, id.second);
  worker.ends.push_back({++worker.last_end, id.first, id.second, how});
  ++ends_by_job_[JobOf(id.first)][how];
  record_.Write("end " + id.first + " run " + std::to_string(id.second) + " on " + worker.id +
                ": " + how);
  NoteEnd(id, number);
}

std::uint64_t Fleet::EndCount(const std::string& job, const std::string& how) const {
  const auto ends = ends_by_job_.find(job);
  if (ends == ends_by_job_.end()) return 0;
  const auto count = ends->second.find(how);
  return count == ends->second.end() ? 0 : count->second;
}

void Fleet::Tick() {
  const SteadyTime now = Now();
  while (!lost_answers_.empty() && now - lost_answers_.front().first >= kLongestWait) {
    lost_answers_.pop_front();
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    Worker& worker = workers_[i];
    std::vector<std::pair<RunId, std::string>> due;
    for (const auto& [id, run] : worker.runs) {
      if (worker.lease_end <= now) {
        due.emplace_back(id, "lapsed");
      } else if (run.stopping) {
        if (now - run.stop_requested >= kStopTime) due.emplace_back(id, "stopped");
      } else if (now - run.started >= run.work) {
        due.emplace_back(id, "done");
      }
    }
    for (const auto& [id, how] : due) EndRun(i, id, how);
    if (!due.empty()) AnswerHold(i);
  }
  tick_.expires_after(kTick);
  tick_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) Tick();
  });
}

void Fleet::ScheduleHeartbeat(std::size_t number, milliseconds delay) {
  const std::uint64_t lifetime = workers_[number].lifetime;
  RunAfter(delay, [this, number, lifetime] {
    if (workers_[number].up && workers_[number].lifetime == lifetime) SendHeartbeat(number);
  });
}

void Fleet::SendHeartbeat(std::size_t number) {
  SendHeartbeatTo(number, workers_[number].lifetime, 0);
}

// Calls one control address after the other until one acknowledges the heartbeat.
void Fleet::SendHeartbeatTo(std::size_t number, std::uint64_t lifetime, std::size_t attempts) {
  Worker& worker = workers_[number];
  if (!worker.up || worker.lifetime != lifetime) return;
  const auto next = [this, number, lifetime, attempts] {
    ++workers_[number].next_control;
    SendHeartbeatTo(number, lifetime, attempts + 1);
  };
  // A heartbeat of a worker that is cut off is lost, and the worker waits for the answer in vain.
  if (worker.cut) return RunAfter(kHeartbeatTimeout, next);
  json body{{"service", setup_.service},
            {"addr", worker.address},
            {"zone", "zone-" + std::to_string(number % 3)},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold-left-ms", 0},
            {"capacity", {{"cpu", setup_.cpu}, {"mem-mb", setup_.memory_mb}, {"gpu", 0}}},
            {"labels", {"a", "r1-" + std::to_string(number / setup_.rack)}},
            {"clock-ms", ClockMs(worker)},
            {"seq", ++worker.sequence},
            {"born", worker.born}};
  ClientRequest request;
  request.method = "PUT";
  request.target = "/parsleyline/instances/" + worker.id;
  request.headers["Content-Type"] = "application/json";
  request.body = body.dump();
  const std::size_t control = (number + worker.next_control) % control_.size();
  control_[control]->Send(std::move(request), kHeartbeatTimeout,
                          [this, number, lifetime, next](const ClientResult& result) {
                            if (workers_[number].lifetime != lifetime) return;
                            const bool acknowledged = result && result->status >= 200 &&
                                                      result->status < 300 && !workers_[number].cut;
                            if (acknowledged) return ScheduleHeartbeat(number, setup_.heartbeat);
                            RunAfter(milliseconds(50), next);
                          });
}

}  // namespace review
