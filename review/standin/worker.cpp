#include "review/standin/worker.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace parsleyline::review {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxLeaseMs = 10'000;  // hold-max-ms
constexpr Ms kStopTime{100};                  // at most kill-grace-ms
constexpr Ms kTick{5};
constexpr Ms kReportTimeout{1000};
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::size_t kMaxListedEnds = 500;
constexpr Ms kDefaultRunTime{500};

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Ms RunTime(const std::string& spec) {
  const std::string key = "run-ms=";
  const auto at = spec.find(key);
  return at == std::string::npos ? kDefaultRunTime
                                 : Ms(std::strtol(spec.c_str() + at + key.size(), nullptr, 10));
}

std::string Describe(const SeenRun& it) {
  return it.task + " run " + std::to_string(it.run) + " on " + it.worker + " (born " +
         std::to_string(it.born) + ")";
}

}  // namespace

std::size_t RunLog::Start(const SeenRun& run) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(run);
  record_.Add("worker: begins " + Describe(run));
  return runs_.size() - 1;
}

void RunLog::End(std::size_t number, const std::string& how) {
  const std::lock_guard lock(mutex_);
  SeenRun& run = runs_[number];
  run.ended = Clock::now();
  run.how = how;
  record_.Add("worker: ends " + Describe(run) + ": " + how);
}

std::vector<SeenRun> RunLog::Runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::vector<SeenRun> RunLog::RunsOf(const std::string& job) const {
  std::vector<SeenRun> found;
  for (const SeenRun& it : Runs()) {
    if (it.task.starts_with(job + '.')) found.push_back(it);
  }
  return found;
}

std::vector<std::string> RunLog::Overlaps() const {
  std::vector<std::string> found;
  const std::vector<SeenRun> runs = Runs();
  const Time now = Clock::now();
  const auto end = [now](const SeenRun& it) { return it.how.empty() ? now : it.ended; };
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t k = i + 1; k < runs.size(); ++k) {
      if (runs[i].task != runs[k].task) continue;
      const Time from = std::max(runs[i].started, runs[k].started);
      const Time to = std::min(end(runs[i]), end(runs[k]));
      if (from >= to) continue;
      found.push_back(Describe(runs[i]) + " and " + Describe(runs[k]) + " at the same time, for " +
                      std::to_string(std::chrono::duration_cast<Ms>(to - from).count()) + " ms");
    }
  }
  return found;
}

Worker::Worker(WorkerSettings settings, RunLog& log, Record& record)
    : settings_(std::move(settings)), log_(log), record_(record) {}

Worker::~Worker() { Stop("lost"); }

bool Worker::Start() {
  {
    const std::lock_guard lock(mutex_);
    born_ = std::max(UnixMs(), born_ + 1);
    sequence_ = 0;
    clock_start_ = Clock::now();
    fence_ = 0;
    lease_end_ = 0;
    closed_.clear();
    finished_.clear();
    last_number_ = 0;
    draining_ = false;
    up_ = true;
  }
  server_ = std::make_unique<HttpServer>(
      settings_.address, [this](const Request& request) { return Handle(request); });
  if (!server_->IsListening()) return false;
  record_.Add("worker: " + settings_.id + " starts, born " + std::to_string(born_));
  running_ = true;
  ticker_ = std::thread([this] {
    while (running_) {
      std::this_thread::sleep_for(kTick);
      EndDueRuns();
    }
  });
  reporter_ = std::thread([this] { SendReports(); });
  return true;
}

void Worker::Stop(const char* how) {
  if (!running_.exchange(false)) return;
  server_->Stop();
  {
    const std::lock_guard lock(mutex_);
    up_ = false;
    for (const auto& [id, run] : active_) log_.End(run.seen, how);
    active_.clear();
  }
  changed_.notify_all();
  ticker_.join();
  reporter_.join();
  server_.reset();
}

void Worker::Crash() {
  record_.Add("worker: " + settings_.id + " crashes");
  Stop("lost");
}

bool Worker::Drain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  for (const Address& it : settings_.control) {
    if (Report(it)) return true;
  }
  return false;
}

void Worker::Leave(const std::vector<Address>& control) {
  for (const Address& it : control) {
    Request request{"DELETE", "/parsleyline/instances/" + settings_.id, {}, ""};
    record_.Add("worker: " + settings_.id + " sends DELETE to " + it.Text());
    const int status = Call(it, request, kReportTimeout).status;
    record_.Add("worker: " + settings_.id + " gets " +
                (status == 0 ? "no response" : std::to_string(status)));
    if (status / 100 == 2) break;
  }
  record_.Add("worker: " + settings_.id + " ends");
  Stop("lost");
}

bool Worker::Report(const Address& control) {
  Request request{"PUT", "/parsleyline/instances/" + settings_.id, {}, ""};
  request.headers["Content-Type"] = "application/json";
  {
    const std::lock_guard lock(mutex_);
    json report{{"service", settings_.service},
                {"addr", settings_.address.Text()},
                {"zone", settings_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", draining_ ? "draining" : "ready"},
                {"cold-left-ms", 0},
                {"capacity", {{"cpu", settings_.cpu}, {"mem-mb", settings_.memory_mb}, {"gpu", 0}}},
                {"labels", {"a", settings_.rack}},
                {"clock-ms", ClockMs()},
                {"seq", ++sequence_},
                {"machine", "m-" + settings_.id},
                {"born", born_}};
    if (draining_) report["drain-remaining-ms"] = 2000;
    request.body = report.dump();
  }
  return Call(control, request, kReportTimeout).status / 100 == 2;
}

void Worker::SendReports() {
  std::size_t next = 0;
  while (running_) {
    for (std::size_t i = 0; i < settings_.control.size() && running_; ++i) {
      if (Report(settings_.control[next % settings_.control.size()])) break;
      ++next;
    }
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, settings_.heartbeat, [this] { return !running_; });
  }
}

std::size_t Worker::ActiveCount() const {
  const std::lock_guard lock(mutex_);
  return active_.size();
}

std::int64_t Worker::ClockMs() const {
  return std::chrono::duration_cast<Ms>(Clock::now() - clock_start_).count();
}

json Worker::Body() const { return {{"clock-ms", ClockMs()}, {"born", born_}}; }

Response Worker::Refuse(const char* reason) const {
  json body = Body();
  body["reason"] = reason;
  return {409, body.dump()};
}

void Worker::ExtendLease(std::int64_t end) {
  lease_end_ = std::max(lease_end_, std::min(end, ClockMs() + kMaxLeaseMs));
}

Response Worker::Handle(const Request& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return {400, ""};
  const auto expected = request.headers.find("x-parsleyline-expect-instance");
  if (expected != request.headers.end() && expected->second != settings_.id) {
    const std::lock_guard lock(mutex_);
    return {421, Body().dump()};
  }
  if (request.path == "/parsleyline/run-start") return OnStart(body);
  if (request.path == "/parsleyline/run-stop") return OnStop(body);
  if (request.path == "/parsleyline/hold") return OnHold(body);
  return {404, ""};
}

Response Worker::OnStart(const json& body) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t fence = body.value("fencing-token", std::uint64_t{0});
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  const RunId id{body.value("task-id", ""), body.value("run-id", std::uint64_t{0})};
  const std::int64_t expires = body.value("expires-at-ms", std::int64_t{0});
  ExtendLease(expires);
  if (active_.contains(id)) return {200, Body().dump()};
  const auto closed = closed_.find(id.first);
  if (closed != closed_.end() && id.second <= closed->second) return Refuse("old");
  if (expires <= ClockMs()) return Refuse("late");
  const Time now = Clock::now();
  ActiveRun run;
  run.length = RunTime(body.value("spec", ""));
  run.started = now;
  run.end = now + run.length;
  run.seen = log_.Start({id.first, id.second, settings_.id, born_, now, now, ""});
  active_[id] = run;
  return {200, Body().dump()};
}

Response Worker::OnStop(const json& body) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t fence = body.value("fencing-token", std::uint64_t{0});
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  const RunId id{body.value("task-id", ""), body.value("run-id", std::uint64_t{0})};
  const auto run = active_.find(id);
  if (run != active_.end()) {
    if (!run->second.stopping)
      run->second.end = std::min(run->second.end, Clock::now() + kStopTime);
    run->second.stopping = true;
  } else {
    closed_[id.first] = std::max(closed_[id.first], id.second);
  }
  return {200, Body().dump()};
}

Response Worker::OnHold(const json& body) {
  std::unique_lock lock(mutex_);
  const std::uint64_t fence = body.value("fencing-token", std::uint64_t{0});
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  ExtendLease(body.value("expires-at-ms", std::int64_t{0}));
  const std::uint64_t acknowledged = body.value("ack-seq", std::uint64_t{0});
  while (!finished_.empty() && finished_.front().number <= acknowledged) finished_.pop_front();
  const Ms wait(std::min(body.value("wait-ms", std::int64_t{0}), kMaxWaitMs));
  const std::uint64_t last = last_number_;
  if (finished_.empty()) {
    changed_.wait_for(lock, wait, [this, last] { return !up_ || last_number_ != last; });
  }
  json reply = Body();
  reply["active"] = json::array();
  reply["finished"] = json::array();
  const Time now = Clock::now();
  for (const auto& [id, run] : active_) {
    const auto percent = std::min<std::int64_t>(
        99, (now - run.started) * 100 / std::max<Clock::duration>(run.length, Ms(1)));
    reply["active"].push_back({id.first, id.second, "", percent, 1});
  }
  for (const FinishedRun& it : finished_) {
    if (reply["finished"].size() == kMaxListedEnds) break;
    reply["finished"].push_back({it.number, it.id.first, it.id.second, it.how, ""});
  }
  return {200, reply.dump()};
}

void Worker::EndRun(const RunId& id, const std::string& how) {
  log_.End(active_.at(id).seen, how);
  active_.erase(id);
  closed_[id.first] = std::max(closed_[id.first], id.second);
  finished_.push_back({++last_number_, id, how});
  changed_.notify_all();
}

void Worker::EndDueRuns() {
  const std::lock_guard lock(mutex_);
  if (!up_) return;
  const Time now = Clock::now();
  const bool lapsed = ClockMs() >= lease_end_;
  std::vector<std::pair<RunId, std::string>> due;
  for (const auto& [id, run] : active_) {
    if (lapsed) {
      due.emplace_back(id, "lapsed");
    } else if (now >= run.end) {
      due.emplace_back(id, run.stopping ? "stopped" : "done");
    }
  }
  for (const auto& [id, how] : due) EndRun(id, how);
}

}  // namespace parsleyline::review
