#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "entry/worker_gateway.h"
#include "worker_gateway/http_worker_gateway.h"
#include "worker_gateway/unresolved_tasks.h"

namespace parsleyline::entry::internal {

/// Control requests that change what the worker does with a token.
enum class TokenAction : std::uint8_t { kFence, kCancel };

/// The connections to one worker and the tasks that were sent over them.
class WorkerSession {
 public:
  WorkerSession(boost::asio::io_context& io, const std::string& address,
                const GatewayOptions& options, std::shared_ptr<UnresolvedTasks> unresolved);
  ~WorkerSession();

  /// Requests the incarnation of the worker. Must be called once, before anything else.
  void Open();
  void Run(const TaskDispatch& dispatch, std::function<void(TaskResult)> done);
  void Query(FencingToken token, Milliseconds wait, std::function<void(TokenReport)> done);
  void SendAction(TokenAction action, FencingToken token, std::function<void(TokenReport)> done);
  void SetConnections(std::size_t limit);
  void Close();
  std::size_t ConnectionCount() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::entry::internal
