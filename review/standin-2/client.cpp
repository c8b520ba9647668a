#include "review/standin-2/client.h"

#include <cinttypes>
#include <cstdio>
#include <random>
#include <utility>

namespace review {
namespace {

using nlohmann::json;
using parsleyline::http::ClientRequest;
using parsleyline::http::ClientResult;

constexpr char kHost[] = "queues.example";
constexpr milliseconds kTimeLimit{3000};
constexpr milliseconds kControlTimeLimit{1000};
constexpr milliseconds kRetryDelay{100};
constexpr std::size_t kMaxSubmits = 5;
constexpr std::size_t kMaxQueries = 20;

}  // namespace

Client::Client(boost::asio::io_context& io, const Cell& cell, Record& record)
    : io_(io), record_(record), next_job_(std::random_device()()) {
  parsleyline::http::ClientOptions options;
  options.max_connections = 200;
  for (std::size_t i = 0; i < cell.cores(); ++i) {
    control_.push_back(
        std::make_unique<parsleyline::http::Client>(io, cell.Ip(i), cell.control_port(), options));
  }
  for (std::size_t i = 0; i < cell.entries(); ++i) {
    entries_.push_back(std::make_unique<parsleyline::http::Client>(io, cell.Ip(cell.cores() + i),
                                                                   cell.front_port(), options));
  }
}

std::string Client::NewJobId() {
  char id[17];
  std::snprintf(id, sizeof(id), "%016" PRIx64, ++next_job_);
  return id;
}

void Client::RunAfter(milliseconds delay, std::function<void()> then) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
  timer->async_wait([timer, then = std::move(then)](const boost::system::error_code& ec) {
    if (!ec) then();
  });
}

void Client::Send(std::size_t entry, const std::string& method, const std::string& target,
                  const std::string& body, std::function<void(int, const std::string&)> done) {
  ClientRequest request;
  request.method = method;
  request.target = target;
  request.headers["Host"] = kHost;
  request.headers["Content-Type"] = "application/json";
  request.headers["X-Parsleyline-Deadline-Ms"] = std::to_string(kTimeLimit.count());
  request.body = body;
  entries_[entry]->Send(std::move(request), kTimeLimit,
                        [done = std::move(done)](const ClientResult& result) {
                          if (!result) return done(0, "");
                          done(result->status, result->body);
                        });
}

void Client::Submit(const std::string& prefix, const std::string& job, const json& body,
                    std::function<void(int)> done) {
  SubmitAt(0, prefix + job, body.dump(), [this, job, done = std::move(done)](int status) {
    record_.Write("answer to job " + job + ": " + std::to_string(status));
    done(status);
  });
  record_.Write("hand in job " + job);
}

void Client::SubmitAt(std::size_t attempt, const std::string& target, const std::string& body,
                      std::function<void(int)> done) {
  Send(next_entry_++ % entries_.size(), "POST", target, body,
       [this, attempt, target, body, done = std::move(done)](int status, const std::string&) {
         const bool again = status == 0 || status == 502 || status == 504;
         if (!again || attempt + 1 >= kMaxSubmits) return done(status);
         RunAfter(kRetryDelay, [this, attempt, target, body, done] {
           SubmitAt(attempt + 1, target, body, done);
         });
       });
}

void Client::Query(const std::string& prefix, const std::string& job,
                   std::function<void(const std::string&)> done) {
  QueryAt(0, prefix + job, std::move(done));
}

void Client::QueryAt(std::size_t attempt, const std::string& target,
                     std::function<void(const std::string&)> done) {
  Send(next_entry_++ % entries_.size(), "GET", target, "",
       [this, attempt, target, done = std::move(done)](int status, const std::string& body) {
         if (status == 410) return done("gone");
         const json reply = json::parse(body, nullptr, false);
         if (status == 200 && reply.is_object()) return done(reply.value("state", ""));
         if (attempt + 1 >= kMaxQueries) return done("");
         RunAfter(kRetryDelay,
                  [this, attempt, target, done] { QueryAt(attempt + 1, target, done); });
       });
}

void Client::PutConfig(const json& config, std::function<void()> done) {
  PutConfigAt(0, config.dump(), std::move(done));
}

void Client::PutConfigAt(std::size_t attempt, const std::string& body, std::function<void()> done) {
  ClientRequest request;
  request.method = "PUT";
  request.target = "/parsleyline/config";
  request.headers["Content-Type"] = "application/json";
  request.body = body;
  control_[attempt % control_.size()]->Send(
      std::move(request), kControlTimeLimit,
      [this, attempt, body, done = std::move(done)](const ClientResult& result) {
        if (result && result->status == 200) {
          record_.Write("configuration acknowledged");
          return done();
        }
        RunAfter(kRetryDelay,
                 [this, attempt, body, done] { PutConfigAt(attempt + 1, body, done); });
      });
}

json OneRoute(std::uint64_t version, const std::string& prefix, int attempts) {
  return {{"version", version},
          {"routes",
           {{{"name", "queue"},
             {"host", kHost},
             {"prefix", prefix},
             {"kind", "mutating"},
             {"timeout-ms", 3000},
             {"target-latency-ms", 3000},
             {"priority", 1},
             {"service", "workers"},
             {"attempts", attempts},
             {"slack-factor", 4.0}}}},
          {"services",
           {{{"name", "workers"},
             {"health-path", "/healthz"},
             {"max-conns", 64},
             {"protocol", "h1"},
             {"tls", false},
             {"enforce-capacity", false},
             {"standby", false}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 262144},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

}  // namespace review
