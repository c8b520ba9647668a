#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "raft/file_system.h"

namespace parsleyline::raft {

/// A file system in memory. A simulated crash loses or damages data that was not synced.
class MemoryFileSystem : public FileSystem {
 public:
  Result<void> CreateFolder(const std::string&) override { return {}; }
  Result<std::unique_ptr<FolderLock>> Lock(const std::string&) override {
    return std::make_unique<FolderLock>();
  }
  Result<std::vector<std::string>> List(const std::string& folder) override;
  Result<std::unique_ptr<AppendFile>> Open(const std::string& path) override;
  Result<std::string> Read(const std::string& path) override { return (*files)[path].content; }
  Result<void> Truncate(const std::string& path, std::uint64_t size) override;
  Result<void> Rename(const std::string& from, const std::string& to) override;
  Result<void> Remove(const std::string& path) override;
  Result<void> SyncFolder(const std::string& path) override;

  /// Simulates a crash of the machine. Keeps a random part of the bytes that were not synced, and
  /// may damage one of these.
  void Crash(std::mt19937_64* random);
  /// Returns the size of all files together.
  std::uint64_t TotalBytes() const;
  /// Returns the path of the newest segment of the log.
  std::string LastSegment() const;

  struct File {
    std::string content;
    std::size_t synced = 0;
  };
  using Files = std::map<std::string, File>;

  std::shared_ptr<Files> files = std::make_shared<Files>();
  /// Injected faults, shared with the open files.
  struct Faults {
    std::atomic<bool> sync_fails{false};
    /// A write that would exceed this total size stores only the bytes that fit and then fails, as
    /// on a full disk.
    std::uint64_t capacity = UINT64_MAX;
    /// Refuses writes, new files, truncations, renames and syncs of the folder, like a full disk.
    bool refuses_writes = false;
  };
  std::shared_ptr<Faults> faults = std::make_shared<Faults>();
  /// Renames and folder syncs in the order in which they were made, as "rename PATH" and "sync
  /// PATH".
  std::vector<std::string> calls;
};

}  // namespace parsleyline::raft
