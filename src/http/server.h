#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/result_code.h"
#include "base/units.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::http {

/// Limits and timeouts of a server.
struct ServerOptions {
  std::size_t max_header_bytes = std::size_t{8} << 10U;
  std::size_t max_body_bytes = std::size_t{256} << 10U;
  /// Longest time to receive a header after its first byte.
  Milliseconds header_timeout{5000};
  /// Longest time to receive a body after its header.
  Milliseconds body_timeout{10000};
  /// Longest time that a connection may stay open without a request.
  Milliseconds idle_timeout{60000};
  /// Longest time to send a response.
  Milliseconds write_timeout{10000};
  std::size_t max_connections = 4096;
};

/// A complete request.
struct Request {
  std::string method;
  /// Percent-decoded path without the query.
  std::string path;
  /// Percent-decoded query parameters by name.
  std::map<std::string, std::string> query;
  /// Header fields by name in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// Number of the connection within its server, in the order of acceptance from 1.
  std::uint64_t connection = 0;
};

/// A response to a request.
struct Response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  /// Further header fields by name.
  std::map<std::string, std::string> headers;
};

/// Returns the response that reports an error, with a JSON body:
/// {"error": {"code", "name", "message"}}.
Response ErrorResponse(const Error& error);

/// Sends the response to one request. To be called exactly once, from any thread. Further calls are
/// ignored. If the last copy is destroyed without a call, the response is an internal error.
using ResponseCallback = std::function<void(Response response)>;
/// Handles one request and calls `respond` then or later.
using Handler = std::function<void(Request request, ResponseCallback respond)>;

/// HTTP/1.1 server with keep-alive connections and limits. Malformed requests get an error response
/// with a result code and don't reach the handler. Requests of one connection are handled one after
/// the other, those of different connections concurrently on the threads of the io_context. When
/// the limit of connections is reached, a new connection replaces the one that has waited longest
/// for a complete request.
///
/// Destroy the server only after Shutdown() has finished or while no thread runs the io_context.
class Server {
 public:
  Server(boost::asio::io_context& io, Handler handler, ServerOptions options = {});
  ~Server();

  /// Listens on `ip`:`port` and returns the port. Port 0 selects a free port.
  Result<std::uint16_t> Listen(const std::string& ip, std::uint16_t port);

  /// Stops accepting connections, closes idle ones and answers requests in flight with
  /// "Connection: close". Calls `done` once all connections are closed.
  void Shutdown(std::function<void()> done);

  /// Returns the number of open connections.
  std::size_t ConnectionCount() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::http
