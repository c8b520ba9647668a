#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/result_code.h"
#include "base/units.h"

namespace parsleyline::transport {

/// Side of an HTTP/2 session.
enum class Http2Role { kClient, kServer };

/// Limits of one HTTP/2 session.
struct Http2Limits {
  /// Largest body of one message.
  std::size_t max_body_bytes = 0;
  /// Largest total size of the bodies that are being received on all streams.
  std::size_t max_incomplete_bytes = 0;
  /// Largest number of concurrent streams.
  std::uint32_t max_streams = 0;
};

/// A complete request or response.
struct Http2Message {
  /// Method of a request: the path without "/rpc/".
  std::string method;
  /// Timeout of a request; 0 if the header is missing or invalid.
  Milliseconds timeout{0};
  /// HTTP status of a response.
  int status = 0;
  /// Result code of a response; 0 if the header is missing or invalid.
  int code = 0;
  std::string body;
};

/// HTTP/2 session without I/O: processes received bytes and produces bytes to send.
class Http2Session {
 public:
  /// Receives the events of a session. Implementations may submit frames, but must not call
  /// Receive() or TakeOutput(), and must not throw, because they are called through C functions.
  class Events {
   public:
    virtual ~Events() = default;
    /// Called when a message has been received completely, including its END_STREAM flag.
    virtual void OnMessage(std::int32_t stream, Http2Message message) = 0;
    /// Called when the body on `stream` exceeds a limit. The rest of the body is discarded.
    virtual void OnBodyRejected(std::int32_t stream, ResultCode code) = 0;
    /// Called when the output contains the first bytes of a request.
    virtual void OnRequestStarted(std::int32_t /*stream*/) {}
    /// Called when the output contains the last bytes of a request.
    virtual void OnRequestEnded(std::int32_t /*stream*/) {}
    virtual void OnStreamClosed(std::int32_t stream, std::uint32_t http2_error) = 0;
    virtual void OnPingAck() = 0;
    /// Called when body data or an acknowledgement of body data (WINDOW_UPDATE) was received.
    virtual void OnProgress() {}
    /// Called when the peer sent its settings, which proves that it speaks HTTP/2.
    virtual void OnSettings() = 0;
    virtual void OnGoAway(std::uint32_t http2_error) = 0;
  };

  Http2Session(Http2Role role, const Http2Limits& limits, Events* events);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Processes received bytes. After an error the connection must be closed.
  Result<void> Receive(std::string_view bytes);

  /// Appends pending frames to `out` until it contains at least `limit` bytes or none is left.
  Result<void> TakeOutput(std::string* out, std::size_t limit);

  /// Submits a request and returns its stream id, or an error if no stream can be opened.
  Result<std::int32_t> SubmitRequest(const std::string& method, std::string body,
                                     Milliseconds timeout);
  /// Submits the response to a request. Does nothing if the stream is closed.
  void SubmitResponse(std::int32_t stream, Result<std::string> response);
  void Reset(std::int32_t stream, std::uint32_t http2_error);
  void SubmitPing();
  /// Submits a GOAWAY frame, which tells the peer that no further streams are accepted.
  void SubmitGoAway();

  /// Returns whether the session has ended and has no pending frames.
  bool Finished() const;
  /// Returns whether this side ended the session because the peer violated the protocol.
  bool ProtocolErrorSeen() const { return protocol_error_; }
  /// Returns the number of submitted body bytes that are not yet part of the output.
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  /// Returns how many concurrent streams the peer allows.
  std::uint32_t PeerMaxStreams() const;

 private:
  struct Stream {
    Http2Message incoming;
    bool body_rejected = false;
    std::string outgoing_body;
    std::size_t outgoing_offset = 0;
  };
  struct Callbacks;

  Stream* Find(std::int32_t stream);
  void HandleHeader(std::int32_t stream, std::string_view name, std::string_view value);
  void HandleData(std::int32_t stream, std::string_view data);
  void HandleReceivedFrame(const nghttp2_frame& frame);
  void HandleSentFrame(const nghttp2_frame& frame);
  void HandleStreamClosed(std::int32_t stream, std::uint32_t http2_error);
  ssize_t ReadBody(std::int32_t stream, std::uint8_t* buf, std::size_t length,
                   std::uint32_t* flags);
  void SubmitSettings();

  Http2Role role_;
  Http2Limits limits_;
  Events* events_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, Stream> streams_;
  std::size_t incomplete_bytes_ = 0;
  std::size_t unsent_bytes_ = 0;
  bool protocol_error_ = false;
};

}  // namespace parsleyline::transport
