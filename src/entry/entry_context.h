#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "entry/request_ids.h"
#include "entry/retry_budget.h"
#include "entry/scheduler_client.h"
#include "entry/worker_gateway.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::entry {

/// Timings and bounds of an entry daemon.
struct EntryOptions {
  NodeId node;
  DomainId domain;
  std::vector<DomainId> domains;
  /// "ip:port" of the daemon's RPC listener.
  std::string rpc_address;
  std::size_t max_in_flight = 20000;
  /// Limit on the payload bytes of all requests in flight.
  std::size_t max_in_flight_bytes = std::size_t{32} << 20U;
  Milliseconds call_timeout{1000};
  /// Time for which announcements are collected into one batch.
  Milliseconds announce_batch_delay{20};
  Milliseconds heartbeat_interval{200};
  /// Limit on the attempts of one request, including the first.
  std::uint32_t max_attempts = 4;
  /// How long the end of a task is reported again while no scheduler answers.
  Milliseconds report_timeout{30000};
};

/// Counters of an entry daemon, for /metrics.
struct EntryCounters {
  std::atomic<std::uint64_t> done{0};
  std::atomic<std::uint64_t> rejected{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> unknown{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> late_answers{0};
};

/// Objects that the stages of the request pipeline share. Outlives every request.
struct EntryContext {
  boost::asio::io_context& io;
  const EntryOptions& options;
  const Clock& clock;
  SchedulerClient& schedulers;
  WorkerGateway& gateway;
  RetryBudget& retries;
  EntryCounters& counters;
};

}  // namespace parsleyline::entry
