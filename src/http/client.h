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

struct ClientOptions {
  /// Connections to one peer; further requests wait.
  std::size_t max_connections = 8;
  Milliseconds connect_timeout{1000};
  /// A kept connection that has been idle for longer is closed instead of used.
  Milliseconds idle_timeout{30000};
  std::size_t max_body_bytes = std::size_t{1} << 20U;
};

struct ClientResponse {
  int status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct ClientRequest {
  std::string method = "GET";
  /// Path with query, percent-encoded.
  std::string target;
  /// "Host" names the peer's address unless it is given here.
  std::map<std::string, std::string> headers;
  std::string body;
  /// If positive, the request fails with Sent::kNo unless it is being sent after this time.
  Milliseconds start_timeout{0};
  /// If set, tells whether a whole response belongs to this request. If not, the connection is
  /// closed and the request fails with Sent::kMaybe.
  std::function<bool(const ClientResponse&)> matches;
};

/// Whether bytes of a failed request may have reached the peer.
enum class Sent : std::uint8_t { kNo, kMaybe };

struct ClientFailure {
  Error error;
  Sent sent = Sent::kMaybe;
};

using ClientResult = tl::expected<ClientResponse, ClientFailure>;

/// HTTP/1.1 client of one peer with a bounded pool of keep-alive connections. A connection on
/// which a request timed out, broke off or got bytes out of turn is closed and never reused. A
/// response is delivered only when it is whole.
class Client {
 public:
  Client(boost::asio::io_context& io, const std::string& ip, std::uint16_t port,
         ClientOptions options = {});
  ~Client();

  /// Sends a request and returns its number for Abandon. `done` runs once on a thread of the
  /// io_context. The request is never sent a second time. `timeout` covers the wait for a
  /// connection. A request with the header "connection: close" gets a fresh connection.
  std::uint64_t Send(ClientRequest request, Milliseconds timeout,
                     std::function<void(ClientResult)> done);

  /// Fails a request that has not ended with kConnectionSilent and closes its connection.
  void Abandon(std::uint64_t request);

  /// Closes the connections that are not in use.
  void CloseIdle();

  /// Number of open connections, including those being opened.
  std::size_t ConnectionCount() const;

  /// Changes the bound on connections; those in use end first.
  void SetMaxConnections(std::size_t limit);

  /// Closes all connections. Requests that were not sent fail with Sent::kNo, the others with
  /// Sent::kMaybe.
  void Close();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::http
