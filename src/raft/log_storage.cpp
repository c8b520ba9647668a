#include "raft/log_storage.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "raft/log_replay.h"
#include "wire/codec.h"

namespace parsleyline::raft {
namespace {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kLockName = "lock";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";

// Returns a file name with a number of fixed width, so that names sort in the order of the numbers.
std::string NumberedName(std::string_view prefix, std::uint64_t number) {
  char digits[24];
  std::snprintf(digits, sizeof(digits), "%016" PRIx64, number);
  return std::string(prefix) + digits;
}

std::uint64_t ParseNumber(const std::string& name, std::string_view prefix) {
  return std::strtoull(name.c_str() + prefix.size(), nullptr, 16);
}

// Returns the content of a snapshot file: one record whose payload is the length of the encoded
// configuration, the configuration and the data. The data is not encoded with wire::Encode(),
// because encoded messages have a size limit.
std::string EncodeSnapshot(const Snapshot& snapshot) {
  const std::string configuration = wire::Encode(snapshot.configuration);
  const auto length = static_cast<std::uint32_t>(configuration.size());
  std::string payload(reinterpret_cast<const char*>(&length), sizeof(length));
  payload.append(configuration).append(snapshot.data);
  std::string file;
  file.reserve(kRecordHeaderBytes + payload.size());
  AppendRecord({.kind = Record::Kind::kSnapshot,
                .index = snapshot.index,
                .term = snapshot.term,
                .payload = payload},
               &file);
  return file;
}

Result<SnapshotPtr> DecodeSnapshot(const std::string& name, std::string_view file) {
  const auto corrupt = [&name] {
    return Fail(ResultCode::kStorageCorrupt, "snapshot file " + name + " is damaged");
  };
  const auto record = ReadRecord(file);
  if (!record || record->kind != Record::Kind::kSnapshot || RecordSize(*record) != file.size()) {
    return corrupt();
  }
  std::uint32_t length = 0;
  if (record->payload.size() < sizeof(length)) return corrupt();
  std::memcpy(&length, record->payload.data(), sizeof(length));
  const std::string_view rest = record->payload.substr(sizeof(length));
  if (length > rest.size()) return corrupt();
  auto configuration = wire::Decode<Configuration>(rest.substr(0, length));
  if (!configuration) return corrupt();
  return std::make_shared<const Snapshot>(Snapshot{
      record->index, record->term, std::move(*configuration), std::string(rest.substr(length))});
}

}  // namespace

ReplicaIdentity RandomIdentity() {
  std::random_device device;
  const std::uint64_t high = device();
  return ReplicaIdentity(((high << 32U) | device()) | 1U);
}

struct LogStorage::Impl {
  struct Segment {
    std::uint64_t number = 0;
    LogIndex highest_index;
  };

  Result<void> Open();
  Result<void> LoadIdentity(const std::vector<std::string>& names);
  Result<SnapshotPtr> LoadSnapshot(const std::vector<std::string>& names);
  Result<void> LoadSegments(const std::vector<std::string>& names, LogReplay* replay);
  Result<void> OpenLastSegment(std::uint64_t valid_bytes, std::uint64_t size);
  Result<void> WriteFile(const std::string& path, const std::string& content);
  Result<void> StartSegment();
  Result<void> WriteBatch(const Actions& actions);
  Result<void> InstallSnapshot(const Snapshot& received, Actions::Prefix prefix);
  Result<void> PublishSnapshot(const std::string& temporary, LogIndex index);
  Result<std::vector<std::string>> ReleaseSegments();
  Result<void> RemoveFiles(const std::vector<std::string>& paths);
  Result<void> Flush();
  Result<void> SyncLog();
  void BufferRecord(Record record);
  void BufferHardState();
  Result<void> RecordFailure(Result<void> result);
  std::string Path(std::string_view name) const { return options.folder + "/" + std::string(name); }

  StorageOptions options;
  FileSystem* file_system = nullptr;
  std::unique_ptr<FolderLock> lock;
  // State that Open() read, until TakeState() returns it.
  DurableState state;
  // Last hard state written, which is repeated at the start of each segment.
  HardState hard_state;
  // Last entry written.
  LogIndex last_index;
  std::mutex snapshot_mutex;
  LogIndex snapshot_index;    // Guarded by snapshot_mutex.
  std::string snapshot_name;  // Guarded by snapshot_mutex.
  // Segments from oldest to newest; records are appended to the newest one.
  std::vector<Segment> segments;
  std::unique_ptr<AppendFile> segment_file;
  // Encoded records that are not yet written to `segment_file`.
  std::string buffer;
  // Sizes of the part of the newest segment that is written, and that is synced.
  std::uint64_t written_bytes = 0;
  std::uint64_t synced_bytes = 0;
  // The first error of a write or sync.
  std::optional<Error> failure;
};

// Evaluates an expression of type Result<void> and returns its error from the function if it
// failed.
#define RETURN_IF_FAILED(expression) \
  if (auto outcome = (expression); !outcome) return tl::make_unexpected(outcome.error())

Result<void> LogStorage::Impl::Open() {
  RETURN_IF_FAILED(file_system->CreateFolder(options.folder));
  auto acquired = file_system->Lock(Path(kLockName));
  if (!acquired) return tl::make_unexpected(acquired.error());
  lock = std::move(*acquired);
  auto names = file_system->List(options.folder);
  if (!names) return tl::make_unexpected(names.error());
  for (const std::string& name : *names) {
    if (name.ends_with(kTemporarySuffix)) RETURN_IF_FAILED(file_system->Remove(Path(name)));
  }
  std::erase_if(*names, [](const std::string& name) { return name.ends_with(kTemporarySuffix); });
  RETURN_IF_FAILED(LoadIdentity(*names));
  auto snapshot = LoadSnapshot(*names);
  if (!snapshot) return tl::make_unexpected(snapshot.error());
  LogReplay replay(options.checksum);
  RETURN_IF_FAILED(LoadSegments(*names, &replay));
  auto replayed = replay.Finish(*snapshot);
  if (!replayed) return tl::make_unexpected(replayed.error());
  replayed->self = state.self;
  state = std::move(*replayed);
  hard_state = state.hard_state;
  last_index = state.entries.empty() ? snapshot_index : state.entries.back().index;
  if (segments.empty()) RETURN_IF_FAILED(StartSegment());
  // The segments may end before the snapshot or conflict with it; new entries continue the
  // snapshot.
  if (state.entries.empty() && snapshot_index != LogIndex()) {
    BufferRecord({.kind = Record::Kind::kReset, .index = snapshot_index});
  }
  return SyncLog();
}

Result<void> LogStorage::Impl::LoadIdentity(const std::vector<std::string>& names) {
  if (std::find(names.begin(), names.end(), kIdentityName) != names.end()) {
    auto content = file_system->Read(Path(kIdentityName));
    if (!content) return tl::make_unexpected(content.error());
    const auto record = ReadRecord(*content);
    const auto id = record ? wire::Decode<ReplicaId>(record->payload) : Result<ReplicaId>();
    if (!record || !id || id->node != options.node) {
      return Fail(ResultCode::kStorageCorrupt, "file " + Path(kIdentityName) +
                                                   " is damaged or belongs to another node than " +
                                                   options.node.value());
    }
    state.self = *id;
    return {};
  }
  // The log and snapshot of a replica must not be used under a new identity.
  const bool empty = std::none_of(names.begin(), names.end(), [](const std::string& name) {
    return name.starts_with(kSegmentPrefix) || name.starts_with(kSnapshotPrefix);
  });
  if (!empty) {
    return Fail(ResultCode::kStorageCorrupt, "file " + Path(kIdentityName) + " is missing");
  }
  state.self = {options.node, options.generate_identity()};
  const std::string payload = wire::Encode(state.self);
  std::string content;
  AppendRecord({.kind = Record::Kind::kIdentity, .payload = payload}, &content);
  Event("raft_new_identity").With("replica", state.self);
  const std::string temporary = Path(std::string(kIdentityName) + std::string(kTemporarySuffix));
  RETURN_IF_FAILED(WriteFile(temporary, content));
  RETURN_IF_FAILED(file_system->Rename(temporary, Path(kIdentityName)));
  return file_system->SyncFolder(options.folder);
}

Result<SnapshotPtr> LogStorage::Impl::LoadSnapshot(const std::vector<std::string>& names) {
  SnapshotPtr newest;
  for (auto it = names.rbegin(); it != names.rend(); ++it) {
    if (!it->starts_with(kSnapshotPrefix)) continue;
    if (newest != nullptr) {
      RETURN_IF_FAILED(file_system->SyncFolder(options.folder));
      RETURN_IF_FAILED(file_system->Remove(Path(*it)));
      continue;
    }
    auto content = file_system->Read(Path(*it));
    if (!content) return tl::make_unexpected(content.error());
    auto snapshot = DecodeSnapshot(*it, *content);
    if (!snapshot) return snapshot;
    newest = *snapshot;
    snapshot_index = newest->index;
    snapshot_name = *it;
  }
  return newest;
}

Result<void> LogStorage::Impl::LoadSegments(const std::vector<std::string>& names,
                                            LogReplay* replay) {
  for (const std::string& name : names) {
    if (!name.starts_with(kSegmentPrefix)) continue;
    const std::uint64_t number = ParseNumber(name, kSegmentPrefix);
    if (!segments.empty() && number != segments.back().number + 1) {
      return Fail(ResultCode::kStorageCorrupt, "the segment before " + name + " is missing");
    }
    segments.push_back({number, LogIndex()});
  }
  for (Segment& segment : segments) {
    const std::string name = NumberedName(kSegmentPrefix, segment.number);
    const bool last = &segment == &segments.back();
    auto content = file_system->Read(Path(name));
    if (!content) return tl::make_unexpected(content.error());
    const auto valid = replay->ReadSegment(
        name, *content, last ? LogReplay::Tail::kMayBeTorn : LogReplay::Tail::kMustBeComplete);
    if (!valid) return tl::make_unexpected(valid.error());
    segment.highest_index = replay->HighestIndex();
    if (last) return OpenLastSegment(*valid, content->size());
  }
  return {};
}

Result<void> LogStorage::Impl::OpenLastSegment(std::uint64_t valid_bytes, std::uint64_t size) {
  const std::string path = Path(NumberedName(kSegmentPrefix, segments.back().number));
  if (valid_bytes < size) RETURN_IF_FAILED(file_system->Truncate(path, valid_bytes));
  auto opened = file_system->Open(path);
  if (!opened) return tl::make_unexpected(opened.error());
  segment_file = std::move(*opened);
  written_bytes = valid_bytes;
  return {};
}

Result<void> LogStorage::Impl::WriteFile(const std::string& path, const std::string& content) {
  auto opened = file_system->Open(path);
  if (!opened) return tl::make_unexpected(opened.error());
  RETURN_IF_FAILED((*opened)->Append(content));
  return (*opened)->Sync();
}

void LogStorage::Impl::BufferRecord(Record record) {
  record.synced = synced_bytes;
  AppendRecord(record, &buffer);
}

void LogStorage::Impl::BufferHardState() {
  const std::string payload = wire::Encode(hard_state);
  BufferRecord({.kind = Record::Kind::kHardState, .payload = payload});
}

Result<void> LogStorage::Impl::Flush() {
  if (buffer.empty()) return {};
  RETURN_IF_FAILED(segment_file->Append(buffer));
  written_bytes += buffer.size();
  buffer.clear();
  return {};
}

Result<void> LogStorage::Impl::SyncLog() {
  RETURN_IF_FAILED(Flush());
  if (synced_bytes == written_bytes) return {};
  RETURN_IF_FAILED(segment_file->Sync());
  synced_bytes = written_bytes;
  return {};
}

// Starts a new segment. The previous one is synced first, so that only the last segment can end
// with an incomplete write.
Result<void> LogStorage::Impl::StartSegment() {
  if (segment_file != nullptr) RETURN_IF_FAILED(SyncLog());
  const std::uint64_t number = segments.empty() ? 1 : segments.back().number + 1;
  auto opened = file_system->Open(Path(NumberedName(kSegmentPrefix, number)));
  if (!opened) return tl::make_unexpected(opened.error());
  RETURN_IF_FAILED(file_system->SyncFolder(options.folder));
  segments.push_back({number, LogIndex()});
  segment_file = std::move(*opened);
  written_bytes = synced_bytes = 0;
  BufferHardState();
  return {};
}

Result<void> LogStorage::Impl::WriteBatch(const Actions& actions) {
  if (written_bytes + buffer.size() > options.segment_bytes) RETURN_IF_FAILED(StartSegment());
  if (actions.hard_state) {
    hard_state = *actions.hard_state;
    BufferHardState();
  }
  if (actions.snapshot != nullptr) {
    RETURN_IF_FAILED(InstallSnapshot(*actions.snapshot, actions.prefix));
  }
  for (const Entry& entry : actions.entries) {
    BufferRecord({.kind = Record::Kind::kEntry,
                  .entry_kind = entry.kind,
                  .index = entry.index,
                  .term = entry.term,
                  .payload = entry.data});
    last_index = entry.index;
    segments.back().highest_index = std::max(segments.back().highest_index, entry.index);
  }
  return Flush();
}

// Stores a snapshot received from the leader. The term and group of the snapshot become durable
// before it. The reset record becomes durable before older segments are removed, because until then
// the entries in them show whether the entries after the snapshot continue it.
Result<void> LogStorage::Impl::InstallSnapshot(const Snapshot& received, Actions::Prefix prefix) {
  RETURN_IF_FAILED(SyncLog());
  const std::string temporary = Path("received" + std::string(kTemporarySuffix));
  RETURN_IF_FAILED(WriteFile(temporary, EncodeSnapshot(received)));
  RETURN_IF_FAILED(PublishSnapshot(temporary, received.index));
  if (prefix == Actions::Prefix::kDiscarded || last_index < received.index) {
    BufferRecord({.kind = Record::Kind::kReset, .index = received.index, .term = received.term});
    last_index = received.index;
  }
  auto released = ReleaseSegments();
  if (!released) return tl::make_unexpected(released.error());
  return RemoveFiles(*released);
}

// Makes a synced temporary file the latest snapshot, unless there is a newer one already.
Result<void> LogStorage::Impl::PublishSnapshot(const std::string& temporary, LogIndex index) {
  const std::lock_guard guard(snapshot_mutex);
  if (index <= snapshot_index) return file_system->Remove(temporary);
  const std::string name = NumberedName(kSnapshotPrefix, index.value());
  RETURN_IF_FAILED(file_system->Rename(temporary, Path(name)));
  RETURN_IF_FAILED(file_system->SyncFolder(options.folder));
  if (!snapshot_name.empty()) RETURN_IF_FAILED(file_system->Remove(Path(snapshot_name)));
  snapshot_name = name;
  snapshot_index = index;
  return {};
}

Result<std::vector<std::string>> LogStorage::Impl::ReleaseSegments() {
  RETURN_IF_FAILED(StartSegment());
  // The hard state at the start of the new segment must be durable before older segments are
  // removed.
  RETURN_IF_FAILED(SyncLog());
  const std::lock_guard guard(snapshot_mutex);
  std::vector<std::string> released;
  while (segments.size() > 1 && segments.front().highest_index <= snapshot_index) {
    released.push_back(Path(NumberedName(kSegmentPrefix, segments.front().number)));
    segments.erase(segments.begin());
  }
  return released;
}

// Removes the oldest segment first, so that a crash leaves no gap between segments.
Result<void> LogStorage::Impl::RemoveFiles(const std::vector<std::string>& paths) {
  for (const std::string& path : paths) {
    RETURN_IF_FAILED(file_system->Remove(path));
    RETURN_IF_FAILED(file_system->SyncFolder(options.folder));
  }
  return {};
}

Result<void> LogStorage::Impl::RecordFailure(Result<void> result) {
  if (!result && !failure) failure = result.error();
  return result;
}

LogStorage::LogStorage(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

LogStorage::~LogStorage() = default;

Result<std::unique_ptr<LogStorage>> LogStorage::Open(StorageOptions options, FileSystem* files) {
  auto impl = std::make_unique<Impl>();
  impl->options = std::move(options);
  impl->file_system = files;
  RETURN_IF_FAILED(impl->Open());
  return std::unique_ptr<LogStorage>(new LogStorage(std::move(impl)));
}

DurableState LogStorage::TakeState() { return std::move(impl_->state); }

Result<void> LogStorage::Write(const Actions& actions) {
  if (impl_->failure) return tl::make_unexpected(*impl_->failure);
  return impl_->RecordFailure(impl_->WriteBatch(actions));
}

Result<void> LogStorage::Sync() {
  if (impl_->failure) return tl::make_unexpected(*impl_->failure);
  return impl_->RecordFailure(impl_->SyncLog());
}

Result<void> LogStorage::SaveSnapshot(const Snapshot& snapshot) {
  const std::string temporary = impl_->Path("taken" + std::string(kTemporarySuffix));
  RETURN_IF_FAILED(impl_->WriteFile(temporary, EncodeSnapshot(snapshot)));
  return impl_->PublishSnapshot(temporary, snapshot.index);
}

Result<std::vector<std::string>> LogStorage::ReleaseSegments() {
  if (impl_->failure) return tl::make_unexpected(*impl_->failure);
  auto released = impl_->ReleaseSegments();
  if (!released) impl_->failure = released.error();
  return released;
}

Result<void> LogStorage::RemoveFiles(const std::vector<std::string>& paths) {
  return impl_->RemoveFiles(paths);
}

}  // namespace parsleyline::raft
