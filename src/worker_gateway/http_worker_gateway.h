#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/units.h"
#include "entry/worker_gateway.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::entry {

struct GatewayOptions {
  /// Connections to each worker, at least 2. An eighth of them, at least one, is reserved for
  /// control requests, so that a silent connection can be told from a busy worker.
  std::size_t connections_per_worker = 8;
  /// Timeout of the control requests: Query, Fence, Cancel and pings.
  Milliseconds control_timeout{1000};
  /// Age at which a running task is first checked, and the interval of further checks.
  Milliseconds check_interval{500};
  /// After a check has reported the end of a task, the time in which the response may still arrive
  /// on the task's own connection.
  Milliseconds late_response_timeout{200};
  /// Time within which a task must get a connection. The scheduler counts the lease from the grant
  /// and releases the charge 500 ms (the clock margin) after the end of the lease, so a task must
  /// not start later than that.
  Milliseconds start_timeout{250};
};

/// The worker protocol over HTTP/1.1. Tasks are sent over a pool of connections for each worker. A
/// task that takes long is checked over new connections: if the worker reports there that the task
/// has ended or never started, the task's own connection counts as silent and is closed, and the
/// task is resolved from the report.
class HttpWorkerGateway : public WorkerGateway {
 public:
  explicit HttpWorkerGateway(boost::asio::io_context& io, GatewayOptions options = {});
  ~HttpWorkerGateway() override;

  void Run(const TaskDispatch& dispatch, std::function<void(TaskResult)> done) override;
  void Query(const std::string& address, FencingToken token, Milliseconds wait,
             std::function<void(TokenReport)> done) override;
  void Fence(const std::string& address, FencingToken token,
             std::function<void(TokenReport)> done) override;
  void Cancel(const std::string& address, FencingToken token,
              std::function<void(TokenReport)> done) override;
  void SetConnectionsPerWorker(std::size_t limit) override;
  void RemoveWorker(const std::string& address) override;

  /// Number of open connections to the worker.
  std::size_t ConnectionCount(const std::string& address) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::entry
