#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "tests/scheduler/simulation.h"

namespace parsleyline::scheduler {

/// Simulated flow of one request through an entry daemon. Follows the rules of entry::RequestFlow.
class SimFlow : public std::enable_shared_from_this<SimFlow> {
 public:
  SimFlow(Simulation* sim, wire::Submit submit);
  ~SimFlow() { --sim_->open_flows_; }
  void Submit();

 private:
  struct Task {
    wire::TaskGrant grant;
    bool reported = false;
    int unreachable_replies = 0;
    int not_started_replies = 0;
  };

  bool Expired() const { return sim_->clock_.Now() >= deadline_; }
  void OnSubmitted(const Result<wire::RequestStatus>& reply);
  void StartTasks(const wire::RequestStatus& status);
  void Abandon(const wire::RequestStatus& status);
  void Dispatch(std::size_t index);
  void QueryTask(std::size_t index, bool fence);
  void OnTaskState(std::size_t index, SimWorker::TaskState state, Incarnation incarnation,
                   bool fenced);
  void EndTask(std::size_t index, wire::TaskOutcome outcome);
  void ReportFinish(const wire::FinishTask& finish, int tries);
  void OnFinishReported(const wire::RequestStatus& status);
  void RetryOrReply(const wire::RequestStatus& status);
  void CancelRequest();
  void Reply(const wire::RequestStatus& status);

  Simulation* sim_;
  wire::Submit submit_;
  TimePoint deadline_;
  std::uint32_t attempt_ = 0;
  std::uint32_t resends_ = 0;
  std::uint64_t call_number_ = 0;
  /// Number of the current grant; replies about earlier grants are ignored.
  std::uint64_t grant_round_ = 0;
  std::vector<Task> tasks_;
  std::size_t unreported_tasks_ = 0;
  wire::RequestStatus last_status_;
  std::set<FencingToken> dispatched_;
  /// Whether the deadline passed without a reply. The scheduler may still grant the request.
  bool gave_up_ = false;
  bool replied_ = false;
};

}  // namespace parsleyline::scheduler
