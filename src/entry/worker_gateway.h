#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/ids.h"
#include "base/kind.h"
#include "base/units.h"

namespace parsleyline::entry {

/// A granted task that is sent to a worker.
struct TaskDispatch {
  FencingToken token;
  RequestId request;
  std::uint32_t attempt = 0;
  WorkerId worker;
  /// The worker rejects a dispatch that is meant for another incarnation.
  Incarnation incarnation;
  /// "ip:port".
  std::string address;
  TeamId team;
  Kind kind = Kind::kBatch;
  Resources resources;
  Milliseconds lease{0};
  /// Time left until the caller's deadline.
  Milliseconds timeout{0};
  /// JSON text.
  std::string payload;
};

/// Outcome of a dispatched task, as far as the gateway can tell.
enum class DispatchOutcome : std::uint8_t {
  kDone,
  /// The worker ran the task and it failed.
  kFailed,
  /// The worker rejected the task before it started, or no byte was sent.
  kNotStarted,
  /// Bytes were sent and no complete response was received: the token must be queried.
  kUnknown,
};

struct TaskResult {
  DispatchOutcome outcome = DispatchOutcome::kUnknown;
  /// JSON text of the answer, with kDone.
  std::string answer;
  /// Reason, with the other results.
  std::string message;
  Milliseconds run_time{0};
};

/// State of a token at a worker.
enum class TokenState : std::uint8_t {
  /// The worker did not answer.
  kUnreachable,
  kNeverStarted,
  kRunning,
  kDone,
  kFailed,
};

struct TokenReport {
  TokenState state = TokenState::kUnreachable;
  /// The incarnation that answered. kNeverStarted says nothing about earlier incarnations.
  Incarnation incarnation;
  std::string answer;
  std::string message;
};

/// Client of the worker protocol. Each callback is called once, on any thread.
class WorkerGateway {
 public:
  virtual ~WorkerGateway() = default;

  /// Sends a task and waits for its end. Never sends the same dispatch twice.
  virtual void Run(const TaskDispatch& dispatch, std::function<void(TaskResult)> done) = 0;

  /// Queries a token on a new connection; waits up to `wait` for a running task to end.
  virtual void Query(const std::string& address, FencingToken token, Milliseconds wait,
                     std::function<void(TokenReport)> done) = 0;

  /// As Query, but the worker will reject a task that never started from now on.
  virtual void Fence(const std::string& address, FencingToken token,
                     std::function<void(TokenReport)> done) = 0;

  /// Stops a running task; reports its state after that.
  virtual void Cancel(const std::string& address, FencingToken token,
                      std::function<void(TokenReport)> done) = 0;

  /// Sets the limit on the open connections to each worker.
  virtual void SetConnectionsPerWorker(std::size_t limit) = 0;

  /// Closes the connections to a worker that was removed.
  virtual void RemoveWorker(const std::string& address) = 0;
};

}  // namespace parsleyline::entry
