#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/kind.h"
#include "base/result_code.h"
#include "base/units.h"

namespace parsleyline::queue {

/// Weight and quotas of one team, from the settings tree.
struct TeamPolicy {
  /// Relative weight of the team's dominant share.
  std::uint32_t weight = 1;
  /// Most processors that the team's running tasks may use; 0 means no limit.
  MilliCpu cpu_quota;
  /// Most accelerators that the team's running tasks may use; 0 means no limit.
  Accelerators accelerator_quota;
};

/// Guaranteed share and admission limits of one kind of work, from the settings tree.
struct KindPolicy {
  /// Dominant share of the fleet that the kind is guaranteed while it has demand, in thousandths.
  std::uint32_t floor_permille = 100;
  /// Most queued requests of one team and this kind. Further ones are rejected.
  std::size_t max_queued = 2000;
  /// A request whose expected wait is longer is rejected.
  Milliseconds max_expected_wait{600000};
};

/// Policies of all teams and kinds. A team that is not listed has the defaults of TeamPolicy.
struct QueuePolicy {
  std::map<TeamId, TeamPolicy> teams;
  /// Indexed by Kind.
  std::array<KindPolicy, 3> kinds;
};

/// A request that waits for placement.
struct QueuedRequest {
  RequestId id;
  TeamId team;
  Kind kind = Kind::kBatch;
  std::uint32_t tasks = 1;
  Resources per_task;
  /// Run time that the caller declared or that was estimated on submission; 0 if unknown.
  Milliseconds estimate{0};
  TimePoint enqueued;
  /// When the request expires; a zero time means never.
  TimePoint deadline;
};

/// Why a request was rejected, and after which time the caller may retry.
struct Rejection {
  Error error;
  Milliseconds retry_after{0};
};

class Ordering;

/// Queued requests with one queue for each team and kind. By default, the queues are served in
/// order of weighted dominant share, with a guaranteed share for each kind.
///
/// Free of I/O; not thread-safe: the owner serializes calls.
class FairQueue {
 public:
  explicit FairQueue(QueuePolicy policy = {});

  /// Uses another ordering; null means the default one.
  FairQueue(QueuePolicy policy, std::unique_ptr<Ordering> ordering);
  ~FairQueue();

  /// Replaces the policies. Requests that are already queued stay.
  void SetPolicy(QueuePolicy policy);

  /// Sets the total capacity of the workers, on which shares and floors are based.
  void SetFleetCapacity(const Resources& capacity);

  /// Queues a request, or rejects it with kQueueFull, kWaitTooLong or kQuotaExceeded.
  tl::expected<void, Rejection> Push(const QueuedRequest& request, TimePoint now);

  /// Removes a queued request. Returns whether it was queued.
  bool Remove(const RequestId& id);

  /// Runs a scheduling pass: offers queued requests to `try_place` in the order of the ranks.
  /// `try_place` returns whether it has placed the request; a placed request leaves the queue and
  /// counts as running. A request that does not fit does not block those of other teams or kinds.
  /// Ends when nothing more can be placed, after `limit` placed requests, or after a number of
  /// requests that did not fit. Returns the number of placed requests.
  std::size_t Dispatch(TimePoint now, std::size_t limit,
                       const std::function<bool(const QueuedRequest&)>& try_place);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired(TimePoint now);

  /// Adds the resources of a running request or task that Dispatch() has not counted, for example
  /// after a failover.
  void AddRunning(const TeamId& team, Kind kind, const Resources& total);

  /// Subtracts the resources of a request or task that has ended. `run_time` updates the run time
  /// estimate of the team and kind; zero means unknown.
  void RemoveRunning(const TeamId& team, Kind kind, const Resources& total, Milliseconds run_time);

  /// Returns the run time estimate of the team and kind, or `declared` if no task of them has ended
  /// yet.
  Milliseconds Estimate(const TeamId& team, Kind kind, Milliseconds declared) const;

  bool Contains(const RequestId& id) const;
  std::size_t size() const;

  /// Counts of one team and kind.
  struct Row {
    TeamId team;
    Kind kind = Kind::kBatch;
    std::size_t queued = 0;
    std::uint64_t running = 0;
    std::uint64_t rejected_total = 0;
    Milliseconds oldest_wait{0};
  };

  /// Returns a row for each team and kind that has queued or running work.
  std::vector<Row> Rows(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::queue
