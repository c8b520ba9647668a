#include "review/standin-2/worker_server.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <chrono>
#include <utility>

namespace review {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kLinkPoll{5};

}  // namespace

struct WorkerServer::Connection {
  Connection(boost::asio::io_context& io, tcp::socket accepted, std::uint64_t opened_in)
      : socket(std::move(accepted)), timer(io), lifetime(opened_in) {}

  tcp::socket socket;
  boost::asio::steady_timer timer;
  const std::uint64_t lifetime;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

WorkerServer::WorkerServer(boost::asio::io_context& io, Handler handler,
                           std::function<LinkState()> link)
    : io_(io), acceptor_(io), handler_(std::move(handler)), link_(std::move(link)) {}

std::uint16_t WorkerServer::Listen(const std::string& ip) {
  error_code ec;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(ip, ec), 0);
  if (!ec) acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) return 0;
  Accept();
  return acceptor_.local_endpoint().port();
}

void WorkerServer::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (!ec) {
      socket.set_option(tcp::no_delay(true), ec);
      AwaitRequest(std::make_shared<Connection>(io_, std::move(socket), link_().lifetime));
    }
    Accept();
  });
}

void WorkerServer::AwaitRequest(const std::shared_ptr<Connection>& connection) {
  connection->request = {};
  if (connection->buffer.size() > 0) return OnReadable(connection);
  connection->socket.async_wait(tcp::socket::wait_read, [this, connection](error_code ec) {
    if (!ec) OnReadable(connection);
  });
}

void WorkerServer::OnReadable(const std::shared_ptr<Connection>& connection) {
  const LinkState link = link_();
  if (!link.arrives) {
    connection->timer.expires_after(kLinkPoll);
    connection->timer.async_wait([this, connection](error_code ec) {
      if (!ec) OnReadable(connection);
    });
    return;
  }
  if (link.lifetime != connection->lifetime) {
    error_code ignored;
    connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    connection->socket.close(ignored);
    return;
  }
  http::async_read(connection->socket, connection->buffer, connection->request,
                   [this, connection](error_code ec, std::size_t) {
                     if (!ec) OnRequest(connection);
                   });
}

void WorkerServer::OnRequest(const std::shared_ptr<Connection>& connection) {
  OrderRequest request;
  const auto target = connection->request.target();
  request.path = std::string(target.data(), target.size());
  for (const auto& field : connection->request) {
    std::string name(field.name_string().data(), field.name_string().size());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    request.headers[name] = std::string(field.value().data(), field.value().size());
  }
  request.body = connection->request.body();
  handler_(request, [this, connection](int status, const std::string& body) {
    Send(connection, status, body);
  });
}

void WorkerServer::Send(const std::shared_ptr<Connection>& connection, int status,
                        const std::string& body) {
  connection->response = {};
  connection->response.version(11);
  connection->response.result(static_cast<unsigned>(status));
  connection->response.set(http::field::content_type, "application/json");
  connection->response.keep_alive(true);
  connection->response.body() = body;
  connection->response.prepare_payload();
  http::async_write(connection->socket, connection->response,
                    [this, connection](error_code ec, std::size_t) {
                      if (!ec) AwaitRequest(connection);
                    });
}

}  // namespace review
