#include "config_tree/snapshot_file.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "wire/codec.h"
#include "wire/codec_impl.h"

namespace parsleyline::config_tree {

/// Content of the file, encoded by wire::Encode().
struct StoredSnapshot {
  /// Encoded wire::SettingsSnapshot.
  std::string snapshot;
  /// XXH3 hash of `snapshot`.
  std::uint64_t checksum = 0;

  auto Fields() { return std::tie(snapshot, checksum); }
};

namespace {

constexpr const char* kFileName = "/settings.snapshot";
constexpr mode_t kFileMode = 0644;

tl::unexpected<Error> StorageError(const std::string& what, int error) {
  const auto code =
      error == ENOSPC || error == EDQUOT ? ResultCode::kStorageFull : ResultCode::kStorageFailed;
  return Fail(code, what + " failed: " + std::generic_category().message(error));
}

/// Closes a file descriptor at the end of its scope.
class Descriptor {
 public:
  Descriptor(const std::string& path, int flags) : fd_(open(path.c_str(), flags, kFileMode)) {}
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int get() const { return fd_; }

 private:
  int fd_;
};

Result<void> WriteAndSync(const std::string& path, const std::string& bytes) {
  const Descriptor file(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC);
  if (file.get() < 0) return StorageError("opening " + path, errno);
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = write(file.get(), bytes.data() + done, bytes.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return StorageError("writing " + path, errno);
    done += static_cast<std::size_t>(n);
  }
  if (fsync(file.get()) != 0) return StorageError("syncing " + path, errno);
  return {};
}

/// Makes the renaming of files in the folder durable.
Result<void> SyncFolder(const std::string& folder) {
  const Descriptor descriptor(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor.get() < 0 || fsync(descriptor.get()) != 0) {
    return StorageError("syncing " + folder, errno);
  }
  return {};
}

}  // namespace

SnapshotFile::SnapshotFile(std::string folder) : folder_(std::move(folder)) {}

Result<void> SnapshotFile::Save(const wire::SettingsSnapshot& snapshot) {
  std::error_code ec;
  std::filesystem::create_directories(folder_, ec);
  if (ec) return StorageError("creating " + folder_, ec.value());
  StoredSnapshot stored{wire::Encode(snapshot), 0};
  stored.checksum = XXH3_64bits(stored.snapshot.data(), stored.snapshot.size());
  const std::string path = folder_ + kFileName;
  const std::string temporary = path + ".tmp";
  auto written = WriteAndSync(temporary, wire::Encode(stored));
  if (!written) return written;
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    return StorageError("renaming " + temporary, errno);
  }
  return SyncFolder(folder_);
}

Result<std::optional<wire::SettingsSnapshot>> SnapshotFile::Load() {
  const std::string path = folder_ + kFileName;
  std::error_code ec;
  if (!std::filesystem::exists(path, ec) && !ec) return std::nullopt;
  std::ifstream in(path, std::ios::binary);
  std::ostringstream bytes;
  if (in) bytes << in.rdbuf();
  if (ec || !in.is_open() || in.bad()) {
    return Fail(ResultCode::kStorageFailed, "reading " + path + " failed");
  }
  const auto stored = wire::Decode<StoredSnapshot>(bytes.str());
  if (!stored ||
      XXH3_64bits(stored->snapshot.data(), stored->snapshot.size()) != stored->checksum) {
    return Fail(ResultCode::kStorageCorrupt, path + " is damaged");
  }
  auto snapshot = wire::Decode<wire::SettingsSnapshot>(stored->snapshot);
  if (!snapshot) return tl::make_unexpected(snapshot.error());
  return std::move(*snapshot);
}

}  // namespace parsleyline::config_tree

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::config_tree::StoredSnapshot);
