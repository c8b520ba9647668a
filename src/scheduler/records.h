#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "ledger/ledger.h"
#include "wire/messages.h"

namespace parsleyline::scheduler {

/// First record of a leader's term. Grants of an earlier term have no effect after it, because they
/// were decided without knowing the records in between.
struct StartTerm {
  Term term;

  auto Fields() { return std::tie(term); }
};

/// A worker announced itself for the first time, or with another incarnation, address, rack,
/// capacity or state.
struct RegisterWorker {
  WorkerId worker;
  Incarnation incarnation;
  std::string address;
  RackId rack;
  Resources capacity;
  wire::WorkerState announced_state = wire::WorkerState::kReady;

  auto Fields() { return std::tie(worker, incarnation, address, rack, capacity, announced_state); }
  bool operator==(const RegisterWorker&) const = default;
};

/// An operator drained a worker or made it ready again.
struct SetOperatorState {
  WorkerId worker;
  wire::WorkerState state = wire::WorkerState::kDraining;

  auto Fields() { return std::tie(worker, state); }
};

/// A worker has been silent for longer than SchedulerOptions::worker_retention.
struct RemoveWorker {
  WorkerId worker;

  auto Fields() { return std::tie(worker); }
};

/// A grant of the tasks of one request.
struct GrantTasks {
  Term proposer_term;
  /// Number by which the proposing leader identifies the grant; unique within its term.
  std::uint64_t proposal_number = 0;
  ledger::Grant grant;

  auto Fields() { return std::tie(proposer_term, proposal_number, grant); }
};

/// Removes the oldest trimmable records of the ledger.
struct TrimLedger {
  /// Number of records to remove with short and with long retention.
  std::uint64_t short_records = 0;
  std::uint64_t long_records = 0;

  auto Fields() { return std::tie(short_records, long_records); }
};

/// A worker has confirmed that it will not start these lost tasks.
struct ConfirmStops {
  WorkerId worker;
  std::vector<FencingToken> tokens;

  auto Fields() { return std::tie(worker, tokens); }
};

/// One command in the replicated log of a failure domain. The position of each type in the list is
/// stored, so new types go to the end.
using Record =
    std::variant<RegisterWorker, SetOperatorState, RemoveWorker, GrantTasks, wire::FinishTask,
                 ledger::Rejection, TrimLedger, StartTerm, ConfirmStops>;

/// Encodes a record as one byte for its position in Record, followed by its encoded fields.
std::string EncodeRecord(const Record& record);

/// Decodes a record. Fails with kMalformedMessage.
Result<Record> DecodeRecord(std::string_view bytes);

}  // namespace parsleyline::scheduler
