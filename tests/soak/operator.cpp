#include "tests/soak/operator.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "tests/soak/callers.h"
#include "tests/support/run_after.h"

namespace parsleyline::testing {
namespace {

using nlohmann::json;

constexpr char kPath[] = "/parsleyline/config";
constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kRetryDelay{200};
constexpr milliseconds kReadInterval{500};
constexpr std::uint32_t kTimeoutMs = 3000;
// Make the configuration as large as that of a large cell.
constexpr std::size_t kIdleRoutes = 400;

}  // namespace

Operator::Operator(boost::asio::io_context& io, const std::vector<std::string>& control,
                   std::string pool, RunOracle& oracle)
    : io_(io), pool_(std::move(pool)), oracle_(oracle) {
  for (const std::string& it : control) {
    const auto colon = it.rfind(':');
    control_.push_back(std::make_unique<http::Client>(
        io_, it.substr(0, colon), static_cast<std::uint16_t>(std::stoul(it.substr(colon + 1)))));
  }
}

Operator::~Operator() = default;

void Operator::Send(const std::string& method, std::string body,
                    std::function<void(const http::ClientResult&)> done) {
  http::ClientRequest request;
  request.method = method;
  request.target = kPath;
  request.body = std::move(body);
  control_[next_++ % control_.size()]->Send(std::move(request), kCallTimeout, std::move(done));
}

void Operator::Start() {
  ChangeConfig();
  ReadPeriodically();
}

void Operator::ChangeConfig() {
  if (acknowledged_version_ < version_) return;
  version_ += 1 + version_ % 3;
  SendConfig();
}

void Operator::SendConfig() {
  const std::uint64_t version = version_;
  json routes =
      json::parse(RoutesJson(pool_, kTimeoutMs + static_cast<std::uint32_t>(version % 5)));
  for (std::size_t i = 0; i < kIdleRoutes; ++i) {
    json idle = routes.front();
    idle["name"] = "idle-" + std::to_string(i);
    idle["host"] = "idle-" + std::to_string(i) + ".example";
    routes.push_back(idle);
  }
  const json body{
      {"version", version},
      {"routes", routes},
      {"services", {{{"name", pool_}, {"enforce-capacity", false}, {"standby", false}}}},
      {"limits", json::object()}};
  Send("PUT", body.dump(), [this, version](const http::ClientResult& result) {
    const int status = result ? result->status : 0;
    if (status == 200) {
      acknowledged_version_ = version;
      return;
    }
    if (status >= 400 && status < 500) {
      oracle_.RecordViolation("CONFIG", "version " + std::to_string(version) + " got HTTP status " +
                                            std::to_string(status));
    }
    RunAfter(io_, kRetryDelay, [this] { SendConfig(); });
  });
}

void Operator::ReadPeriodically() {
  ReadConfig([this] { RunAfter(io_, kReadInterval, [this] { ReadPeriodically(); }); });
}

void Operator::ReadConfig(std::function<void()> done) {
  const std::uint64_t oldest = acknowledged_version_;
  Send("GET", "", [this, oldest, done = std::move(done)](const http::ClientResult& result) mutable {
    if (!result || result->status != 200) {
      return RunAfter(io_, kRetryDelay, [this, done = std::move(done)] { ReadConfig(done); });
    }
    const json body = json::parse(result->body, nullptr, false);
    const std::uint64_t found =
        body.is_object() ? body.value("version", std::uint64_t{0}) : std::uint64_t{0};
    if (found < oldest || found > version_) {
      oracle_.RecordViolation("CONFIG", "version " + std::to_string(found) + " was read after " +
                                            std::to_string(oldest) + " was acknowledged");
    }
    done();
  });
}

}  // namespace parsleyline::testing
