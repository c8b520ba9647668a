#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"
#include "dispatch/advice_table.h"
#include "dispatch/door.h"
#include "dispatch/duration_model.h"
#include "dispatch/fleet.h"
#include "dispatch/messages.h"
#include "dispatch/placer.h"
#include "dispatch/policy.h"
#include "dispatch/urgency.h"
#include "job/job_book.h"

namespace parsleyline::dispatch {

/// Answer to a job that was handed in.
struct SubmitAnswer {
  /// kOk: accepted and stored. 2xxx: rejected, it never runs. 3001: unknown, ask again.
  ResultCode code = ResultCode::kOk;
  Milliseconds retry_after{0};
};

/// The time of day, for times that must survive a change of leader.
using ReadUnixTime = std::function<job::UnixMillis()>;

/// Schedules the jobs of a cell while this process leads the replicated log. Free of I/O: events
/// come in through the methods, orders go out through the Outbox. Not thread-safe.
///
/// An order to start a task is durable before it is sent, and the end of a run is durable before
/// the worker may forget it. A run whose order was not answered stays charged until the worker's
/// list, a stop, or the end of its lease shows what became of it.
class Coordinator {
 public:
  using SubmitDone = std::function<void(SubmitAnswer)>;
  /// Called with kOk once an event is durable, or with the reason why that is not known.
  using Durable = std::function<void(ResultCode)>;

  Coordinator(const job::JobBook& book, Outbox& outbox, const Clock& clock, ReadUnixTime unix_time,
              std::uint64_t proposer, Policy policy = {});
  ~Coordinator();

  /// Begins to lead. The book holds all that earlier leaders recorded.
  void Lead(Fence fence);
  /// Ends leading; whoever waits for something durable learns that the outcome is unknown.
  void Resign();
  bool Leads() const { return leads_; }

  /// Takes the changes of a batch that the book has applied.
  void OnApplied(const job::CommandBatch& batch, const job::BookChanges& changes);

  /// A worker has reported. `done` is called once the report has its effect.
  void OnReport(const WorkerReport& report, Durable done);
  /// A worker leaves and has ended all its runs.
  void OnLeave(const WorkerId& worker, Durable done);
  void OnStartReply(const StartOrder& order, const OrderReply& reply);
  void OnStopReply(const StopOrder& order, const OrderReply& reply);
  void OnHoldReply(const HoldOrder& order, const HoldReply& reply);
  void OnAdvice(const NodeId& caller, const AdviceQuery& query, const AdviceReply& reply);
  /// Notes a process that can call the advisor.
  void NoteCaller(const NodeId& caller);

  void Submit(const job::JobId& id, const job::QueueSettings& queue, const job::JobSpec& spec,
              SubmitDone done);
  void Cancel(const job::JobId& id, Durable done);
  void PutConfig(const job::CellConfig& config, Durable done);
  /// Calls `done` with kOk if this process still led after the call; proves that the book holds
  /// everything that was acknowledged before.
  void Confirm(Durable done);

  /// Accepted jobs of a queue, without due times, of which no task has begun. A job whose starts no
  /// worker has confirmed yet counts, because its orders may have been lost with an earlier leader.
  std::uint64_t PendingCount(const job::QueueId& queue) const;

  /// Places waiting work and proposes what has gathered.
  void Pump();
  /// Does what is due at `Clock::Now()`. To be called about every 20 ms.
  void Tick();

  /// Numbers for metrics.
  struct Counts {
    std::size_t workers = 0;
    std::size_t waiting_steps = 0;
    std::size_t runs = 0;
    std::uint64_t starts = 0;
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t advice_calls = 0;
  };
  Counts counts() const;

 private:
  struct StepWork;
  struct PassState;

  // Workers and runs.
  void Adopt(const job::OpenRun& open);
  void EndLifetime(const Worker& worker, const char* reason);
  void SendDueHolds();
  void SendDueStops();
  void CheckWorkers();
  /// Stops runs that stand still, are very slow, or will not end before their worker leaves.
  void WatchRuns();
  /// Returns the workers that are much slower than the fleet, and in `usual_pace` how many times
  /// their estimates tasks usually take.
  std::set<WorkerId> SlowWorkers(double* usual_pace) const;
  void MoveRun(Worker* worker, Run* run, const char* reason);
  void Reconcile(Worker* worker, const HoldReply& reply, std::uint64_t hold);
  void NoteEnds(Worker* worker, const std::vector<ListedEnd>& finished);
  void NoteActive(Worker* worker, const ActiveRun& active, std::uint64_t hold);
  void RecordEnd(const job::RunKey& key, job::RunEnd end, const std::string& checkpoint);
  void MarkLost(Run* run, const char* reason);
  /// Has a run stopped that must not go on.
  void MarkUnwanted(Run* run);
  void MarkGangUnwanted(const job::StepKey& step, job::RunNumber run);
  /// Has the runs of a job stopped, except those of steps with one of the `spared` flags.
  void MarkJobUnwanted(const job::JobId& job, std::uint32_t spared);
  void NoteHealth(Worker* worker, const job::RunKey& key, job::RunEnd end);
  void NoteDuration(const Run& run, job::RunEnd end);
  void Quarantine(Worker* worker, const char* reason);
  Run* FindRun(const job::RunKey& key, Worker** worker);
  void SendStart(const job::StartRecord& record);
  void ForgetRun(const job::RunKey& key);

  // Waiting work.
  void RefreshJob(const job::JobId& id);
  void RefreshStep(const job::Job& job, const job::QueueSettings& queue, const job::StepKey& key);
  bool IsReady(const job::Job& job, const job::StepKey& key) const;
  void RefreshTimedJobs();
  void UpdateBacklog();
  void Schedule();
  void ScheduleStep(StepWork* work, PassState* pass);
  void ScheduleTasks(StepWork* work, PassState* pass);
  void ScheduleGang(StepWork* work, PassState* pass);
  enum class TicketRule { kValidTicket, kApproved, kNotRefused };
  std::vector<Candidate> Candidates(const StepWork& work, const PassState& pass,
                                    TicketRule rule) const;
  void BeginPass(PassState* pass);
  void ReserveRoom(StepWork* work, const std::vector<Candidate>& approved, PassState* pass);
  void FetchTickets(StepWork* work, const std::vector<WorkerId>& chosen, PassState* pass);
  void Withhold(StepWork* work, PassState* pass);
  /// Asks for new tickets for all reserved workers if one would run out before the room is there.
  void RenewTickets(StepWork* work, Duration wait, PassState* pass);
  bool IsReservationUsable(const StepWork& work, const PassState& pass) const;
  Duration ExpectedWait(const StepWork& work, const PassState& pass) const;
  void AskAboutUnknown(StepWork* work, PassState* pass);
  void Ask(StepWork* work, std::vector<const Worker*> workers, PassState* pass);
  void AskAboutRoom(StepWork* work, std::uint32_t tasks, PassState* pass);
  std::vector<std::uint32_t> WaitingTasks(const StepWork& work) const;
  std::map<WorkerId, std::uint32_t> RunningByWorker(const job::StepKey& step) const;
  bool IsAnyRunOpen(const job::StepKey& step) const;
  void StartTask(StepWork* work, const job::RunKey& key, const std::string& checkpoint,
                 Worker* worker, PassState* pass);
  void ForgetOldJobs();
  void Propose();
  void WhenDurable(Durable done);

  const job::JobBook& book_;
  Outbox& outbox_;
  const Clock& clock_;
  const ReadUnixTime unix_time_;
  const std::uint64_t proposer_;
  const Policy policy_;

  bool leads_ = false;
  Fence fence_;
  Fleet fleet_;
  std::map<job::RunKey, WorkerId> run_index_;
  std::map<job::StepKey, std::unique_ptr<StepWork>> waiting_;
  /// Processes that can call the advisor: the step that each is busy with, and when it reported.
  struct Caller {
    TimePoint last_seen;
    std::optional<job::StepKey> busy_with;
    TimePoint busy_since;
    std::vector<AskedWorker> asked;
  };
  std::map<NodeId, Caller> callers_;
  std::map<job::JobId, std::vector<SubmitDone>> submitting_;
  /// How long tasks take, by queue. Learned anew by each leader.
  std::map<job::QueueId, DurationModel> durations_;
  Backlog backlog_;
  /// Jobs that have ended, in the order of the time.
  std::deque<std::pair<TimePoint, job::JobId>> ended_at_;
  /// Jobs with occurrences that are not due yet.
  std::set<job::JobId> timed_jobs_;
  TimePoint next_check_;
  TimePoint next_watch_;
  TimePoint last_tick_;
  /// True after this process stood still, until it has proved that it still leads.
  bool paused_ = false;

  job::CommandBatch batch_;
  std::vector<Durable> batch_waiters_;
  std::map<std::uint64_t, std::vector<Durable>> in_flight_;
  std::uint64_t next_ticket_ = 1;
  /// Runs that must be stopped, or may have to be.
  std::set<job::RunKey> stops_due_;
  /// Start orders by run, kept until the record of the start is durable.
  std::map<job::RunKey, StartOrder> prepared_;
  Counts counts_;
};

}  // namespace parsleyline::dispatch
