#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "job/job_spec.h"

namespace parsleyline::job {

/// Version of the configuration of the cell. The highest one is in force.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/// Pool of workers that run the tasks of some queues.
using PoolId = StrongId<struct PoolIdTag, std::string>;

/// The service that decides which workers may run a step, as seen by one queue.
struct AdvisorSettings {
  /// Time that one call takes, plus `per_worker` for each worker that it names. Both in
  /// microseconds, because a worker costs less than a millisecond.
  std::int64_t call_base_us = 0;
  std::int64_t call_per_worker_us = 0;
  /// How long a ticket may be used.
  Milliseconds ticket_validity{0};

  bool operator==(const AdvisorSettings&) const = default;
  auto Fields() { return std::tie(call_base_us, call_per_worker_us, ticket_validity); }
};

/// A queue: where callers reach it and how its jobs are treated.
struct QueueSettings {
  QueueId id;
  std::string host;
  std::string path_prefix;
  PoolId pool;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// A task, or a gang, that failed this many times fails its job.
  std::uint32_t max_attempts = 1;
  /// The latency objective is this many thousandths of the longest chain of work...
  std::int64_t slack_permille = 1000;
  /// ...and this much on top.
  Milliseconds latency_target{0};
  /// Time that a caller waits for one answer.
  Milliseconds call_timeout{0};
  /// 1 if workers may run a step only with a ticket of the advisor, else 0.
  std::uint32_t needs_ticket = 0;
  AdvisorSettings advisor;

  bool operator==(const QueueSettings&) const = default;
  auto Fields() {
    return std::tie(id, host, path_prefix, pool, priority, max_attempts, slack_permille,
                    latency_target, call_timeout, needs_ticket, advisor);
  }
};

/// A pool of workers.
struct PoolSettings {
  PoolId id;
  /// 1 if the workers refuse tasks that do not fit; 0 if they start whatever they are told.
  std::uint32_t enforces_capacity = 0;
  /// 1 if the VMs of the pool are switched off and kept in reserve.
  std::uint32_t standby = 0;

  bool operator==(const PoolSettings&) const = default;
  auto Fields() { return std::tie(id, enforces_capacity, standby); }
};

/// The whole configuration of a cell.
struct CellConfig {
  ConfigVersion version;
  std::vector<QueueSettings> queues;
  std::vector<PoolSettings> pools;
  /// What the operator sent, for reading back.
  std::string document;

  auto Fields() { return std::tie(version, queues, pools, document); }

  /// Returns the queue with the longest prefix that `path` begins with, or null.
  const QueueSettings* FindByPath(const std::string& host, const std::string& path) const;
  const QueueSettings* Find(const QueueId& id) const;
  /// Prepares Find(), which is called for each job in each pass. To be called after a change.
  void Index();

 private:
  /// Position in `queues` by id.
  std::unordered_map<QueueId, std::size_t> positions_;
};

}  // namespace parsleyline::job
