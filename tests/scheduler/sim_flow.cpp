#include "tests/scheduler/sim_flow.h"

#include <algorithm>

namespace parsleyline::scheduler {

using wire::RequestState;
using wire::TaskOutcome;

namespace {
constexpr Milliseconds kCallTimeout{1500};
constexpr int kMaxUnreachable = 20;
constexpr int kNeverStartedBeforeFence = 3;
constexpr int kReportTries = 6;
constexpr std::uint64_t kMaxDelay = 6000;
}  // namespace

SimFlow::SimFlow(Simulation* sim, wire::Submit submit)
    : sim_(sim), submit_(std::move(submit)), deadline_(sim->clock_.Now() + submit_.remaining) {
  ++sim_->open_flows_;
}

void SimFlow::Submit() {
  auto self = shared_from_this();
  const std::uint64_t call = ++call_number_;
  wire::Submit submit = submit_;
  submit.attempt = attempt_ + resends_;
  submit.remaining = std::chrono::duration_cast<Milliseconds>(deadline_ - sim_->clock_.Now());
  sim_->Send([self, call, submit] {
    self->sim_->PickReplica().Submit(submit, [self, call](Result<wire::RequestStatus> reply) {
      self->sim_->Send([self, call, reply] {
        if (call == self->call_number_) return self->OnSubmitted(reply);
        if (self->gave_up_ && reply) self->Abandon(*reply);
      });
    });
  });
  // Resends a submission without a reply after a random time, as after a lost connection.
  sim_->After(kCallTimeout + Milliseconds(sim_->Random(4000)), [self, call] {
    if (call == self->call_number_) self->OnSubmitted(Fail(ResultCode::kCallTimeout, ""));
  });
}

void SimFlow::OnSubmitted(const Result<wire::RequestStatus>& reply) {
  ++call_number_;
  if (!reply) {
    if (!Expired()) {
      ++resends_;
      auto self = shared_from_this();
      return sim_->After(Milliseconds(20), [self] { self->Submit(); });
    }
    gave_up_ = true;
    // The flow dispatches only grants that it has received, so the request cannot run unless
    // another flow with the same key dispatches it.
    wire::RequestStatus status;
    const bool may_run = !dispatched_.empty() || !submit_.idempotency_key.empty();
    status.state = may_run ? RequestState::kUnknown : RequestState::kRejected;
    return Reply(status);
  }
  if (reply->state == RequestState::kRunning) return StartTasks(*reply);
  RetryOrReply(*reply);
}

void SimFlow::StartTasks(const wire::RequestStatus& status) {
  attempt_ += std::exchange(resends_, 0);
  ++grant_round_;
  tasks_.clear();
  for (const wire::TaskGrant& grant : status.grants) tasks_.push_back({.grant = grant});
  unreported_tasks_ = tasks_.size();
  last_status_ = {};
  const bool ours = status.dispatcher == submit_.entry;
  for (std::size_t i = 0; i < tasks_.size(); ++i) {
    // The tasks of a repeated grant, or of one for another entry daemon, are only queried.
    if (ours && dispatched_.insert(tasks_[i].grant.token).second) {
      Dispatch(i);
    } else {
      QueryTask(i, false);
    }
  }
  // Simulates a crash of the entry daemon: its dispatches are still in flight, and nothing fences
  // the tasks or reports their end.
  if (!sim_->faults_ || !sim_->Chance(10)) return;
  ++grant_round_;
  Abandon(status);
}

// Marks the tasks of a grant to this flow, because the flow will not report their ends.
void SimFlow::Abandon(const wire::RequestStatus& status) {
  if (status.state != RequestState::kRunning || status.dispatcher != submit_.entry) return;
  for (const wire::TaskGrant& grant : status.grants) {
    sim_->abandoned_tasks_.emplace(grant.token, sim_->clock_.Now());
  }
}

void SimFlow::Dispatch(std::size_t index) {
  auto self = shared_from_this();
  const SimDispatch dispatch{
      .request = submit_.id,
      .digest = submit_.body_digest,
      .spec = submit_.spec,
      .grant = tasks_[index].grant,
      .run_time = Milliseconds(sim_->Chance(20) ? sim_->Random(15000) : sim_->Random(800)),
      .outcome = sim_->Chance(15) ? TaskOutcome::kFailed : TaskOutcome::kDone};
  const auto deliver = [self, index, dispatch, round = grant_round_] {
    if (self->sim_->FindWorker(dispatch.grant.worker).Run(dispatch, self->sim_->clock_.Now())) {
      return;
    }
    if (!self->sim_->FindWorker(dispatch.grant.worker).alive) return;
    self->sim_->Send([self, index, round] {
      if (round == self->grant_round_) self->EndTask(index, TaskOutcome::kNotStarted);
    });
  };
  if (sim_->faults_ && sim_->Chance(25)) {
    sim_->After(Milliseconds(sim_->Random(kMaxDelay)), deliver);
  } else {
    sim_->Send(deliver);
  }
  sim_->After(Milliseconds(100 + sim_->Random(2000)), [self, index, round = grant_round_] {
    if (round == self->grant_round_) self->QueryTask(index, true);
  });
}

void SimFlow::QueryTask(std::size_t index, bool fence) {
  if (tasks_[index].reported) return;
  auto self = shared_from_this();
  const wire::TaskGrant grant = tasks_[index].grant;
  sim_->After(Milliseconds(sim_->Random(30)), [self, index, fence, grant, round = grant_round_] {
    if (round != self->grant_round_) return;
    SimWorker& worker = self->sim_->FindWorker(grant.worker);
    const bool lost = self->sim_->faults_ && self->sim_->Chance(10);
    const auto state =
        lost ? SimWorker::TaskState::kUnreachable : worker.QueryTask(grant.token, fence);
    self->OnTaskState(index, state, worker.self.incarnation, fence);
  });
}

void SimFlow::OnTaskState(std::size_t index, SimWorker::TaskState state, Incarnation incarnation,
                          bool fenced) {
  Task& task = tasks_[index];
  if (task.reported) return;
  auto self = shared_from_this();
  const auto again = [&](Milliseconds pause, bool fence) {
    sim_->After(pause, [self, index, fence, round = grant_round_] {
      if (round == self->grant_round_) self->QueryTask(index, fence);
    });
  };
  using enum SimWorker::TaskState;
  if (state != kUnreachable && incarnation != task.grant.incarnation) {
    return EndTask(index, TaskOutcome::kLost);
  }
  if (state == kDone) return EndTask(index, TaskOutcome::kDone);
  if (state == kFailed) return EndTask(index, TaskOutcome::kFailed);
  if (state == kRunning) return again(Milliseconds(500), false);
  if (state == kNeverStarted) {
    if (fenced) return EndTask(index, TaskOutcome::kNotStarted);
    return again(Milliseconds(200), ++task.not_started_replies > kNeverStartedBeforeFence);
  }
  if (++task.unreachable_replies > kMaxUnreachable) return EndTask(index, TaskOutcome::kLost);
  again(Milliseconds(100), true);
}

void SimFlow::EndTask(std::size_t index, TaskOutcome outcome) {
  Task& task = tasks_[index];
  if (std::exchange(task.reported, true)) return;
  wire::FinishTask finish;
  finish.id = submit_.id;
  finish.token = task.grant.token;
  finish.outcome = outcome;
  if (outcome != TaskOutcome::kDone) {
    for (const Task& other : tasks_) {
      SimWorker& worker = sim_->FindWorker(other.grant.worker);
      if (!other.reported && worker.alive && worker.running.contains(other.grant.token)) {
        worker.Stop(other.grant.token);
      }
    }
  }
  ReportFinish(finish, kReportTries);
}

void SimFlow::ReportFinish(const wire::FinishTask& finish, int tries) {
  auto self = shared_from_this();
  if (tries == 0) return OnFinishReported({});
  const auto replied = std::make_shared<bool>(false);
  const auto send = [self, finish, replied, round = grant_round_] {
    self->sim_->PickReplica().Finish(finish, [=](Result<wire::RequestStatus> reply) {
      self->sim_->Send([=] {
        if (!reply || round != self->grant_round_ || std::exchange(*replied, true)) return;
        self->OnFinishReported(*reply);
      });
    });
  };
  sim_->Send(send);
  if (sim_->Chance(10)) sim_->Send(send);
  sim_->After(Milliseconds(4000), [=, round = grant_round_] {
    if (round != self->grant_round_ || std::exchange(*replied, true)) return;
    self->ReportFinish(finish, tries - 1);
  });
}

void SimFlow::OnFinishReported(const wire::RequestStatus& status) {
  if (last_status_.state == RequestState::kNone || status.state != RequestState::kRunning) {
    last_status_ = status;
  }
  if (--unreported_tasks_ > 0) return;
  wire::RequestStatus concluded = std::exchange(last_status_, {});
  if (concluded.state == RequestState::kNone || concluded.state == RequestState::kRunning) {
    concluded.state = RequestState::kUnknown;
  }
  ++grant_round_;
  RetryOrReply(concluded);
}

void SimFlow::RetryOrReply(const wire::RequestStatus& status) {
  const bool never_began = status.state == RequestState::kQueued;
  const bool again =
      submit_.spec.idempotency == wire::Idempotency::kIdempotent && !dispatched_.empty() &&
      (status.state == RequestState::kFailed || status.state == RequestState::kUnknown);
  if ((never_began || again) && !Expired() && sim_->Chance(90)) {
    ++attempt_;
    auto self = shared_from_this();
    return sim_->After(Milliseconds(20), [self] { self->Submit(); });
  }
  if (never_began) return CancelRequest();
  Reply(status);
}

void SimFlow::CancelRequest() {
  auto self = shared_from_this();
  sim_->Send([self] {
    self->sim_->PickReplica().Cancel({self->submit_.id}, [self](Result<wire::RequestStatus> reply) {
      if (reply && reply->state == RequestState::kRejected) self->Reply(*reply);
    });
  });
}

void SimFlow::Reply(const wire::RequestStatus& status) {
  if (std::exchange(replied_, true)) return;
  // This reply is about the other body that was submitted with the same key.
  if (status.code == ResultCode::kKeyConflict) return;
  if (status.state == RequestState::kRejected) sim_->oracle_.OnRejected(submit_.id);
}

}  // namespace parsleyline::scheduler
