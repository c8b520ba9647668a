#include "entry/entry_service.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "entry/request_parser.h"
#include "entry/response_writer.h"
#include "wire/codec.h"
#include "wire/methods.h"

namespace parsleyline::entry {
namespace {

constexpr std::string_view kRequestsPrefix = "/v1/requests/";
constexpr Milliseconds kStopCheckInterval{10};

std::string KeyOf(const http::Request& request) {
  const auto it = request.headers.find(std::string(kIdempotencyKeyHeader));
  return it != request.headers.end() ? it->second : std::string();
}

RequestId IdOf(const http::Request& request) {
  return RequestId(request.path.substr(kRequestsPrefix.size()));
}

wire::RequestStatus RejectedStatus(const RequestId& id, const Error& error) {
  wire::RequestStatus status;
  status.id = id;
  status.state = wire::RequestState::kRejected;
  status.code = error.code;
  status.message = error.message;
  return status;
}

}  // namespace

/// One row of the routing table. Exactly one of the two handlers is set.
struct EntryService::Route {
  std::string_view method;
  std::string_view path;
  /// Whether `path` is a prefix of the request's path.
  bool is_prefix = false;
  RouteHandler handler = nullptr;
  OperatorHandler operator_handler = nullptr;

  bool Matches(const std::string& request_path) const {
    return is_prefix ? request_path.starts_with(path) : request_path == path;
  }
};

const std::vector<EntryService::Route>& EntryService::Routes() {
  using Self = EntryService;
  static const std::vector<Route> kRoutes = {
      {"POST", "/v1/requests", false, &Self::PostRequest, nullptr},
      {"GET", kRequestsPrefix, true, &Self::GetRequest, nullptr},
      {"DELETE", kRequestsPrefix, true, &Self::DeleteRequest, nullptr},
      {"POST", "/v1/announcements", false, &Self::PostAnnouncement, nullptr},
      {"GET", "/healthz", false, &Self::GetHealth, nullptr},
      {"GET", "/readyz", false, &Self::GetReadiness, nullptr},
      {"GET", "/metrics", false, &Self::GetMetrics, nullptr},
      {"GET", "/v1/workers", false, nullptr, &OperatorApi::ListWorkers},
      {"POST", "/v1/workers/", true, nullptr, &OperatorApi::ChangeWorker},
      {"GET", "/v1/queues", false, nullptr, &OperatorApi::ListQueues},
      {"GET", "/v1/status", false, nullptr, &OperatorApi::ShowStatus},
      {"GET", "/v1/settings-history", false, nullptr, &OperatorApi::ListHistory},
      {"POST", "/v1/settings/check", false, nullptr, &OperatorApi::CheckSettings},
      {"GET", "/v1/settings", true, nullptr, &OperatorApi::GetSettings},
      {"PUT", "/v1/settings", true, nullptr, &OperatorApi::EditSettings},
      {"DELETE", "/v1/settings", true, nullptr, &OperatorApi::EditSettings},
  };
  return kRoutes;
}

EntryService::EntryService(boost::asio::io_context& io, EntryOptions options, const Clock& clock,
                           SchedulerClient& schedulers, WorkerGateway& gateway,
                           RetryBudget& retries, const transport::RpcOptions& rpc_options)
    : options_(std::move(options)),
      context_{io, options_, clock, schedulers, gateway, retries, counters_},
      cache_(clock),
      ids_(options_.domains),
      operators_(context_, cache_),
      announcements_(std::make_shared<AnnouncementBatcher>(context_)),
      watcher_(std::make_shared<SettingsWatcher>(context_, cache_)),
      forwarder_(context_, rpc_options) {}

EntryService::~EntryService() = default;

void EntryService::Start() {
  watcher_->Start();
  SendHeartbeat();
}

bool EntryService::IsReady() const { return !stopping_ && registered_ && watcher_->HasReply(); }

void EntryService::Handle(const http::Request& request, http::ResponseCallback respond) {
  bool path_known = false;
  for (const Route& route : Routes()) {
    if (!route.Matches(request.path)) continue;
    path_known = true;
    if (route.method != request.method) continue;
    if (route.handler != nullptr) return (this->*route.handler)(request, std::move(respond));
    return (operators_.*route.operator_handler)(request, std::move(respond));
  }
  if (path_known) {
    return respond(http::ErrorResponse(
        {ResultCode::kMethodNotAllowed, request.path + " does not support " + request.method}));
  }
  respond(http::ErrorResponse(
      {ResultCode::kNotFound, "there is no path " + request.path + "; see docs/api.md"}));
}

Result<void> EntryService::Admit(const ParsedRequest& request, std::size_t body_bytes) const {
  if (stopping_) return Fail(ResultCode::kShuttingDown, "the entry daemon is stopping");
  if (!cache_.HasTeam(request.spec.team)) {
    return Fail(ResultCode::kUnknownTeam,
                "team " + request.spec.team.value() +
                    " is not in the settings; an operator can add /teams/" +
                    request.spec.team.value());
  }
  if (flows_.size() >= options_.max_in_flight) {
    return Fail(ResultCode::kOverloaded, "this entry daemon has " + std::to_string(flows_.size()) +
                                             " requests in flight, its limit");
  }
  if (payload_bytes_ + body_bytes > options_.max_in_flight_bytes) {
    return Fail(ResultCode::kOverloaded, "this entry daemon is at its limit of " +
                                             std::to_string(options_.max_in_flight_bytes) +
                                             " payload bytes in flight");
  }
  return {};
}

void EntryService::PostRequest(const http::Request& request, http::ResponseCallback respond) {
  const std::string key = KeyOf(request);
  const bool has_key = request.headers.contains(std::string(kIdempotencyKeyHeader));
  if (has_key) {
    if (auto checked = CheckIdempotencyKey(key); !checked) {
      return respond(http::ErrorResponse(checked.error()));
    }
  }
  auto parsed = ParseRequest(request.body);
  if (!parsed) return respond(http::ErrorResponse(parsed.error()));

  const RequestId id = has_key ? ids_.ForKey(parsed->spec.team, key) : ids_.New(options_.domain);
  if (auto admitted = Admit(*parsed, request.body.size()); !admitted) {
    Event("refuse")
        .With("request", id)
        .With("team", parsed->spec.team)
        .With("reason", Describe(admitted.error().code).name);
    ++counters_.rejected;
    return respond(WriteStatus(RejectedStatus(id, admitted.error())));
  }
  const DomainId home = ids_.HomeOf(id).value_or(options_.domain);
  if (home != options_.domain) return forwarder_.Forward(home, request, std::move(respond));
  StartFlow(id, key, std::move(*parsed), std::move(respond));
}

void EntryService::StartFlow(const RequestId& id, const std::string& key, ParsedRequest request,
                             http::ResponseCallback respond) {
  const std::uint64_t digest = request.digest;
  const std::size_t bytes = request.payload.size();
  const auto answer = [respond = std::move(respond)](const wire::RequestStatus& status) {
    respond(WriteStatus(status));
  };
  const FlowTable::FindResult found = flows_.FindOrAdd(id, [&] {
    payload_bytes_ += bytes;
    return std::make_shared<RequestFlow>(context_, id, key, std::move(request), [this, id, bytes] {
      payload_bytes_ -= bytes;
      flows_.Remove(id);
    });
  });
  if (found.added) return found.flow->Start(answer);
  if (found.flow->AddCaller(digest, answer)) return;
  answer(RejectedStatus(id, {ResultCode::kKeyConflict,
                             "the idempotency key is in use with another body; use a new key"}));
}

void EntryService::GetRequest(const http::Request& request, http::ResponseCallback respond) {
  const RequestId id = IdOf(request);
  const auto home = ids_.HomeOf(id);
  if (!home) {
    return respond(http::ErrorResponse(
        {ResultCode::kNotFound, "request " + id.value() + " does not name a failure domain"}));
  }
  context_.schedulers.CallDomain<wire::RequestStatus>(
      *home, wire::kQueryMethod, wire::RequestRef{id}, options_.call_timeout,
      [respond = std::move(respond)](const Result<wire::RequestStatus>& status) {
        respond(status ? WriteStatus(*status) : http::ErrorResponse(status.error()));
      });
}

void EntryService::DeleteRequest(const http::Request& request, http::ResponseCallback respond) {
  const RequestId id = IdOf(request);
  const auto home = ids_.HomeOf(id);
  if (!home) {
    return respond(http::ErrorResponse(
        {ResultCode::kNotFound, "request " + id.value() + " does not name a failure domain"}));
  }
  if (*home != options_.domain) return forwarder_.Forward(*home, request, std::move(respond));
  context_.schedulers.CallDomain<wire::RequestStatus>(
      *home, wire::kCancelMethod, wire::RequestRef{id}, options_.call_timeout,
      [this, respond = std::move(respond)](const Result<wire::RequestStatus>& status) {
        if (!status) return respond(http::ErrorResponse(status.error()));
        if (status->state == wire::RequestState::kRunning) return CancelRunning(*status, respond);
        respond(WriteStatus(*status));
      });
}

// Tells the workers to stop the tasks. The final outcome follows from their answers; the caller
// gets the present state and can query the request again by id.
void EntryService::CancelRunning(const wire::RequestStatus& status,
                                 http::ResponseCallback respond) {
  for (const wire::TaskGrant& grant : status.grants) {
    Event("cancel_task").With("request", status.id).With("token", grant.token);
    context_.gateway.Cancel(grant.address, grant.token, [](const TokenReport&) {});
  }
  respond(WriteStatus(status));
}

void EntryService::PostAnnouncement(const http::Request& request, http::ResponseCallback respond) {
  auto announcement = ParseAnnouncement(request.body);
  if (!announcement) return respond(http::ErrorResponse(announcement.error()));
  announcements_->Add(std::move(*announcement), std::move(respond));
}

void EntryService::GetHealth(const http::Request&, http::ResponseCallback respond) {
  http::Response response;
  response.body = R"({"status":"ok"})";
  respond(std::move(response));
}

void EntryService::GetReadiness(const http::Request&, http::ResponseCallback respond) {
  http::Response response;
  constexpr int kServiceUnavailable = 503;
  response.status = IsReady() ? 200 : kServiceUnavailable;
  response.body = IsReady() ? R"({"status":"ready"})" : R"({"status":"not ready"})";
  respond(std::move(response));
}

void EntryService::GetMetrics(const http::Request&, http::ResponseCallback respond) {
  http::Response response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = render_metrics_ ? render_metrics_() : std::string();
  respond(std::move(response));
}

void EntryService::RegisterMethods(transport::RpcServer& server) {
  server.RegisterHandler(
      std::string(wire::kForwardMethod),
      [this](const transport::RpcRequest& call, transport::RpcResponseCallback reply) {
        auto message = wire::Decode<wire::ForwardedRequest>(call.body);
        if (!message) return reply(tl::make_unexpected(message.error()));
        http::Request request;
        request.method = message->method;
        request.path = message->path;
        request.body = message->body;
        if (!message->idempotency_key.empty()) {
          request.headers[std::string(kIdempotencyKeyHeader)] = message->idempotency_key;
        }
        Handle(request, [reply](const http::Response& response) {
          const auto it = response.headers.find("Retry-After");
          reply(wire::Encode(wire::ForwardedResponse{
              .status = static_cast<std::uint32_t>(response.status),
              .body = response.body,
              .retry_after = it != response.headers.end() ? it->second : std::string()}));
        });
      });
}

void EntryService::SendHeartbeat() {
  if (stopping_) return;
  const wire::EntryHeartbeat heartbeat{options_.node, options_.rpc_address, options_.domain};
  context_.schedulers.CallDomain<wire::EntryHeartbeatReply>(
      options_.domain, wire::kHeartbeatMethod, heartbeat, options_.call_timeout,
      [this](const Result<wire::EntryHeartbeatReply>& reply) {
        registered_ = reply.has_value();
        if (reply) context_.gateway.SetConnectionsPerWorker(reply->connections_per_worker);
        auto timer =
            std::make_shared<boost::asio::steady_timer>(context_.io, options_.heartbeat_interval);
        timer->async_wait([this, timer](const boost::system::error_code&) { SendHeartbeat(); });
      });
}

void EntryService::Stop(std::function<void()> done) {
  {
    const std::lock_guard lock(mutex_);
    on_stopped_ = std::move(done);
  }
  stopping_ = true;
  watcher_->Stop();
  Event("stopping").With("in_flight", flows_.size());
  CheckStopped();
}

void EntryService::CheckStopped() {
  if (flows_.size() == 0) {
    std::function<void()> done;
    {
      const std::lock_guard lock(mutex_);
      done = std::exchange(on_stopped_, nullptr);
    }
    if (done) done();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(context_.io, kStopCheckInterval);
  timer->async_wait([this, timer](const boost::system::error_code&) { CheckStopped(); });
}

}  // namespace parsleyline::entry
