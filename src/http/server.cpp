#include "http/server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "http/server_connection.h"

namespace parsleyline::http {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using internal::ServerConnection;
using tcp = asio::ip::tcp;

/// Delay after a failed accept, for example when the process has no free file descriptor.
constexpr Milliseconds kAcceptRetryDelay{50};

}  // namespace

struct Server::Impl : internal::ConnectionOwner, std::enable_shared_from_this<Server::Impl> {
  Impl(asio::io_context& io_context, Handler request_handler, ServerOptions server_options)
      : io(io_context),
        strand(asio::make_strand(io_context)),
        acceptor(strand),
        retry_timer(strand),
        handler(std::move(request_handler)),
        limits(server_options) {}

  const ServerOptions& options() const override { return limits; }
  bool stopping() const override { return is_stopping; }
  void Handle(Request request, ResponseCallback respond) override {
    handler(std::move(request), std::move(respond));
  }
  void MarkEvictable(ServerConnection& connection) override;
  void MarkBusy(ServerConnection& connection) override;
  void Remove(ServerConnection& connection) override;

  void Accept();
  void StartConnection(tcp::socket socket);
  bool EvictIfFull();
  void AcceptBacklog();
  std::vector<std::shared_ptr<ServerConnection>> OpenConnections();
  void Shutdown(std::function<void()> done);
  void Abort();
  void RemoveFromEvictionQueue(ServerConnection& connection);

  asio::io_context& io;
  asio::strand<asio::io_context::executor_type> strand;
  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  Handler handler;
  const ServerOptions limits;
  std::atomic<bool> is_stopping = false;
  std::atomic<std::uint64_t> next_connection_number = 1;

  /// Guards the members below.
  std::mutex mutex;
  std::unordered_set<ServerConnection*> connections;
  /// Connections that wait for a complete request, longest wait first: the candidates for eviction.
  std::list<ServerConnection*> eviction_queue;
  std::function<void()> on_drained;
};

void Server::Impl::MarkEvictable(ServerConnection& connection) {
  const std::lock_guard lock(mutex);
  RemoveFromEvictionQueue(connection);
  connection.eviction_position = eviction_queue.insert(eviction_queue.end(), &connection);
}

void Server::Impl::MarkBusy(ServerConnection& connection) {
  const std::lock_guard lock(mutex);
  RemoveFromEvictionQueue(connection);
}

void Server::Impl::RemoveFromEvictionQueue(ServerConnection& connection) {
  if (!connection.eviction_position) return;
  eviction_queue.erase(*connection.eviction_position);
  connection.eviction_position.reset();
}

void Server::Impl::Remove(ServerConnection& connection) {
  std::function<void()> drained;
  {
    const std::lock_guard lock(mutex);
    RemoveFromEvictionQueue(connection);
    connections.erase(&connection);
    if (connections.empty()) drained = std::exchange(on_drained, nullptr);
  }
  if (drained) asio::post(io, std::move(drained));
}

void Server::Impl::Accept() {
  acceptor.async_accept(asio::make_strand(io),
                        [self = shared_from_this()](error_code ec, tcp::socket socket) {
                          if (self->is_stopping || ec == asio::error::operation_aborted) return;
                          if (!ec) {
                            self->StartConnection(std::move(socket));
                            return self->Accept();
                          }
                          Event("accept_failed", Severity::kWarning).With("reason", ec.message());
                          self->retry_timer.expires_after(kAcceptRetryDelay);
                          self->retry_timer.async_wait([self](error_code wait_ec) {
                            if (!wait_ec && !self->is_stopping) self->Accept();
                          });
                        });
}

void Server::Impl::StartConnection(tcp::socket socket) {
  const bool has_room = EvictIfFull();
  auto connection = std::make_shared<ServerConnection>(std::move(socket), shared_from_this(),
                                                       next_connection_number++);
  {
    const std::lock_guard lock(mutex);
    connections.insert(connection.get());
  }
  if (has_room) return connection->Start();
  connection->Reject({ResultCode::kOverloaded, "all " + std::to_string(limits.max_connections) +
                                                   " connections of the server are busy"});
}

bool Server::Impl::EvictIfFull() {
  std::shared_ptr<ServerConnection> evicted;
  const std::lock_guard lock(mutex);
  if (connections.size() < limits.max_connections) return true;
  if (eviction_queue.empty()) return false;
  evicted = eviction_queue.front()->weak_from_this().lock();
  RemoveFromEvictionQueue(*eviction_queue.front());
  if (evicted) evicted->Evict();
  return true;
}

std::vector<std::shared_ptr<ServerConnection>> Server::Impl::OpenConnections() {
  std::vector<std::shared_ptr<ServerConnection>> open;
  const std::lock_guard lock(mutex);
  for (ServerConnection* connection : connections) {
    if (auto held = connection->weak_from_this().lock()) open.push_back(std::move(held));
  }
  return open;
}

void Server::Impl::AcceptBacklog() {
  // Closing the listening socket would reset the connections that the kernel has established but
  // the server has not accepted.
  error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(asio::make_strand(io));
    acceptor.accept(socket, ec);
    if (!ec) StartConnection(std::move(socket));
  }
}

void Server::Impl::Shutdown(std::function<void()> done) {
  if (!is_stopping && acceptor.is_open()) AcceptBacklog();
  is_stopping = true;
  error_code ec;
  acceptor.close(ec);
  retry_timer.cancel();
  {
    const std::lock_guard lock(mutex);
    on_drained = std::move(done);
  }
  for (const auto& connection : OpenConnections()) connection->CloseIfIdle();
  std::function<void()> drained;
  {
    const std::lock_guard lock(mutex);
    if (connections.empty()) drained = std::exchange(on_drained, nullptr);
  }
  if (drained) asio::post(io, std::move(drained));
}

void Server::Impl::Abort() {
  is_stopping = true;
  error_code ec;
  acceptor.close(ec);
  retry_timer.cancel();
  for (const auto& connection : OpenConnections()) connection->Abort();
}

Server::Server(asio::io_context& io, Handler handler, ServerOptions options)
    : impl_(std::make_shared<Impl>(io, std::move(handler), options)) {}

Server::~Server() {
  asio::post(impl_->strand, [impl = impl_] { impl->Abort(); });
}

Result<std::uint16_t> Server::Listen(const std::string& ip, std::uint16_t port) {
  error_code ec;
  const auto address = asio::ip::make_address(ip, ec);
  if (ec) return Fail(ResultCode::kConnectionFailed, "not an IP address: " + ip);
  const tcp::endpoint endpoint(address, port);
  tcp::acceptor& acceptor = impl_->acceptor;
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(tcp::acceptor::max_listen_connections, ec);
  const auto local = ec ? tcp::endpoint() : acceptor.local_endpoint(ec);
  if (ec) {
    error_code ignored;
    acceptor.close(ignored);
    return Fail(ResultCode::kConnectionFailed,
                "cannot listen on " + ip + ":" + std::to_string(port) + ": " + ec.message());
  }
  asio::post(impl_->strand, [impl = impl_] { impl->Accept(); });
  return local.port();
}

void Server::Shutdown(std::function<void()> done) {
  asio::post(impl_->strand,
             [impl = impl_, done = std::move(done)]() mutable { impl->Shutdown(std::move(done)); });
}

std::size_t Server::ConnectionCount() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->connections.size();
}

}  // namespace parsleyline::http
