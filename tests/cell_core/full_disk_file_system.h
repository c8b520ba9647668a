#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "raft/file_system.h"

namespace parsleyline::cell {

/// The file system of the operating system on a disk that can be full. A full disk refuses writes
/// and new files, and stores a part of a refused write.
class FullDiskFileSystem : public raft::FileSystem {
 public:
  std::atomic<bool> full{false};

  Result<void> CreateFolder(const std::string& path) override { return files_.CreateFolder(path); }
  Result<std::unique_ptr<raft::FolderLock>> Lock(const std::string& path) override {
    return files_.Lock(path);
  }
  Result<std::vector<std::string>> List(const std::string& folder) override {
    return files_.List(folder);
  }
  Result<std::unique_ptr<raft::AppendFile>> Open(const std::string& path) override {
    if (full && !files_.Read(path)) return Refuse();
    auto opened = files_.Open(path);
    if (!opened) return opened;
    return std::make_unique<File>(std::move(*opened), &full);
  }
  Result<std::string> Read(const std::string& path) override { return files_.Read(path); }
  Result<void> Truncate(const std::string& path, std::uint64_t size) override {
    if (full) return Refuse();
    return files_.Truncate(path, size);
  }
  Result<void> Rename(const std::string& from, const std::string& to) override {
    if (full) return Refuse();
    return files_.Rename(from, to);
  }
  Result<void> Remove(const std::string& path) override { return files_.Remove(path); }
  Result<void> SyncFolder(const std::string& path) override {
    if (full) return Refuse();
    return files_.SyncFolder(path);
  }

 private:
  class File : public raft::AppendFile {
   public:
    File(std::unique_ptr<raft::AppendFile> file, std::atomic<bool>* full)
        : file_(std::move(file)), full_(full) {}
    Result<void> Append(std::string_view bytes) override {
      if (!*full_) return file_->Append(bytes);
      if (auto stored = file_->Append(bytes.substr(0, bytes.size() / 2)); !stored) return stored;
      return Refuse();
    }
    Result<void> Sync() override { return file_->Sync(); }

   private:
    const std::unique_ptr<raft::AppendFile> file_;
    std::atomic<bool>* const full_;
  };

  static tl::unexpected<Error> Refuse() {
    return Fail(ResultCode::kStorageFull, "no space left on device");
  }

  raft::PosixFileSystem files_;
};

}  // namespace parsleyline::cell
