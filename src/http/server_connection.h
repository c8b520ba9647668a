#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "http/server.h"

namespace parsleyline::http::internal {

class ServerConnection;

/// Interface through which a connection uses its server. All functions may be called from any
/// thread.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual const ServerOptions& options() const = 0;
  virtual bool stopping() const = 0;
  /// Passes a request to the handler of the server.
  virtual void Handle(Request request, ResponseCallback respond) = 0;
  /// Makes a connection a candidate for eviction, because it begins to wait for a request.
  virtual void MarkEvictable(ServerConnection& connection) = 0;
  /// Protects a connection from eviction, because it has a complete request or an error response
  /// to send.
  virtual void MarkBusy(ServerConnection& connection) = 0;
  /// Unregisters a closed connection. Repeated calls have no effect.
  virtual void Remove(ServerConnection& connection) = 0;
};

/// One connection of a server. All its work runs on the strand of its socket; the public functions
/// may be called from any thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ConnectionOwner> owner,
                   std::uint64_t number);
  ~ServerConnection();

  /// Starts reading requests.
  void Start();
  /// Sends an error response and closes the connection without reading a request.
  void Reject(Error error);
  /// Closes the connection if no request has begun to arrive.
  void CloseIfIdle();
  /// Closes the connection immediately.
  void Abort();
  /// Closes the connection unless it has a complete request, or is idle with unread input.
  void Evict();

  /// Position in the owner's list of candidates for eviction. Guarded by the owner's mutex.
  std::optional<std::list<ServerConnection*>::iterator> eviction_position;

 private:
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class State : std::uint8_t { kIdle, kHeader, kBody, kHandling, kWriting, kClosing };

  void AwaitRequest();
  void ReadHeader();
  void OnHeader(ErrorCode ec);
  void SendContinue();
  void ReadBody();
  void OnBody(ErrorCode ec);
  void Dispatch();
  bool BuildRequest(Request& request);
  ResponseCallback MakeResponseCallback();
  void SendResponse(Response response);
  void OnReadError(ErrorCode ec);
  void SendError(const Error& error);
  void WriteResponse(Response response);
  void OnWritten(ErrorCode ec);
  void BeginLingeringClose();
  void DiscardInput();
  void Close();
  void StartTimer(Milliseconds timeout);
  void StopTimer();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<ConnectionOwner> owner_;
  std::uint64_t connection_number_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  State state_ = State::kIdle;
  /// Number of the current timeout. A timer handler that was already queued when its timeout was
  /// stopped finds a different number and does nothing.
  std::uint64_t timeout_number_ = 0;
  bool timed_out_ = false;
  bool keep_alive_ = false;
  bool is_head_ = false;
  std::string out_header_;
  std::string out_body_;
  std::size_t discarded_bytes_ = 0;
};

}  // namespace parsleyline::http::internal
