#pragma once

#include <array>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "transport/http2_session.h"
#include "transport/rpc.h"

namespace parsleyline::transport {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;
using Timer =
    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>, Strand>;

/// Why a connection was closed.
enum class CloseReason {
  /// The session ended gracefully: a GOAWAY was exchanged and no stream is left.
  kFinished,
  kClosedByPeer,
  kClosedLocally,
  /// The peer acknowledged neither a ping nor sent data in time.
  kSilent,
  kProtocolError,
  /// The peer reads responses more slowly than they are produced.
  kSlowReader,
};

/// Returns the name of `reason` in log lines.
std::string_view CloseReasonName(CloseReason reason);

/// One HTTP/2 connection: reads, writes in batches, and detects a silent peer by pings. All
/// functions must be called on the strand of the socket, except the constructor and strand().
class Connection : public std::enable_shared_from_this<Connection>, protected Http2Session::Events {
 public:
  Connection(Socket socket, Http2Role role, const RpcOptions& options);
  ~Connection() override = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Starts reading and pinging. The socket must be connected.
  void Start();
  /// Closes the connection immediately. `detail` is logged with the reason.
  void Close(CloseReason reason, std::string_view detail = {});

  /// Writes the pending output of the session.
  void Flush();
  /// Sends GOAWAY to reject new streams and closes the connection once those in flight have ended.
  void BeginShutdown();

  /// Returns the strand of the socket. May be called from any thread.
  const Strand& strand() const { return strand_; }
  /// Returns "ip:port" of the peer, or "unknown".
  const std::string& peer() const { return peer_; }
  bool closed() const { return closed_; }

 protected:
  /// Called after received bytes have been processed and before the output is flushed.
  virtual void AfterReceive() = 0;
  /// Called once, when the connection has been closed.
  virtual void OnClosed(CloseReason reason) = 0;

  void OnPingAck() override;
  void OnProgress() override { last_progress_at_ = std::chrono::steady_clock::now(); }

  const RpcOptions& options() const { return options_; }
  Http2Session& session() { return session_; }
  /// Returns the number of body and frame bytes that have not been written to the socket.
  std::size_t unsent_bytes() const {
    return session_.unsent_bytes() + write_buffer_.size() - write_offset_;
  }

 private:
  enum class PingState { kIdle, kAwaitingAck };
  enum class WriteResult { kDone, kPending, kFailed };

  void Read();
  void OnRead(const boost::system::error_code& ec, std::size_t size);
  WriteResult WriteSome();
  void OnWritten(const boost::system::error_code& ec, std::size_t size);
  void CloseOnError(const boost::system::error_code& ec);
  void CloseGracefully();
  void ArmPingTimer(Duration delay);
  void OnPingTimer();
  void SendPing();
  Duration RemainingPingTime(TimePoint now) const;

  Socket socket_;
  const Strand strand_;
  Timer ping_timer_;
  const RpcOptions options_;
  Http2Role role_;
  Http2Session session_;
  std::string peer_;
  std::array<char, std::size_t{32} << 10U> read_buffer_;
  std::string write_buffer_;
  std::size_t write_offset_ = 0;
  bool write_pending_ = false;
  bool closing_gracefully_ = false;
  bool closed_ = false;
  PingState ping_state_ = PingState::kIdle;
  TimePoint ping_sent_at_;
  TimePoint last_progress_at_;
  TimePoint ping_timer_due_;
};

}  // namespace parsleyline::transport
