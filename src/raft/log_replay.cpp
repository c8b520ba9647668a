#include "raft/log_replay.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "wire/codec.h"

namespace parsleyline::raft {
namespace {

tl::unexpected<Error> CorruptSegment(const std::string& name, std::uint64_t offset,
                                     const char* what) {
  return Fail(ResultCode::kStorageCorrupt,
              "segment " + name + " at byte " + std::to_string(offset) + ": " + what);
}

// Returns whether a later record shows that the file was synced beyond `offset`.
bool WasSyncedBeyond(std::string_view bytes, std::uint64_t offset) {
  for (std::uint64_t at = offset + 1; at + kRecordHeaderBytes <= bytes.size(); ++at) {
    const auto record = ReadRecord(bytes.substr(at));
    if (record && record->synced > offset) return true;
  }
  return false;
}

}  // namespace

Result<std::uint64_t> LogReplay::ReadSegment(const std::string& name, std::string_view bytes,
                                             Tail tail) {
  highest_index_ = LogIndex();
  std::uint64_t offset = 0;
  while (offset < bytes.size()) {
    const auto record = ReadRecord(bytes.substr(offset), policy_);
    if (!record) break;
    if (auto added = ReplayRecord(name, *record); !added) return tl::make_unexpected(added.error());
    offset += RecordSize(*record);
  }
  if (offset == bytes.size()) return offset;
  if (tail == Tail::kMustBeComplete) return CorruptSegment(name, offset, "a record is damaged");
  if (WasSyncedBeyond(bytes, offset)) {
    return CorruptSegment(name, offset, "a synced record is damaged");
  }
  Event("raft_torn_tail", Severity::kWarning)
      .With("segment", name)
      .With("kept_bytes", offset)
      .With("cut_bytes", bytes.size() - offset);
  return offset;
}

Result<void> LogReplay::ReplayRecord(const std::string& name, const Record& record) {
  switch (record.kind) {
    case Record::Kind::kEntry:
      return ReplayEntry(name, record);
    case Record::Kind::kReset:
      entries_.clear();
      return {};
    case Record::Kind::kHardState: {
      auto hard = wire::Decode<HardState>(record.payload);
      if (!hard) {
        return Fail(ResultCode::kStorageCorrupt,
                    name + ": the hard state cannot be decoded: " + hard.error().message);
      }
      hard_state_ = std::move(*hard);
      return {};
    }
    default:
      return Fail(ResultCode::kStorageCorrupt, name + ": unexpected record kind " +
                                                   std::to_string(static_cast<int>(record.kind)));
  }
}

Result<void> LogReplay::ReplayEntry(const std::string& name, const Record& record) {
  if (!entries_.empty()) {
    if (record.index > entries_.back().index + 1) {
      return Fail(
          ResultCode::kStorageCorrupt,
          name + ": the entry before " + std::to_string(record.index.value()) + " is missing");
    }
    // An entry replaces the entry with the same index and all later ones. These may be all entries
    // read so far, if the earlier ones were in segments that were removed after a snapshot.
    const LogIndex first = entries_.front().index;
    entries_.resize(record.index > first ? record.index - first : 0);
  }
  entries_.push_back({record.index, record.term, record.entry_kind, std::string(record.payload)});
  highest_index_ = std::max(highest_index_, record.index);
  return {};
}

Result<DurableState> LogReplay::Finish(SnapshotPtr snapshot) {
  const LogIndex base = snapshot != nullptr ? snapshot->index : LogIndex();
  if (snapshot != nullptr && !hard_state_) {
    return Fail(ResultCode::kStorageCorrupt, "there is a snapshot, but the log has no hard state");
  }
  for (const Entry& entry : entries_) {
    if (snapshot == nullptr || entry.index != base || entry.term == snapshot->term) continue;
    // The replica stopped after it had stored a received snapshot and before it discarded the
    // entries that conflict with the snapshot.
    entries_.clear();
    break;
  }
  std::erase_if(entries_, [base](const Entry& entry) { return entry.index <= base; });
  if (!entries_.empty() && entries_.front().index != base + 1) {
    return Fail(ResultCode::kStorageCorrupt,
                "entries after index " + std::to_string(base.value()) + " are missing");
  }
  DurableState state;
  state.hard_state = hard_state_.value_or(HardState());
  if (snapshot != nullptr && state.hard_state.term < snapshot->term) {
    // The snapshot became durable before the term, so no vote was sent in that term.
    state.hard_state.term = snapshot->term;
    state.hard_state.vote = ReplicaId();
  }
  state.snapshot = std::move(snapshot);
  state.entries = std::move(entries_);
  return state;
}

}  // namespace parsleyline::raft
