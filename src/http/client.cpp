#include "http/client.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace parsleyline::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;
// Naming the strand as executor type avoids the cost of a type-erased executor.
using Socket = asio::basic_stream_socket<tcp, Strand>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>, Strand>;
using Parser = beast::http::response_parser<beast::http::string_body>;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::uint32_t kMaxHeaderBytes = std::uint32_t{16} << 10U;
/// Bytes that a read buffer may hold in addition to a header.
constexpr std::size_t kReadAheadBytes = std::size_t{64} << 10U;
/// Largest size of one read. Most responses are smaller.
constexpr std::size_t kMaxReadBytes = std::size_t{4} << 10U;
/// A read buffer that has grown beyond this size for a large response is freed after it.
constexpr std::size_t kMaxRetainedBufferBytes = std::size_t{8} << 10U;
/// Interval at which idle connections are checked for expiry and for being closed by the peer.
constexpr Milliseconds kIdleCheckInterval{1000};
/// Status codes below this one belong to interim responses.
constexpr int kFirstFinalStatus = 200;

/// One connection of the pool.
struct Connection {
  explicit Connection(const Strand& strand)
      : socket(strand), timer(strand), buffer(kMaxHeaderBytes + kReadAheadBytes) {}

  Socket socket;
  /// Connect timeout.
  Timer timer;
  beast::flat_buffer buffer;
  std::optional<Parser> parser;
  SteadyTime idle_since;
  bool open = true;
};

/// Progress of a call, in order. kSent begins when the first byte may be written.
enum class Phase : std::uint8_t { kWaiting, kConnecting, kSent, kCompleted };

/// A request with its progress and its callback.
struct Call {
  std::uint64_t id = 0;
  SteadyTime deadline;
  /// Time by which sending must have begun; SteadyTime::max() if there is no such limit.
  SteadyTime start_deadline = SteadyTime::max();
  Phase phase = Phase::kWaiting;
  bool is_head = false;
  bool needs_new_connection = false;
  /// Header and body as they are sent.
  std::string serialized_request;
  std::size_t written_bytes = 0;
  std::function<bool(const ClientResponse&)> matches;
  std::function<void(ClientResult)> done;
  std::shared_ptr<Connection> connection;
};

using CallPtr = std::shared_ptr<Call>;
using ConnectionPtr = std::shared_ptr<Connection>;

std::string ToLowerCase(beast::string_view text) {
  std::string lower(text.data(), text.size());
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

std::string SerializeRequest(const ClientRequest& request, const tcp::endpoint& peer) {
  std::string text = request.method + ' ' + request.target + " HTTP/1.1";
  if (!request.headers.contains("Host")) {
    text += "\r\nHost: " + peer.address().to_string() + ':' + std::to_string(peer.port());
  }
  for (const auto& [name, value] : request.headers) {
    text.append("\r\n").append(name).append(": ").append(value);
  }
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
    text += "\r\nContent-Length: " + std::to_string(request.body.size());
  }
  return text.append("\r\n\r\n").append(request.body);
}

bool HasConnectionClose(const ClientRequest& request) {
  const auto it =
      std::find_if(request.headers.begin(), request.headers.end(),
                   [](const auto& header) { return ToLowerCase(header.first) == "connection"; });
  return it != request.headers.end() && ToLowerCase(it->second) == "close";
}

bool IsValidRequest(const ClientRequest& request) {
  const auto has_break = [](const std::string& text) {
    return text.find_first_of("\r\n") != std::string::npos;
  };
  if (request.method.empty() || has_break(request.method)) return false;
  if (request.target.find_first_of("\r\n ") != std::string::npos) return false;
  return std::none_of(request.headers.begin(), request.headers.end(), [&](const auto& header) {
    return has_break(header.first) || has_break(header.second);
  });
}

/// Returns whether the peer has neither closed the idle connection nor sent unexpected bytes on it.
bool IsReusable(Connection& connection) {
  error_code ec;
  char byte = 0;
  connection.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

ClientResponse ToResponse(Parser& parser) {
  auto& message = parser.get();
  ClientResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers[ToLowerCase(field.name_string())] =
        std::string(field.value().data(), field.value().size());
  }
  response.body = std::move(message.body());
  return response;
}

ClientFailure MakeReadFailure(error_code ec) {
  const bool truncated =
      ec == beast::http::error::end_of_stream || ec == beast::http::error::partial_message;
  const bool malformed =
      !truncated && ec.category() == make_error_code(beast::http::error::end_of_stream).category();
  const ResultCode code = malformed ? ResultCode::kMalformedMessage : ResultCode::kConnectionClosed;
  return {{code, "no complete response: " + ec.message()}, Sent::kMaybe};
}

}  // namespace

struct Client::Impl : std::enable_shared_from_this<Client::Impl> {
  Impl(asio::io_context& io, const std::string& ip, std::uint16_t port,
       ClientOptions client_options)
      : strand(asio::make_strand(io)),
        idle_check_timer(strand),
        deadline_timer(strand),
        options(client_options),
        address(ip),
        max_connections(std::max<std::size_t>(1, client_options.max_connections)) {
    peer = tcp::endpoint(asio::ip::make_address(ip, address_error), port);
  }

  // All functions run on the strand.
  void StartCall(const CallPtr& call);
  void ArmDeadlineTimer();
  void OnDeadlineTimer();
  void OnDeadline(const CallPtr& call);
  void StartWaitingCalls();
  ConnectionPtr TakeIdle();
  void Connect(const CallPtr& call);
  void OnConnected(const CallPtr& call, error_code ec);
  void SendRequest(const CallPtr& call, const ConnectionPtr& connection);
  void Write(const CallPtr& call, const ConnectionPtr& connection);
  void OnWriteError(const CallPtr& call, error_code ec);
  void Read(const CallPtr& call, const ConnectionPtr& connection);
  void OnRead(const CallPtr& call, const ConnectionPtr& connection, error_code ec, std::size_t n);
  void OnResponse(const CallPtr& call, const ConnectionPtr& connection);
  void ReturnToPool(const ConnectionPtr& connection);
  void CloseConnection(const ConnectionPtr& connection);
  void AbortConnection(const ConnectionPtr& connection);
  void CompleteCall(const CallPtr& call, ClientResult result);
  void FailCall(const CallPtr& call, Error error);
  void FailAndAbortConnection(const CallPtr& call, ClientFailure failure);
  void CloseExcessIdle();
  void CloseIdle();
  void ArmIdleCheckTimer();
  void CloseExpiredIdle();
  void CloseAll();

  Strand strand;
  Timer idle_check_timer;
  Timer deadline_timer;
  /// Expiry of `deadline_timer`. The timer isn't rescheduled when a call completes, because that
  /// would cost as much as the call itself.
  SteadyTime deadline_timer_due = SteadyTime::max();
  /// Deadlines of all calls, for the start of sending and for completion, with the ids of the
  /// calls.
  std::set<std::pair<SteadyTime, std::uint64_t>> deadlines;
  const ClientOptions options;
  /// Address of the peer as given, for error messages.
  const std::string address;
  tcp::endpoint peer;
  error_code address_error;
  std::size_t max_connections;
  std::list<CallPtr> waiting_calls;
  std::unordered_map<std::uint64_t, CallPtr> calls;
  /// Idle connections; the most recently used one is last and is reused first.
  std::vector<ConnectionPtr> idle_connections;
  std::atomic<std::size_t> open_connections = 0;
  std::atomic<std::uint64_t> next_call_id = 1;
  bool closed = false;
  bool idle_check_armed = false;
};

void Client::Impl::StartCall(const CallPtr& call) {
  calls[call->id] = call;
  if (closed) return FailCall(call, {ResultCode::kConnectionClosed, "the client is closed"});
  if (address_error) {
    return FailCall(call, {ResultCode::kConnectionFailed, "not an IP address: " + address});
  }
  deadlines.emplace(call->deadline, call->id);
  if (call->start_deadline < call->deadline) deadlines.emplace(call->start_deadline, call->id);
  ArmDeadlineTimer();
  waiting_calls.push_back(call);
  StartWaitingCalls();
}

void Client::Impl::ArmDeadlineTimer() {
  if (deadlines.empty() || deadlines.begin()->first >= deadline_timer_due) return;
  deadline_timer_due = deadlines.begin()->first;
  deadline_timer.expires_at(deadline_timer_due);
  deadline_timer.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec) self->OnDeadlineTimer();
  });
}

void Client::Impl::OnDeadlineTimer() {
  deadline_timer_due = SteadyTime::max();
  const SteadyTime now = std::chrono::steady_clock::now();
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const CallPtr call = calls.at(deadlines.begin()->second);
    deadlines.erase(deadlines.begin());
    if (now >= call->deadline || call->phase < Phase::kSent) OnDeadline(call);
  }
  ArmDeadlineTimer();
}

void Client::Impl::OnDeadline(const CallPtr& call) {
  FailCall(call, {ResultCode::kCallTimeout, call->phase == Phase::kSent
                                                ? "no complete response before the deadline"
                                                : "no connection available before the deadline"});
}

void Client::Impl::StartWaitingCalls() {
  while (!waiting_calls.empty() && !closed) {
    const CallPtr call = waiting_calls.front();
    ConnectionPtr connection = call->needs_new_connection ? nullptr : TakeIdle();
    if (!connection && open_connections >= max_connections && call->needs_new_connection &&
        !idle_connections.empty()) {
      CloseConnection(idle_connections.front());
      idle_connections.erase(idle_connections.begin());
    }
    if (!connection && open_connections >= max_connections) return;
    waiting_calls.pop_front();
    if (connection) {
      SendRequest(call, connection);
    } else {
      Connect(call);
    }
  }
}

ConnectionPtr Client::Impl::TakeIdle() {
  const SteadyTime oldest = std::chrono::steady_clock::now() - options.idle_timeout;
  while (!idle_connections.empty()) {
    ConnectionPtr connection = std::move(idle_connections.back());
    idle_connections.pop_back();
    if (connection->idle_since > oldest && IsReusable(*connection)) return connection;
    CloseConnection(connection);
  }
  return nullptr;
}

void Client::Impl::Connect(const CallPtr& call) {
  auto connection = std::make_shared<Connection>(strand);
  ++open_connections;
  call->phase = Phase::kConnecting;
  call->connection = connection;
  connection->timer.expires_after(options.connect_timeout);
  connection->timer.async_wait([self = shared_from_this(), call](error_code ec) {
    if (ec || call->phase != Phase::kConnecting) return;
    self->FailCall(call, {ResultCode::kConnectionFailed, "connecting timed out"});
  });
  connection->socket.async_connect(
      peer, [self = shared_from_this(), call](error_code ec) { self->OnConnected(call, ec); });
}

void Client::Impl::OnConnected(const CallPtr& call, error_code ec) {
  if (call->phase != Phase::kConnecting) return;
  const ConnectionPtr connection = call->connection;
  connection->timer.cancel();
  if (ec) {
    const bool refused = ec == asio::error::connection_refused;
    return FailAndAbortConnection(
        call,
        {{ResultCode::kConnectionFailed, "cannot connect: " + ec.message()}, Sent::kNo, refused});
  }
  connection->socket.set_option(tcp::no_delay(true), ec);
  connection->socket.non_blocking(true, ec);
  SendRequest(call, connection);
}

void Client::Impl::SendRequest(const CallPtr& call, const ConnectionPtr& connection) {
  call->connection = connection;
  call->phase = Phase::kSent;
  connection->parser.emplace();
  connection->parser->header_limit(kMaxHeaderBytes);
  connection->parser->body_limit(options.max_body_bytes);
  connection->parser->skip(call->is_head);
  Write(call, connection);
  if (call->phase == Phase::kSent) Read(call, connection);
}

// Writes synchronously what the socket accepts, which is all of most requests, and the rest of a
// large request asynchronously.
void Client::Impl::Write(const CallPtr& call, const ConnectionPtr& connection) {
  error_code ec;
  call->written_bytes += connection->socket.write_some(
      asio::buffer(call->serialized_request.data() + call->written_bytes,
                   call->serialized_request.size() - call->written_bytes),
      ec);
  if (ec && ec != asio::error::would_block) {
    // Posted, because the callback must not run before Send() has returned.
    return asio::post(strand,
                      [self = shared_from_this(), call, ec] { self->OnWriteError(call, ec); });
  }
  if (call->written_bytes == call->serialized_request.size()) return;
  asio::async_write(
      connection->socket,
      asio::buffer(call->serialized_request.data() + call->written_bytes,
                   call->serialized_request.size() - call->written_bytes),
      [self = shared_from_this(), call, connection](error_code written_ec, std::size_t) {
        if (written_ec) self->OnWriteError(call, written_ec);
      });
}

void Client::Impl::OnWriteError(const CallPtr& call, error_code ec) {
  if (call->phase != Phase::kSent) return;
  FailAndAbortConnection(
      call,
      {{ResultCode::kConnectionClosed, "cannot send the request: " + ec.message()}, Sent::kMaybe});
}

void Client::Impl::Read(const CallPtr& call, const ConnectionPtr& connection) {
  connection->socket.async_read_some(
      connection->buffer.prepare(kMaxReadBytes),
      [self = shared_from_this(), call, connection](error_code ec, std::size_t n) {
        self->OnRead(call, connection, ec, n);
      });
}

void Client::Impl::OnRead(const CallPtr& call, const ConnectionPtr& connection, error_code ec,
                          std::size_t n) {
  if (call->phase != Phase::kSent) return;
  connection->buffer.commit(n);
  Parser& parser = *connection->parser;
  if (ec == asio::error::eof) {
    ec = parser.got_some() ? make_error_code(beast::http::error::partial_message)
                           : make_error_code(beast::http::error::end_of_stream);
  }
  // Each put() parses one part of the message: in eager mode the parser would lose the error about
  // a body that exceeds its limit.
  while (!ec && !parser.is_done() && connection->buffer.size() > 0) {
    connection->buffer.consume(parser.put(connection->buffer.data(), ec));
  }
  if (ec == beast::http::error::need_more) ec = {};
  if (ec) return FailAndAbortConnection(call, MakeReadFailure(ec));
  if (parser.is_header_done() &&
      (parser.get().result_int() < kFirstFinalStatus || parser.need_eof())) {
    return FailAndAbortConnection(
        call, {{ResultCode::kMalformedMessage, "the response is interim or has no declared length"},
               Sent::kMaybe});
  }
  if (parser.is_done()) return OnResponse(call, connection);
  Read(call, connection);
}

void Client::Impl::OnResponse(const CallPtr& call, const ConnectionPtr& connection) {
  // Bytes beyond the declared length show that the length was wrong.
  if (connection->buffer.size() > 0) {
    return FailAndAbortConnection(
        call,
        {{ResultCode::kMalformedMessage, "unexpected bytes after the response"}, Sent::kMaybe});
  }
  const bool keep = connection->parser->get().keep_alive() && !call->needs_new_connection;
  ClientResponse response = ToResponse(*connection->parser);
  if (call->matches && !call->matches(response)) {
    return FailAndAbortConnection(
        call,
        {{ResultCode::kMalformedMessage, "the response belongs to another request"}, Sent::kMaybe});
  }
  call->connection = nullptr;
  if (keep) {
    ReturnToPool(connection);
  } else {
    CloseConnection(connection);
  }
  CompleteCall(call, std::move(response));
}

void Client::Impl::ReturnToPool(const ConnectionPtr& connection) {
  if (closed || open_connections > max_connections) return CloseConnection(connection);
  connection->parser.reset();
  if (connection->buffer.capacity() > kMaxRetainedBufferBytes) connection->buffer.shrink_to_fit();
  connection->idle_since = std::chrono::steady_clock::now();
  idle_connections.push_back(connection);
  ArmIdleCheckTimer();
}

void Client::Impl::CloseConnection(const ConnectionPtr& connection) {
  if (!connection->open) return;
  connection->open = false;
  connection->timer.cancel();
  error_code ec;
  connection->socket.close(ec);
  --open_connections;
}

/// Closes with a TCP reset. The kernel then discards unsent data, so that a request doesn't arrive
/// after its failure was reported.
void Client::Impl::AbortConnection(const ConnectionPtr& connection) {
  error_code ec;
  connection->socket.set_option(asio::socket_base::linger(true, 0), ec);
  CloseConnection(connection);
}

void Client::Impl::CompleteCall(const CallPtr& call, ClientResult result) {
  if (call->phase == Phase::kCompleted) return;
  call->phase = Phase::kCompleted;
  deadlines.erase({call->deadline, call->id});
  deadlines.erase({call->start_deadline, call->id});
  calls.erase(call->id);
  const auto done = std::exchange(call->done, nullptr);
  done(std::move(result));
  StartWaitingCalls();
}

void Client::Impl::FailCall(const CallPtr& call, Error error) {
  if (call->phase == Phase::kCompleted) return;
  const Sent sent = call->phase == Phase::kSent ? Sent::kMaybe : Sent::kNo;
  waiting_calls.remove(call);
  FailAndAbortConnection(call, {std::move(error), sent});
}

void Client::Impl::FailAndAbortConnection(const CallPtr& call, ClientFailure failure) {
  if (const ConnectionPtr connection = std::exchange(call->connection, nullptr)) {
    AbortConnection(connection);
  }
  CompleteCall(call, tl::make_unexpected(std::move(failure)));
}

void Client::Impl::CloseExcessIdle() {
  while (open_connections > max_connections && !idle_connections.empty()) {
    CloseConnection(idle_connections.front());
    idle_connections.erase(idle_connections.begin());
  }
}

void Client::Impl::CloseIdle() {
  for (const ConnectionPtr& connection : idle_connections) CloseConnection(connection);
  idle_connections.clear();
}

void Client::Impl::ArmIdleCheckTimer() {
  if (idle_check_armed) return;
  idle_check_armed = true;
  idle_check_timer.expires_after(std::min(kIdleCheckInterval, options.idle_timeout));
  idle_check_timer.async_wait([self = shared_from_this()](error_code ec) {
    self->idle_check_armed = false;
    if (!ec) self->CloseExpiredIdle();
  });
}

void Client::Impl::CloseExpiredIdle() {
  const SteadyTime oldest = std::chrono::steady_clock::now() - options.idle_timeout;
  std::erase_if(idle_connections, [&](const ConnectionPtr& connection) {
    if (connection->idle_since > oldest && IsReusable(*connection)) return false;
    CloseConnection(connection);
    return true;
  });
  if (!idle_connections.empty()) ArmIdleCheckTimer();
}

void Client::Impl::CloseAll() {
  closed = true;
  idle_check_timer.cancel();
  deadline_timer.cancel();
  CloseIdle();
  std::vector<CallPtr> pending;
  for (const auto& [id, call] : calls) pending.push_back(call);
  for (const CallPtr& call : pending) {
    FailCall(call, {ResultCode::kConnectionClosed, "the client was closed"});
  }
}

Client::Client(asio::io_context& io, const std::string& ip, std::uint16_t port,
               ClientOptions options)
    : impl_(std::make_shared<Impl>(io, ip, port, options)) {}

Client::~Client() { Close(); }

std::uint64_t Client::Send(ClientRequest request, Milliseconds timeout,
                           std::function<void(ClientResult)> done) {
  auto call = std::make_shared<Call>();
  call->id = impl_->next_call_id++;
  const SteadyTime now = std::chrono::steady_clock::now();
  call->deadline = now + timeout;
  if (request.start_timeout.count() > 0) call->start_deadline = now + request.start_timeout;
  call->done = std::move(done);
  const bool valid = IsValidRequest(request);
  call->is_head = request.method == "HEAD";
  call->needs_new_connection = HasConnectionClose(request);
  call->serialized_request = SerializeRequest(request, impl_->peer);
  call->matches = std::move(request.matches);
  asio::post(impl_->strand, [impl = impl_, call, valid] {
    if (valid) return impl->StartCall(call);
    impl->FailCall(call, {ResultCode::kMalformedHttp, "the request is not valid HTTP"});
  });
  return call->id;
}

void Client::AbortRequest(std::uint64_t request) {
  asio::post(impl_->strand, [impl = impl_, request] {
    const auto it = impl->calls.find(request);
    if (it == impl->calls.end()) return;
    const CallPtr call = it->second;
    impl->FailCall(call, {ResultCode::kConnectionSilent, "the connection is silent"});
  });
}

void Client::CloseIdle() {
  asio::post(impl_->strand, [impl = impl_] { impl->CloseIdle(); });
}

std::size_t Client::ConnectionCount() const { return impl_->open_connections; }

void Client::SetMaxConnections(std::size_t limit) {
  asio::post(impl_->strand, [impl = impl_, limit] {
    impl->max_connections = std::max<std::size_t>(1, limit);
    impl->CloseExcessIdle();
    impl->StartWaitingCalls();
  });
}

void Client::Close() {
  asio::post(impl_->strand, [impl = impl_] { impl->CloseAll(); });
}

}  // namespace parsleyline::http
