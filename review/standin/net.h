#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "review/standin/record.h"

namespace parsleyline::review {

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string Text() const { return ip + ':' + std::to_string(port); }
};

struct Request {
  std::string method;
  std::string path;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

/// Returns a listening socket, or -1.
int Listen(const Address& address);
/// Returns a connected socket, or -1.
int Connect(const Address& address, Ms timeout);
/// Sends all bytes. Returns false if the connection ended.
bool SendAll(int socket, const std::string& bytes);

/// Serves HTTP/1.1 with one thread for each connection.
class HttpServer {
 public:
  using Handler = std::function<Response(const Request&)>;

  HttpServer(const Address& address, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  bool IsListening() const { return listener_ >= 0; }
  /// Ends all connections without a response, as if the process were killed.
  void Stop();

 private:
  struct Connection {
    int socket = -1;
    std::thread thread;
  };

  void Accept();
  void Serve(int socket);

  const Handler handler_;
  const int listener_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::list<Connection> connections_;
  std::thread acceptor_;
};

/// Sends one request on a connection of its own. The status is 0 if no complete response arrived
/// within `timeout`.
Response Call(const Address& to, const Request& request, Ms timeout);

}  // namespace parsleyline::review
