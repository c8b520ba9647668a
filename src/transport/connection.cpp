#include "transport/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "base/event_log.h"

namespace parsleyline::transport {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Approximate size of one write. The limit keeps a ping from waiting behind much data.
constexpr std::size_t kMaxWriteBytes = std::size_t{256} << 10U;
// A write buffer that has grown beyond this size for a burst is freed after it.
constexpr std::size_t kMaxRetainedBufferBytes = std::size_t{64} << 10U;

// TCP_USER_TIMEOUT exceeds the ping timeout by this margin. It closes a connection with
// unacknowledged data when the process is too busy to run its ping timer.
constexpr Milliseconds kUserTimeoutMargin{500};

// Bound on the wait for a ping while bodies make progress, in ping timeouts.
constexpr int kMaxPingTimeouts = 10;

Http2Limits MakeLimits(const RpcOptions& options) {
  return {options.max_body_bytes, options.max_buffered_bytes,
          static_cast<std::uint32_t>(options.max_in_flight)};
}

// Returns an error if the socket cannot be used without blocking.
error_code ConfigureSocket(Socket& socket, const RpcOptions& options) {
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto timeout = options.ping_interval + options.ping_timeout + kUserTimeoutMargin;
  const auto millis = static_cast<unsigned>(timeout.count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis));
  error_code ec;
  // With native_non_blocking() alone, a synchronous operation would still wait for the socket.
  socket.non_blocking(true, ec);
  return ec;
}

std::string PeerAddress(const Socket& socket) {
  error_code ec;
  const auto endpoint = socket.remote_endpoint(ec);
  if (ec) return "unknown";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string_view RoleName(Http2Role role) {
  return role == Http2Role::kClient ? "client" : "server";
}

}  // namespace

std::string_view CloseReasonName(CloseReason reason) {
  constexpr std::array<std::string_view, 6> kNames = {
      "finished", "closed_by_peer", "closed_locally", "silent", "protocol_error", "slow_reader"};
  return kNames.at(static_cast<std::size_t>(reason));
}

Connection::Connection(Socket socket, Http2Role role, const RpcOptions& options)
    : socket_(std::move(socket)),
      strand_(socket_.get_executor()),
      ping_timer_(strand_),
      options_(options),
      role_(role),
      session_(role, MakeLimits(options), this),
      peer_(PeerAddress(socket_)) {}

void Connection::Start() {
  Event("rpc_connection_opened").With("side", RoleName(role_)).With("peer", peer_);
  if (const error_code ec = ConfigureSocket(socket_, options_)) return CloseOnError(ec);
  ArmPingTimer(options_.ping_interval);
  Flush();
  if (!closed_) Read();
}

void Connection::Read() {
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [self = shared_from_this()](const error_code& ec, std::size_t size) {
                            self->OnRead(ec, size);
                          });
}

void Connection::OnRead(const error_code& ec, std::size_t size) {
  if (closed_) return;
  if (ec) {
    CloseOnError(ec);
    return;
  }
  const auto received = session_.Receive({read_buffer_.data(), size});
  AfterReceive();
  if (closed_) return;
  if (!received) {
    Close(CloseReason::kProtocolError, received.error().message);
    return;
  }
  Flush();
  if (!closed_) Read();
}

void Connection::Flush() {
  while (!closed_ && !write_pending_) {
    const auto taken = session_.TakeOutput(&write_buffer_, kMaxWriteBytes);
    if (!taken) {
      Close(CloseReason::kProtocolError, taken.error().message);
      return;
    }
    if (write_buffer_.empty()) break;
    if (WriteSome() != WriteResult::kDone) return;
  }
  if (!closed_ && !write_pending_ && session_.Finished()) CloseGracefully();
}

Connection::WriteResult Connection::WriteSome() {
  error_code ec;
  const auto rest =
      asio::buffer(write_buffer_.data() + write_offset_, write_buffer_.size() - write_offset_);
  write_offset_ += socket_.write_some(rest, ec);
  if (ec && ec != asio::error::would_block) {
    CloseOnError(ec);
    return WriteResult::kFailed;
  }
  if (write_offset_ == write_buffer_.size()) {
    if (write_buffer_.capacity() > kMaxRetainedBufferBytes) write_buffer_ = std::string();
    write_buffer_.clear();
    write_offset_ = 0;
    return WriteResult::kDone;
  }
  write_pending_ = true;
  socket_.async_write_some(
      asio::buffer(write_buffer_.data() + write_offset_, write_buffer_.size() - write_offset_),
      [self = shared_from_this()](const error_code& written_ec, std::size_t size) {
        self->OnWritten(written_ec, size);
      });
  return WriteResult::kPending;
}

void Connection::OnWritten(const error_code& ec, std::size_t size) {
  if (closed_) return;
  if (ec) {
    CloseOnError(ec);
    return;
  }
  write_pending_ = false;
  write_offset_ += size;
  if (write_offset_ < write_buffer_.size()) {
    if (WriteSome() != WriteResult::kDone) return;
  } else {
    write_buffer_.clear();
    write_offset_ = 0;
  }
  Flush();
}

void Connection::CloseOnError(const error_code& ec) {
  if (ec == asio::error::timed_out) {
    Close(CloseReason::kSilent, "sent data was not acknowledged before TCP_USER_TIMEOUT");
  } else if (closing_gracefully_) {
    Close(CloseReason::kFinished);
  } else {
    Close(CloseReason::kClosedByPeer, ec.message());
  }
}

void Connection::BeginShutdown() {
  if (closed_) return;
  session_.SubmitGoAway();
  Flush();
}

// Closes the connection after the end of the session. A server shuts down only its sending
// direction and waits for the peer to close, because closing a socket with unread input would reset
// the connection and could discard the last response in flight. The ping timer bounds the wait.
void Connection::CloseGracefully() {
  if (session_.ProtocolErrorSeen()) {
    Close(CloseReason::kProtocolError);
    return;
  }
  if (role_ == Http2Role::kClient) {
    Close(CloseReason::kFinished);
    return;
  }
  if (std::exchange(closing_gracefully_, true)) return;
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  ArmPingTimer(options_.ping_timeout);
}

void Connection::Close(CloseReason reason, std::string_view detail) {
  if (std::exchange(closed_, true)) return;
  const bool unusual = reason != CloseReason::kFinished && reason != CloseReason::kClosedLocally &&
                       reason != CloseReason::kClosedByPeer;
  Event("rpc_connection_closed", unusual ? Severity::kWarning : Severity::kInfo)
      .With("side", RoleName(role_))
      .With("peer", peer_)
      .With("reason", CloseReasonName(reason))
      .With("detail", detail);
  error_code ignored;
  // After a reset, the kernel does not deliver calls whose failure is being reported.
  if (role_ == Http2Role::kClient && unusual) {
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  socket_.close(ignored);
  ping_timer_.cancel();
  OnClosed(reason);
}

void Connection::ArmPingTimer(Duration delay) {
  ping_timer_due_ = std::chrono::steady_clock::now() + delay;
  ping_timer_.expires_at(ping_timer_due_);
  ping_timer_.async_wait([self = shared_from_this()](const error_code& ec) {
    if (!ec && !self->closed_) self->OnPingTimer();
  });
}

void Connection::OnPingTimer() {
  const TimePoint now = std::chrono::steady_clock::now();
  if (now < ping_timer_due_) return;  // The timer was restarted after this handler had been queued.
  if (closing_gracefully_) {
    Close(CloseReason::kFinished);
    return;
  }
  if (ping_state_ == PingState::kIdle) {
    SendPing();
    return;
  }
  const Duration remaining = RemainingPingTime(now);
  if (remaining > Duration::zero()) {
    ArmPingTimer(remaining);
    return;
  }
  Event("rpc_connection_silent", Severity::kWarning)
      .With("side", RoleName(role_))
      .With("peer", peer_);
  Close(CloseReason::kSilent);
}

void Connection::SendPing() {
  ping_state_ = PingState::kAwaitingAck;
  ping_sent_at_ = std::chrono::steady_clock::now();
  session_.SubmitPing();
  ArmPingTimer(options_.ping_timeout);
  Flush();
}

// Returns how much longer to wait for the acknowledgement of the ping whose timer has expired.
Duration Connection::RemainingPingTime(TimePoint now) const {
  // A late timer means that this process was paused. The acknowledgement may already be in the
  // socket, so the delay is not counted against the peer.
  const Duration late = now - ping_timer_due_;
  if (late > options_.ping_timeout / 4) return std::min<Duration>(late, options_.ping_timeout);
  // The acknowledgement may be queued behind large bodies. A connection on which bodies make
  // progress is not silent. The bound closes a connection on which only pings are lost.
  const Duration since_progress = now - last_progress_at_;
  if (now - ping_sent_at_ >= kMaxPingTimeouts * options_.ping_timeout) return Duration::zero();
  return options_.ping_timeout - since_progress;
}

void Connection::OnPingAck() {
  if (ping_state_ != PingState::kAwaitingAck || closing_gracefully_) return;
  ping_state_ = PingState::kIdle;
  const Duration elapsed = std::chrono::steady_clock::now() - ping_sent_at_;
  ArmPingTimer(std::max<Duration>(options_.ping_interval - elapsed, Duration::zero()));
}

}  // namespace parsleyline::transport
