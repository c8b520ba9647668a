#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace parsleyline::testing {

/// Timeout of every wait in a test; far longer than a passing test needs.
inline constexpr std::chrono::seconds kTestTimeout{20};

/// Waits until `condition` holds; returns false after kTestTimeout.
inline bool WaitFor(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// An io_context that is run by several threads until Stop().
class IoThreads {
 public:
  explicit IoThreads(int count = 2) : guard_(io_.get_executor()) {
    for (int i = 0; i < count; ++i) threads_.emplace_back([this] { io_.run(); });
  }
  ~IoThreads() { Stop(); }

  void Stop() {
    guard_.reset();
    io_.stop();
    for (auto& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
    threads_.clear();
    // Runs the remaining handlers, which close the connections of destroyed objects.
    io_.restart();
    io_.poll();
  }
  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  std::vector<std::thread> threads_;
};

/// A blocking socket that sends and receives arbitrary bytes.
class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) { SetTimeout(kTestTimeout); }
  RawSocket(RawSocket&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), unread_(std::move(other.unread_)) {}
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { Close(); }

  static RawSocket Connect(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(port);
    ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    return RawSocket(fd);
  }

  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  void SetTimeout(std::chrono::milliseconds timeout) {
    const timeval value{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
    ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
  }

  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads until `end` has been received, the stream ends, or the timeout expires. Returns the
  /// bytes up to and including `end`.
  std::string ReadUntil(const std::string& end) {
    while (end.empty() || unread_.find(end) == unread_.npos) {
      if (!ReadSome()) break;
    }
    const std::size_t found = end.empty() ? unread_.npos : unread_.find(end);
    return Take(found == unread_.npos ? unread_.size() : found + end.size());
  }
  /// Reads until the stream ends or the timeout expires.
  std::string ReadToEnd() { return ReadUntil(""); }
  /// Reads one request or response with Content-Length. Returns less if the stream ends before.
  std::string ReadMessage() {
    const std::string header = ReadUntil("\r\n\r\n");
    const auto length = header.find("Content-Length: ");
    if (length == header.npos) return header;
    const std::size_t size = std::stoul(header.substr(length + 16));
    while (unread_.size() < size && ReadSome()) {
    }
    return header + Take(std::min(size, unread_.size()));
  }
  /// Returns whether the last read found the connection closed or reset by the peer.
  bool closed() const { return closed_; }

  /// Closes the connection with a TCP reset.
  void Reset() {
    const linger value{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
    Close();
  }
  void Close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void ShutdownWrite() { ::shutdown(fd_, SHUT_WR); }
  void ShrinkReceiveBuffer() {
    const int size = 4096;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  }

 private:
  bool ReadSome() {
    char buf[4096];
    const auto n = ::recv(fd_, buf, sizeof(buf), 0);
    closed_ = n == 0 || (n < 0 && errno == ECONNRESET);
    if (n > 0) unread_.append(buf, static_cast<std::size_t>(n));
    return n > 0;
  }
  std::string Take(std::size_t size) {
    std::string taken = unread_.substr(0, size);
    unread_.erase(0, size);
    return taken;
  }

  int fd_;
  /// Bytes that have been received but not returned.
  std::string unread_;
  bool closed_ = false;
};

/// A server that handles each connection with a function on a thread of its own.
class FakeServer {
 public:
  /// Handles one connection. `number` counts the connections from 1.
  using ConnectionHandler = std::function<void(RawSocket&, int number)>;

  explicit FakeServer(ConnectionHandler behaviour) : behaviour_(std::move(behaviour)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = RawSocket::Loopback(0);
    ::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    ::listen(fd_, 128);
    socklen_t size = sizeof(address);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~FakeServer() {
    ::shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    ::close(fd_);
    // The test has destroyed its clients before, which ends every read.
    for (auto& thread : threads_) thread.join();
  }

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Returns the number of accepted connections.
  int connections() const { return connections_; }

 private:
  void Accept() {
    for (int fd = ::accept(fd_, nullptr, nullptr); fd >= 0; fd = ::accept(fd_, nullptr, nullptr)) {
      threads_.emplace_back([this, fd, number = ++connections_] {
        RawSocket socket(fd);
        behaviour_(socket, number);
      });
    }
  }

  ConnectionHandler behaviour_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<int> connections_ = 0;
  std::thread acceptor_;
  std::vector<std::thread> threads_;
};

/// Returns a valid HTTP response.
inline std::string HttpResponse(const std::string& body, int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace parsleyline::testing
