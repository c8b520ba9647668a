#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result_code.h"
#include "base/units.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::transport {

/// Limits and timeouts of RPC connections.
struct RpcOptions {
  /// Interval of pings on a connection, whether idle or busy.
  Milliseconds ping_interval{500};
  /// A connection on which a ping is not acknowledged within this time is closed and replaced.
  Milliseconds ping_timeout{1000};
  Milliseconds connect_timeout{1000};
  /// Largest request or response body, in bytes.
  std::size_t max_body_bytes = std::size_t{8} << 20U;
  /// Largest number of calls in flight on one connection. Further calls fail with kOverloaded.
  std::size_t max_in_flight = 20000;
  /// Largest number of body bytes that one connection buffers in each direction. Beyond it, a
  /// client rejects calls with kOverloaded, and a server closes the connection because the peer
  /// doesn't read its responses.
  std::size_t max_buffered_bytes = std::size_t{64} << 20U;
  /// Longest delay between two connection attempts.
  Milliseconds max_backoff{200};
  /// A connection is replaced after this many calls, because the stream ids of an HTTP/2 connection
  /// are finite and not reused.
  std::size_t max_calls_per_connection = 500'000'000;
};

/// Sends the response to one call. To be called exactly once, from any thread. The caller receives
/// an error with its code and message.
using RpcResponseCallback = std::function<void(Result<std::string> response)>;

/// A received call.
struct RpcRequest {
  std::string body;
  /// Time left until the caller's deadline.
  Milliseconds remaining{0};
};

/// Handles one call and calls `respond` then or later.
using RpcHandler = std::function<void(RpcRequest request, RpcResponseCallback respond)>;

/// RPC server over HTTP/2. A call of method `m` is the request "POST /rpc/m" with one message as
/// body. Handlers run on threads of the io_context, concurrently for different connections.
/// Destroying the server closes its connections without waiting for running handlers.
class RpcServer {
 public:
  explicit RpcServer(boost::asio::io_context& io, RpcOptions options = {});
  ~RpcServer();

  /// Registers the handler of `method`. To be called before Listen().
  void RegisterHandler(const std::string& method, RpcHandler handler);

  /// Listens on `ip`:`port` and returns the port. Port 0 selects a free port.
  Result<std::uint16_t> Listen(const std::string& ip, std::uint16_t port);

  /// Rejects new connections and calls, waits for the calls in flight, then calls `done` on a
  /// thread of the io_context. Rejected calls fail with kShuttingDown.
  void Shutdown(std::function<void()> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// RPC client of one peer. Its connection is opened on demand, monitored by pings and replaced if
/// they are not acknowledged. Destroying the client closes it; callbacks of its calls may run after
/// that. The io_context must outlive the client.
class RpcClient {
 public:
  RpcClient(boost::asio::io_context& io, const std::string& ip, std::uint16_t port,
            RpcOptions options = {});
  ~RpcClient();

  /// Calls `method`. `done` runs once on a thread of the io_context, with the response, the error
  /// returned by the handler, or one of these errors:
  /// - kConnectionFailed (never sent), kShuttingDown, kOverloaded (rejected): the call did not run;
  /// - kBodyTooLarge: the request was rejected, or the response exceeds the limit;
  /// - kConnectionClosed, kConnectionSilent, kCallTimeout: the call may have run.
  /// Calls made while the client connects or backs off wait for the next connection attempt.
  void Call(const std::string& method, std::string body, Milliseconds timeout,
            std::function<void(Result<std::string>)> done);

  /// Fails all pending calls and closes the connection. Later calls fail with kConnectionFailed.
  void Close();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::transport
