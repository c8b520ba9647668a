#pragma once

#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "placement/health.h"
#include "placement/reservation.h"
#include "placement/worker_table.h"

namespace parsleyline::placement {

/// Workers, their health, and the reservation, as used by the strategies.
struct PlacementState {
  explicit PlacementState(PlacementOptions o)
      : options(o), health(options, &table), reservation(options, &table), random(o.seed) {}
  PlacementState(const PlacementState&) = delete;
  PlacementState& operator=(const PlacementState&) = delete;

  PlacementOptions options;
  WorkerTable table;
  HealthTracker health;
  Reservation reservation;
  std::minstd_rand random;
};

/// Outcome of a strategy.
struct Choice {
  /// One worker for each task; empty if the demand does not fit now.
  std::vector<WorkerIndex> workers;
  /// Number of workers that fit and were compared.
  std::uint32_t candidates = 0;
  std::string_view reason;
};

/// Chooses workers for work of one kind.
class Strategy {
 public:
  virtual ~Strategy() = default;

  /// Chooses a worker for each task of the demand, without charging them.
  virtual Choice Choose(const Demand& demand, PlacementState* state, TimePoint now) = 0;
};

/// Spreads tasks over racks and prefers the least loaded workers, so that the failure of a rack
/// hits few tasks and workers keep free capacity for bursts.
std::unique_ptr<Strategy> MakeServiceStrategy();

/// Packs each task onto the worker where it leaves the least unusable capacity.
std::unique_ptr<Strategy> MakeBatchStrategy();

/// Places all tasks of a gang or none. A gang that does not fit reserves workers, one gang at a
/// time.
std::unique_ptr<Strategy> MakeGangStrategy();

/// Returns whether one task may be placed on an open worker now: it fits without using the headroom
/// and does not delay the gang that has reserved the worker.
bool CanStart(const PlacementState& state, const Demand& demand, WorkerIndex worker, TimePoint now);

/// Reduces the free capacity of workers by the tasks that were already chosen while the rest of a
/// demand is decided. The destructor restores it.
class TentativeCharges {
 public:
  explicit TentativeCharges(WorkerTable* table) : table_(table) {}
  ~TentativeCharges();
  TentativeCharges(const TentativeCharges&) = delete;
  TentativeCharges& operator=(const TentativeCharges&) = delete;

  void Add(WorkerIndex worker, const Resources& resources);

 private:
  WorkerTable* table_;
  std::vector<std::pair<WorkerIndex, Resources>> charges_;
};

}  // namespace parsleyline::placement
