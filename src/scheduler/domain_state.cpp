#include "scheduler/domain_state.h"

#include <tuple>
#include <variant>

#include "wire/codec.h"
#include "wire/codec_impl.h"

namespace parsleyline::scheduler {

/// Serialized form of a DomainState.
struct DomainSnapshot {
  std::string ledger;
  std::string workers;
  Term term;

  auto Fields() { return std::tie(ledger, workers, term); }
};

}  // namespace parsleyline::scheduler

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::DomainSnapshot);

namespace parsleyline::scheduler {

ApplyResult DomainState::Apply(LogIndex index, const Record& record, TimePoint now) {
  return std::visit([&](const auto& message) { return ApplyRecord(index, message, now); }, record);
}

ApplyResult DomainState::ApplyRecord(LogIndex, const RegisterWorker& record, TimePoint now) {
  const RegisteredWorker* known = workers_.Find(record.worker);
  if (known != nullptr && record.incarnation < known->registration.incarnation) return {};

  ApplyResult applied{.accepted = true, .ended = {}};
  const Incarnation replaced = workers_.Register(record, now);
  if (replaced == Incarnation()) return applied;

  // A new incarnation is a new process, so the tasks of the previous one have ended.
  std::vector<wire::FinishTask> lost;
  for (const ledger::LedgerEntry* entry : ledger_.Running()) {
    for (const ledger::TaskEntry& task : entry->tasks) {
      if (task.worker != record.worker || task.state != ledger::TaskState::kRunning ||
          task.incarnation >= record.incarnation) {
        continue;
      }
      lost.push_back({.id = entry->id,
                      .token = task.token,
                      .outcome = wire::TaskOutcome::kLost,
                      .answer = {},
                      .run_time = Milliseconds(0)});
    }
  }
  for (const wire::FinishTask& finish : lost) EndTask(finish, &applied);
  return applied;
}

ApplyResult DomainState::ApplyRecord(LogIndex, const SetOperatorState& record, TimePoint) {
  if (workers_.Find(record.worker) == nullptr) return {};
  workers_.SetOperatorState(record.worker, record.state);
  return {.accepted = true, .ended = {}};
}

ApplyResult DomainState::ApplyRecord(LogIndex, const RemoveWorker& record, TimePoint) {
  if (workers_.Find(record.worker) == nullptr) return {};
  workers_.Remove(record.worker);
  return {.accepted = true, .ended = {}};
}

ApplyResult DomainState::ApplyRecord(LogIndex index, const GrantTasks& record, TimePoint) {
  if (record.proposer_term != term_) return {};
  return {.accepted = ledger_.ApplyGrant(index, record.grant), .ended = {}};
}

ApplyResult DomainState::ApplyRecord(LogIndex, const wire::FinishTask& record, TimePoint) {
  ApplyResult applied;
  EndTask(record, &applied);
  applied.accepted = !applied.ended.empty();
  return applied;
}

ApplyResult DomainState::ApplyRecord(LogIndex, const ledger::Rejection& record, TimePoint) {
  return {.accepted = ledger_.ApplyRejection(record), .ended = {}};
}

ApplyResult DomainState::ApplyRecord(LogIndex, const TrimLedger& record, TimePoint) {
  ledger_.Trim(ledger::Retention::kShort, record.short_records);
  ledger_.Trim(ledger::Retention::kLong, record.long_records);
  return {.accepted = true, .ended = {}};
}

ApplyResult DomainState::ApplyRecord(LogIndex, const StartTerm& record, TimePoint) {
  if (record.term <= term_) return {};
  term_ = record.term;
  return {.accepted = true, .ended = {}};
}

ApplyResult DomainState::ApplyRecord(LogIndex, const ConfirmStops& record, TimePoint) {
  workers_.RemoveLostTasks(record.worker, record.tokens);
  return {.accepted = true, .ended = {}};
}

void DomainState::EndTask(const wire::FinishTask& finish, ApplyResult* applied) {
  const ledger::TaskEntry* task = ledger_.ApplyFinish(finish);
  if (task == nullptr) return;
  if (finish.outcome == wire::TaskOutcome::kLost) {
    workers_.AddLostTask(task->worker, task->incarnation, task->token);
  }
  const ledger::LedgerEntry* entry = ledger_.Find(finish.id);
  applied->ended.push_back({entry->id, entry->spec, *task, finish.run_time});
}

std::string DomainState::TakeSnapshot() const {
  return wire::Encode(DomainSnapshot{ledger_.TakeSnapshot(), workers_.TakeSnapshot(), term_});
}

Result<void> DomainState::Restore(std::string_view bytes, TimePoint now) {
  const auto snapshot = wire::Decode<DomainSnapshot>(bytes);
  if (!snapshot) return tl::make_unexpected(snapshot.error());
  term_ = snapshot->term;
  if (auto restored = ledger_.Restore(snapshot->ledger); !restored) return restored;
  return workers_.Restore(snapshot->workers, now);
}

}  // namespace parsleyline::scheduler
