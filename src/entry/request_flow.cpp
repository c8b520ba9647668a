#include "entry/request_flow.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "wire/codec.h"
#include "wire/methods.h"

namespace parsleyline::entry {
namespace {

namespace asio = boost::asio;
using wire::RequestState;
using wire::TaskOutcome;

// Time for the scheduler to answer a request whose deadline has passed in its queue.
constexpr Milliseconds kDeadlineGrace{250};
constexpr Milliseconds kQueryWait{1000};
constexpr Milliseconds kUnreachableRetryDelay{100};
// After this many failed queries of a worker, its task is reported as lost and ends with its lease.
constexpr std::uint32_t kMaxUnreachableReports = 20;
// How often a worker may report a task of another dispatcher as never started before it is fenced.
constexpr std::uint32_t kMaxNeverStartedReports = 3;
constexpr Milliseconds kNeverStartedRetryDelay{200};
constexpr Milliseconds kRetryDelay{20};

NodeId MakeDispatcherId(const NodeId& node) {
  static std::atomic<std::uint64_t> next{
      static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())};
  return NodeId(node.value() + "#" + std::to_string(next++));
}

DomainId HomeOf(const RequestId& id) {
  return DomainId(id.value().substr(0, id.value().rfind('-')));
}

bool IsFinal(RequestState state) {
  return state == RequestState::kDone || state == RequestState::kRejected ||
         state == RequestState::kFailed || state == RequestState::kUnknown;
}

}  // namespace

RequestFlow::RequestFlow(EntryContext& context, RequestId id, std::string key,
                         ParsedRequest request, std::function<void()> on_finished)
    : context_(context),
      id_(std::move(id)),
      key_(std::move(key)),
      request_(std::move(request)),
      dispatcher_(MakeDispatcherId(context.options.node)),
      home_(HomeOf(id_)),
      on_finished_(std::move(on_finished)) {}

void RequestFlow::Start(AnswerCallback answer) {
  started_ = context_.clock.Now();
  deadline_ = started_ + request_.timeout;
  answer_callbacks_.push_back(std::move(answer));
  Event("request")
      .With("request", id_)
      .With("team", request_.spec.team)
      .With("kind", KindName(request_.spec.kind))
      .With("tasks", request_.spec.tasks)
      .With("timeout_ms", request_.timeout.count());
  context_.retries.RecordRequest(request_.spec.team, started_);
  StartDeadlineTimer();
  Submit();
}

bool RequestFlow::AddCaller(std::uint64_t digest, AnswerCallback answer) {
  std::unique_lock lock(mutex_);
  if (digest != request_.digest) return false;
  if (!final_status_) {
    answer_callbacks_.push_back(std::move(answer));
    return true;
  }
  const wire::RequestStatus status = *final_status_;
  lock.unlock();
  answer(status);
  return true;
}

Milliseconds RequestFlow::Remaining() const {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(deadline_ - context_.clock.Now()));
}

void RequestFlow::RunAfter(Milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(context_.io, delay);
  timer->async_wait(
      [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
}

// Answers the callers at the deadline, whatever is still in flight.
void RequestFlow::StartDeadlineTimer() {
  deadline_timer_ =
      std::make_unique<asio::steady_timer>(context_.io, request_.timeout + kDeadlineGrace);
  deadline_timer_->async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr) self->OnDeadline();
  });
}

void RequestFlow::OnDeadline() {
  const bool dispatched = [this] {
    const std::lock_guard lock(mutex_);
    return !dispatched_.empty() || grant_dispatcher_ == Dispatcher::kOtherFlow;
  }();
  // If nothing was dispatched, only a resend with the caller's key could still run the request.
  const bool may_run = dispatched || !key_.empty();
  AnswerCallers(
      may_run ? MakeStatus(RequestState::kUnknown, ResultCode::kOutcomeUnknown,
                           "the deadline passed while the request may be running; ask again by id")
              : MakeStatus(RequestState::kRejected, ResultCode::kDeadlineExceeded,
                           "the deadline passed before the request was placed"));
}

void RequestFlow::Submit() {
  auto self = shared_from_this();
  const Milliseconds remaining = Remaining();
  const auto build = [self](std::uint32_t resent) {
    const std::lock_guard lock(self->mutex_);
    self->resend_count_ = resent;
    return wire::Encode(wire::Submit{.id = self->id_,
                                     .idempotency_key = self->key_,
                                     .body_digest = self->request_.digest,
                                     .spec = self->request_.spec,
                                     .entry = self->dispatcher_,
                                     .attempt = self->attempt_ + resent,
                                     .remaining = self->Remaining()});
  };
  context_.schedulers.CallDomain(home_, wire::kSubmitMethod, build, remaining + kDeadlineGrace,
                                 [self](Result<std::string> reply, bool maybe_sent) {
                                   self->OnSubmitted(std::move(reply), maybe_sent);
                                 });
}

void RequestFlow::OnSubmitted(Result<std::string> reply, bool maybe_sent) {
  auto status = reply.and_then(
      [](const std::string& bytes) { return wire::Decode<wire::RequestStatus>(bytes); });
  if (status) return OnStatus(*status);
  // This flow will not dispatch a grant that it has not received. The request can still run only if
  // an earlier attempt did, or if another entry daemon receives it again with the same key.
  const bool may_run = [&] {
    const std::lock_guard lock(mutex_);
    return !dispatched_.empty() || grant_dispatcher_ == Dispatcher::kOtherFlow ||
           (maybe_sent && !key_.empty());
  }();
  AnswerCallers(
      may_run ? MakeStatus(RequestState::kUnknown, ResultCode::kOutcomeUnknown,
                           "home domain " + home_.value() + " does not answer; ask again by id")
              : MakeStatus(RequestState::kRejected, status.error().code, status.error().message));
  Finish();
}

void RequestFlow::OnStatus(const wire::RequestStatus& status) {
  if (status.state == RequestState::kRunning) return StartTasks(status);
  if (IsFinal(status.state)) return OnSettled(status);
  AnswerCallers(MakeStatus(RequestState::kUnknown, ResultCode::kInternal,
                           "the scheduler answered a submission in state " +
                               std::to_string(static_cast<int>(status.state))));
  Finish();
}

void RequestFlow::StartTasks(const wire::RequestStatus& status) {
  std::size_t count = 0;
  {
    const std::lock_guard lock(mutex_);
    attempt_ += resend_count_;
    ++grants_received_;
    grant_dispatcher_ =
        status.dispatcher == dispatcher_ ? Dispatcher::kThisFlow : Dispatcher::kOtherFlow;
    waited_ = status.queue_time;
    tasks_.clear();
    for (const wire::TaskGrant& grant : status.grants) tasks_.push_back({.grant = grant});
    count = unreported_tasks_ = tasks_.size();
  }
  if (count == 0) return OnSettled(status);
  for (std::size_t i = 0; i < count; ++i) {
    if (grant_dispatcher_ == Dispatcher::kThisFlow) {
      DispatchTask(i);
    } else {
      QueryTask(i, kQueryWait);
    }
  }
}

void RequestFlow::DispatchTask(std::size_t index) {
  TaskDispatch dispatch;
  {
    const std::lock_guard lock(mutex_);
    const wire::TaskGrant& grant = tasks_[index].grant;
    if (!PARSLEYLINE_CHECK(dispatched_.insert(grant.token).second)) return;
    dispatch = {.token = grant.token,
                .request = id_,
                .attempt = attempt_,
                .worker = grant.worker,
                .incarnation = grant.incarnation,
                .address = grant.address,
                .team = request_.spec.team,
                .kind = request_.spec.kind,
                .resources = request_.spec.resources,
                .lease = grant.lease,
                .timeout = Remaining(),
                .payload = request_.payload};
  }
  Event("dispatch")
      .With("request", id_)
      .With("token", dispatch.token)
      .With("attempt", dispatch.attempt)
      .With("worker", dispatch.worker);
  auto self = shared_from_this();
  context_.gateway.Run(
      dispatch, [self, index](const TaskResult& result) { self->OnTaskResult(index, result); });
}

void RequestFlow::OnTaskResult(std::size_t index, const TaskResult& result) {
  switch (result.outcome) {
    case DispatchOutcome::kDone:
      return EndTask(index, TaskOutcome::kDone, result.answer, result.run_time);
    case DispatchOutcome::kFailed:
      return EndTask(index, TaskOutcome::kFailed, result.message, result.run_time);
    case DispatchOutcome::kNotStarted:
      return EndTask(index, TaskOutcome::kNotStarted, result.message, Milliseconds(0));
    case DispatchOutcome::kUnknown:
      Event("answer_unclear", Severity::kWarning)
          .With("request", id_)
          .With("task", index)
          .With("reason", result.message);
      return FenceTask(index);
  }
}

void RequestFlow::FenceTask(std::size_t index) {
  auto self = shared_from_this();
  const wire::TaskGrant& grant = tasks_[index].grant;
  context_.gateway.Fence(grant.address, grant.token, [self, index](const TokenReport& report) {
    self->OnTokenReport(index, report, true);
  });
}

void RequestFlow::QueryTask(std::size_t index, Milliseconds wait) {
  auto self = shared_from_this();
  const wire::TaskGrant& grant = tasks_[index].grant;
  context_.gateway.Query(
      grant.address, grant.token, wait,
      [self, index](const TokenReport& report) { self->OnTokenReport(index, report, false); });
}

void RequestFlow::OnTokenReport(std::size_t index, const TokenReport& report, bool fenced) {
  auto self = shared_from_this();
  Task& task = tasks_[index];
  const bool other_incarnation =
      report.state != TokenState::kUnreachable && report.incarnation != task.grant.incarnation;
  if (other_incarnation) {
    // The worker has restarted and no longer knows the task, which may have run.
    return EndTask(index, TaskOutcome::kLost, "", Milliseconds(0));
  }
  switch (report.state) {
    case TokenState::kDone:
      return EndTask(index, TaskOutcome::kDone, report.answer, Milliseconds(0));
    case TokenState::kFailed:
      return EndTask(index, TaskOutcome::kFailed, report.message, Milliseconds(0));
    case TokenState::kRunning:
      return QueryTask(index, kQueryWait);
    case TokenState::kNeverStarted:
      if (fenced) return EndTask(index, TaskOutcome::kNotStarted, "", Milliseconds(0));
      // The dispatcher of the grant may be about to send the task to the worker.
      if (++task.inconclusive_reports > kMaxNeverStartedReports) return FenceTask(index);
      return RunAfter(kNeverStartedRetryDelay,
                      [self, index] { self->QueryTask(index, kQueryWait); });
    case TokenState::kUnreachable:
      if (++task.inconclusive_reports > kMaxUnreachableReports) {
        return EndTask(index, TaskOutcome::kLost, "", Milliseconds(0));
      }
      return RunAfter(kUnreachableRetryDelay, [self, index] { self->FenceTask(index); });
  }
}

void RequestFlow::EndTask(std::size_t index, TaskOutcome outcome, std::string answer,
                          Milliseconds run_time) {
  bool all_done = false;
  {
    const std::lock_guard lock(mutex_);
    Task& task = tasks_[index];
    if (!PARSLEYLINE_CHECK(!task.outcome)) return;
    task.outcome = outcome;
    task.answer = std::move(answer);
    all_done = std::all_of(tasks_.begin(), tasks_.end(),
                           [](const Task& it) { return it.outcome == TaskOutcome::kDone; });
  }
  // The callers are answered before the end is recorded: the grant is recorded already, so the
  // request cannot run again, and a repeated request gets the answer from the worker.
  if (all_done) AnswerCallers(DoneStatus());
  if (outcome != TaskOutcome::kDone) CancelOtherTasks(index);
  ReportTaskEnd(index, run_time);
}

// Cancels the other tasks of a gang, which are of no use without the one that ended.
void RequestFlow::CancelOtherTasks(std::size_t index) {
  std::vector<wire::TaskGrant> running;
  {
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < tasks_.size(); ++i) {
      if (i != index && !tasks_[i].outcome) running.push_back(tasks_[i].grant);
    }
  }
  for (const wire::TaskGrant& grant : running) {
    context_.gateway.Cancel(grant.address, grant.token, [](const TokenReport&) {});
  }
}

void RequestFlow::ReportTaskEnd(std::size_t index, Milliseconds run_time) {
  wire::FinishTask finish;
  {
    const std::lock_guard lock(mutex_);
    const Task& task = tasks_[index];
    finish = {.id = id_,
              .token = task.grant.token,
              .outcome = *task.outcome,
              .answer = task.answer,
              .run_time = run_time};
  }
  auto self = shared_from_this();
  context_.schedulers.CallDomain<wire::RequestStatus>(
      home_, wire::kFinishMethod, finish, context_.options.report_timeout,
      [self](Result<wire::RequestStatus> status) { self->OnTaskEndReported(std::move(status)); });
}

void RequestFlow::OnTaskEndReported(Result<wire::RequestStatus> status) {
  wire::RequestStatus settled;
  {
    const std::lock_guard lock(mutex_);
    if (status) {
      // The reports of a gang's tasks may be answered out of order; a settled state takes
      // precedence.
      if (last_status_.state == RequestState::kNone || status->state != RequestState::kRunning) {
        last_status_ = *status;
      }
    }
    if (--unreported_tasks_ > 0) return;
    settled = std::exchange(last_status_, {});
  }
  if (settled.state == RequestState::kNone || settled.state == RequestState::kRunning) {
    settled = MakeStatus(RequestState::kUnknown, ResultCode::kOutcomeUnknown,
                         "the end of the request could not be recorded; ask again by id");
  }
  OnSettled(settled);
}

bool RequestFlow::MayRetry(const wire::RequestStatus& status) {
  const bool never_started = status.state == RequestState::kQueued;
  const bool may_run_again =
      request_.spec.idempotency == wire::Idempotency::kIdempotent &&
      (status.state == RequestState::kFailed || status.state == RequestState::kUnknown);
  if (!never_started && !may_run_again) return false;
  // A resend gets the outcome of an earlier request, which this flow must not repeat.
  if (dispatched_.empty() && !never_started) return false;
  if (final_status_ || grants_received_ >= context_.options.max_attempts) return false;
  if (Remaining() <= kRetryDelay) return false;
  return context_.retries.TryTakeRetry(request_.spec.team, context_.clock.Now());
}

// Handles the settled state of an attempt: starts another attempt or answers the callers.
void RequestFlow::OnSettled(const wire::RequestStatus& status) {
  bool retry = false;
  {
    const std::lock_guard lock(mutex_);
    retry = MayRetry(status);
    if (retry) ++attempt_;
  }
  if (retry) {
    ++context_.counters.retries;
    Event("retry").With("request", id_).With("attempt", attempt_).With("after", status.message);
    auto self = shared_from_this();
    return RunAfter(kRetryDelay, [self] { self->Submit(); });
  }
  if (status.state == RequestState::kQueued) return CancelQueuedRequest();
  AnswerCallers(status);
  Finish();
}

// Cancels a request that is queued again after a failed start and may not be retried, so that it is
// rejected for good.
void RequestFlow::CancelQueuedRequest() {
  auto self = shared_from_this();
  context_.schedulers.CallDomain<wire::RequestStatus>(
      home_, wire::kCancelMethod, wire::RequestRef{id_}, context_.options.report_timeout,
      [self](const Result<wire::RequestStatus>& status) {
        const bool cancelled = status && status->state == RequestState::kRejected;
        self->AnswerCallers(
            cancelled ? self->MakeStatus(RequestState::kRejected, ResultCode::kOverloaded,
                                         "the task could not be started and may not be retried")
                      : self->MakeStatus(RequestState::kUnknown, ResultCode::kOutcomeUnknown,
                                         "the task has not started; ask again by id"));
        self->Finish();
      });
}

wire::RequestStatus RequestFlow::MakeStatus(RequestState state, ResultCode code,
                                            std::string message) const {
  wire::RequestStatus status;
  status.id = id_;
  status.state = state;
  status.code = code;
  status.message = std::move(message);
  return status;
}

wire::RequestStatus RequestFlow::DoneStatus() const {
  wire::RequestStatus status = MakeStatus(RequestState::kDone, ResultCode::kOk, "");
  status.queue_time = waited_;
  for (const Task& task : tasks_) {
    status.grants.push_back(task.grant);
    status.answers.push_back(task.answer);
  }
  return status;
}

void RequestFlow::AnswerCallers(const wire::RequestStatus& status) {
  std::vector<AnswerCallback> answers;
  {
    const std::lock_guard lock(mutex_);
    if (final_status_) {
      const bool late = final_status_->state != RequestState::kDone;
      if (late && status.state == RequestState::kDone) ++context_.counters.late_answers;
      return;
    }
    final_status_ = status;
    answers = std::exchange(answer_callbacks_, {});
  }
  switch (status.state) {
    case RequestState::kDone:
      ++context_.counters.done;
      break;
    case RequestState::kRejected:
      ++context_.counters.rejected;
      break;
    case RequestState::kFailed:
      ++context_.counters.failed;
      break;
    default:
      ++context_.counters.unknown;
  }
  const auto elapsed = context_.clock.Now() - started_;
  Event("answer")
      .With("request", id_)
      .With("code", static_cast<int>(status.code))
      .With("attempts", attempt_ + 1)
      .With("waited_ms", status.queue_time.count())
      .With("elapsed_us", std::chrono::duration_cast<Microseconds>(elapsed).count());
  for (const AnswerCallback& answer : answers) answer(status);
}

void RequestFlow::Finish() {
  std::function<void()> on_finished;
  {
    const std::lock_guard lock(mutex_);
    on_finished = std::exchange(on_finished_, nullptr);
  }
  // If they were kept, the timers of ended requests would take 100 MiB at 12,000 requests per
  // second with deadlines of 10 s.
  deadline_timer_->cancel();
  if (on_finished) on_finished();
}

}  // namespace parsleyline::entry
