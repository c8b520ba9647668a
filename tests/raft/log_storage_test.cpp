#include "raft/log_storage.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "base/event_log.h"
#include "tests/raft/memory_file_system.h"
#include "tests/raft/test_folder.h"

namespace parsleyline::raft {
namespace {

using StoragePtr = std::unique_ptr<LogStorage>;

StorageOptions Options(std::uint64_t segment_bytes = 1U << 20U) {
  return {.folder = "/data", .node = NodeId("n"), .segment_bytes = segment_bytes};
}

Actions Batch(std::uint64_t first, std::uint64_t count, std::uint64_t term = 1) {
  Actions actions;
  actions.hard_state = HardState{Term(term), {NodeId("n"), ReplicaIdentity(9)}, GroupId(7)};
  for (std::uint64_t i = first; i < first + count; ++i) {
    actions.entries.push_back(
        {LogIndex(i), Term(term), EntryKind::kCommand, "command " + std::to_string(i)});
  }
  return actions;
}

Snapshot SnapshotAt(std::uint64_t index) { return {LogIndex(index), Term(1), {}, "state"}; }

// Fails the test if the storage does not open.
StoragePtr Open(MemoryFileSystem* disk, StorageOptions options = Options()) {
  auto storage = LogStorage::Open(std::move(options), disk);
  CPPUNIT_ASSERT_MESSAGE(storage ? "" : storage.error().message, storage.has_value());
  return std::move(*storage);
}

ResultCode OpenError(MemoryFileSystem* disk) {
  const auto storage = LogStorage::Open(Options(), disk);
  return storage ? ResultCode::kOk : storage.error().code;
}

void WriteAndSync(const StoragePtr& storage, const Actions& batch) {
  CPPUNIT_ASSERT(storage->Write(batch).has_value());
  CPPUNIT_ASSERT(storage->Sync().has_value());
}

void SaveAndRelease(const StoragePtr& storage, const Snapshot& snapshot) {
  CPPUNIT_ASSERT(storage->SaveSnapshot(snapshot).has_value());
  const auto released = storage->ReleaseSegments();
  CPPUNIT_ASSERT(released.has_value() && storage->RemoveFiles(*released).has_value());
}

std::uint64_t LastIndex(MemoryFileSystem* disk) {
  const DurableState state = Open(disk)->TakeState();
  return state.entries.empty() ? 0 : state.entries.back().index.value();
}

}  // namespace

class LogStorageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStorageTest);
  CPPUNIT_TEST(Open_After1000Records_ReturnsAllOfThem);
  CPPUNIT_TEST(Open_TornTailAtAnyByte_KeepsWholeRecords);
  CPPUNIT_TEST(Open_DamageBeforeTail_IsRejected);
  CPPUNIT_TEST(Open_DamagedSnapshotOrIdentity_IsRejected);
  CPPUNIT_TEST(Open_SnapshotAheadOfLog_Continues);
  CPPUNIT_TEST(Write_ExistingIndex_ReplacesLaterEntries);
  CPPUNIT_TEST(Sync_Fails_LaterCallsFail);
  CPPUNIT_TEST(Write_FullDisk_KeepsStoredEntries);
  CPPUNIT_TEST(SaveSnapshot_ManyEntries_LimitsFileSize);
  CPPUNIT_TEST(SaveSnapshot_Rename_IsSynced);
  CPPUNIT_TEST(Open_FolderInUse_IsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { SetMinimumSeverity(Severity::kError); }

  // Guards against losing entries, vote or identity in a restart. Uses the real file system.
  void Open_After1000Records_ReturnsAllOfThem() {
    const TestFolder folder;
    PosixFileSystem files;
    StorageOptions options = Options(8192);
    options.folder = folder.path() + "/a/b";
    ReplicaId self;
    for (std::uint64_t run = 0; run < 2; ++run) {
      auto storage = LogStorage::Open(options, &files);
      CPPUNIT_ASSERT(storage.has_value());
      const DurableState state = (*storage)->TakeState();
      CPPUNIT_ASSERT(run == 0 || state.self == self);
      self = state.self;
      CPPUNIT_ASSERT_EQUAL(run * 1000, std::uint64_t{state.entries.size()});
      CPPUNIT_ASSERT(run == 0 || state.entries == Batch(1, 1000).entries);
      CPPUNIT_ASSERT(run == 0 || state.hard_state == *Batch(1, 1).hard_state);
      for (std::uint64_t i = 1; i <= 1000; ++i) {
        CPPUNIT_ASSERT((*storage)->Write(Batch(run * 1000 + i, 1)).has_value());
      }
      CPPUNIT_ASSERT((*storage)->Sync().has_value());
    }
  }

  // Guards against a replica that does not start, or reads an incomplete record, after a power
  // failure during a write.
  void Open_TornTailAtAnyByte_KeepsWholeRecords() {
    MemoryFileSystem disk;
    WriteAndSync(Open(&disk), Batch(1, 2));
    const std::size_t synced = (*disk.files)[disk.LastSegment()].content.size();
    CPPUNIT_ASSERT(Open(&disk)->Write(Batch(3, 1)).has_value());
    const std::string whole = (*disk.files)[disk.LastSegment()].content;
    for (std::size_t size = synced; size < whole.size(); ++size) {
      (*disk.files)[disk.LastSegment()].content = whole.substr(0, size);
      const auto storage = Open(&disk);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, storage->TakeState().entries.size());
      WriteAndSync(storage, Batch(3, 1, 2));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, LastIndex(&disk));
    }
  }

  // Guards against silently discarding acknowledged records: a flipped bit anywhere before the last
  // synced batch must be detected.
  void Open_DamageBeforeTail_IsRejected() {
    MemoryFileSystem disk;
    {
      const auto storage = Open(&disk);
      WriteAndSync(storage, Batch(1, 3));
      WriteAndSync(storage, Batch(4, 1));
    }
    std::string& content = (*disk.files)[disk.LastSegment()].content;
    const std::size_t last_batch = content.find("command 3") + 9;
    for (std::size_t at = 0; at < last_batch; ++at) {
      content[at] ^= 4;
      CPPUNIT_ASSERT(OpenError(&disk) == ResultCode::kStorageCorrupt);
      content[at] ^= 4;
    }
    CPPUNIT_ASSERT(OpenError(&disk) == ResultCode::kOk);
  }

  // Guards against starting from a damaged snapshot, or voting under a wrong identity.
  void Open_DamagedSnapshotOrIdentity_IsRejected() {
    MemoryFileSystem disk;
    {
      const auto storage = Open(&disk);
      WriteAndSync(storage, Batch(1, 3));
      SaveAndRelease(storage, SnapshotAt(2));
    }
    for (auto& [path, file] : *disk.files) {
      if (path.find("/log-") != std::string::npos) continue;
      file.content.back() ^= 1;
      CPPUNIT_ASSERT(OpenError(&disk) == ResultCode::kStorageCorrupt);
      file.content.back() ^= 1;
    }
    disk.files->erase("/data/identity");
    CPPUNIT_ASSERT(OpenError(&disk) == ResultCode::kStorageCorrupt);
  }

  // Guards against a gap in the log after a crash between storing a received snapshot and writing
  // the log. The stored log either ends before the snapshot or conflicts with it.
  void Open_SnapshotAheadOfLog_Continues() {
    for (const std::uint64_t last : {2, 9}) {
      MemoryFileSystem disk;
      WriteAndSync(Open(&disk), Batch(1, last));
      MemoryFileSystem other;
      {
        const auto storage = Open(&other);
        Actions install;
        install.hard_state = HardState{Term(3), {}, GroupId(7)};
        install.snapshot = std::make_shared<Snapshot>(Snapshot{LogIndex(5), Term(3), {}, "s"});
        install.prefix = Actions::Prefix::kDiscarded;
        WriteAndSync(storage, install);
      }
      for (const auto& [path, file] : *other.files) {
        if (path.find("/snapshot-") != std::string::npos) (*disk.files)[path] = file;
      }
      {
        const auto storage = Open(&disk);
        CPPUNIT_ASSERT(storage->TakeState().entries.empty());
        WriteAndSync(storage, Batch(6, 1, 3));
      }
      CPPUNIT_ASSERT(Batch(6, 1, 3).entries == Open(&disk)->TakeState().entries);
    }
  }

  // Guards against replaced entries that reappear after a restart.
  void Write_ExistingIndex_ReplacesLaterEntries() {
    MemoryFileSystem disk;
    {
      const auto storage = Open(&disk, Options(512));
      WriteAndSync(storage, Batch(1, 50, 1));
      WriteAndSync(storage, Batch(20, 2, 2));
    }
    const auto entries = Open(&disk)->TakeState().entries;
    CPPUNIT_ASSERT_EQUAL(std::size_t{21}, entries.size());
    CPPUNIT_ASSERT(entries[18].term == Term(1) && entries[19].term == Term(2));
  }

  // Guards against acknowledging entries after a failed sync: even if a later sync succeeds, the
  // data of the failed one may be missing.
  void Sync_Fails_LaterCallsFail() {
    MemoryFileSystem disk;
    const auto storage = Open(&disk);
    CPPUNIT_ASSERT(storage->Write(Batch(1, 1)).has_value());
    disk.faults->sync_fails = true;
    CPPUNIT_ASSERT(storage->Sync().error().code == ResultCode::kStorageFailed);
    disk.faults->sync_fails = false;
    CPPUNIT_ASSERT(storage->Sync().error().code == ResultCode::kStorageFailed);
    CPPUNIT_ASSERT(storage->Write(Batch(2, 1)).error().code == ResultCode::kStorageFailed);
  }

  // Guards against losing entries that were stored before the disk became full.
  void Write_FullDisk_KeepsStoredEntries() {
    MemoryFileSystem disk;
    {
      const auto storage = Open(&disk);
      WriteAndSync(storage, Batch(1, 10));
      disk.faults->capacity = disk.TotalBytes() + 100;
      CPPUNIT_ASSERT(storage->Write(Batch(11, 5)).error().code == ResultCode::kStorageFull);
      CPPUNIT_ASSERT(storage->Sync().error().code == ResultCode::kStorageFull);
    }
    disk.faults->capacity = UINT64_MAX;
    CPPUNIT_ASSERT(LastIndex(&disk) >= 10);
  }

  // Guards against files that grow without limit.
  void SaveSnapshot_ManyEntries_LimitsFileSize() {
    MemoryFileSystem disk;
    const auto storage = Open(&disk, Options(4096));
    std::uint64_t largest = 0;
    for (std::uint64_t i = 1; i <= 20000; i += 100) {
      WriteAndSync(storage, Batch(i, 100));
      SaveAndRelease(storage, SnapshotAt(i + 50));
      largest = std::max(largest, disk.TotalBytes());
    }
    CPPUNIT_ASSERT(largest < 40000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20000}, LastIndex(&disk));
  }

  // Guards against losing the renamed snapshot file in a crash after the segments that it covers
  // were removed.
  void SaveSnapshot_Rename_IsSynced() {
    MemoryFileSystem disk;
    const auto storage = Open(&disk);
    WriteAndSync(storage, Batch(1, 10));
    SaveAndRelease(storage, SnapshotAt(5));
    const auto rename =
        std::find(disk.calls.begin(), disk.calls.end(), "rename /data/snapshot-0000000000000005");
    CPPUNIT_ASSERT(rename != disk.calls.end() && std::next(rename) != disk.calls.end());
    CPPUNIT_ASSERT_EQUAL(std::string("sync /data"), *std::next(rename));
  }

  // Guards against two processes that write to the same folder.
  void Open_FolderInUse_IsRejected() {
    const TestFolder folder;
    PosixFileSystem files;
    StorageOptions options = Options();
    options.folder = folder.path();
    const auto first = LogStorage::Open(options, &files);
    CPPUNIT_ASSERT(first.has_value());
    CPPUNIT_ASSERT(!LogStorage::Open(options, &files).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStorageTest);

}  // namespace parsleyline::raft
