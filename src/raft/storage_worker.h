#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "raft/log_storage.h"
#include "raft/raft_types.h"

namespace parsleyline::raft {

/// Runs a LogStorage on two threads of its own. One writes and syncs the log. The other saves
/// snapshots and removes files, so that this does not delay commits. All batches that arrive during
/// a sync share the next sync.
class StorageWorker {
 public:
  /// Called on the threads of the worker.
  struct Callbacks {
    /// Called when a batch and all earlier ones are durable.
    std::function<void(Actions batch)> on_synced;
    /// Called when a snapshot is durable and the segments that it covers are released.
    std::function<void(SnapshotPtr snapshot)> on_snapshot_saved;
    /// Called once, after the first error. The thread that failed writes nothing afterwards.
    std::function<void(Error error)> on_failed;
  };

  StorageWorker(std::unique_ptr<LogStorage> storage, Callbacks callbacks);
  /// Finishes the queued work.
  ~StorageWorker();

  /// Queues a batch to be written and synced.
  void Write(Actions batch);
  /// Queues a snapshot to be saved.
  void SaveSnapshot(SnapshotPtr snapshot);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::raft
