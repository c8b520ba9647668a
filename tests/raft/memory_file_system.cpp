#include "tests/raft/memory_file_system.h"

#include <algorithm>
#include <filesystem>
#include <utility>

namespace parsleyline::raft {
namespace {

tl::unexpected<Error> Refuse() { return Fail(ResultCode::kStorageFull, "no space left on device"); }

class MemoryFile : public AppendFile {
 public:
  MemoryFile(std::shared_ptr<MemoryFileSystem::Files> files,
             std::shared_ptr<MemoryFileSystem::Faults> faults, std::string path)
      : files_(std::move(files)), faults_(std::move(faults)), path_(std::move(path)) {}

  Result<void> Append(std::string_view bytes) override {
    if (faults_->refuses_writes) {
      (*files_)[path_].content.append(bytes.substr(0, bytes.size() / 2));
      return Refuse();
    }
    std::uint64_t used = 0;
    for (const auto& [path, file] : *files_) used += file.content.size();
    const std::uint64_t free_bytes = faults_->capacity - std::min(faults_->capacity, used);
    (*files_)[path_].content.append(bytes.substr(0, free_bytes));
    if (free_bytes < bytes.size()) return Fail(ResultCode::kStorageFull, "no space left on device");
    return {};
  }

  Result<void> Sync() override {
    if (faults_->sync_fails) return Fail(ResultCode::kStorageFailed, "input/output error");
    auto& file = (*files_)[path_];
    file.synced = file.content.size();
    return {};
  }

 private:
  std::shared_ptr<MemoryFileSystem::Files> files_;
  std::shared_ptr<MemoryFileSystem::Faults> faults_;
  const std::string path_;
};

}  // namespace

Result<std::vector<std::string>> MemoryFileSystem::List(const std::string&) {
  std::vector<std::string> names;
  for (const auto& [path, file] : *files) {
    names.push_back(std::filesystem::path(path).filename().string());
  }
  return names;
}

Result<std::unique_ptr<AppendFile>> MemoryFileSystem::Open(const std::string& path) {
  if (faults->refuses_writes && !files->contains(path)) return Refuse();
  files->try_emplace(path);
  return std::make_unique<MemoryFile>(files, faults, path);
}

Result<void> MemoryFileSystem::Truncate(const std::string& path, std::uint64_t size) {
  if (faults->refuses_writes) return Refuse();
  (*files)[path].content.resize(size);
  return {};
}

Result<void> MemoryFileSystem::Rename(const std::string& from, const std::string& to) {
  if (faults->refuses_writes) return Refuse();
  calls.push_back("rename " + to);
  (*files)[to] = (*files)[from];
  files->erase(from);
  return {};
}

Result<void> MemoryFileSystem::Remove(const std::string& path) {
  files->erase(path);
  return {};
}

Result<void> MemoryFileSystem::SyncFolder(const std::string& path) {
  if (faults->refuses_writes) return Refuse();
  calls.push_back("sync " + path);
  return {};
}

void MemoryFileSystem::Crash(std::mt19937_64* random) {
  // Replaces the table, so that files that are still open no longer change the contents.
  files = std::make_shared<Files>(*files);
  for (auto& [path, file] : *files) {
    if (file.content.size() <= file.synced) continue;
    const std::size_t kept = (*random)() % (file.content.size() - file.synced + 1);
    file.content.resize(file.synced + kept);
    if (kept > 0 && (*random)() % 2 == 0) {
      file.content[file.synced + (*random)() % kept] ^= static_cast<char>(1 + (*random)() % 255);
    }
    file.synced = file.content.size();
  }
}

std::uint64_t MemoryFileSystem::TotalBytes() const {
  std::uint64_t total = 0;
  for (const auto& [path, file] : *files) total += file.content.size();
  return total;
}

std::string MemoryFileSystem::LastSegment() const {
  std::string last;
  for (const auto& [path, file] : *files) {
    if (path.find("/log-") != std::string::npos) last = path;
  }
  return last;
}

}  // namespace parsleyline::raft
