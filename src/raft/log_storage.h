#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "raft/file_system.h"
#include "raft/log_record.h"
#include "raft/raft_types.h"

namespace parsleyline::raft {

/// Returns a random identity other than 0.
ReplicaIdentity RandomIdentity();

struct StorageOptions {
  /// Folder for the files of this replica. Created if it does not exist.
  std::string folder;
  NodeId node;
  /// A new segment file is started when the current one exceeds this size.
  std::uint64_t segment_bytes = std::uint64_t{16} << 20U;
  ChecksumPolicy checksum = ChecksumPolicy::kVerify;
  /// Generates the identity for an empty folder. Tests pass a function to repeat a run.
  std::function<ReplicaIdentity()> generate_identity = RandomIdentity;
};

/// The files of one replica of one group: its identity, its log as a sequence of segment files, and
/// the latest snapshot. After Write(), Sync() or ReleaseSegments() has failed, these fail with the
/// same error from then on, because it is unknown what a failed sync left on the disk. Calls must
/// not overlap, except where noted.
class LogStorage {
 public:
  /// Opens the folder and removes an incomplete write at the end of the log. Fails with
  /// kStorageCorrupt if anything before that is damaged. Writes a new identity to an empty folder.
  static Result<std::unique_ptr<LogStorage>> Open(StorageOptions options, FileSystem* files);
  ~LogStorage();

  /// Returns the state that Open() read. May be called only once.
  DurableState TakeState();

  /// Writes the hard state, received snapshot and entries of a batch. They are durable after
  /// Sync().
  Result<void> Write(const Actions& actions);
  /// Makes everything written so far durable.
  Result<void> Sync();

  /// Durably replaces the stored snapshot with a newer one that this replica has taken. May run on
  /// another thread while the log is written.
  Result<void> SaveSnapshot(const Snapshot& snapshot);
  /// Starts a new segment and returns the paths of the segments that the latest snapshot covers.
  Result<std::vector<std::string>> ReleaseSegments();
  /// Removes the segments returned by ReleaseSegments(). May run on another thread, because
  /// removing large files takes long.
  Result<void> RemoveFiles(const std::vector<std::string>& paths);

 private:
  struct Impl;
  explicit LogStorage(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::raft
