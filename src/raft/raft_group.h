#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/result_code.h"
#include "raft/file_system.h"
#include "raft/peer_sender.h"
#include "raft/raft_node.h"
#include "raft/replicated_log.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::raft {

/// Configuration of one replica of a Raft group.
struct ReplicaOptions {
  /// Name of the group in log lines.
  std::string group_name;
  NodeId node;
  /// Folder for the files of this replica. No other replica may use it.
  std::string folder;
  NodeOptions node_options;
  /// A new segment file of the log is started when the current one exceeds this size.
  std::uint64_t segment_bytes = std::uint64_t{16} << 20U;
  /// Called on a thread of the io_context when the storage fails or the state machine cannot be
  /// restored. The replica has stopped by then, and the process should exit with an error.
  std::function<void(Error)> on_failure;
  /// Null for the file system of the operating system. Tests pass one that injects faults.
  FileSystem* file_system = nullptr;
};

/// A replica of a Raft group. Connects a RaftNode with timers, files, a state machine and the other
/// replicas. Methods may be called from any thread. The state machine is called on threads of the
/// io_context, one call at a time.
class RaftGroup : public ReplicatedLog {
 public:
  /// `io`, `machine` and `sender` must outlive the group.
  RaftGroup(boost::asio::io_context& io, ReplicaOptions options, StateMachine& machine,
            PeerSender& sender);
  /// Stops at once, like a crash. May be destroyed only after Stop() has called `done` or when no
  /// thread runs the io_context any longer.
  ~RaftGroup() override;

  /// Validates the options, opens the files and starts to participate in the group. A group that
  /// does not exist yet is created once all its initial voters run.
  Result<void> Start();

  /// Transfers the leadership if this replica is the leader, finishes pending writes, then calls
  /// `done` on a thread of the io_context. The state machine is not called afterwards.
  void Stop(std::function<void()> done);

  /// Handles a message that the node `from` passed to its PeerSender.
  void Receive(const NodeId& from, std::string bytes);

  Result<LogIndex> Propose(std::string command) override;
  NodeId Leader() const override;
  Term CurrentTerm() const override;
  LogIndex CommitIndex() const override;

  /// Proposes a change of one member and returns the index of its entry. Success means that the
  /// change was accepted for replication.
  Result<LogIndex> ChangeMembership(const MembershipChange& change);
  /// Starts a transfer of the leadership, see RaftNode::TransferLeadership().
  Result<void> TransferLeadership(const NodeId& target);
  NodeStatus Status() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::raft
