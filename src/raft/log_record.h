#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "raft/raft_types.h"

namespace parsleyline::raft {

/// One record of a segment, snapshot or identity file. It is stored as a header of fixed size with
/// length and checksum, followed by the payload.
struct Record {
  enum class Kind : std::uint8_t {
    /// A log entry; the payload is its data.
    kEntry = 1,
    /// The payload is an encoded HardState.
    kHardState = 2,
    /// The log continues after the snapshot at `index`; all entries before this record are
    /// discarded.
    kReset = 3,
    /// The payload is an encoded ReplicaId.
    kIdentity = 4,
    /// The payload is a configuration and the data of a snapshot.
    kSnapshot = 5,
  };
  Kind kind = Kind::kEntry;
  EntryKind entry_kind = EntryKind::kCommand;
  LogIndex index;
  Term term;
  /// Number of bytes of the file that were synced when this record was written. Damage within them
  /// is not caused by a torn write.
  std::uint64_t synced = 0;
  std::string_view payload;
};

/// Whether reading a record verifies its checksum.
enum class ChecksumPolicy : std::uint8_t {
  kVerify,
  /// Used only by tests, to show that they detect the missing verification.
  kIgnore,
};

inline constexpr std::size_t kRecordHeaderBytes = 48;

/// Appends the encoded record to `out`.
void AppendRecord(const Record& record, std::string* out);

/// Returns the record at the start of `bytes`, or std::nullopt if it is incomplete or damaged. The
/// payload points into `bytes`.
std::optional<Record> ReadRecord(std::string_view bytes,
                                 ChecksumPolicy policy = ChecksumPolicy::kVerify);

/// Returns the size of the encoded record in bytes.
inline std::size_t RecordSize(const Record& record) {
  return kRecordHeaderBytes + record.payload.size();
}

}  // namespace parsleyline::raft
