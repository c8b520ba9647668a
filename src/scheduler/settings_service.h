#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "config_tree/config_tree.h"
#include "raft/replicated_log.h"
#include "transport/rpc.h"
#include "wire/messages.h"

namespace parsleyline::scheduler {

/// One replica of the settings tree. It applies committed edits, replies to edits and watches, and
/// notifies subscribers in this process of new revisions. Thread-safe.
class SettingsService : public raft::StateMachine {
 public:
  using EditCallback = std::function<void(Result<wire::SettingsEditReply>)>;
  using WatchCallback = std::function<void(Result<wire::SettingsSnapshot>)>;

  explicit SettingsService(const Clock& clock) : clock_(clock) {}

  /// Sets the log to propose edits to. Call before any other method; the log must outlive the
  /// service.
  void SetLog(raft::ReplicatedLog* log) { log_ = log; }

  /// Calls `on_change` with each new tree, in order of revisions. Call Subscribe() before the log
  /// starts.
  void Subscribe(std::function<void(Revision, const std::string& tree)> on_change);

  /// Proposes an edit. Replies when it has been applied. Fails with kNotLeader if this replica is
  /// not the leader; the error message is the node of the leader, if known.
  void Edit(const wire::SettingsEdit& edit, const EditCallback& reply);

  /// Replies with the tree once its revision is higher than the one that the caller knows, or
  /// without the tree when the caller's wait time has passed.
  void Watch(const wire::SettingsWatch& watch, WatchCallback reply);

  wire::SettingsHistory History(const wire::SettingsHistoryQuery& query);
  Revision CurrentRevision();

  /// Replies to the watches whose wait time has passed. Call every 20 to 100 ms.
  void Tick();

  void RegisterMethods(transport::RpcServer& server);

  void Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() override;
  Result<void> Restore(std::string_view snapshot) override;
  void OnRoleChange(raft::Role role, Term term) override;

 private:
  struct Watcher {
    TimePoint deadline;
    WatchCallback reply;
  };

  /// Returns the revision, its age and, if wanted, the tree. The age is the time since this replica
  /// last knew a leader.
  wire::SettingsSnapshot MakeSnapshot(bool with_tree);

  /// Releases `lock`, then sends the new revision to all watchers and subscribers.
  void PublishRevision(std::unique_lock<std::mutex> lock);

  const Clock& clock_;
  raft::ReplicatedLog* log_ = nullptr;
  std::vector<std::function<void(Revision, const std::string&)>> subscribers_;

  std::mutex mutex_;
  config_tree::ConfigTree tree_;
  /// Calls that wait for their edit to be applied.
  std::unordered_map<OperationId, std::vector<EditCallback>> pending_edits_;
  std::vector<Watcher> watchers_;
  /// When a leader of the settings log was last known, as of the last MakeSnapshot().
  TimePoint last_leader_known_;
};

}  // namespace parsleyline::scheduler
