#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "entry/entry_context.h"
#include "entry/request_parser.h"
#include "wire/messages.h"

namespace parsleyline::entry {

/// Drives one request through submission, dispatch and answer.
///
/// The flow ends when the outcome of every task that it dispatched is reported, which may be after
/// the caller was answered. Thread-safe: callbacks come from any thread.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  using AnswerCallback = std::function<void(const wire::RequestStatus& status)>;

  /// `on_finished` is called once, when nothing of the request is in flight any more.
  RequestFlow(EntryContext& context, RequestId id, std::string key, ParsedRequest request,
              std::function<void()> on_finished);

  /// Starts the request. `answer` is called exactly once.
  void Start(AnswerCallback answer);

  /// Adds a caller that sent the request again with the same key. Returns false if the body
  /// differs.
  bool AddCaller(std::uint64_t digest, AnswerCallback answer);

 private:
  /// A task of the current grant.
  struct Task {
    wire::TaskGrant grant;
    std::optional<wire::TaskOutcome> outcome;
    std::string answer;
    /// Number of reports about the token that did not settle the outcome.
    std::uint32_t inconclusive_reports = 0;
  };
  /// Whether this flow dispatches the tasks of the current grant, or the flow of an earlier
  /// submission of the request does.
  enum class Dispatcher : std::uint8_t { kThisFlow, kOtherFlow };

  void Submit();
  void OnSubmitted(Result<std::string> reply, bool maybe_sent);
  void OnStatus(const wire::RequestStatus& status);
  void StartTasks(const wire::RequestStatus& status);
  void DispatchTask(std::size_t index);
  void OnTaskResult(std::size_t index, const TaskResult& result);
  void QueryTask(std::size_t index, Milliseconds wait);
  void FenceTask(std::size_t index);
  void OnTokenReport(std::size_t index, const TokenReport& report, bool fenced);
  void EndTask(std::size_t index, wire::TaskOutcome outcome, std::string answer,
               Milliseconds run_time);
  void CancelOtherTasks(std::size_t index);
  void ReportTaskEnd(std::size_t index, Milliseconds run_time);
  void OnTaskEndReported(Result<wire::RequestStatus> status);
  void OnSettled(const wire::RequestStatus& status);
  bool MayRetry(const wire::RequestStatus& status);
  void CancelQueuedRequest();
  void AnswerCallers(const wire::RequestStatus& status);
  void Finish();
  void StartDeadlineTimer();
  void OnDeadline();
  void RunAfter(Milliseconds delay, std::function<void()> action);
  Milliseconds Remaining() const;
  wire::RequestStatus DoneStatus() const;
  wire::RequestStatus MakeStatus(wire::RequestState state, ResultCode code,
                                 std::string message) const;

  EntryContext& context_;
  const RequestId id_;
  const std::string key_;
  const ParsedRequest request_;
  /// Identifies this flow as the dispatcher of its grants. Unique, so that neither a restarted
  /// daemon nor a later flow with the same request id takes a grant of this flow for its own.
  const NodeId dispatcher_;
  const DomainId home_;
  std::function<void()> on_finished_;
  /// Set by Start(), cancelled by End().
  std::unique_ptr<boost::asio::steady_timer> deadline_timer_;

  std::mutex mutex_;
  std::vector<AnswerCallback> answer_callbacks_;
  std::optional<wire::RequestStatus> final_status_;
  TimePoint deadline_;
  TimePoint started_;
  std::uint32_t attempt_ = 0;
  /// Number of grants received.
  std::uint32_t grants_received_ = 0;
  /// Earlier submissions of the current attempt that a scheduler may have received.
  std::uint32_t resend_count_ = 0;
  Dispatcher grant_dispatcher_ = Dispatcher::kThisFlow;
  std::vector<Task> tasks_;
  Milliseconds waited_{0};
  /// Tasks of the current grant whose end is not recorded yet.
  std::size_t unreported_tasks_ = 0;
  std::unordered_set<FencingToken> dispatched_;
  wire::RequestStatus last_status_;
};

}  // namespace parsleyline::entry
