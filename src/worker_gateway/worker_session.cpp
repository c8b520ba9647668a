#include "worker_gateway/worker_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "http/client.h"
#include "worker_gateway/task_messages.h"

namespace parsleyline::entry::internal {
namespace {

namespace asio = boost::asio;
using SteadyTime = std::chrono::steady_clock::time_point;
using Strand = asio::strand<asio::io_context::executor_type>;

/// One connection of this many is reserved for control requests.
constexpr std::size_t kControlDivisor = 8;
/// Longest wait at the worker in one control request, so that other control requests get a
/// connection.
constexpr Milliseconds kMaxQueryWait{250};
constexpr int kStatusConflict = 409;

std::size_t ControlConnections(std::size_t limit) {
  return std::max<std::size_t>(1, limit / kControlDivisor);
}

std::size_t TaskConnections(std::size_t limit) {
  return std::max<std::size_t>(2, limit) - ControlConnections(limit);
}

std::uint16_t PortOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return 0;
  std::uint16_t port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  return port;
}

http::ClientOptions PoolOptions(std::size_t connections) {
  http::ClientOptions options;
  options.max_connections = connections;
  return options;
}

std::string TokenPath(FencingToken token) { return "/v1/tasks/" + std::to_string(token.value()); }

/// Returns a request that is sent on a connection of its own.
http::ClientRequest NewConnectionRequest(std::string method, std::string target) {
  http::ClientRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers["Connection"] = "close";
  return request;
}

/// A task that was sent and has not been answered.
struct SentTask {
  TaskDispatch dispatch;
  std::function<void(TaskResult)> done;
  SteadyTime started;
  /// Number of the request in http::Client.
  std::uint64_t request_number = 0;
  /// Incarnation of the worker when the task was sent, if known.
  std::optional<std::uint64_t> incarnation;
  /// Whether a control request about the task is in flight.
  bool check_in_flight = false;
  /// Set once the worker has reported the end of the task.
  std::optional<TokenReport> report;
  bool ended = false;
};

using SentTaskPtr = std::shared_ptr<SentTask>;

std::string_view OutcomeName(DispatchOutcome outcome) {
  constexpr std::array<std::string_view, 4> kNames = {"done", "failed", "not_started", "unclear"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

TaskResult ResultOfReport(const TokenReport& report) {
  TaskResult task_result;
  task_result.outcome =
      report.state == TokenState::kDone ? DispatchOutcome::kDone : DispatchOutcome::kFailed;
  task_result.answer = report.answer;
  task_result.message = report.message;
  return task_result;
}

}  // namespace

struct WorkerSession::Impl : std::enable_shared_from_this<WorkerSession::Impl> {
  Impl(asio::io_context& io, const std::string& worker_address, const GatewayOptions& opts,
       std::shared_ptr<UnresolvedTasks> unresolved_tasks)
      : strand(asio::make_strand(io)),
        check_timer(strand),
        address(worker_address),
        options(opts),
        unresolved(std::move(unresolved_tasks)),
        task_client(io, address.substr(0, address.rfind(':')), PortOf(address),
                    PoolOptions(TaskConnections(opts.connections_per_worker))),
        control_client(io, address.substr(0, address.rfind(':')), PortOf(address),
                       PoolOptions(ControlConnections(opts.connections_per_worker))) {}

  // The functions below run on the strand.
  void Run(const SentTaskPtr& task);
  void OnResult(const SentTaskPtr& task, const http::ClientResult& result);
  void EndTask(const SentTaskPtr& task, TaskResult task_result);
  void ConfirmRejection(const SentTaskPtr& task);
  void Ping(std::function<void(bool answered)> then);
  void ScheduleCheck();
  void CheckOverdueTasks();
  std::vector<SentTaskPtr> OverdueTasks() const;
  void CheckTask(const SentTaskPtr& task);
  void OnCheckReport(const SentTaskPtr& task, const TokenReport& report);
  void FenceTask(const SentTaskPtr& task);
  void ResolveAfterTimeout(const SentTaskPtr& task, const TokenReport& report);
  void Resolve(const SentTaskPtr& task, TaskResult task_result);
  void Query(FencingToken token, SteadyTime until, const std::function<void(TokenReport)>& done);
  void SendAction(TokenAction action, FencingToken token, std::function<void(TokenReport)> done);
  void Deliver(FencingToken token, TokenReport report,
               const std::function<void(TokenReport)>& done);

  /// Sends a control request; `then` gets the report on the strand.
  void SendControl(http::ClientRequest request, FencingToken token, Milliseconds timeout,
                   std::function<void(TokenReport)> then);

  Strand strand;
  asio::steady_timer check_timer;
  const std::string address;
  const GatewayOptions options;
  const std::shared_ptr<UnresolvedTasks> unresolved;
  http::Client task_client;
  http::Client control_client;
  std::unordered_map<std::uint64_t, SentTaskPtr> in_flight;
  std::optional<std::uint64_t> incarnation;
  bool check_scheduled = false;
  bool closed = false;
};

void WorkerSession::Impl::Run(const SentTaskPtr& task) {
  if (task->dispatch.timeout.count() <= 0) {
    return task->done({DispatchOutcome::kNotStarted, "", "the deadline has passed", {}});
  }
  task->started = std::chrono::steady_clock::now();
  task->incarnation = incarnation;
  in_flight[task->dispatch.token.value()] = task;
  http::ClientRequest request;
  request.method = "POST";
  request.target = "/v1/tasks";
  request.headers["Content-Type"] = "application/json";
  request.body = DispatchBody(task->dispatch);
  request.start_timeout = options.start_timeout;
  request.matches = [task](const http::ClientResponse& response) {
    return IsResponseToDispatch(response, task->dispatch);
  };
  task->request_number = task_client.Send(
      std::move(request), task->dispatch.timeout,
      [self = shared_from_this(), task](http::ClientResult result) {
        asio::post(self->strand,
                   [self, task, result = std::move(result)] { self->OnResult(task, result); });
      });
  if (!incarnation) Ping([](bool) {});
  ScheduleCheck();
}

void WorkerSession::Impl::OnResult(const SentTaskPtr& task, const http::ClientResult& result) {
  if (task->ended) return;
  if (result && result->status == kStatusConflict) return ConfirmRejection(task);
  TaskResult task_result = ToTaskResult(result);
  const bool unknown = task_result.outcome == DispatchOutcome::kUnknown;
  EndTask(task, unknown && task->report ? ResultOfReport(*task->report) : std::move(task_result));
}

void WorkerSession::Impl::EndTask(const SentTaskPtr& task, TaskResult task_result) {
  if (std::exchange(task->ended, true)) return;
  const auto it = in_flight.find(task->dispatch.token.value());
  if (it != in_flight.end() && it->second == task) in_flight.erase(it);
  if (task_result.outcome == DispatchOutcome::kUnknown) {
    unresolved->Add(task->dispatch.token, task->incarnation);
  }
  const auto done = std::exchange(task->done, nullptr);
  done(std::move(task_result));
}

/// Fences a task that the worker rejected. A worker also rejects a token that it has seen before,
/// and then the task did start.
void WorkerSession::Impl::ConfirmRejection(const SentTaskPtr& task) {
  task->check_in_flight = true;
  auto fence = NewConnectionRequest("POST", TokenPath(task->dispatch.token) + "/fence");
  SendControl(std::move(fence), task->dispatch.token, options.control_timeout,
              [self = shared_from_this(), task](const TokenReport& report) {
                const bool never = report.state == TokenState::kNeverStarted;
                self->EndTask(task,
                              {never ? DispatchOutcome::kNotStarted : DispatchOutcome::kUnknown,
                               "",
                               "the worker rejected the task",
                               {}});
              });
}

void WorkerSession::Impl::Ping(std::function<void(bool answered)> then) {
  control_client.Send(
      NewConnectionRequest("GET", "/v1/ping"), options.control_timeout,
      [self = shared_from_this(), then = std::move(then)](http::ClientResult result) {
        asio::post(self->strand, [self, then, result = std::move(result)] {
          const auto answered = ToIncarnation(result);
          if (answered) self->incarnation = answered;
          then(answered.has_value());
        });
      });
}

void WorkerSession::Impl::ScheduleCheck() {
  if (check_scheduled || closed) return;
  check_scheduled = true;
  check_timer.expires_after(options.check_interval);
  check_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    self->check_scheduled = false;
    if (!ec) self->CheckOverdueTasks();
  });
}

void WorkerSession::Impl::CheckOverdueTasks() {
  if (in_flight.empty()) return;
  if (OverdueTasks().empty()) return ScheduleCheck();
  Ping([self = shared_from_this()](bool answered) {
    if (answered) {
      for (const SentTaskPtr& task : self->OverdueTasks()) self->CheckTask(task);
    }
    if (!self->in_flight.empty()) self->ScheduleCheck();
  });
}

std::vector<SentTaskPtr> WorkerSession::Impl::OverdueTasks() const {
  std::vector<SentTaskPtr> overdue;
  const SteadyTime bound = std::chrono::steady_clock::now() - options.check_interval;
  for (const auto& [token, task] : in_flight) {
    if (task->started <= bound && !task->check_in_flight) overdue.push_back(task);
  }
  return overdue;
}

void WorkerSession::Impl::CheckTask(const SentTaskPtr& task) {
  task->check_in_flight = true;
  SendControl(NewConnectionRequest("GET", TokenPath(task->dispatch.token)), task->dispatch.token,
              options.control_timeout,
              [self = shared_from_this(), task](const TokenReport& report) {
                task->check_in_flight = false;
                self->OnCheckReport(task, report);
              });
}

void WorkerSession::Impl::OnCheckReport(const SentTaskPtr& task, const TokenReport& report) {
  if (task->ended) return;
  if (report.state == TokenState::kNeverStarted) return FenceTask(task);
  if (report.state == TokenState::kDone || report.state == TokenState::kFailed) {
    ResolveAfterTimeout(task, report);
  }
}

void WorkerSession::Impl::FenceTask(const SentTaskPtr& task) {
  task->check_in_flight = true;
  auto fence = NewConnectionRequest("POST", TokenPath(task->dispatch.token) + "/fence");
  SendControl(std::move(fence), task->dispatch.token, options.control_timeout,
              [self = shared_from_this(), task](const TokenReport& report) {
                task->check_in_flight = false;
                if (report.state != TokenState::kNeverStarted) {
                  return self->OnCheckReport(task, report);
                }
                // The ping returns the incarnation that was fenced, or a later one.
                self->Ping([self, task](bool answered) {
                  const bool same = answered && task->incarnation == self->incarnation;
                  self->Resolve(task,
                                {same ? DispatchOutcome::kNotStarted : DispatchOutcome::kUnknown,
                                 "",
                                 "the task did not reach the worker",
                                 {}});
                });
              });
}

void WorkerSession::Impl::ResolveAfterTimeout(const SentTaskPtr& task, const TokenReport& report) {
  task->check_in_flight = true;
  task->report = report;
  auto timer = std::make_shared<asio::steady_timer>(strand, options.late_response_timeout);
  timer->async_wait([self = shared_from_this(), task, report, timer](boost::system::error_code) {
    self->Resolve(task, ResultOfReport(report));
  });
}

void WorkerSession::Impl::Resolve(const SentTaskPtr& task, TaskResult task_result) {
  if (task->ended) return;
  Event("connection_silent", Severity::kWarning)
      .With("request", task->dispatch.request)
      .With("token", task->dispatch.token)
      .With("worker", task->dispatch.worker)
      .With("result", OutcomeName(task_result.outcome));
  EndTask(task, std::move(task_result));
  task_client.AbortRequest(task->request_number);
  // The idle connections of the pool use the same network path.
  task_client.CloseIdle();
}

void WorkerSession::Impl::SendControl(http::ClientRequest request, FencingToken token,
                                      Milliseconds timeout, std::function<void(TokenReport)> then) {
  control_client.Send(
      std::move(request), timeout,
      [self = shared_from_this(), token, then = std::move(then)](const http::ClientResult& result) {
        asio::post(self->strand, [then, report = ToTokenReport(result, token)] { then(report); });
      });
}

void WorkerSession::Impl::Query(FencingToken token, SteadyTime until,
                                const std::function<void(TokenReport)>& done) {
  const auto left = std::chrono::ceil<Milliseconds>(until - std::chrono::steady_clock::now());
  const Milliseconds slice = std::clamp(left, Milliseconds(0), kMaxQueryWait);
  auto request =
      NewConnectionRequest("GET", TokenPath(token) + "?wait_ms=" + std::to_string(slice.count()));
  SendControl(std::move(request), token, options.control_timeout + slice,
              [self = shared_from_this(), token, until, done](TokenReport report) {
                const bool more = std::chrono::steady_clock::now() < until && !self->closed;
                if (report.state == TokenState::kRunning && more) {
                  return self->Query(token, until, done);
                }
                self->Deliver(token, std::move(report), done);
              });
}

void WorkerSession::Impl::SendAction(TokenAction action, FencingToken token,
                                     std::function<void(TokenReport)> done) {
  const std::string path_suffix = action == TokenAction::kFence ? "/fence" : "/cancel";
  SendControl(NewConnectionRequest("POST", TokenPath(token) + path_suffix), token,
              options.control_timeout,
              [self = shared_from_this(), token, done = std::move(done)](TokenReport report) {
                self->Deliver(token, std::move(report), done);
              });
}

void WorkerSession::Impl::Deliver(FencingToken token, TokenReport report,
                                  const std::function<void(TokenReport)>& done) {
  if (report.state != TokenState::kNeverStarted || !unresolved->Contains(token)) {
    return done(std::move(report));
  }
  Ping([self = shared_from_this(), token, report, done](bool answered) mutable {
    if (!answered || !self->unresolved->IsReliable(token, self->incarnation)) {
      report.state = TokenState::kUnreachable;
      report.message = "the worker has restarted; the task may have run before";
    }
    done(std::move(report));
  });
}

WorkerSession::WorkerSession(asio::io_context& io, const std::string& address,
                             const GatewayOptions& options,
                             std::shared_ptr<UnresolvedTasks> unresolved)
    : impl_(std::make_shared<Impl>(io, address, options, std::move(unresolved))) {}

WorkerSession::~WorkerSession() { Close(); }

void WorkerSession::Open() {
  asio::post(impl_->strand, [impl = impl_] { impl->Ping([](bool) {}); });
}

void WorkerSession::Run(const TaskDispatch& dispatch, std::function<void(TaskResult)> done) {
  auto task = std::make_shared<SentTask>();
  task->dispatch = dispatch;
  task->done = std::move(done);
  asio::post(impl_->strand, [impl = impl_, task] { impl->Run(task); });
}

void WorkerSession::Query(FencingToken token, Milliseconds wait,
                          std::function<void(TokenReport)> done) {
  const SteadyTime until = std::chrono::steady_clock::now() + wait;
  asio::post(impl_->strand, [impl = impl_, token, until, done = std::move(done)] {
    impl->Query(token, until, done);
  });
}

void WorkerSession::SendAction(TokenAction action, FencingToken token,
                               std::function<void(TokenReport)> done) {
  asio::post(impl_->strand, [impl = impl_, action, token, done = std::move(done)] {
    impl->SendAction(action, token, done);
  });
}

void WorkerSession::SetConnections(std::size_t limit) {
  impl_->task_client.SetMaxConnections(TaskConnections(limit));
  impl_->control_client.SetMaxConnections(ControlConnections(limit));
}

void WorkerSession::Close() {
  impl_->task_client.Close();
  impl_->control_client.Close();
  asio::post(impl_->strand, [impl = impl_] {
    impl->closed = true;
    impl->check_timer.cancel();
  });
}

std::size_t WorkerSession::ConnectionCount() const {
  return impl_->task_client.ConnectionCount() + impl_->control_client.ConnectionCount();
}

}  // namespace parsleyline::entry::internal
