#include "review/standin/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace parsleyline::review {
namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr int kBacklog = 256;
constexpr Ms kNoTimeout{3'600'000};

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Reads more bytes. Returns false at the end of the connection or the deadline.
bool ReadSome(int socket, Time deadline, std::string* buffer) {
  const auto left = std::chrono::duration_cast<Ms>(deadline - Clock::now());
  if (left <= Ms(0)) return false;
  pollfd waiting{socket, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(left.count())) <= 0) return false;
  char bytes[kReadBytes];
  const ssize_t n = recv(socket, bytes, sizeof(bytes), 0);
  if (n <= 0) return false;
  buffer->append(bytes, static_cast<std::size_t>(n));
  return true;
}

// Reads one message and removes it from the buffer. Returns its first line in `first`.
bool ReadMessage(int socket, Time deadline, std::string* buffer, std::string* first,
                 std::map<std::string, std::string>* headers, std::string* body) {
  std::size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!ReadSome(socket, deadline, buffer)) return false;
  }
  std::size_t at = buffer->find("\r\n");
  *first = buffer->substr(0, at);
  while (at < end) {
    const std::size_t next = buffer->find("\r\n", at + 2);
    const std::string line = buffer->substr(at + 2, next - at - 2);
    at = next;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    (*headers)[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::string length =
      headers->contains("content-length") ? (*headers)["content-length"] : "";
  const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
  while (buffer->size() < end + 4 + size) {
    if (!ReadSome(socket, deadline, buffer)) return false;
  }
  *body = buffer->substr(end + 4, size);
  buffer->erase(0, end + 4 + size);
  return true;
}

}  // namespace

int Listen(const Address& address) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in to = ToSockaddr(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
      listen(listener, kBacklog) == 0) {
    return listener;
  }
  close(listener);
  return -1;
}

int Connect(const Address& address, Ms timeout) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval wait{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
  const sockaddr_in to = ToSockaddr(address);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(connection);
    return -1;
  }
  SetNoDelay(connection);
  return connection;
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

HttpServer::HttpServer(const Address& address, Handler handler)
    : handler_(std::move(handler)), listener_(Listen(address)) {
  if (listener_ >= 0) acceptor_ = std::thread([this] { Accept(); });
}

void HttpServer::Stop() {
  stopping_ = true;
  if (listener_ >= 0) shutdown(listener_, SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (const Connection& it : connections_) shutdown(it.socket, SHUT_RDWR);
}

HttpServer::~HttpServer() {
  Stop();
  if (listener_ >= 0) {
    acceptor_.join();
    close(listener_);
  }
  std::list<Connection> open;
  {
    const std::lock_guard lock(mutex_);
    for (const Connection& it : connections_) shutdown(it.socket, SHUT_RDWR);
    open = std::move(connections_);
  }
  for (Connection& it : open) {
    it.thread.join();
    close(it.socket);
  }
}

void HttpServer::Accept() {
  while (!stopping_) {
    const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      if (stopping_ || errno == EINVAL) return;
      continue;
    }
    SetNoDelay(connection);
    const std::lock_guard lock(mutex_);
    connections_.push_back({connection, std::thread([this, connection] { Serve(connection); })});
  }
}

void HttpServer::Serve(int socket) {
  std::string buffer;
  while (!stopping_) {
    Request request;
    std::string first;
    if (!ReadMessage(socket, Clock::now() + kNoTimeout, &buffer, &first, &request.headers,
                     &request.body)) {
      break;
    }
    const std::size_t space = first.find(' ');
    request.method = first.substr(0, space);
    request.path = first.substr(space + 1, first.rfind(' ') - space - 1);
    const Response response = handler_(request);
    if (stopping_) break;
    const std::string head = "HTTP/1.1 " + std::to_string(response.status) +
                             " -\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n";
    if (!SendAll(socket, head + response.body)) break;
  }
  shutdown(socket, SHUT_RDWR);
}

Response Call(const Address& to, const Request& request, Ms timeout) {
  Response response{0, ""};
  const Time deadline = Clock::now() + timeout;
  const int connection = Connect(to, timeout);
  if (connection < 0) return response;
  std::string text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
  if (!request.headers.contains("Host")) text += "Host: " + to.Text() + "\r\n";
  for (const auto& [name, value] : request.headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  std::string buffer;
  std::string first;
  std::map<std::string, std::string> headers;
  if (SendAll(connection, text) &&
      ReadMessage(connection, deadline, &buffer, &first, &headers, &response.body)) {
    const std::size_t space = first.find(' ');
    response.status = std::atoi(first.c_str() + space + 1);
  }
  close(connection);
  return response;
}

}  // namespace parsleyline::review
