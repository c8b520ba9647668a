#include <algorithm>
#include <atomic>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/event_log.h"
#include "transport/client_connection.h"

namespace parsleyline::transport {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Longest delay after the first failed connection attempt. It doubles with every further one.
constexpr Milliseconds kInitialBackoff{10};

using DoneCallback = std::function<void(Result<std::string>)>;

TimePoint Now() { return std::chrono::steady_clock::now(); }

// Returns whether a socket is connected to itself. That happens when the kernel selects the
// destination port of a connection to this host as its source port while nobody listens on it.
bool IsConnectedToItself(const Socket& socket) {
  error_code ec;
  const auto local = socket.local_endpoint(ec);
  return !ec && local == socket.remote_endpoint(ec);
}

}  // namespace

// Members are used on the strand only, unless marked otherwise.
struct RpcClient::Impl : public ClientConnection::Owner,
                         public std::enable_shared_from_this<RpcClient::Impl> {
  // State of the connection for new calls.
  enum class ConnectionState { kDisconnected, kBackingOff, kConnecting, kConnected };

  // A call on its way from the caller's thread to the strand.
  struct SubmittedCall {
    std::string method;
    std::string body;
    TimePoint deadline;
    DoneCallback done;
    std::optional<Error> rejection;
  };
  // A call without a result.
  struct Call {
    std::string method;
    std::string body;
    TimePoint deadline;
    DoneCallback done;
    // Bytes of the body that are counted in `buffered_bytes`, until they have been sent.
    std::size_t buffered_body_bytes = 0;
    std::shared_ptr<ClientConnection> connection;
    std::int32_t stream = 0;
    // Whether the first bytes of the request may have been sent.
    bool sent = false;
  };
  // A call whose callback has not run yet.
  struct CompletedCall {
    DoneCallback done;
    Result<std::string> result;
  };

  Impl(asio::io_context& io, const std::string& ip, std::uint16_t port,
       const RpcOptions& rpc_options)
      : options(rpc_options),
        strand(io.get_executor()),
        peer(ip + ":" + std::to_string(port)),
        connect_timer(strand),
        deadline_timer(strand),
        random(std::random_device()()) {
    error_code ec;
    const auto address = asio::ip::make_address(ip, ec);
    if (!ec) endpoint = tcp::endpoint(address, port);
  }

  // May be called from any thread.
  void Submit(SubmittedCall submission);
  std::optional<Error> Admit(std::size_t body_bytes);
  void Close();

  void StartSubmittedCalls();
  void FlushAndRunCallbacks();
  void RunCallbacks();
  void StartCall(SubmittedCall submission);
  void SendCall(CallId id);
  void CompleteCall(CallId id, Result<std::string> result);
  void FailCall(CallId id, ResultCode code, const std::string& message);
  void FailWaitingCalls(const std::string& message);
  void CloseAll();

  void EnsureConnected();
  void Connect();
  void OnConnect(const error_code& ec, Socket socket);
  void OnAttemptFailed(const std::string& message);
  void IncreaseBackoff();
  void SendWaitingCalls();
  void DrainConnection();

  void ArmDeadlineTimer();
  void OnDeadlineTimer();

  void OnCallSent(CallId call) override;
  void OnRequestEnded(CallId call) override;
  void OnResult(CallId call, Result<std::string> result) override;
  void OnFailure(CallId call, ResultCode code, const std::string& message) override;
  void OnReceived() override;
  void OnDraining(ClientConnection* closing) override;
  void OnClosed(ClientConnection* closed_connection, CloseReason reason,
                const std::vector<CallId>& lost) override;

  const RpcOptions options;
  const Strand strand;
  const std::string peer;
  std::optional<tcp::endpoint> endpoint;

  // May be used from any thread; `mutex` guards `submitted_calls` and
  // `start_scheduled`.
  std::mutex mutex;
  std::vector<SubmittedCall> submitted_calls;
  bool start_scheduled = false;
  std::atomic<std::size_t> in_flight{0};
  std::atomic<std::size_t> buffered_bytes{0};

  ConnectionState state = ConnectionState::kDisconnected;
  Timer connect_timer;
  TimePoint next_attempt;
  // Failed attempts since the last connection on which the peer sent its settings.
  unsigned failed_attempts = 0;
  std::shared_ptr<Socket> connecting;
  std::shared_ptr<ClientConnection> connection;
  std::vector<std::shared_ptr<ClientConnection>> draining_connections;

  CallId next_call_id = 1;
  std::unordered_map<CallId, Call> calls;
  std::deque<CallId> waiting_calls;
  std::set<std::pair<TimePoint, CallId>> deadlines;
  Timer deadline_timer;
  TimePoint deadline_timer_due = TimePoint::max();
  std::vector<CompletedCall> completed_calls;
  bool closed = false;
  std::minstd_rand random;
};

std::optional<Error> RpcClient::Impl::Admit(std::size_t body_bytes) {
  if (body_bytes > options.max_body_bytes) {
    return Error{ResultCode::kBodyTooLarge, "the request body of " + std::to_string(body_bytes) +
                                                " bytes exceeds the limit of " +
                                                std::to_string(options.max_body_bytes)};
  }
  if (++in_flight > options.max_in_flight) {
    --in_flight;
    return Error{ResultCode::kOverloaded, "more than " + std::to_string(options.max_in_flight) +
                                              " calls in flight to " + peer};
  }
  if ((buffered_bytes += body_bytes) > options.max_buffered_bytes) {
    buffered_bytes -= body_bytes;
    --in_flight;
    return Error{ResultCode::kOverloaded, "more than " +
                                              std::to_string(options.max_buffered_bytes) +
                                              " unsent body bytes to " + peer};
  }
  return std::nullopt;
}

void RpcClient::Impl::Submit(SubmittedCall submission) {
  submission.rejection = Admit(submission.body.size());
  {
    const std::lock_guard lock(mutex);
    submitted_calls.push_back(std::move(submission));
    if (std::exchange(start_scheduled, true)) return;
  }
  asio::post(strand, [self = shared_from_this()] {
    self->StartSubmittedCalls();
    self->FlushAndRunCallbacks();
  });
}

void RpcClient::Impl::StartSubmittedCalls() {
  std::vector<SubmittedCall> submissions;
  {
    const std::lock_guard lock(mutex);
    submissions.swap(submitted_calls);
    start_scheduled = false;
  }
  for (auto& submission : submissions) StartCall(std::move(submission));
}

// Sends pending output, starts the deadline timer and runs callbacks. Must be the last step of
// every task on the strand that may have submitted or completed calls.
void RpcClient::Impl::FlushAndRunCallbacks() {
  if (connection) connection->Flush();
  for (const auto& old : std::vector(draining_connections)) old->Flush();
  ArmDeadlineTimer();
  RunCallbacks();
}

void RpcClient::Impl::RunCallbacks() {
  for (auto& item : std::exchange(completed_calls, {})) item.done(std::move(item.result));
}

void RpcClient::Impl::StartCall(SubmittedCall submission) {
  if (submission.rejection) {
    completed_calls.push_back(
        {std::move(submission.done), tl::make_unexpected(*submission.rejection)});
    return;
  }
  const CallId id = next_call_id++;
  Call& call = calls[id];
  call.buffered_body_bytes = submission.body.size();
  call.method = std::move(submission.method);
  call.body = std::move(submission.body);
  call.deadline = submission.deadline;
  call.done = std::move(submission.done);
  deadlines.emplace(call.deadline, id);
  if (closed) {
    FailCall(id, ResultCode::kConnectionFailed, "the client is closed");
  } else if (!endpoint) {
    FailCall(id, ResultCode::kConnectionFailed, "not an IP address: " + peer);
  } else if (state == ConnectionState::kConnected) {
    SendCall(id);
  } else {
    waiting_calls.push_back(id);
    EnsureConnected();
  }
}

void RpcClient::Impl::SendCall(CallId id) {
  Call& call = calls.at(id);
  const auto remaining = std::chrono::ceil<Milliseconds>(call.deadline - Now());
  if (remaining <= Milliseconds::zero()) {
    FailCall(id, ResultCode::kCallTimeout, "the deadline passed before the call was sent");
    return;
  }
  const auto stream = connection->Send(id, call.method, std::move(call.body), remaining);
  if (!stream) {
    FailCall(id, stream.error().code, stream.error().message);
    return;
  }
  call.connection = connection;
  call.stream = *stream;
  if (connection->calls_submitted() >= options.max_calls_per_connection) DrainConnection();
}

void RpcClient::Impl::CompleteCall(CallId id, Result<std::string> result) {
  const auto it = calls.find(id);
  if (it == calls.end()) return;
  Call& call = it->second;
  deadlines.erase({call.deadline, id});
  buffered_bytes -= call.buffered_body_bytes;
  --in_flight;
  completed_calls.push_back({std::move(call.done), std::move(result)});
  calls.erase(it);
}

// Fails a call. If no byte of it was sent, it did not run, whatever the cause of the failure: the
// error is kConnectionFailed then, unless `code` also says so.
void RpcClient::Impl::FailCall(CallId id, ResultCode code, const std::string& message) {
  const auto it = calls.find(id);
  if (it == calls.end()) return;
  const bool not_run = code == ResultCode::kOverloaded || code == ResultCode::kShuttingDown;
  const ResultCode final_code = it->second.sent || not_run ? code : ResultCode::kConnectionFailed;
  CompleteCall(id, Fail(final_code, message + " (" + peer + ")"));
}

void RpcClient::Impl::FailWaitingCalls(const std::string& message) {
  for (const CallId id : std::exchange(waiting_calls, {})) {
    FailCall(id, ResultCode::kConnectionFailed, message);
  }
}

void RpcClient::Impl::EnsureConnected() {
  if (state != ConnectionState::kDisconnected) return;
  if (Now() >= next_attempt) {
    Connect();
    return;
  }
  state = ConnectionState::kBackingOff;
  connect_timer.expires_at(next_attempt);
  connect_timer.async_wait([self = shared_from_this()](const error_code& ec) {
    if (!ec && self->state == ConnectionState::kBackingOff) self->Connect();
  });
}

void RpcClient::Impl::Connect() {
  state = ConnectionState::kConnecting;
  const auto socket = std::make_shared<Socket>(strand);
  connecting = socket;
  connect_timer.expires_after(options.connect_timeout);
  connect_timer.async_wait([socket](const error_code& ec) {
    error_code ignored;
    if (!ec) socket->close(ignored);
  });
  socket->async_connect(*endpoint, [self = shared_from_this(), socket](const error_code& ec) {
    self->OnConnect(ec, std::move(*socket));
    self->FlushAndRunCallbacks();
  });
}

void RpcClient::Impl::OnConnect(const error_code& ec, Socket socket) {
  connecting = nullptr;
  if (closed) return;
  connect_timer.cancel();
  if (ec) {
    OnAttemptFailed(ec == asio::error::operation_aborted ? "connecting timed out" : ec.message());
    return;
  }
  // The connect timer may have closed the socket after this handler had been queued.
  if (!socket.is_open() || IsConnectedToItself(socket)) {
    OnAttemptFailed("connecting timed out, or nobody listens");
    return;
  }
  state = ConnectionState::kConnected;
  connection = std::make_shared<ClientConnection>(std::move(socket), options, weak_from_this());
  connection->Start();
  SendWaitingCalls();
  if (!waiting_calls.empty()) EnsureConnected();
}

void RpcClient::Impl::SendWaitingCalls() {
  while (state == ConnectionState::kConnected && !waiting_calls.empty()) {
    const CallId id = waiting_calls.front();
    waiting_calls.pop_front();
    if (calls.count(id) != 0) SendCall(id);
  }
}

void RpcClient::Impl::OnAttemptFailed(const std::string& message) {
  Event("rpc_connect_failed", Severity::kWarning).With("peer", peer).With("detail", message);
  state = ConnectionState::kDisconnected;
  IncreaseBackoff();
  FailWaitingCalls("cannot connect: " + message);
}

void RpcClient::Impl::IncreaseBackoff() {
  constexpr unsigned kMaxDoublings = 10;
  const auto longest = std::min<Duration>(
      kInitialBackoff * (1U << std::min(failed_attempts, kMaxDoublings)), options.max_backoff);
  ++failed_attempts;
  std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2, longest.count());
  next_attempt = Now() + Duration(jitter(random));
}

// Stops using the current connection for new calls, which open another one. The connection closes
// once its calls in flight have ended.
void RpcClient::Impl::DrainConnection() {
  const auto old = std::exchange(connection, nullptr);
  draining_connections.push_back(old);
  state = ConnectionState::kDisconnected;
  old->BeginShutdown();
}

void RpcClient::Impl::ArmDeadlineTimer() {
  if (deadlines.empty() || deadlines.begin()->first >= deadline_timer_due) return;
  deadline_timer_due = deadlines.begin()->first;
  deadline_timer.expires_at(deadline_timer_due);
  deadline_timer.async_wait([self = shared_from_this()](const error_code& ec) {
    if (!ec) self->OnDeadlineTimer();
  });
}

void RpcClient::Impl::OnDeadlineTimer() {
  deadline_timer_due = TimePoint::max();
  const TimePoint now = Now();
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const CallId id = deadlines.begin()->second;
    const Call& call = calls.at(id);
    const auto call_connection = call.connection;
    const std::int32_t stream = call.stream;
    FailCall(id, ResultCode::kCallTimeout, "no response before the deadline");
    if (call_connection) call_connection->Cancel(stream);
  }
  FlushAndRunCallbacks();
}

void RpcClient::Impl::OnCallSent(CallId call) {
  const auto it = calls.find(call);
  if (it != calls.end()) it->second.sent = true;
}

void RpcClient::Impl::OnRequestEnded(CallId call) {
  const auto it = calls.find(call);
  if (it == calls.end()) return;
  buffered_bytes -= std::exchange(it->second.buffered_body_bytes, 0);
}

void RpcClient::Impl::OnResult(CallId call, Result<std::string> result) {
  CompleteCall(call, std::move(result));
}

void RpcClient::Impl::OnFailure(CallId call, ResultCode code, const std::string& message) {
  FailCall(call, code, message);
}

void RpcClient::Impl::OnReceived() {
  {
    // Calls that the callbacks below make need no task of their own: they are sent at the end of
    // this function.
    const std::lock_guard lock(mutex);
    start_scheduled = true;
  }
  if (connection && connection->settings_received()) failed_attempts = 0;
  RunCallbacks();
  StartSubmittedCalls();
  FlushAndRunCallbacks();
}

void RpcClient::Impl::OnDraining(ClientConnection* closing) {
  if (closing != connection.get()) return;
  draining_connections.push_back(std::exchange(connection, nullptr));
  state = ConnectionState::kDisconnected;
}

void RpcClient::Impl::OnClosed(ClientConnection* closed_connection, CloseReason reason,
                               const std::vector<CallId>& lost) {
  const ResultCode code = reason == CloseReason::kSilent ? ResultCode::kConnectionSilent
                                                         : ResultCode::kConnectionClosed;
  for (const CallId id : lost) {
    FailCall(id, code, std::string("connection ended: ").append(CloseReasonName(reason)));
  }
  if (closed_connection == connection.get()) {
    if (!connection->settings_received()) IncreaseBackoff();
    connection = nullptr;
    state = ConnectionState::kDisconnected;
  }
  draining_connections.erase(
      std::remove_if(
          draining_connections.begin(), draining_connections.end(),
          [closed_connection](const auto& old) { return old.get() == closed_connection; }),
      draining_connections.end());
  asio::post(strand, [self = shared_from_this()] { self->FlushAndRunCallbacks(); });
}

void RpcClient::Impl::Close() {
  asio::post(strand, [self = shared_from_this()] {
    self->CloseAll();
    self->FlushAndRunCallbacks();
  });
}

void RpcClient::Impl::CloseAll() {
  closed = true;
  connect_timer.cancel();
  deadline_timer.cancel();
  error_code ignored;
  if (connecting) connecting->close(ignored);
  FailWaitingCalls("the client was closed");
  auto open = std::exchange(draining_connections, {});
  if (connection) open.push_back(connection);
  for (const auto& item : open) item->Close(CloseReason::kClosedLocally);
}

RpcClient::RpcClient(asio::io_context& io, const std::string& ip, std::uint16_t port,
                     RpcOptions options)
    : impl_(std::make_shared<Impl>(io, ip, port, options)) {}

RpcClient::~RpcClient() { impl_->Close(); }

void RpcClient::Call(const std::string& method, std::string body, Milliseconds timeout,
                     std::function<void(Result<std::string>)> done) {
  impl_->Submit({method, std::move(body), Now() + timeout, std::move(done), std::nullopt});
}

void RpcClient::Close() { impl_->Close(); }

}  // namespace parsleyline::transport
