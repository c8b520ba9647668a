#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "transport/connection.h"

namespace parsleyline::transport {

/// Handlers by method.
using HandlerTable = std::unordered_map<std::string, RpcHandler>;

/// Server side of one connection. Passes complete requests to their handlers and sends the
/// responses.
class ServerConnection : public Connection {
 public:
  using ClosedCallback = std::function<void(const std::shared_ptr<ServerConnection>&)>;

  ServerConnection(Socket socket, const RpcOptions& options,
                   std::shared_ptr<const HandlerTable> handlers, ClosedCallback on_closed);

  /// Sends the response to the request on `stream`. May be called from any thread.
  void SendResponse(std::int32_t stream, Result<std::string> response);

 protected:
  void OnMessage(std::int32_t stream, Http2Message message) override;
  void OnBodyRejected(std::int32_t stream, ResultCode code) override;
  void OnStreamClosed(std::int32_t /*stream*/, std::uint32_t /*http2_error*/) override {}
  void OnSettings() override {}
  void OnGoAway(std::uint32_t /*http2_error*/) override {}
  void AfterReceive() override;
  void OnClosed(CloseReason reason) override;

 private:
  struct PendingResponse {
    std::int32_t stream;
    Result<std::string> response;
  };

  void Dispatch(std::int32_t stream, Http2Message message);
  void SubmitPendingResponses();

  const std::size_t max_in_flight_;
  const std::size_t max_buffered_bytes_;
  const std::shared_ptr<const HandlerTable> handlers_;
  const ClosedCallback on_closed_;
  /// Complete requests of the current read.
  std::vector<std::pair<std::int32_t, Http2Message>> received_requests_;
  /// Number of calls whose handlers have not responded, including those whose streams were reset.
  std::size_t pending_calls_ = 0;

  /// Guards the members below.
  std::mutex mutex_;
  std::vector<PendingResponse> pending_responses_;
  bool submit_scheduled_ = false;
};

}  // namespace parsleyline::transport
