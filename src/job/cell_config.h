#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "job/job_spec.h"

namespace parsleyline::job {

/// Version of a cell's configuration. The configuration with the highest version is in force.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/// Name of a pool of workers. The tasks of a queue run on one pool.
using PoolId = StrongId<struct PoolIdTag, std::string>;

/// Settings of one queue for the advisor, the service that decides which workers may run a step.
struct AdvisorSettings {
  /// Expected duration of a call: a fixed part, and a part for each worker that the call names. In
  /// microseconds, because the part for a worker may be below a millisecond.
  std::int64_t call_base_us = 0;
  std::int64_t call_per_worker_us = 0;
  /// How long a ticket is valid.
  Milliseconds ticket_validity{0};

  bool operator==(const AdvisorSettings&) const = default;
  auto Fields() { return std::tie(call_base_us, call_per_worker_us, ticket_validity); }
};

/// Settings of a queue: where callers reach it and how its jobs are scheduled.
struct QueueSettings {
  QueueId id;
  /// HTTP host and path prefix of the queue's requests.
  std::string host;
  std::string path_prefix;
  PoolId pool;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// A job fails when one of its tasks or gangs has failed this many times.
  std::uint32_t max_attempts = 1;
  /// The latency objective is this many thousandths of the duration of the job's critical path...
  std::int64_t slack_permille = 1000;
  /// ...plus this constant.
  Milliseconds latency_target{0};
  /// How long a caller waits for an answer.
  Milliseconds call_timeout{0};
  /// 1 if workers run a step only with a ticket of the advisor, otherwise 0.
  std::uint32_t needs_ticket = 0;
  AdvisorSettings advisor;

  bool operator==(const QueueSettings&) const = default;
  auto Fields() {
    return std::tie(id, host, path_prefix, pool, priority, max_attempts, slack_permille,
                    latency_target, call_timeout, needs_ticket, advisor);
  }
};

/// Settings of a pool of workers.
struct PoolSettings {
  PoolId id;
  /// 1 if the workers refuse tasks that do not fit; 0 if they start every task.
  std::uint32_t enforces_capacity = 0;
  /// 1 if the VMs of the pool are a reserve that is switched off.
  std::uint32_t standby = 0;

  bool operator==(const PoolSettings&) const = default;
  auto Fields() { return std::tie(id, enforces_capacity, standby); }
};

/// The configuration of a cell.
struct CellConfig {
  ConfigVersion version;
  std::vector<QueueSettings> queues;
  std::vector<PoolSettings> pools;
  /// The document that the operator sent, which is returned when the configuration is read.
  std::string document;

  auto Fields() { return std::tie(version, queues, pools, document); }

  /// Returns the queue of `host` with the longest prefix that matches `path`, or null.
  const QueueSettings* FindByPath(const std::string& host, const std::string& path) const;
  const QueueSettings* Find(const QueueId& id) const;
  /// Builds the index for Find(), which is called for each job in each pass. To be called after
  /// each change of `queues`.
  void BuildIndex();

 private:
  /// Position in `queues` by id.
  std::unordered_map<QueueId, std::size_t> positions_;
};

}  // namespace parsleyline::job
