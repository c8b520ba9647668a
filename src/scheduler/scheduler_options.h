#pragma once

#include <array>
#include <cstddef>

#include "base/ids.h"
#include "base/kind.h"
#include "base/units.h"
#include "placement/placement.h"

namespace parsleyline::scheduler {

/// Timeouts and limits of the scheduler of one failure domain.
struct SchedulerOptions {
  NodeId node;
  DomainId domain;
  /// A worker that has not announced itself for this long is silent and gets no new tasks.
  Milliseconds worker_ttl{1500};
  /// A worker that has not announced itself for this long is removed from the registry.
  Milliseconds worker_retention{600000};
  /// Length of a task's lease, indexed by Kind.
  std::array<Milliseconds, 3> lease{Milliseconds(2000), Milliseconds(10000), Milliseconds(10000)};
  /// Time between the end of a lease and the release of its charge. It covers clocks that run at
  /// different speeds and the time that a dispatch takes to reach the worker.
  Milliseconds clock_margin{500};
  /// How long the outcome of a non-idempotent request is kept.
  Milliseconds ledger_retention{3600000};
  /// Most records of non-idempotent requests without a running task. At this limit, new
  /// non-idempotent requests are rejected.
  std::size_t ledger_max_entries = 500000;
  /// Most records of idempotent requests without a running task. The oldest are removed when there
  /// are more.
  std::size_t ledger_max_short_entries = 5000;
  /// An entry daemon that has not sent a heartbeat for this long is no longer registered.
  Milliseconds entry_ttl{1500};
  /// Connections to one worker that all entry daemons together may open.
  std::uint32_t connections_per_worker = 64;
  /// Most grants of one scheduling pass, so that a flood does not hold the lock for long.
  std::size_t max_grants_per_pass = 256;
  placement::PlacementOptions placement;

  Milliseconds LeaseOf(Kind kind) const { return lease.at(static_cast<std::size_t>(kind)); }
};

}  // namespace parsleyline::scheduler
