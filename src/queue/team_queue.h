#pragma once

#include <array>
#include <map>
#include <utility>
#include <vector>

#include "queue/estimators.h"
#include "queue/fair_queue.h"

namespace parsleyline::queue {

/// Sort key of a request from Ordering::KeyInQueue(), then its sequence number.
using EntryKey = std::pair<std::int64_t, std::uint64_t>;

struct Team;

/// Queued and running work of one team and kind.
struct TeamQueue {
  Team* team = nullptr;
  Kind kind = Kind::kBatch;
  std::map<EntryKey, QueuedRequest> requests;
  /// First of `requests`, or null. Cached so that ranking does not access the map.
  const QueuedRequest* head = nullptr;
  std::uint64_t head_sequence = 0;
  std::uint64_t queued_tasks = 0;
  std::uint64_t running_tasks = 0;
  std::uint64_t rejected_total = 0;
  RunTimeEstimator run_time_estimator;
  DrainRateEstimator drain_rate;
  /// Whether the queue is in the list of queues whose head is to be offered for placement.
  bool is_ready = false;
  /// Whether the queue is in the list of queues whose head could not be placed. It stays there
  /// until its head or the free capacity changes.
  bool is_blocked = false;

  /// Updates `head`. Call after each change of `requests`.
  void UpdateHead();
};

/// Queues and running work of one team.
struct Team {
  TeamId id;
  TeamPolicy policy;
  Resources running;
  /// Dominant share of `running`, divided by the weight.
  double weighted_share = 0;
  /// Whether the weight of the team is included in the sum over the teams that have work.
  bool is_active = false;
  /// Indexed by Kind.
  std::array<TeamQueue, 3> queues;

  /// Returns whether the team has queued or running tasks.
  bool HasWork() const;
};

/// Demands that did not fit since capacity was last freed. A request of the same kind that is at
/// least as large in every respect does not fit either, so it need not be tried.
class UnplaceableDemands {
 public:
  void Add(Kind kind, const QueuedRequest& request, Milliseconds estimate);

  /// Returns whether the request is at least as large as a demand that did not fit.
  bool KnownNotToFit(Kind kind, const QueuedRequest& request, Milliseconds estimate) const;
  void Clear() { demands_.clear(); }

 private:
  struct FailedDemand {
    Kind kind;
    Resources per_task;
    std::uint32_t tasks;
    Milliseconds estimate;
  };
  std::vector<FailedDemand> demands_;
};

}  // namespace parsleyline::queue
