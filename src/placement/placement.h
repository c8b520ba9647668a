#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/kind.h"
#include "base/result_code.h"
#include "base/units.h"

namespace parsleyline::placement {

/// A worker with its total capacity.
struct WorkerSpec {
  WorkerId id;
  RackId rack;
  Resources capacity;
};

/// Whether new tasks may be placed on a worker.
enum class Availability : std::uint8_t {
  kReady,
  /// The worker finishes its running tasks and gets no new ones.
  kDraining,
  /// The worker has stopped sending announcements.
  kSilent,
};

/// The tasks of one request that are to be placed.
struct Demand {
  Kind kind = Kind::kBatch;
  /// Resources of each task.
  Resources per_task;
  std::uint32_t tasks = 1;
  /// Estimated run time, for backfilling of reserved workers; 0 if unknown.
  Milliseconds estimate{0};
  /// Id of the request. Identifies the holder of a reservation, and lets failures on a worker be
  /// counted over distinct jobs.
  RequestId job;
};

/// Outcome of one placement decision, with details for the log.
struct Decision {
  /// One worker for each task; empty if the demand does not fit now.
  std::vector<WorkerId> workers;
  /// Number of workers that fit and were compared.
  std::uint32_t candidates = 0;
  /// Short reason, for example "best_fit", "spread", "no_room", "reserved".
  std::string_view reason;
};

/// Limits and timeouts of placement.
struct PlacementOptions {
  /// Seed of the random start of each search.
  std::uint64_t seed = 1;
  /// Fraction of each worker's processors that batch and gang work leaves to services, in
  /// thousandths.
  std::uint32_t service_headroom_permille = 0;
  /// How long a gang may hold its reservation.
  Milliseconds reservation_timeout{10000};
  /// Number of distinct jobs that must fail on a worker, without a success in between, to put it on
  /// probation.
  std::uint32_t probation_failures = 5;
  /// Number of distinct workers on which a job must fail until its failures are attributed to the
  /// job and not to the workers.
  std::uint32_t job_failure_workers = 3;
  /// Largest fraction of all workers that may be on probation at once, in thousandths.
  std::uint32_t probation_limit_permille = 200;
  /// Time until the first probe of a worker on probation. It doubles with each failure.
  Milliseconds probe_interval{1000};
  /// Longest time between two probes of a worker.
  Milliseconds probe_interval_max{60000};
};

/// Workers of one failure domain with the resources charged to each, and the choice of workers for
/// new tasks. Free of I/O; not thread-safe: the owner serializes calls.
class Placement {
 public:
  explicit Placement(PlacementOptions options = {});
  ~Placement();

  /// Adds a worker, or changes the rack and capacity of a known one. Existing charges stay. If they
  /// exceed a reduced capacity, no task is placed on the worker until they fit again.
  void UpsertWorker(const WorkerSpec& worker);

  /// Removes a worker and its charges.
  void RemoveWorker(const WorkerId& worker);

  void SetAvailability(const WorkerId& worker, Availability availability);

  /// Checks that the demand could be placed if all workers were ready and empty. Fails with
  /// kCanNeverFit if no worker is large enough for a task, naming the insufficient resource, or if
  /// all workers together cannot run all tasks at the same time.
  Result<void> CheckCanEverFit(const Demand& demand) const;

  /// Chooses workers without charging them.
  Decision Choose(const Demand& demand, TimePoint now);

  /// Charges a task to a worker, even beyond the worker's capacity, because a running task must be
  /// counted. Does nothing if the token is already charged or the worker is unknown.
  void Charge(FencingToken token, const WorkerId& worker, const Resources& resources);

  /// As above, with the time at which the task is expected to end. Reservations rely on the end of
  /// a task only if this time is given.
  void Charge(FencingToken token, const WorkerId& worker, const Resources& resources,
              TimePoint expected_end);

  /// Releases the charge of a task. Does nothing if the token is not charged.
  void Release(FencingToken token);

  /// Record the outcome of a task, so that faulty workers can be distinguished from faulty jobs.
  void RecordSuccess(const WorkerId& worker, const RequestId& job, TimePoint now);
  void RecordFailure(const WorkerId& worker, const RequestId& job, TimePoint now);

  /// Drops the reservation of a queued gang that was cancelled or rejected. Does nothing if the
  /// gang does not hold the reservation.
  void DropReservation(const RequestId& job);

  /// Expires the reservation. Call at least every 100 ms.
  void Tick(TimePoint now);

  /// State of one worker, for lists and tests.
  struct WorkerView {
    WorkerSpec spec;
    Availability availability = Availability::kReady;
    bool on_probation = false;
    Resources charged;
    /// Number of charged tasks.
    std::uint32_t running = 0;
  };
  std::vector<WorkerView> Workers() const;

  Resources TotalCapacity() const;
  Resources TotalCharged() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::placement
