#include <algorithm>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "transport/server_connection.h"

namespace parsleyline::transport {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Acceptor = asio::basic_socket_acceptor<tcp, Strand>;

// Delay after a failed accept, for example when the process has no free file descriptor.
constexpr Milliseconds kAcceptRetryDelay{100};

Error ListenError(const char* step, const std::string& ip, std::uint16_t port,
                  const error_code& ec) {
  return {ResultCode::kConnectionFailed, std::string("cannot ") + step + " " + ip + ":" +
                                             std::to_string(port) + ": " + ec.message()};
}

}  // namespace

struct RpcServer::Impl : std::enable_shared_from_this<RpcServer::Impl> {
  Impl(asio::io_context& context, const RpcOptions& rpc_options)
      : io(context),
        options(rpc_options),
        strand(context.get_executor()),
        acceptor(strand),
        retry_timer(strand) {}

  Result<std::uint16_t> Listen(const std::string& ip, std::uint16_t port);
  void Accept();
  void OnAccept(const error_code& ec, Socket socket);
  void StartConnection(Socket socket);
  void OnConnectionClosed(const std::shared_ptr<ServerConnection>& connection);
  void StopAccepting();
  void Shutdown(std::function<void()> done);
  void CloseConnections();
  std::vector<std::shared_ptr<ServerConnection>> OpenConnections();

  asio::io_context& io;
  const RpcOptions options;
  Strand strand;
  Acceptor acceptor;
  Timer retry_timer;
  std::shared_ptr<HandlerTable> handlers = std::make_shared<HandlerTable>();

  // Guards the members below.
  std::mutex mutex;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections;
  bool stopping = false;
  std::vector<std::function<void()>> on_drained;
};

Result<std::uint16_t> RpcServer::Impl::Listen(const std::string& ip, std::uint16_t port) {
  error_code ec;
  const auto address = asio::ip::make_address(ip, ec);
  if (ec) return tl::make_unexpected(ListenError("parse the IP address of", ip, port, ec));
  const tcp::endpoint endpoint(address, port);
  acceptor.open(endpoint.protocol(), ec);
  if (ec) return tl::make_unexpected(ListenError("open a socket for", ip, port, ec));
  acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  acceptor.bind(endpoint, ec);
  if (ec) return tl::make_unexpected(ListenError("bind", ip, port, ec));
  acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) return tl::make_unexpected(ListenError("listen on", ip, port, ec));
  const std::uint16_t bound_port = acceptor.local_endpoint(ec).port();
  asio::post(strand, [self = shared_from_this()] { self->Accept(); });
  return bound_port;
}

void RpcServer::Impl::Accept() {
  if (!acceptor.is_open()) return;
  auto socket = std::make_shared<Socket>(Strand(io.get_executor()));
  acceptor.async_accept(*socket, [self = shared_from_this(), socket](const error_code& ec) {
    self->OnAccept(ec, std::move(*socket));
  });
}

void RpcServer::Impl::OnAccept(const error_code& ec, Socket socket) {
  if (ec == asio::error::operation_aborted || !acceptor.is_open()) return;
  if (!ec) {
    StartConnection(std::move(socket));
    Accept();
    return;
  }
  Event("rpc_accept_failed", Severity::kWarning).With("detail", ec.message());
  retry_timer.expires_after(kAcceptRetryDelay);
  retry_timer.async_wait([self = shared_from_this()](const error_code& wait_ec) {
    if (!wait_ec) self->Accept();
  });
}

void RpcServer::Impl::StartConnection(Socket socket) {
  const auto connection = std::make_shared<ServerConnection>(
      std::move(socket), options, handlers,
      [weak = weak_from_this()](const std::shared_ptr<ServerConnection>& closed) {
        if (const auto self = weak.lock()) self->OnConnectionClosed(closed);
      });
  {
    const std::lock_guard lock(mutex);
    if (stopping) return;
    connections.insert(connection);
  }
  asio::dispatch(connection->strand(), [connection] { connection->Start(); });
}

void RpcServer::Impl::OnConnectionClosed(const std::shared_ptr<ServerConnection>& connection) {
  std::vector<std::function<void()>> drained;
  {
    const std::lock_guard lock(mutex);
    connections.erase(connection);
    if (connections.empty()) drained = std::exchange(on_drained, {});
  }
  for (auto& done : drained) asio::post(io, std::move(done));
}

void RpcServer::Impl::StopAccepting() {
  {
    const std::lock_guard lock(mutex);
    stopping = true;
  }
  asio::post(strand, [self = shared_from_this()] {
    error_code ignored;
    self->acceptor.close(ignored);
    self->retry_timer.cancel();
  });
}

void RpcServer::Impl::Shutdown(std::function<void()> done) {
  StopAccepting();
  {
    const std::lock_guard lock(mutex);
    if (!connections.empty()) on_drained.push_back(std::exchange(done, nullptr));
  }
  if (done) asio::post(io, std::move(done));
  for (const auto& connection : OpenConnections()) {
    asio::post(connection->strand(), [connection] { connection->BeginShutdown(); });
  }
}

void RpcServer::Impl::CloseConnections() {
  StopAccepting();
  for (const auto& connection : OpenConnections()) {
    asio::post(connection->strand(),
               [connection] { connection->Close(CloseReason::kClosedLocally); });
  }
}

std::vector<std::shared_ptr<ServerConnection>> RpcServer::Impl::OpenConnections() {
  const std::lock_guard lock(mutex);
  return {connections.begin(), connections.end()};
}

RpcServer::RpcServer(asio::io_context& io, RpcOptions options)
    : impl_(std::make_shared<Impl>(io, options)) {}

RpcServer::~RpcServer() { impl_->CloseConnections(); }

void RpcServer::RegisterHandler(const std::string& method, RpcHandler handler) {
  (*impl_->handlers)[method] = std::move(handler);
}

Result<std::uint16_t> RpcServer::Listen(const std::string& ip, std::uint16_t port) {
  return impl_->Listen(ip, port);
}

void RpcServer::Shutdown(std::function<void()> done) { impl_->Shutdown(std::move(done)); }

}  // namespace parsleyline::transport
