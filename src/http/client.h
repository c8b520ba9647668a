#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result_code.h"
#include "base/units.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::http {

/// Limits and timeouts of a client.
struct ClientOptions {
  /// Largest number of connections to the peer. Further requests wait for one of them.
  std::size_t max_connections = 8;
  Milliseconds connect_timeout{1000};
  /// A keep-alive connection that has been idle for longer is closed and not reused.
  Milliseconds idle_timeout{30000};
  /// Largest response body.
  std::size_t max_body_bytes = std::size_t{1} << 20U;
};

/// A complete response.
struct ClientResponse {
  int status = 0;
  /// Header fields by name in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// A request to be sent by a client.
struct ClientRequest {
  std::string method = "GET";
  /// Percent-encoded path and query.
  std::string target;
  /// Header fields by name. The client adds "Host" with the peer's address unless it is given here.
  std::map<std::string, std::string> headers;
  std::string body;
  /// If positive, the longest wait for a connection. A request that is not being sent by then fails
  /// with Sent::kNo.
  Milliseconds start_timeout{0};
  /// If set, checks that a complete response belongs to this request. If it returns false, the
  /// connection is closed and the request fails with Sent::kMaybe.
  std::function<bool(const ClientResponse&)> matches;
};

/// Whether any part of a failed request may have reached the peer.
enum class Sent : std::uint8_t { kNo, kMaybe };

/// Error of a request without a valid response.
struct ClientFailure {
  Error error;
  Sent sent = Sent::kMaybe;
  /// True if the peer's host refused the connection, because no process listens at the address.
  bool refused = false;
};

using ClientResult = tl::expected<ClientResponse, ClientFailure>;

/// HTTP/1.1 client of one peer with a bounded pool of keep-alive connections. A connection is
/// closed and never reused after a request on it timed out or failed, or after unexpected bytes
/// were received on it. A response is delivered only when it is complete. All functions may be
/// called from any thread.
class Client {
 public:
  Client(boost::asio::io_context& io, const std::string& ip, std::uint16_t port,
         ClientOptions options = {});
  ~Client();

  /// Sends a request and returns its id for AbortRequest(). `done` runs once on a thread of the
  /// io_context. The request is never retried. `timeout` includes the wait for a connection. A
  /// request with the header "connection: close" is sent on a new connection.
  std::uint64_t Send(ClientRequest request, Milliseconds timeout,
                     std::function<void(ClientResult)> done);

  /// Fails a pending request with kConnectionSilent and closes its connection. Does nothing if the
  /// request has completed.
  void AbortRequest(std::uint64_t request_id);

  /// Closes the idle connections.
  void CloseIdle();

  /// Returns the number of connections that are open or being opened.
  std::size_t ConnectionCount() const;

  /// Changes the largest number of connections. Excess connections that are in use are closed when
  /// their requests complete.
  void SetMaxConnections(std::size_t limit);

  /// Closes all connections and fails all pending requests: with Sent::kNo those that were not
  /// sent, with Sent::kMaybe the others.
  void Close();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::http
