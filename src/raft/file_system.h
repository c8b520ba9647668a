#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"

namespace parsleyline::raft {

/// A file that is open for appending.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  /// Appends all bytes. After an error, a part of them may have been written.
  virtual Result<void> Append(std::string_view bytes) = 0;
  /// Makes everything appended so far durable.
  virtual Result<void> Sync() = 0;
};

/// Exclusive lock of a folder, released when destroyed.
class FolderLock {
 public:
  virtual ~FolderLock() = default;
};

/// Interface to the file system functions that LogStorage needs. Tests implement it to inject
/// faults. Errors have the code kStorageFull if the disk is full and kStorageFailed otherwise.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Creates a folder and its missing parents.
  virtual Result<void> CreateFolder(const std::string& path) = 0;
  /// Locks the lock file at `path` and creates it if necessary. Fails if the lock is already held.
  virtual Result<std::unique_ptr<FolderLock>> Lock(const std::string& path) = 0;
  /// Returns the names of the files in a folder, sorted.
  virtual Result<std::vector<std::string>> List(const std::string& folder) = 0;
  /// Opens a file for appending, and creates it if it does not exist.
  virtual Result<std::unique_ptr<AppendFile>> Open(const std::string& path) = 0;
  /// Returns the content of a file.
  virtual Result<std::string> Read(const std::string& path) = 0;
  virtual Result<void> Truncate(const std::string& path, std::uint64_t size) = 0;
  virtual Result<void> Rename(const std::string& from, const std::string& to) = 0;
  virtual Result<void> Remove(const std::string& path) = 0;
  /// Makes the creation, renaming and removal of files in a folder durable.
  virtual Result<void> SyncFolder(const std::string& path) = 0;
};

/// The file system of the operating system.
class PosixFileSystem : public FileSystem {
 public:
  Result<void> CreateFolder(const std::string& path) override;
  Result<std::unique_ptr<FolderLock>> Lock(const std::string& path) override;
  Result<std::vector<std::string>> List(const std::string& folder) override;
  Result<std::unique_ptr<AppendFile>> Open(const std::string& path) override;
  Result<std::string> Read(const std::string& path) override;
  Result<void> Truncate(const std::string& path, std::uint64_t size) override;
  Result<void> Rename(const std::string& from, const std::string& to) override;
  Result<void> Remove(const std::string& path) override;
  Result<void> SyncFolder(const std::string& path) override;
};

}  // namespace parsleyline::raft
