#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "placement/worker_table.h"

namespace parsleyline::placement {

/// The reservation of workers for a gang that waits for free capacity. At most one gang holds it,
/// so that two gangs cannot each block the workers that the other one needs.
class Reservation {
 public:
  Reservation(const PlacementOptions& options, const WorkerTable* table)
      : options_(options), table_(table) {}

  /// Reserves workers for a gang that does not fit now, or updates the plan of its reservation.
  /// Does nothing if another gang holds the reservation, or if that of this gang has just expired.
  /// Returns whether the gang holds the reservation.
  bool Acquire(const Demand& gang, TimePoint now);

  /// Ends the reservation if the job holds it.
  void Release(const RequestId& job);

  /// Ends the reservation if its timeout has passed.
  void Expire(TimePoint now);

  /// Makes the next Acquire() plan again. Call after a change of the workers.
  void Invalidate() { plan_is_stale_ = true; }

  bool IsHeldBy(const RequestId& job) const { return holder_ && *holder_ == job; }

  /// Returns whether a task may start on a worker now without delaying the gang that has reserved
  /// the worker.
  bool AllowsStart(const Demand& demand, WorkerIndex worker, TimePoint now) const;
  bool IsActive() const { return holder_.has_value(); }

 private:
  void Plan(const Demand& gang, TimePoint now);
  std::optional<TimePoint> EarliestStart(std::int64_t tasks, TimePoint now) const;
  TimePoint ExpectedFitTime(const Worker& worker, std::int64_t tasks, TimePoint now) const;
  std::int64_t CountFittingGangTasks(const Worker& worker, const Resources& free_capacity) const;
  bool IsExpectedToEndBy(const ChargeRecord& charge, TimePoint when) const;
  Resources ExpectedFreeAt(const Worker& worker, TimePoint when) const;

  const PlacementOptions& options_;
  const WorkerTable* table_;
  /// Gang that holds the reservation.
  std::optional<RequestId> holder_;
  /// Resources of each task of the gang.
  Resources per_task_;
  TimePoint expiry_;
  /// When the gang is expected to fit on the reserved workers.
  TimePoint planned_start_;
  /// Reserved workers with the number of tasks planned for each.
  std::unordered_map<WorkerIndex, std::int64_t> planned_tasks_;
  TimePoint planned_at_;
  bool plan_is_stale_ = false;
  /// Gang whose reservation expired last, and when it may reserve again.
  std::optional<RequestId> last_expired_holder_;
  TimePoint next_reservation_allowed_;
};

}  // namespace parsleyline::placement
