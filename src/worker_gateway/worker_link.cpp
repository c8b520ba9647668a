#include "worker_gateway/worker_link.h"

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
constexpr Milliseconds kQuerySlice{250};
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
http::ClientRequest FreshRequest(std::string method, std::string target) {
  http::ClientRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers["Connection"] = "close";
  return request;
}

/// A task that was sent and has not been answered.
struct ActiveRun {
  TaskDispatch dispatch;
  std::function<void(TaskResult)> done;
  SteadyTime started;
  /// Number of the request in http::Client.
  std::uint64_t call = 0;
  /// Incarnation of the worker when the task was sent, if known.
  std::optional<std::uint64_t> incarnation;
  /// Whether a control request about the task is in flight.
  bool checking = false;
  /// Set once the worker has reported the end of the task.
  std::optional<TokenReport> report;
  bool ended = false;
};

using RunPtr = std::shared_ptr<ActiveRun>;

std::string_view ResultName(DispatchOutcome result) {
  constexpr std::array<std::string_view, 4> kNames = {"done", "failed", "not_started", "unclear"};
  return kNames.at(static_cast<std::size_t>(result));
}

TaskResult FromReport(const TokenReport& report) {
  TaskResult answer;
  answer.outcome =
      report.state == TokenState::kDone ? DispatchOutcome::kDone : DispatchOutcome::kFailed;
  answer.answer = report.answer;
  answer.message = report.message;
  return answer;
}

}  // namespace

struct WorkerSession::Impl : std::enable_shared_from_this<WorkerSession::Impl> {
  Impl(asio::io_context& io, const std::string& worker_address, const GatewayOptions& opts,
       std::shared_ptr<UnresolvedTasks> sent_tasks)
      : strand(asio::make_strand(io)),
        check_timer(strand),
        address(worker_address),
        options(opts),
        unresolved(std::move(sent_tasks)),
        task_client(io, address.substr(0, address.rfind(':')), PortOf(address),
              PoolOptions(TaskConnections(opts.connections_per_worker))),
        control_client(io, address.substr(0, address.rfind(':')), PortOf(address),
                PoolOptions(ControlConnections(opts.connections_per_worker))) {}

  // The functions below run on the strand.
  void Run(const RunPtr& run);
  void OnResult(const RunPtr& run, const http::ClientResult& result);
  void EndTask(const RunPtr& run, TaskResult answer);
  void ConfirmRejection(const RunPtr& run);
  void Ping(std::function<void(bool answered)> then);
  void ScheduleCheck();
  void CheckOverdueTasks();
  std::vector<RunPtr> OverdueTasks() const;
  void CheckTask(const RunPtr& run);
  void OnCheckReport(const RunPtr& run, const TokenReport& report);
  void FenceTask(const RunPtr& run);
  void ResolveAfterTimeout(const RunPtr& run, const TokenReport& report);
  void Resolve(const RunPtr& run, TaskResult answer);
  void Query(FencingToken token, SteadyTime until, const std::function<void(TokenReport)>& done);
  void SendAction(TokenVerb verb, FencingToken token, std::function<void(TokenReport)> done);
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
  std::unordered_map<std::uint64_t, RunPtr> in_flight;
  std::optional<std::uint64_t> incarnation;
  bool check_scheduled = false;
  bool closed = false;
};

void WorkerSession::Impl::Run(const RunPtr& run) {
  if (run->dispatch.timeout.count() <= 0) {
    return run->done({DispatchOutcome::kNotStarted, "", "the deadline has passed", {}});
  }
  run->started = std::chrono::steady_clock::now();
  run->incarnation = incarnation;
  in_flight[run->dispatch.token.value()] = run;
  http::ClientRequest request;
  request.method = "POST";
  request.target = "/v1/tasks";
  request.headers["Content-Type"] = "application/json";
  request.body = DispatchBody(run->dispatch);
  request.start_timeout = options.start_timeout;
  request.matches = [run](const http::ClientResponse& response) {
    return IsResponseToDispatch(response, run->dispatch);
  };
  run->call = task_client.Send(std::move(request), run->dispatch.timeout,
                         [self = shared_from_this(), run](http::ClientResult result) {
                           asio::post(self->strand, [self, run, result = std::move(result)] {
                             self->OnResult(run, result);
                           });
                         });
  if (!incarnation) Ping([](bool) {});
  ScheduleCheck();
}

void WorkerSession::Impl::OnResult(const RunPtr& run, const http::ClientResult& result) {
  if (run->ended) return;
  if (result && result->status == kStatusConflict) return ConfirmRejection(run);
  TaskResult answer = ToTaskResult(result);
  const bool unclear = answer.outcome == DispatchOutcome::kUnknown;
  EndTask(run, unclear && run->report ? FromReport(*run->report) : std::move(answer));
}

void WorkerSession::Impl::EndTask(const RunPtr& run, TaskResult answer) {
  if (std::exchange(run->ended, true)) return;
  const auto it = in_flight.find(run->dispatch.token.value());
  if (it != in_flight.end() && it->second == run) in_flight.erase(it);
  if (answer.outcome == DispatchOutcome::kUnknown) {
    unresolved->Add(run->dispatch.token, run->incarnation);
  }
  const auto done = std::exchange(run->done, nullptr);
  done(std::move(answer));
}

/// Fences a task that the worker rejected. A worker also rejects a token that it has seen before,
/// and then the task did start.
void WorkerSession::Impl::ConfirmRejection(const RunPtr& run) {
  run->checking = true;
  auto fence = FreshRequest("POST", TokenPath(run->dispatch.token) + "/fence");
  SendControl(std::move(fence), run->dispatch.token, options.control_timeout,
              [self = shared_from_this(), run](const TokenReport& report) {
                const bool never = report.state == TokenState::kNeverStarted;
                self->EndTask(run, {never ? DispatchOutcome::kNotStarted : DispatchOutcome::kUnknown,
                                "",
                                "the worker rejected the task",
                                {}});
              });
}

void WorkerSession::Impl::Ping(std::function<void(bool answered)> then) {
  control_client.Send(FreshRequest("GET", "/v1/ping"), options.control_timeout,
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
      for (const RunPtr& run : self->OverdueTasks()) self->CheckTask(run);
    }
    if (!self->in_flight.empty()) self->ScheduleCheck();
  });
}

std::vector<RunPtr> WorkerSession::Impl::OverdueTasks() const {
  std::vector<RunPtr> overdue;
  const SteadyTime bound = std::chrono::steady_clock::now() - options.check_interval;
  for (const auto& [token, run] : in_flight) {
    if (run->started <= bound && !run->checking) overdue.push_back(run);
  }
  return overdue;
}

void WorkerSession::Impl::CheckTask(const RunPtr& run) {
  run->checking = true;
  SendControl(FreshRequest("GET", TokenPath(run->dispatch.token)), run->dispatch.token,
              options.control_timeout, [self = shared_from_this(), run](const TokenReport& report) {
                run->checking = false;
                self->OnCheckReport(run, report);
              });
}

void WorkerSession::Impl::OnCheckReport(const RunPtr& run, const TokenReport& report) {
  if (run->ended) return;
  if (report.state == TokenState::kNeverStarted) return FenceTask(run);
  if (report.state == TokenState::kDone || report.state == TokenState::kFailed) {
    ResolveAfterTimeout(run, report);
  }
}

void WorkerSession::Impl::FenceTask(const RunPtr& run) {
  run->checking = true;
  auto fence = FreshRequest("POST", TokenPath(run->dispatch.token) + "/fence");
  SendControl(std::move(fence), run->dispatch.token, options.control_timeout,
              [self = shared_from_this(), run](const TokenReport& report) {
                run->checking = false;
                if (report.state != TokenState::kNeverStarted) return self->OnCheckReport(run, report);
                // The ping returns the incarnation that was fenced, or a later one.
                self->Ping([self, run](bool answered) {
                  const bool same = answered && run->incarnation == self->incarnation;
                  self->Resolve(run,
                                {same ? DispatchOutcome::kNotStarted : DispatchOutcome::kUnknown,
                                 "",
                                 "the task did not reach the worker",
                                 {}});
                });
              });
}

void WorkerSession::Impl::ResolveAfterTimeout(const RunPtr& run, const TokenReport& report) {
  run->checking = true;
  run->report = report;
  auto timer = std::make_shared<asio::steady_timer>(strand, options.late_response_timeout);
  timer->async_wait([self = shared_from_this(), run, report, timer](boost::system::error_code) {
    self->Resolve(run, FromReport(report));
  });
}

void WorkerSession::Impl::Resolve(const RunPtr& run, TaskResult answer) {
  if (run->ended) return;
  Event("connection_silent", Severity::kWarning)
      .With("request", run->dispatch.request)
      .With("token", run->dispatch.token)
      .With("worker", run->dispatch.worker)
      .With("result", ResultName(answer.outcome));
  EndTask(run, std::move(answer));
  task_client.Abandon(run->call);
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
  const Milliseconds slice = std::clamp(left, Milliseconds(0), kQuerySlice);
  auto request =
      FreshRequest("GET", TokenPath(token) + "?wait_ms=" + std::to_string(slice.count()));
  SendControl(std::move(request), token, options.control_timeout + slice,
              [self = shared_from_this(), token, until, done](TokenReport report) {
                const bool more = std::chrono::steady_clock::now() < until && !self->closed;
                if (report.state == TokenState::kRunning && more) {
                  return self->Query(token, until, done);
                }
                self->Deliver(token, std::move(report), done);
              });
}

void WorkerSession::Impl::SendAction(TokenVerb verb, FencingToken token,
                           std::function<void(TokenReport)> done) {
  const std::string action = verb == TokenVerb::kFence ? "/fence" : "/cancel";
  SendControl(FreshRequest("POST", TokenPath(token) + action), token, options.control_timeout,
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
                       const GatewayOptions& options, std::shared_ptr<UnresolvedTasks> sent)
    : impl_(std::make_shared<Impl>(io, address, options, std::move(sent))) {}

WorkerSession::~WorkerSession() { Close(); }

void WorkerSession::Open() {
  asio::post(impl_->strand, [impl = impl_] { impl->Ping([](bool) {}); });
}

void WorkerSession::Run(const TaskDispatch& dispatch, std::function<void(TaskResult)> done) {
  auto run = std::make_shared<ActiveRun>();
  run->dispatch = dispatch;
  run->done = std::move(done);
  asio::post(impl_->strand, [impl = impl_, run] { impl->Run(run); });
}

void WorkerSession::Query(FencingToken token, Milliseconds wait,
                       std::function<void(TokenReport)> done) {
  const SteadyTime until = std::chrono::steady_clock::now() + wait;
  asio::post(impl_->strand, [impl = impl_, token, until, done = std::move(done)] {
    impl->Query(token, until, done);
  });
}

void WorkerSession::SendAction(TokenVerb verb, FencingToken token, std::function<void(TokenReport)> done) {
  asio::post(impl_->strand,
             [impl = impl_, verb, token, done = std::move(done)] { impl->SendAction(verb, token, done); });
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
