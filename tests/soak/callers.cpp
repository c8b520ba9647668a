#include "tests/soak/callers.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "tests/support/run_after.h"

namespace parsleyline::testing {
namespace {

using nlohmann::json;

constexpr char kHost[] = "soak.example";
constexpr milliseconds kCallTimeout{3000};
constexpr milliseconds kPollInterval{250};
constexpr milliseconds kRetryDelay{150};
constexpr std::uint32_t kMaxRejections = 3;
constexpr std::uint32_t kAttempts = 3;
constexpr std::uint32_t kPermille = 1000;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

struct Queue {
  const char* name;
  std::uint32_t priority;
  bool gang;
  std::int64_t mean_run_time_ms;
  std::int64_t cpu;
};

constexpr Queue kQueues[] = {{"lookups", 0, false, 200, 1000},
                             {"gangs", 1, true, 800, 3000},
                             {"batch", 2, false, 500, 1500}};

}  // namespace

std::string RoutesJson(const std::string& pool, std::uint32_t timeout_ms) {
  json routes = json::array();
  for (const Queue& it : kQueues) {
    routes.push_back(
        {{"name", it.name},
         {"host", kHost},
         {"prefix", '/' + std::string(it.name) + '/'},
         {"kind", "mutating"},
         {"timeout-ms", timeout_ms},
         {"target-latency-ms", 1000},
         {"priority", it.priority},
         {"service", pool},
         {"attempts", kAttempts},
         {"slack-factor", 4.0},
         {"advisor", {{"decision-ms", 5.0}, {"per-worker-ms", 0.1}, {"valid-ms", 2000}}}});
  }
  return routes.dump();
}

Callers::Callers(boost::asio::io_context& io, CallerSetup setup, RunOracle& oracle)
    : io_(io),
      setup_(std::move(setup)),
      oracle_(oracle),
      random_(setup_.seed),
      next_id_(std::uint64_t{setup_.seed} << 32U) {
  for (const std::string& it : setup_.entries) {
    const auto colon = it.rfind(':');
    http::ClientOptions options;
    options.max_connections = 256;
    entries_.push_back(std::make_unique<http::Client>(
        io_, it.substr(0, colon), static_cast<std::uint16_t>(std::stoul(it.substr(colon + 1))),
        options));
  }
}

Callers::~Callers() = default;

void Callers::Start() { SubmitNewJob(); }

void Callers::SubmitNewJob() {
  if (!accepting_new_jobs_) return;
  std::exponential_distribution<double> gap(setup_.jobs_per_second);
  RunAfter(io_, milliseconds(static_cast<std::int64_t>(gap(random_) * 1000)),
           [this] { SubmitNewJob(); });
  char id[17];
  std::snprintf(id, sizeof(id), "%016" PRIx64, next_id_++);
  Job& job = jobs_[id];
  const std::uint32_t draw = random_() % 10;
  job.queue = kQueues[draw < 6 ? 0 : draw < 8 ? 1 : 2].name;
  job.submitted_at = std::chrono::steady_clock::now();
  job.to_be_cancelled = random_() % kPermille < setup_.cancelled_permille;
  job.body = CreateJob(id, job.queue);
  Submit(id);
}

std::string Callers::CreateJob(const std::string& id, const std::string& queue) {
  const Queue& queue_kind = *std::find_if(std::begin(kQueues), std::end(kQueues),
                                          [&queue](const Queue& it) { return queue == it.name; });
  SubmittedJob submitted;
  submitted.payload = "payload of " + id;
  submitted.max_attempts = kAttempts;
  json steps = json::array();
  const std::uint32_t count = 1 + random_() % 2;
  for (std::uint32_t i = 0; i < count; ++i) {
    SubmittedStep step;
    step.task_count = 1 + static_cast<std::uint32_t>(random_() % setup_.max_step_tasks);
    step.cpu = queue_kind.cpu;
    step.gang = queue_kind.gang;
    step.run_time =
        milliseconds(queue_kind.mean_run_time_ms / 2 +
                     static_cast<std::int64_t>(random_() % queue_kind.mean_run_time_ms));
    step.depends_on_previous = i > 0;
    step.always_fails = i == 0 && random_() % kPermille < setup_.always_failing_permille;
    // Not drawn, so that a seed still submits the jobs that it submitted before there were such.
    step.deadly = i == 0 && std::hash<std::string>{}(id) % kPermille < setup_.deadly_permille;
    json body{{"count", step.task_count},
              {"cpu", step.cpu},
              {"mem-mb", step.memory_mb},
              {"estimate-ms", step.run_time.count()}};
    if (i > 0) body["depends-on"] = {i - 1};
    if (step.gang) body["gang"] = true;
    steps.push_back(std::move(body));
    submitted.steps.push_back(step);
  }
  const std::string payload = submitted.payload;
  oracle_.RecordSubmission(id, std::move(submitted));
  return json{{"spec", payload}, {"job-steps", std::move(steps)}}.dump();
}

void Callers::Send(const std::string& method, const std::string& id, std::string body,
                   std::function<void(const http::ClientResult&)> done) {
  http::ClientRequest request;
  request.method = method;
  request.target = '/' + jobs_.at(id).queue + '/' + id;
  request.headers["Host"] = kHost;
  request.headers["X-Parsleyline-Deadline-Ms"] = std::to_string(kCallTimeout.count());
  request.body = std::move(body);
  entries_[next_entry_++ % entries_.size()]->Send(std::move(request), kCallTimeout,
                                                  std::move(done));
}

void Callers::Submit(const std::string& id) {
  Job& job = jobs_.at(id);
  ++job.attempts;
  Send("POST", id, job.body,
       [this, id](const http::ClientResult& result) { OnSubmitted(id, result); });
}

void Callers::OnSubmitted(const std::string& id, const http::ClientResult& result) {
  Job& job = jobs_.at(id);
  const int status = result ? result->status : 0;
  if (status >= 200 && status < 300) {
    job.accepted = true;
    oracle_.RecordAccepted(id);
    if (job.to_be_cancelled) RunAfter(io_, kRetryDelay, [this, id] { Cancel(id); });
    return RunAfter(io_, kPollInterval, [this, id] { QueryState(id); });
  }
  const bool never_sent = !result && result.error().sent == http::Sent::kNo;
  const bool rejected = status == kTooManyRequests || status == kUnavailable;
  if (!rejected && !never_sent) job.may_be_accepted = true;
  if (rejected && job.attempts >= kMaxRejections && !job.may_be_accepted) {
    oracle_.RecordRejected(id);
    jobs_.erase(id);
    return;
  }
  if (status >= 400 && !rejected && status < 500) {
    oracle_.RecordViolation(
        "WIRE", "the submission of " + id + " got HTTP status " + std::to_string(status));
  }
  RunAfter(io_, kRetryDelay * std::min<std::uint32_t>(job.attempts, 8), [this, id] { Submit(id); });
}

void Callers::Cancel(const std::string& id) {
  if (!jobs_.contains(id)) return;
  Send("DELETE", id, "", [this, id](const http::ClientResult& result) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    const int status = result ? result->status : 0;
    if ((status >= 200 && status < 300) || status == kGone) {
      it->second.cancelled = true;
    } else {
      RunAfter(io_, kRetryDelay, [this, id] { Cancel(id); });
    }
  });
}

void Callers::QueryState(const std::string& id) {
  if (!jobs_.contains(id)) return;
  Send("GET", id, "", [this, id](const http::ClientResult& result) { OnState(id, result); });
}

void Callers::OnState(const std::string& id, const http::ClientResult& result) {
  Job& job = jobs_.at(id);
  const int status = result ? result->status : 0;
  if (status == kGone) {
    oracle_.RecordViolation("LOST", id + " was accepted but is reported as unknown");
  }
  const json body = status == 200 ? json::parse(result->body, nullptr, false) : json();
  const std::string state = body.is_object() ? body.value("state", "") : "";
  if (status == 200 && state.empty()) {
    oracle_.RecordViolation("WIRE", "the response for " + id + " has no state: " + result->body);
  }
  if (state == "canceled" && !job.to_be_cancelled) {
    oracle_.RecordViolation("LOST", id + " is reported as canceled but was not cancelled");
  }
  const bool ended = state == "complete" || state == "failed" || state == "canceled";
  if (!ended || (job.to_be_cancelled && !job.cancelled)) {
    return RunAfter(io_, kPollInterval, [this, id] { QueryState(id); });
  }
  if (state == "complete") oracle_.RecordComplete(id);
  if (state == "failed") oracle_.RecordFailed(id);
  if (state == "canceled") oracle_.RecordCancelled(id);
  const std::chrono::duration<double, std::milli> latency =
      std::chrono::steady_clock::now() - job.submitted_at;
  if (state == "complete") {
    ++complete_;
    latencies_.push_back(latency.count());
  }
  jobs_.erase(id);
}

std::pair<double, double> Callers::Latencies() const {
  if (latencies_.empty()) return {0, 0};
  std::vector<double> sorted = latencies_;
  std::sort(sorted.begin(), sorted.end());
  return {sorted[sorted.size() / 2], sorted[sorted.size() * 99 / 100]};
}

}  // namespace parsleyline::testing
