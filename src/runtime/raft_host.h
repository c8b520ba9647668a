#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/result_code.h"
#include "raft/raft_group.h"
#include "runtime/metrics_page.h"
#include "settings/scheduler_settings.h"
#include "transport/rpc.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::runtime {

/// Hosts the Raft replicas of one scheduler daemon. Sends and receives their messages over RPC and
/// stores the files of each group in a folder of its own.
class RaftHost {
 public:
  /// `on_failure` is called when the storage of a replica fails. The daemon should exit then.
  RaftHost(boost::asio::io_context& io, const settings::SchedulerSettings& settings,
           std::function<void()> on_failure);
  ~RaftHost();

  /// Adds the replica of a group, which applies its log to `machine`, and registers its RPC method.
  /// To be called before the server listens and before Start().
  raft::RaftGroup& AddGroup(const settings::RaftGroup& group, raft::StateMachine& machine,
                            transport::RpcServer& server);

  /// Adds the replication metrics of each group. To be called after the groups were added.
  void AddMetrics(MetricsPage* page) const;

  /// Starts all replicas. Returns the first error.
  Result<void> Start();

  /// Transfers leadership of every group that this daemon leads and stops all replicas, then calls
  /// `done`.
  void Stop(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::runtime
