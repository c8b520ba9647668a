#pragma once

#include <cstdint>
#include <string>

#include "base/strong_id.h"

namespace parsleyline {

/// Team that submits requests and owns one subtree of the settings tree.
using TeamId = StrongId<struct TeamIdTag, std::string>;
/// Name that a worker (endpoint) announces.
using WorkerId = StrongId<struct WorkerIdTag, std::string>;
/// Failure domain, for example "suva".
using DomainId = StrongId<struct DomainIdTag, std::string>;
/// Rack within a failure domain.
using RackId = StrongId<struct RackIdTag, std::string>;
/// Request id issued by the system: "<home domain>-<hex>".
using RequestId = StrongId<struct RequestIdTag, std::string>;
/// Id that an operator chooses for one edit of the settings. A repeated edit with the same id is
/// recognized as a retry.
using OperationId = StrongId<struct OperationIdTag, std::string>;
/// Name of one daemon of the cell: an entry daemon or a scheduler.
using NodeId = StrongId<struct NodeIdTag, std::string>;

/// Number of a worker process's start. A higher incarnation proves that the tasks of all lower ones
/// have ended.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Identifies one granted task and is never reused: (log index of the grant << 16) | task number.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/// Index of a record in a replicated log. The first record has index 1.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// Election term of a Raft group.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Revision of the settings tree. Each accepted edit increments it by one.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

inline constexpr unsigned kTaskNumberBits = 16;

/// Returns the fencing token of task number `task` of the grant at log index `index`.
inline FencingToken MakeFencingToken(LogIndex index, std::uint32_t task) {
  return FencingToken((index.value() << kTaskNumberBits) | task);
}

}  // namespace parsleyline
