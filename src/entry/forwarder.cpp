#include "entry/forwarder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "base/event_log.h"
#include "wire/codec.h"
#include "wire/methods.h"

namespace parsleyline::entry {
namespace {

// How long a home domain may lack a leader or an entry daemon before the request fails.
constexpr Milliseconds kSearchTimeout{5000};
constexpr Milliseconds kSearchRetryDelay{50};
// The home domain answers an accepted request by the request's deadline, which is at most a day
// off.
constexpr Milliseconds kForwardTimeout{86400000};

bool IsShuttingDown(const wire::ForwardedResponse& response) {
  return response.status == 503 &&
         response.body.find(Describe(ResultCode::kShuttingDown).name) != std::string::npos;
}

http::Response ToHttp(wire::ForwardedResponse forwarded) {
  http::Response response;
  response.status = static_cast<int>(forwarded.status);
  response.body = std::move(forwarded.body);
  if (!forwarded.retry_after.empty()) response.headers["Retry-After"] = forwarded.retry_after;
  return response;
}

std::string IpOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

std::uint16_t PortOf(const std::string& address) {
  const std::string text = address.substr(address.rfind(':') + 1);
  return static_cast<std::uint16_t>(std::strtoul(text.c_str(), nullptr, 10));
}

}  // namespace

/// A request that is being forwarded to an entry daemon of its home domain.
struct Forwarder::ForwardedCall {
  DomainId home;
  std::string message;
  http::ResponseCallback respond;
  TimePoint search_end;
  std::vector<wire::EntryHeartbeat> entries;
  std::size_t entries_left = 0;
  bool maybe_sent = false;
};

void Forwarder::Forward(const DomainId& home, const http::Request& request,
                        http::ResponseCallback respond) {
  const auto key = request.headers.find(std::string(kIdempotencyKeyHeader));
  const wire::ForwardedRequest message{
      .method = request.method,
      .path = request.path,
      .body = request.body,
      .idempotency_key = key != request.headers.end() ? key->second : std::string()};
  auto call = std::make_shared<ForwardedCall>();
  call->home = home;
  call->message = wire::Encode(message);
  call->respond = std::move(respond);
  call->search_end = context_.clock.Now() + kSearchTimeout;
  ListEntries(call);
}

void Forwarder::ListEntries(const ForwardedCallPtr& call) {
  context_.schedulers.CallDomain<wire::EntryHeartbeatReply>(
      call->home, wire::kEntriesMethod, wire::Empty{}, context_.options.call_timeout,
      [this, call](const Result<wire::EntryHeartbeatReply>& reply) {
        if (!reply) return RetryLater(call, reply.error());
        call->entries = reply->entries;
        call->entries_left = reply->entries.size();
        if (call->entries_left > 0) return CallNextEntry(call);
        RetryLater(call, {ResultCode::kDomainUnreachable, "it has no registered entry daemon"});
      });
}

void Forwarder::CallNextEntry(const ForwardedCallPtr& call) {
  --call->entries_left;
  const wire::EntryHeartbeat& entry = call->entries[next_entry_++ % call->entries.size()];
  Event("forward").With("entry", entry.entry).With("domain", entry.domain);
  const auto peer = ClientFor(entry.address);
  peer->Call(std::string(wire::kForwardMethod), call->message, kForwardTimeout,
             [this, call, peer](const Result<std::string>& reply) { OnReply(call, reply); });
}

void Forwarder::OnReply(const ForwardedCallPtr& call, const Result<std::string>& reply) {
  auto forwarded = reply.and_then(
      [](const std::string& bytes) { return wire::Decode<wire::ForwardedResponse>(bytes); });
  if (forwarded && !IsShuttingDown(*forwarded)) {
    return call->respond(ToHttp(std::move(*forwarded)));
  }
  if (!forwarded && forwarded.error().code != ResultCode::kConnectionFailed) {
    call->maybe_sent = true;
  }
  if (call->entries_left > 0) return CallNextEntry(call);
  RetryLater(call, forwarded ? Error{ResultCode::kShuttingDown, "its entry daemons are stopping"}
                             : forwarded.error());
}

void Forwarder::RetryLater(const ForwardedCallPtr& call, const Error& error) {
  if (context_.clock.Now() >= call->search_end) {
    const ResultCode code =
        call->maybe_sent ? ResultCode::kOutcomeUnknown : ResultCode::kDomainUnreachable;
    return call->respond(
        http::ErrorResponse({code, "failure domain " + call->home.value() +
                                       " cannot be reached at present: " + error.message}));
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(context_.io, kSearchRetryDelay);
  timer->async_wait([this, call, timer](const boost::system::error_code&) { ListEntries(call); });
}

std::shared_ptr<transport::RpcClient> Forwarder::ClientFor(const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto& peer = clients_[address];
  if (peer == nullptr) {
    peer = std::make_shared<transport::RpcClient>(context_.io, IpOf(address), PortOf(address),
                                                  rpc_options_);
  }
  return peer;
}

}  // namespace parsleyline::entry
