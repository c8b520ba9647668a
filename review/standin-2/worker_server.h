#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

/// A complete request. Header names are in lower case.
struct OrderRequest {
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
};

using Respond = std::function<void(int status, const std::string& body)>;

/// What the network and the machine of a worker do with the bytes that are sent to it.
struct LinkState {
  /// Number of the running lifetime; 0 while there is none.
  std::uint64_t lifetime = 0;
  /// False while the worker is down or cut off: bytes get no answer of any kind.
  bool arrives = true;
};

/// HTTP/1.1 server of a worker. A connection belongs to the lifetime in which it was opened: bytes
/// that arrive on it in a later one are answered with a reset, as by a machine that has started
/// again. Runs on the only thread of `io`.
class WorkerServer {
 public:
  using Handler = std::function<void(const OrderRequest&, const Respond&)>;

  WorkerServer(boost::asio::io_context& io, Handler handler, std::function<LinkState()> link);
  /// Listens on a free port of `ip` and returns the port; 0 if that fails.
  std::uint16_t Listen(const std::string& ip);

 private:
  struct Connection;

  void Accept();
  void AwaitRequest(const std::shared_ptr<Connection>& connection);
  void OnReadable(const std::shared_ptr<Connection>& connection);
  void OnRequest(const std::shared_ptr<Connection>& connection);
  void Send(const std::shared_ptr<Connection>& connection, int status, const std::string& body);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const Handler handler_;
  const std::function<LinkState()> link_;
};

}  // namespace review
