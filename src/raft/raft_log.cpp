#include "raft/raft_log.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "wire/codec.h"

namespace parsleyline::raft {

RaftLog::RaftLog(const Snapshot* snapshot, std::vector<Entry> entries) {
  configurations_.emplace_back(LogIndex(), Configuration());
  if (snapshot != nullptr) {
    base_index_ = snapshot->index;
    base_term_ = snapshot->term;
    configurations_.front() = {snapshot->index, snapshot->configuration};
  }
  for (Entry& entry : entries) Append(std::move(entry));
}

LogIndex RaftLog::LastIndex() const { return base_index_ + entries_.size(); }

Term RaftLog::LastTerm() const { return entries_.empty() ? base_term_ : entries_.back().term; }

std::optional<Term> RaftLog::TermAt(LogIndex index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > LastIndex()) return std::nullopt;
  return EntryAt(index).term;
}

const Entry& RaftLog::EntryAt(LogIndex index) const { return entries_[index - FirstIndex()]; }

void RaftLog::Append(Entry entry) {
  if (!PARSLEYLINE_CHECK(entry.index == LastIndex() + 1)) return;
  if (entry.kind == EntryKind::kConfiguration) {
    auto configuration = wire::Decode<Configuration>(entry.data);
    if (PARSLEYLINE_CHECK(configuration.has_value())) {
      configurations_.emplace_back(entry.index, std::move(*configuration));
    }
  }
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(LogIndex index) {
  while (LastIndex() >= index && !entries_.empty()) entries_.pop_back();
  while (configurations_.size() > 1 && configurations_.back().first >= index) {
    configurations_.pop_back();
  }
}

void RaftLog::Compact(LogIndex index, std::size_t keep_bytes) {
  LogIndex first = index + 1;
  std::size_t kept = 0;
  while (first > FirstIndex()) {
    kept += EntryBytes(EntryAt(first - 1));
    if (kept > keep_bytes) break;
    first = first - 1;
  }
  while (FirstIndex() < first && !entries_.empty()) {
    base_index_ = entries_.front().index;
    base_term_ = entries_.front().term;
    entries_.pop_front();
  }
  const auto in_force =
      std::find_if(configurations_.rbegin(), configurations_.rend(),
                   [index](const auto& configuration) { return configuration.first <= index; });
  if (in_force != configurations_.rend()) {
    configurations_.erase(configurations_.begin(), in_force.base() - 1);
  }
}

Actions::Prefix RaftLog::InstallSnapshot(const Snapshot& snapshot) {
  if (TermAt(snapshot.index) == snapshot.term) {
    Compact(snapshot.index, 0);
    return Actions::Prefix::kKept;
  }
  entries_.clear();
  base_index_ = snapshot.index;
  base_term_ = snapshot.term;
  configurations_.assign(1, {snapshot.index, snapshot.configuration});
  return Actions::Prefix::kDiscarded;
}

std::vector<Entry> RaftLog::Slice(LogIndex from, std::size_t max_bytes) const {
  std::vector<Entry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= LastIndex(); index = index + 1) {
    bytes += EntryBytes(EntryAt(index));
    if (bytes > max_bytes && !slice.empty()) break;
    slice.push_back(EntryAt(index));
  }
  return slice;
}

const Configuration& RaftLog::ConfigurationAt(LogIndex index) const {
  const auto it =
      std::find_if(configurations_.rbegin(), configurations_.rend(),
                   [index](const auto& configuration) { return configuration.first <= index; });
  return it != configurations_.rend() ? it->second : configurations_.front().second;
}

std::size_t RaftLog::EntryBytes(const Entry& entry) { return sizeof(Entry) + entry.data.size(); }

}  // namespace parsleyline::raft
