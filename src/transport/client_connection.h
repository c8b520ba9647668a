#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/connection.h"

namespace parsleyline::transport {

/// Id of a call within its client; 0 means no call.
using CallId = std::uint64_t;

/// Client side of one connection. Sends requests and matches their responses to the calls.
class ClientConnection : public Connection {
 public:
  /// Receives the results of calls. All functions run on the strand of the connection.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Called when the first bytes of the request have been passed to the connection's output.
    virtual void OnCallSent(CallId call) = 0;
    /// Called when all bytes of the request have been passed to the connection's output.
    virtual void OnRequestEnded(CallId call) = 0;
    /// Called with the response or error that the peer returned.
    virtual void OnResult(CallId call, Result<std::string> result) = 0;
    /// Called when the connection can't complete the call.
    virtual void OnFailure(CallId call, ResultCode code, const std::string& message) = 0;
    /// Called when the bytes of one read have been processed.
    virtual void OnReceived() = 0;
    /// Called when the connection accepts no further calls because the peer sent GOAWAY.
    virtual void OnDraining(ClientConnection* connection) = 0;
    /// Called when the connection is closed, with the calls that have no result.
    virtual void OnClosed(ClientConnection* connection, CloseReason reason,
                          const std::vector<CallId>& calls) = 0;
  };

  ClientConnection(Socket socket, const RpcOptions& options, std::weak_ptr<Owner> owner);

  /// Submits a request and returns its stream. Flush() sends submitted requests.
  Result<std::int32_t> Send(CallId call, const std::string& method, std::string body,
                            Milliseconds timeout);
  /// Drops the call on `stream` and resets the stream.
  void Cancel(std::int32_t stream);

  /// Returns whether the peer has sent its HTTP/2 settings, which proves that it speaks HTTP/2.
  bool settings_received() const { return settings_received_; }
  std::size_t calls_submitted() const { return calls_submitted_; }

 protected:
  void OnMessage(std::int32_t stream, Http2Message message) override;
  void OnBodyRejected(std::int32_t stream, ResultCode code) override;
  void OnRequestStarted(std::int32_t stream) override;
  void OnRequestEnded(std::int32_t stream) override;
  void OnStreamClosed(std::int32_t stream, std::uint32_t http2_error) override;
  void OnSettings() override { settings_received_ = true; }
  void OnGoAway(std::uint32_t http2_error) override;
  void AfterReceive() override;
  void OnClosed(CloseReason reason) override;

 private:
  struct StreamCall {
    CallId id;
    bool request_ended = false;
  };

  /// Removes the call from its stream and returns its id, or 0 if there is none.
  CallId TakeCall(std::int32_t stream);

  const std::weak_ptr<Owner> owner_;
  std::unordered_map<std::int32_t, StreamCall> calls_;
  std::size_t calls_submitted_ = 0;
  bool settings_received_ = false;
  bool peer_shutting_down_ = false;
};

}  // namespace parsleyline::transport
