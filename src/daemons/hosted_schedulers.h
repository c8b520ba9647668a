#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "runtime/daemon_loop.h"
#include "runtime/metrics_page.h"
#include "runtime/raft_host.h"
#include "scheduler/domain_scheduler.h"
#include "settings/scheduler_settings.h"
#include "transport/rpc.h"

namespace parsleyline {

/// Schedulers of one scheduler daemon: one for each failure domain in whose Raft group it is a
/// voter.
class HostedSchedulers {
 public:
  HostedSchedulers(runtime::DaemonLoop& loop, const settings::SchedulerSettings& settings,
                   const Clock& clock)
      : loop_(loop), settings_(settings), clock_(clock) {}

  /// Adds the scheduler of a domain with its Raft replica, and registers its RPC methods.
  void Add(const settings::RaftGroup& group, runtime::RaftHost& host, transport::RpcServer& server);

  /// Runs the periodic work of all schedulers.
  void Tick();
  /// Applies the queue policy in the settings tree of `revision` to all schedulers.
  void SetPolicy(Revision revision, const std::string& tree);

  /// Returns whether the Raft groups of all domains have a leader.
  bool IsReady() const;

  /// Adds the metrics of all schedulers, labeled with their domains.
  void AddMetrics(runtime::MetricsPage* page) const;

 private:
  runtime::DaemonLoop& loop_;
  const settings::SchedulerSettings& settings_;
  const Clock& clock_;
  std::vector<std::unique_ptr<scheduler::DomainScheduler>> schedulers_;
};

}  // namespace parsleyline
