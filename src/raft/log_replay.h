#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"
#include "raft/log_record.h"
#include "raft/raft_types.h"

namespace parsleyline::raft {

/// Rebuilds the entries and the hard state of a replica from the segment files of its log, which
/// must be read from oldest to newest.
class LogReplay {
 public:
  explicit LogReplay(ChecksumPolicy policy) : policy_(policy) {}

  /// Whether a segment may end with a torn write, which is possible only in the last segment.
  enum class Tail { kMustBeComplete, kMayBeTorn };

  /// Reads one segment and returns the size of its valid part in bytes. `name` is used in errors.
  Result<std::uint64_t> ReadSegment(const std::string& name, std::string_view bytes, Tail tail);

  /// Removes the entries that `snapshot` covers, checks that the others continue it without a gap,
  /// and returns the state. `snapshot` may be null.
  Result<DurableState> Finish(SnapshotPtr snapshot);

  /// Returns the highest entry index in the segment that was read last.
  LogIndex HighestIndex() const { return highest_index_; }

 private:
  Result<void> ReplayRecord(const std::string& name, const Record& record);
  Result<void> ReplayEntry(const std::string& name, const Record& record);

  const ChecksumPolicy policy_;
  std::optional<HardState> hard_state_;
  std::vector<Entry> entries_;
  LogIndex highest_index_;
};

}  // namespace parsleyline::raft
