// Worker management of DomainLeader: announcements, leases, draining, and lists for operators.

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "scheduler/domain_leader.h"

namespace parsleyline::scheduler {
namespace {

RegisterWorker RegistrationOf(const wire::Announcement& announcement) {
  return {.worker = announcement.worker,
          .incarnation = announcement.incarnation,
          .address = announcement.address,
          .rack = announcement.rack,
          .capacity = announcement.capacity,
          .announced_state = announcement.state};
}

std::vector<FencingToken> RunningTokens(const wire::Announcement& announcement) {
  std::vector<FencingToken> tokens;
  tokens.reserve(announcement.running.size());
  for (const wire::TaskUsage& usage : announcement.running) tokens.push_back(usage.token);
  return tokens;
}

const char* StateName(const placement::Placement::WorkerView& view) {
  if (view.availability == placement::Availability::kSilent) return "silent";
  if (view.availability == placement::Availability::kDraining) return "draining";
  return view.on_probation ? "probation" : "ready";
}

std::uint32_t Permille(std::int64_t part, std::int64_t whole) {
  constexpr std::int64_t kWhole = 1000;
  return whole > 0 ? static_cast<std::uint32_t>(part * kWhole / whole) : 0;
}

}  // namespace

wire::AnnounceReply DomainLeader::Announce(const wire::AnnounceBatch& batch, TimePoint now) {
  wire::AnnounceReply reply;
  reply.results.reserve(batch.announcements.size());
  for (const wire::Announcement& announcement : batch.announcements) {
    wire::AnnounceResult result;
    result.worker = announcement.worker;
    HandleAnnouncement(announcement, &result, now);
    reply.results.push_back(std::move(result));
  }
  return reply;
}

void DomainLeader::HandleAnnouncement(const wire::Announcement& announcement,
                                      wire::AnnounceResult* result, TimePoint now) {
  const RegisteredWorker* known = state_->workers().Find(announcement.worker);
  if (known != nullptr && announcement.incarnation < known->registration.incarnation) {
    // The announcement was delayed, or two processes announce themselves under the same name.
    result->code = ResultCode::kOutOfRange;
    return;
  }
  const RegisterWorker registration = RegistrationOf(announcement);
  if (known == nullptr || known->registration != registration) {
    RegisterWorker& proposed = proposed_registrations_[announcement.worker];
    if (proposed != registration) {
      proposed = registration;
      outbox_->Propose(registration);
      Event("worker_changed")
          .With("worker", announcement.worker)
          .With("incarnation", announcement.incarnation)
          .With("address", announcement.address)
          .With("rack", announcement.rack)
          .With("state", announcement.state == wire::WorkerState::kReady ? "ready" : "draining");
    }
  }
  if (known == nullptr) return;

  if (state_->mutable_workers().RecordAnnouncement(announcement.worker, now)) {
    placement_.SetAvailability(announcement.worker, known->Availability());
    Event("worker_recovered").With("worker", announcement.worker);
  }
  // A draining worker gets no new tasks from its first announcement on, before the registration is
  // committed.
  if (announcement.state == wire::WorkerState::kDraining) {
    placement_.SetAvailability(announcement.worker, placement::Availability::kDraining);
  }
  if (announcement.incarnation != known->registration.incarnation) return;

  LeaseTable::LeaseUpdate update = leases_.RecordAnnouncement(
      announcement.worker, RunningTokens(announcement), announcement.acknowledged_response, now);
  result->renewed = std::move(update.renewed);
  result->stop = std::move(update.stop);
  result->response_number = update.reply_number;
  ChargeUnknownTasks(announcement, update.unknown);
  StopLostTasks(*known, announcement, result);
  for (const FencingToken token : update.ended) ProposeTaskLost(token, "not_reported");
}

// Charges the reported tasks that have no lease, because they use the worker's capacity until they
// stop. Releases those that are no longer reported.
void DomainLeader::ChargeUnknownTasks(const wire::Announcement& announcement,
                                      const std::vector<FencingToken>& unknown) {
  const auto known = unknown_tasks_.find(announcement.worker);
  if (unknown.empty() && known == unknown_tasks_.end()) return;
  auto& charged = unknown_tasks_[announcement.worker];
  std::erase_if(charged, [&](FencingToken token) {
    const bool gone = std::find(unknown.begin(), unknown.end(), token) == unknown.end();
    if (gone) placement_.Release(token);
    return gone;
  });
  for (const wire::TaskUsage& usage : announcement.running) {
    if (std::find(unknown.begin(), unknown.end(), usage.token) == unknown.end()) continue;
    if (!charged.insert(usage.token).second) continue;
    placement_.Charge(usage.token, announcement.worker,
                      {.cpu = usage.cpu,
                       .memory = usage.memory,
                       .accelerators = Accelerators(0),
                       .slots = Slots(1)});
    Event("unknown_task", Severity::kWarning)
        .With("worker", announcement.worker)
        .With("token", usage.token);
  }
  if (charged.empty()) unknown_tasks_.erase(announcement.worker);
}

// Tells a worker to refuse its lost tasks until it confirms that. The lease of a task can end while
// the worker is silent, and its dispatch can reach the worker after the end of the silence.
void DomainLeader::StopLostTasks(const RegisteredWorker& worker,
                                 const wire::Announcement& announcement,
                                 wire::AnnounceResult* result) {
  if (worker.lost_tasks.empty()) return;
  const std::vector<FencingToken> running = RunningTokens(announcement);
  auto& stops = lost_task_stops_[announcement.worker];
  ConfirmStops confirmed{announcement.worker, {}};
  for (const FencingToken token : worker.lost_tasks) {
    // The reply already contains the unknown tasks that the worker reports.
    if (std::find(running.begin(), running.end(), token) != running.end()) continue;
    const auto [it, first] = stops.try_emplace(token, result->response_number);
    if (!first && announcement.acknowledged_response >= it->second) {
      confirmed.tokens.push_back(token);
    } else {
      result->stop.push_back(token);
    }
  }
  if (!confirmed.tokens.empty()) outbox_->Propose(std::move(confirmed));
}

void DomainLeader::HandleApplied(const ConfirmStops& record) {
  const auto it = lost_task_stops_.find(record.worker);
  if (it == lost_task_stops_.end()) return;
  for (const FencingToken token : record.tokens) it->second.erase(token);
  if (it->second.empty()) lost_task_stops_.erase(it);
}

void DomainLeader::ProposeTaskLost(FencingToken token, const char* reason) {
  const ledger::LedgerEntry* entry = state_->ledger().FindByToken(token);
  if (entry == nullptr || !proposed_lost_tasks_.insert(token).second) return;
  Event("task_lost", Severity::kWarning)
      .With("request", entry->id)
      .With("token", token)
      .With("reason", reason);
  outbox_->Propose(wire::FinishTask{.id = entry->id,
                                    .token = token,
                                    .outcome = wire::TaskOutcome::kLost,
                                    .answer = {},
                                    .run_time = Milliseconds(0)});
}

void DomainLeader::ExpireWorkersAndLeases(TimePoint now) {
  WorkerRegistry& workers = state_->mutable_workers();
  for (const WorkerId& id : workers.MarkSilent(now - options_.worker_ttl)) {
    placement_.SetAvailability(id, placement::Availability::kSilent);
    Event("worker_silent", Severity::kWarning).With("worker", id);
  }
  const auto is_silent = [&workers](const WorkerId& id) {
    const RegisteredWorker* worker = workers.Find(id);
    return worker == nullptr || worker->silent;
  };
  for (const FencingToken token : leases_.FindExpired(now, is_silent)) {
    ProposeTaskLost(token, "lease_expired");
  }
  for (const WorkerId& id : workers.AnnouncedBefore(now - options_.worker_retention)) {
    outbox_->Propose(RemoveWorker{id});
  }
}

wire::EntryHeartbeatReply DomainLeader::Heartbeat(const wire::EntryHeartbeat& heartbeat,
                                                  TimePoint now) {
  return entries_.RecordHeartbeat(heartbeat, now);
}

Result<wire::Empty> DomainLeader::SetWorkerState(const wire::SetWorkerState& change) {
  if (state_->workers().Find(change.worker) == nullptr) {
    return Fail(ResultCode::kNotFound, "worker " + change.worker.value() + " is unknown");
  }
  if (change.state == wire::WorkerState::kDraining) {
    placement_.SetAvailability(change.worker, placement::Availability::kDraining);
  }
  outbox_->Propose(SetOperatorState{change.worker, change.state});
  return wire::Empty{};
}

void DomainLeader::HandleApplied(const RegisterWorker& record) {
  proposed_registrations_.erase(record.worker);
  lost_task_stops_.erase(record.worker);
  const RegisteredWorker* worker = state_->workers().Find(record.worker);
  if (worker == nullptr) return;
  AddWorker(*worker);
  UpdateFleetCapacity();
}

void DomainLeader::HandleApplied(const SetOperatorState& record) {
  const RegisteredWorker* worker = state_->workers().Find(record.worker);
  if (worker != nullptr) placement_.SetAvailability(record.worker, worker->Availability());
}

void DomainLeader::HandleApplied(const RemoveWorker& record) {
  placement_.RemoveWorker(record.worker);
  unknown_tasks_.erase(record.worker);
  lost_task_stops_.erase(record.worker);
  UpdateFleetCapacity();
}

wire::WorkerList DomainLeader::ListWorkers() const {
  wire::WorkerList list;
  for (const placement::Placement::WorkerView& view : placement_.Workers()) {
    const RegisteredWorker* worker = state_->workers().Find(view.spec.id);
    list.workers.push_back({.worker = view.spec.id,
                            .rack = view.spec.rack,
                            .address = worker != nullptr ? worker->registration.address : "",
                            .state = StateName(view),
                            .capacity = view.spec.capacity,
                            .charged = view.charged,
                            .running = view.running});
  }
  std::sort(list.workers.begin(), list.workers.end(),
            [](const wire::WorkerRow& a, const wire::WorkerRow& b) { return a.worker < b.worker; });
  return list;
}

wire::QueueList DomainLeader::ListQueues(TimePoint now) const {
  wire::QueueList list;
  for (const queue::FairQueue::Row& row : queue_.Rows(now)) {
    list.queues.push_back({.team = row.team,
                           .kind = row.kind,
                           .queued = row.queued,
                           .running = row.running,
                           .rejected_total = row.rejected_total,
                           .oldest_wait = row.oldest_wait});
  }
  return list;
}

void DomainLeader::FillStatus(wire::SchedulerStatus* status) const {
  status->workers = state_->workers().workers().size();
  status->running = leases_.size();
  status->queued = queue_.size();
  status->packed_permille =
      Permille(placement_.TotalCharged().cpu.count(), placement_.TotalCapacity().cpu.count());
}

}  // namespace parsleyline::scheduler
