#include "transport/server_connection.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <exception>

#include "base/event_log.h"

namespace parsleyline::transport {
namespace {

// Sends one response to a call. If every copy of the response callback is destroyed without a call,
// the caller gets an error instead of waiting for its deadline.
class CallResponder {
 public:
  CallResponder(std::weak_ptr<ServerConnection> connection, std::int32_t stream)
      : connection_(std::move(connection)), stream_(stream) {}
  ~CallResponder() {
    if (!responded_) Respond(Fail(ResultCode::kInternal, "the handler sent no response"));
  }
  CallResponder(const CallResponder&) = delete;
  CallResponder& operator=(const CallResponder&) = delete;

  void Respond(Result<std::string> response) {
    if (responded_.exchange(true)) {
      Event("rpc_second_reply_ignored", Severity::kError).With("stream", stream_);
      return;
    }
    if (const auto connection = connection_.lock()) {
      connection->SendResponse(stream_, std::move(response));
    }
  }

 private:
  std::weak_ptr<ServerConnection> connection_;
  std::int32_t stream_;
  std::atomic<bool> responded_{false};
};

}  // namespace

ServerConnection::ServerConnection(Socket socket, const RpcOptions& options,
                                   std::shared_ptr<const HandlerTable> handlers,
                                   ClosedCallback on_closed)
    : Connection(std::move(socket), Http2Role::kServer, options),
      max_in_flight_(options.max_in_flight),
      max_buffered_bytes_(options.max_buffered_bytes),
      handlers_(std::move(handlers)),
      on_closed_(std::move(on_closed)) {}

void ServerConnection::OnMessage(std::int32_t stream, Http2Message message) {
  received_requests_.emplace_back(stream, std::move(message));
}

void ServerConnection::OnBodyRejected(std::int32_t stream, ResultCode code) {
  const bool too_large = code == ResultCode::kBodyTooLarge;
  const std::string message =
      too_large ? "the request body exceeds the limit of " +
                      std::to_string(options().max_body_bytes) + " bytes"
                : "the incomplete requests of the connection exceed the limit of " +
                      std::to_string(options().max_buffered_bytes) + " bytes";
  session().SubmitResponse(stream, Fail(code, message));
}

void ServerConnection::AfterReceive() {
  {
    // Responses of the handlers called below need no task of their own: they are sent at the end of
    // this function.
    const std::lock_guard lock(mutex_);
    submit_scheduled_ = true;
  }
  for (auto& [stream, message] : std::exchange(received_requests_, {})) {
    Dispatch(stream, std::move(message));
  }
  SubmitPendingResponses();
}

void ServerConnection::Dispatch(std::int32_t stream, Http2Message message) {
  const auto handler = handlers_->find(message.method);
  if (handler == handlers_->end()) {
    session().SubmitResponse(stream,
                             Fail(ResultCode::kNotFound, "unknown method " + message.method));
    return;
  }
  if (pending_calls_ >= max_in_flight_) {
    session().SubmitResponse(
        stream, Fail(ResultCode::kOverloaded,
                     "more than " + std::to_string(max_in_flight_) + " calls in flight"));
    return;
  }
  ++pending_calls_;
  auto pending = std::make_shared<CallResponder>(
      std::static_pointer_cast<ServerConnection>(shared_from_this()), stream);
  try {
    handler->second(
        RpcRequest{std::move(message.body), message.timeout},
        [pending](Result<std::string> response) { pending->Respond(std::move(response)); });
  } catch (const std::exception& error) {
    Event("rpc_handler_threw", Severity::kError)
        .With("method", message.method)
        .With("what", error.what());
    pending->Respond(Fail(ResultCode::kInternal, "the handler threw an exception"));
  }
}

void ServerConnection::SendResponse(std::int32_t stream, Result<std::string> response) {
  {
    const std::lock_guard lock(mutex_);
    pending_responses_.push_back({stream, std::move(response)});
    if (std::exchange(submit_scheduled_, true)) return;
  }
  boost::asio::post(strand(),
                    [self = std::static_pointer_cast<ServerConnection>(shared_from_this())] {
                      self->SubmitPendingResponses();
                      self->Flush();
                    });
}

void ServerConnection::SubmitPendingResponses() {
  std::vector<PendingResponse> responses;
  {
    const std::lock_guard lock(mutex_);
    responses.swap(pending_responses_);
    submit_scheduled_ = false;
  }
  pending_calls_ -= responses.size();
  if (closed()) return;
  for (auto& it : responses) {
    session().SubmitResponse(it.stream, std::move(it.response));
  }
  if (unsent_bytes() > max_buffered_bytes_) Close(CloseReason::kSlowReader);
}

void ServerConnection::OnClosed(CloseReason /*reason*/) {
  on_closed_(std::static_pointer_cast<ServerConnection>(shared_from_this()));
}

}  // namespace parsleyline::transport
