#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "raft/raft_types.h"

namespace parsleyline::raft {

/// The part of a replica's log that is kept in memory: the entries after the latest snapshot and
/// some before it.
class RaftLog {
 public:
  /// `snapshot` may be null; `entries` continue it without a gap.
  RaftLog(const Snapshot* snapshot, std::vector<Entry> entries);

  LogIndex LastIndex() const;
  Term LastTerm() const;
  /// Returns the index of the first entry in memory, or LastIndex() + 1 if there is none.
  LogIndex FirstIndex() const { return base_index_ + 1; }

  /// Returns the term of the entry at `index`, or std::nullopt if that entry is compacted or does
  /// not exist yet.
  std::optional<Term> TermAt(LogIndex index) const;
  /// Returns the entry at `index`, which must be in memory.
  const Entry& EntryAt(LogIndex index) const;

  /// Appends the entry that follows LastIndex().
  void Append(Entry entry);
  /// Removes the entries from `index` on.
  void TruncateFrom(LogIndex index);
  /// Removes the entries up to `index` from memory, except the newest ones that fit into
  /// `keep_bytes`.
  void Compact(LogIndex index, std::size_t keep_bytes);
  /// Makes the log continue after `snapshot`. Keeps the entries after it if the log contains the
  /// last entry that the snapshot covers, and discards all entries otherwise.
  Actions::Prefix InstallSnapshot(const Snapshot& snapshot);

  /// Returns copies of the entries from `from` on, up to `max_bytes`. The first entry is included
  /// even if it is larger.
  std::vector<Entry> Slice(LogIndex from, std::size_t max_bytes) const;

  /// Returns the current configuration: that of the last configuration entry, committed or not.
  const Configuration& CurrentConfiguration() const { return configurations_.back().second; }
  /// Returns the index of the entry that holds the current configuration.
  LogIndex ConfigurationIndex() const { return configurations_.back().first; }
  /// Returns the configuration that applies at `index`, which must not be before the latest
  /// snapshot.
  const Configuration& ConfigurationAt(LogIndex index) const;

  /// Number of bytes that an entry counts against limits.
  static std::size_t EntryBytes(const Entry& entry);

 private:
  // Index and term of the entry before the first one in memory.
  LogIndex base_index_;
  Term base_term_;
  std::deque<Entry> entries_;
  // Configurations by index, in ascending order. The first one is that of the latest snapshot or,
  // if there is no snapshot, an empty one at index 0.
  std::vector<std::pair<LogIndex, Configuration>> configurations_;
};

}  // namespace parsleyline::raft
