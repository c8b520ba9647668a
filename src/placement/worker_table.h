#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "placement/capacity_index.h"
#include "placement/placement.h"

namespace parsleyline::placement {

/// Position of a rack in the WorkerTable.
using RackIndex = std::uint32_t;

/// A running task that is charged to a worker.
struct ChargeRecord {
  FencingToken token;
  Resources resources;
  /// TimePoint::max() if unknown.
  TimePoint expected_end = TimePoint::max();
};

/// A worker with its charges and its free capacity.
struct Worker {
  WorkerSpec spec;
  RackIndex rack = 0;
  /// False for an unused position of the table.
  bool present = false;
  Availability availability = Availability::kReady;
  bool on_probation = false;
  /// Sum of `charges`.
  Resources charged;
  /// Capacity minus `charged` and the tasks of an unfinished decision. Negative in a resource whose
  /// capacity is less than its charges.
  Resources free;
  std::vector<ChargeRecord> charges;

  /// Returns whether new tasks other than probes may be placed on the worker.
  bool IsOpen() const { return present && availability == Availability::kReady && !on_probation; }
};

/// Workers, their charges and their free capacity.
class WorkerTable {
 public:
  /// Adds a worker, or changes the rack and capacity of a known one. Returns whether anything
  /// changed.
  bool Upsert(const WorkerSpec& spec);
  void Remove(WorkerIndex index);
  void SetAvailability(WorkerIndex index, Availability availability);
  void SetProbation(WorkerIndex index, bool on_probation);

  void Charge(FencingToken token, WorkerIndex index, const Resources& resources,
              TimePoint expected_end);
  void Release(FencingToken token);

  /// Reduces the free capacity of a worker without charging a task.
  void SubtractFree(WorkerIndex index, const Resources& resources);

  /// Undoes SubtractFree().
  void AddFree(WorkerIndex index, const Resources& resources);

  std::optional<WorkerIndex> Find(const WorkerId& id) const;
  const Worker& at(WorkerIndex index) const { return workers_[index]; }

  /// Returns the number of positions, including those whose worker was removed.
  std::size_t capacity() const { return workers_.size(); }

  /// Returns the number of workers.
  std::size_t size() const { return by_id_.size(); }

  /// Returns the number of tasks that are charged to the workers of a rack.
  std::uint32_t TasksInRack(RackIndex rack) const { return tasks_by_rack_[rack]; }

  /// Returns the index of the open workers by free capacity.
  CapacityIndex& capacity_index() { return capacity_index_; }

  /// Returns the number of workers with each distinct capacity.
  const std::map<Resources, std::size_t>& WorkersByCapacity() const { return workers_by_capacity_; }
  const Resources& total_capacity() const { return total_capacity_; }
  const Resources& total_charged() const { return total_charged_; }

 private:
  RackIndex FindOrAddRack(const RackId& rack);
  WorkerIndex AllocateIndex();
  void UpdateIndex(WorkerIndex index);
  void AdjustCapacity(const Resources& capacity, int change);

  std::vector<Worker> workers_;
  /// Positions whose worker was removed.
  std::vector<WorkerIndex> free_positions_;
  std::unordered_map<WorkerId, WorkerIndex> by_id_;
  std::unordered_map<FencingToken, WorkerIndex> worker_by_token_;
  CapacityIndex capacity_index_;
  std::unordered_map<RackId, RackIndex> rack_indexes_;
  /// Number of charged tasks, by RackIndex.
  std::vector<std::uint32_t> tasks_by_rack_;
  std::map<Resources, std::size_t> workers_by_capacity_;
  Resources total_capacity_;
  Resources total_charged_;
};

}  // namespace parsleyline::placement
