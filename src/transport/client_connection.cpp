#include "transport/client_connection.h"

#include <algorithm>
#include <utility>

namespace parsleyline::transport {
namespace {

constexpr int kStatusOk = 200;

bool IsKnownError(int code) {
  const auto& all = AllResultCodes();
  return code != 0 && std::any_of(all.begin(), all.end(), [code](const ResultCodeInfo& info) {
           return static_cast<int>(info.code) == code;
         });
}

Result<std::string> ToResult(Http2Message message) {
  if (message.status == kStatusOk) return std::move(message.body);
  if (!IsKnownError(message.code)) {
    return Fail(ResultCode::kMalformedMessage,
                "unknown result code " + std::to_string(message.code) + " in the response");
  }
  return Fail(static_cast<ResultCode>(message.code), std::move(message.body));
}

}  // namespace

ClientConnection::ClientConnection(Socket socket, const RpcOptions& options,
                                   std::weak_ptr<Owner> owner)
    : Connection(std::move(socket), Http2Role::kClient, options), owner_(std::move(owner)) {}

Result<std::int32_t> ClientConnection::Send(CallId call, const std::string& method,
                                            std::string body, Milliseconds timeout) {
  if (calls_.size() >= session().PeerMaxStreams()) {
    return Fail(ResultCode::kOverloaded, "the peer's limit of " +
                                             std::to_string(session().PeerMaxStreams()) +
                                             " calls in flight is reached");
  }
  const auto stream = session().SubmitRequest(method, std::move(body), timeout);
  if (!stream) return Fail(ResultCode::kConnectionFailed, stream.error().message);
  ++calls_submitted_;
  calls_.emplace(*stream, StreamCall{call});
  return *stream;
}

void ClientConnection::Cancel(std::int32_t stream) {
  if (closed() || calls_.erase(stream) == 0) return;
  session().Reset(stream, NGHTTP2_CANCEL);
}

CallId ClientConnection::TakeCall(std::int32_t stream) {
  const auto it = calls_.find(stream);
  if (it == calls_.end()) return 0;
  const StreamCall call = it->second;
  calls_.erase(it);
  // The peer responded before the end of the request and won't read the rest of it.
  if (!call.request_ended) session().Reset(stream, NGHTTP2_CANCEL);
  return call.id;
}

void ClientConnection::OnMessage(std::int32_t stream, Http2Message message) {
  const CallId call = TakeCall(stream);
  const auto owner = owner_.lock();
  if (call != 0 && owner) owner->OnResult(call, ToResult(std::move(message)));
}

void ClientConnection::OnBodyRejected(std::int32_t stream, ResultCode code) {
  const CallId call = TakeCall(stream);
  const auto owner = owner_.lock();
  if (call != 0 && owner) owner->OnFailure(call, code, "the response body exceeds a size limit");
  session().Reset(stream, NGHTTP2_CANCEL);
}

void ClientConnection::OnRequestStarted(std::int32_t stream) {
  const auto it = calls_.find(stream);
  if (it == calls_.end()) return;
  if (const auto owner = owner_.lock()) owner->OnCallSent(it->second.id);
}

void ClientConnection::OnRequestEnded(std::int32_t stream) {
  const auto it = calls_.find(stream);
  if (it == calls_.end()) return;
  it->second.request_ended = true;
  if (const auto owner = owner_.lock()) owner->OnRequestEnded(it->second.id);
}

void ClientConnection::OnStreamClosed(std::int32_t stream, std::uint32_t http2_error) {
  const auto it = calls_.find(stream);
  if (it == calls_.end()) return;
  const CallId call = it->second.id;
  calls_.erase(it);
  const auto owner = owner_.lock();
  if (!owner) return;
  // REFUSED_STREAM guarantees that the peer did not process the request (RFC 9113, 8.7).
  if (http2_error != NGHTTP2_REFUSED_STREAM) {
    owner->OnFailure(
        call, ResultCode::kConnectionClosed,
        std::string("the stream of the call was closed: ") + nghttp2_http2_strerror(http2_error));
  } else if (peer_shutting_down_) {
    owner->OnFailure(call, ResultCode::kShuttingDown, "the peer is shutting down");
  } else {
    owner->OnFailure(call, ResultCode::kOverloaded, "the peer rejected the call");
  }
}

void ClientConnection::OnGoAway(std::uint32_t http2_error) {
  peer_shutting_down_ = http2_error == NGHTTP2_NO_ERROR;
  if (const auto owner = owner_.lock()) owner->OnDraining(this);
}

void ClientConnection::AfterReceive() {
  if (const auto owner = owner_.lock()) owner->OnReceived();
}

void ClientConnection::OnClosed(CloseReason reason) {
  std::vector<CallId> calls;
  calls.reserve(calls_.size());
  for (const auto& [stream, call] : std::exchange(calls_, {})) calls.push_back(call.id);
  std::sort(calls.begin(), calls.end());
  if (const auto owner = owner_.lock()) owner->OnClosed(this, reason, calls);
}

}  // namespace parsleyline::transport
