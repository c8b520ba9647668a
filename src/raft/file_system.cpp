#include "raft/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace parsleyline::raft {
namespace {

constexpr int kFileMode = 0640;

tl::unexpected<Error> SystemError(std::string_view action, const std::string& path, int code) {
  const bool full = code == ENOSPC || code == EDQUOT;
  return Fail(full ? ResultCode::kStorageFull : ResultCode::kStorageFailed,
              std::string(action) + " " + path + ": " + std::generic_category().message(code));
}

Result<void> CheckCall(int result, std::string_view action, const std::string& path) {
  if (result != 0) return SystemError(action, path, errno);
  return {};
}

/// Owns a file descriptor.
class Descriptor {
 public:
  Descriptor(const std::string& path, int flags)
      : fd_(::open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int get() const { return fd_; }

 private:
  const int fd_;
};

class PosixAppendFile : public AppendFile {
 public:
  explicit PosixAppendFile(const std::string& path)
      : path_(path), descriptor_(path, O_WRONLY | O_CREAT | O_APPEND) {}

  bool IsOpen() const { return descriptor_.get() >= 0; }

  Result<void> Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t n = ::write(descriptor_.get(), bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return SystemError("write", path_, errno);
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return {};
  }

  Result<void> Sync() override { return CheckCall(::fdatasync(descriptor_.get()), "sync", path_); }

 private:
  const std::string path_;
  const Descriptor descriptor_;
};

class PosixFolderLock : public FolderLock {
 public:
  explicit PosixFolderLock(const std::string& path) : descriptor_(path, O_RDWR | O_CREAT) {}

  bool Acquire() const {
    return descriptor_.get() >= 0 && ::flock(descriptor_.get(), LOCK_EX | LOCK_NB) == 0;
  }

 private:
  const Descriptor descriptor_;
};

}  // namespace

Result<void> PosixFileSystem::CreateFolder(const std::string& path) {
  std::error_code ec;
  std::filesystem::create_directories(path, ec);
  if (ec) return SystemError("create", path, ec.value());
  return {};
}

Result<std::unique_ptr<FolderLock>> PosixFileSystem::Lock(const std::string& path) {
  auto lock = std::make_unique<PosixFolderLock>(path);
  if (!lock->Acquire()) return SystemError("lock", path, errno);
  return lock;
}

Result<std::vector<std::string>> PosixFileSystem::List(const std::string& folder) {
  std::vector<std::string> names;
  std::error_code ec;
  for (const auto& entry : std::filesystem::directory_iterator(folder, ec)) {
    names.push_back(entry.path().filename().string());
  }
  if (ec) return SystemError("list", folder, ec.value());
  std::sort(names.begin(), names.end());
  return names;
}

Result<std::unique_ptr<AppendFile>> PosixFileSystem::Open(const std::string& path) {
  auto file = std::make_unique<PosixAppendFile>(path);
  if (!file->IsOpen()) return SystemError("open", path, errno);
  return file;
}

Result<std::string> PosixFileSystem::Read(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  const bool empty = file.is_open() && file.peek() == std::ifstream::traits_type::eof();
  if (!file.is_open() || (content.fail() && !empty)) return SystemError("read", path, EIO);
  return std::move(content).str();
}

Result<void> PosixFileSystem::Truncate(const std::string& path, std::uint64_t size) {
  return CheckCall(::truncate(path.c_str(), static_cast<off_t>(size)), "truncate", path);
}

Result<void> PosixFileSystem::Rename(const std::string& from, const std::string& to) {
  return CheckCall(::rename(from.c_str(), to.c_str()), "rename", from);
}

Result<void> PosixFileSystem::Remove(const std::string& path) {
  return CheckCall(::unlink(path.c_str()), "remove", path);
}

Result<void> PosixFileSystem::SyncFolder(const std::string& path) {
  const Descriptor folder(path, O_RDONLY | O_DIRECTORY);
  if (folder.get() < 0) return SystemError("open", path, errno);
  return CheckCall(::fsync(folder.get()), "sync", path);
}

}  // namespace parsleyline::raft
