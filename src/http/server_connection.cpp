#include "http/server_connection.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <exception>
#include <utility>

#include "base/event_log.h"
#include "http/target.h"

namespace parsleyline::http::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// Bytes that a read buffer may hold in addition to a header.
constexpr std::size_t kReadAheadBytes = std::size_t{16} << 10U;
constexpr std::size_t kMaxReadBytes = 2048;
/// Limits of a lingering close, which reads and discards the rest of the input: closing a socket
/// with unread input would reset the connection before the peer has read the response.
constexpr Milliseconds kLingeringCloseTimeout{1000};
constexpr std::size_t kMaxLingeringCloseBytes = std::size_t{1} << 20U;
constexpr int kHttp11 = 11;

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

std::string_view ToStringView(beast::string_view text) { return {text.data(), text.size()}; }

bool HasLineBreak(const std::string& text) { return text.find_first_of("\r\n") != text.npos; }

std::string SerializeHeader(const Response& response, bool keep_alive) {
  const auto status = static_cast<beast::http::status>(response.status);
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
  text += ToStringView(beast::http::obsolete_reason(status));
  text += "\r\nContent-Type: " + response.content_type;
  text += "\r\nContent-Length: " + std::to_string(response.body.size());
  for (const auto& [name, value] : response.headers) {
    if (!PARSLEYLINE_CHECK(!HasLineBreak(name) && !HasLineBreak(value))) continue;
    text.append("\r\n").append(name).append(": ").append(value);
  }
  text += keep_alive ? "\r\nConnection: keep-alive\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
  return text;
}

Error MakeReadError(boost::system::error_code ec, const ServerOptions& options) {
  if (ec == beast::http::error::header_limit || ec == beast::http::error::buffer_overflow) {
    return {ResultCode::kHeaderTooLarge, "the header of the request exceeds the limit of " +
                                             std::to_string(options.max_header_bytes) + " bytes"};
  }
  if (ec == beast::http::error::body_limit) {
    return {ResultCode::kBodyTooLarge, "the body of the request exceeds the limit of " +
                                           std::to_string(options.max_body_bytes) + " bytes"};
  }
  return {ResultCode::kMalformedHttp, "the request is not valid HTTP/1.1: " + ec.message()};
}

/// Sends one response: the first one passed to Respond(), or an internal error if the guard is
/// destroyed before that.
class ResponseGuard {
 public:
  explicit ResponseGuard(std::function<void(Response)> reply) : send_(std::move(reply)) {}
  ~ResponseGuard() {
    Respond(ErrorResponse({ResultCode::kInternal, "the handler of the request sent no response"}));
  }
  ResponseGuard(const ResponseGuard&) = delete;
  ResponseGuard& operator=(const ResponseGuard&) = delete;

  void Respond(Response response) {
    if (!responded_.exchange(true)) send_(std::move(response));
  }

 private:
  std::function<void(Response)> send_;
  std::atomic<bool> responded_ = false;
};

}  // namespace

ServerConnection::ServerConnection(tcp::socket socket, std::shared_ptr<ConnectionOwner> owner,
                                   std::uint64_t number)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      owner_(std::move(owner)),
      connection_number_(number),
      buffer_(owner_->options().max_header_bytes + kReadAheadBytes) {}

ServerConnection::~ServerConnection() { owner_->Remove(*this); }

void ServerConnection::Start() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    ErrorCode ec;
    self->socket_.set_option(tcp::no_delay(true), ec);
    self->AwaitRequest();
  });
}

void ServerConnection::Reject(Error error) {
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), error = std::move(error)] { self->SendError(error); });
}

void ServerConnection::CloseIfIdle() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    ErrorCode ec;
    // A request that has arrived but has not been read still gets a response.
    if (self->state_ == State::kIdle && self->socket_.available(ec) == 0) self->Close();
  });
}

void ServerConnection::Evict() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    ErrorCode ec;
    const bool arriving = self->state_ == State::kIdle && self->socket_.available(ec) > 0;
    if (self->state_ < State::kHandling && !arriving) self->Close();
  });
}

void ServerConnection::Abort() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Close(); });
}

void ServerConnection::AwaitRequest() {
  if (state_ == State::kClosing) return;
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(owner_->options().max_header_bytes));
  parser_->body_limit(owner_->options().max_body_bytes);
  owner_->MarkEvictable(*this);
  if (buffer_.size() > 0) return ReadHeader();
  buffer_.shrink_to_fit();
  state_ = State::kIdle;
  ErrorCode available_ec;
  if (owner_->stopping() && socket_.available(available_ec) == 0) return Close();
  StartTimer(owner_->options().idle_timeout);
  socket_.async_read_some(buffer_.prepare(kMaxReadBytes),
                          [self = shared_from_this()](ErrorCode ec, std::size_t n) {
                            self->StopTimer();
                            if (ec || self->state_ != State::kIdle) return self->Close();
                            self->buffer_.commit(n);
                            self->ReadHeader();
                          });
}

void ServerConnection::ReadHeader() {
  state_ = State::kHeader;
  StartTimer(owner_->options().header_timeout);
  beast::http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](ErrorCode ec, std::size_t) { self->OnHeader(ec); });
}

void ServerConnection::OnHeader(ErrorCode ec) {
  StopTimer();
  if (ec) return OnReadError(ec);
  if (state_ != State::kHeader) return;
  state_ = State::kBody;
  const auto& header = parser_->get();
  const bool has_coding = header.count(beast::http::field::transfer_encoding) > 0;
  // A body with an ambiguous length would allow request smuggling: a part of it could be taken for
  // a second request.
  if (has_coding && (!parser_->chunked() || header.version() < kHttp11 ||
                     header.count(beast::http::field::content_length) > 0)) {
    return SendError({ResultCode::kMalformedHttp, "the length of the body is ambiguous"});
  }
  if (parser_->is_done()) return Dispatch();
  const auto expect = header[beast::http::field::expect];
  if (beast::iequals(expect, "100-continue") && buffer_.size() == 0) return SendContinue();
  ReadBody();
}

void ServerConnection::SendContinue() {
  out_header_ = "HTTP/1.1 100 Continue\r\n\r\n";
  StartTimer(owner_->options().write_timeout);
  asio::async_write(socket_, asio::buffer(out_header_),
                    [self = shared_from_this()](ErrorCode ec, std::size_t) {
                      self->StopTimer();
                      if (ec) return self->Close();
                      self->ReadBody();
                    });
}

void ServerConnection::ReadBody() {
  StartTimer(owner_->options().body_timeout);
  beast::http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](ErrorCode ec, std::size_t) { self->OnBody(ec); });
}

void ServerConnection::OnBody(ErrorCode ec) {
  StopTimer();
  if (ec) return OnReadError(ec);
  if (state_ != State::kBody) return;
  Dispatch();
}

void ServerConnection::Dispatch() {
  state_ = State::kHandling;
  owner_->MarkBusy(*this);
  keep_alive_ = parser_->get().keep_alive();
  is_head_ = parser_->get().method() == beast::http::verb::head;
  Request request;
  if (!BuildRequest(request)) {
    return SendError({ResultCode::kMalformedHttp, "the request target is not a valid path"});
  }
  parser_.reset();
  ResponseCallback respond = MakeResponseCallback();
  try {
    owner_->Handle(std::move(request), respond);
  } catch (const std::exception& ex) {
    Event("handler_failed", Severity::kError).With("what", ex.what());
    respond(
        ErrorResponse({ResultCode::kInternal, "the handler of the request threw an exception"}));
  }
}

bool ServerConnection::BuildRequest(Request& request) {
  auto& message = parser_->get();
  if (!ParseTarget(ToStringView(message.target()), request)) return false;
  request.method = std::string(ToStringView(message.method_string()));
  for (const auto& field : message) {
    std::string& value = request.headers[ToLowerCase(ToStringView(field.name_string()))];
    if (!value.empty()) value += ", ";
    value += ToStringView(field.value());
  }
  request.body = std::move(message.body());
  request.connection = connection_number_;
  return true;
}

ResponseCallback ServerConnection::MakeResponseCallback() {
  auto guard = std::make_shared<ResponseGuard>([self = shared_from_this()](Response response) {
    asio::post(self->socket_.get_executor(), [self, response = std::move(response)]() mutable {
      self->SendResponse(std::move(response));
    });
  });
  return [guard = std::move(guard)](Response response) { guard->Respond(std::move(response)); };
}

void ServerConnection::SendResponse(Response response) {
  if (state_ != State::kHandling) return;
  keep_alive_ = keep_alive_ && !owner_->stopping();
  WriteResponse(std::move(response));
}

void ServerConnection::OnReadError(ErrorCode ec) {
  if (state_ == State::kClosing) return;
  if (timed_out_) {
    return SendError(
        {ResultCode::kRequestTimeout, "the request did not arrive before the timeout"});
  }
  // Only parser errors get a response; after a socket error the peer can't receive one.
  const bool from_parser =
      ec.category() == make_error_code(beast::http::error::bad_method).category();
  if (!from_parser || ec == beast::http::error::end_of_stream) return Close();
  SendError(MakeReadError(ec, owner_->options()));
}

void ServerConnection::SendError(const Error& error) {
  if (state_ == State::kClosing) return;
  keep_alive_ = false;
  owner_->MarkBusy(*this);
  Event("http_refused").With("connection", connection_number_).With("reason", error.message);
  WriteResponse(ErrorResponse(error));
}

void ServerConnection::WriteResponse(Response response) {
  state_ = State::kWriting;
  out_header_ = SerializeHeader(response, keep_alive_);
  out_body_ = is_head_ ? std::string() : std::move(response.body);
  StartTimer(owner_->options().write_timeout);
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(out_header_),
                                                   asio::buffer(out_body_)};
  asio::async_write(socket_, parts, [self = shared_from_this()](ErrorCode ec, std::size_t) {
    self->StopTimer();
    self->OnWritten(ec);
  });
}

void ServerConnection::OnWritten(ErrorCode ec) {
  if (ec || state_ != State::kWriting) return Close();
  out_body_ = std::string();
  is_head_ = false;
  if (!keep_alive_) return BeginLingeringClose();
  AwaitRequest();
}

void ServerConnection::BeginLingeringClose() {
  ErrorCode ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  if (ec) return Close();
  buffer_.clear();
  buffer_.shrink_to_fit();
  StartTimer(kLingeringCloseTimeout);
  DiscardInput();
}

void ServerConnection::DiscardInput() {
  socket_.async_read_some(buffer_.prepare(kMaxReadBytes),
                          [self = shared_from_this()](ErrorCode ec, std::size_t n) {
                            self->discarded_bytes_ += n;
                            if (ec || self->discarded_bytes_ > kMaxLingeringCloseBytes) {
                              return self->Close();
                            }
                            self->DiscardInput();
                          });
}

void ServerConnection::Close() {
  if (state_ == State::kClosing) return;
  state_ = State::kClosing;
  StopTimer();
  ErrorCode ec;
  socket_.close(ec);
  owner_->Remove(*this);
}

void ServerConnection::StartTimer(Milliseconds timeout) {
  timed_out_ = false;
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this(), number = ++timeout_number_](ErrorCode ec) {
    if (ec || number != self->timeout_number_) return;
    self->timed_out_ = true;
    ErrorCode ignored;
    self->socket_.cancel(ignored);
  });
}

void ServerConnection::StopTimer() {
  ++timeout_number_;
  timer_.cancel();
}

}  // namespace parsleyline::http::internal
