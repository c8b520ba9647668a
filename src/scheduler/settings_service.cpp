#include "scheduler/settings_service.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/event_log.h"
#include "scheduler/rpc_handlers.h"
#include "wire/codec.h"
#include "wire/methods.h"

namespace parsleyline::scheduler {

void SettingsService::Subscribe(std::function<void(Revision, const std::string& tree)> on_change) {
  subscribers_.push_back(std::move(on_change));
}

void SettingsService::Edit(const wire::SettingsEdit& edit, EditReply reply) {
  {
    const std::unique_lock lock(mutex_);
    edits_[edit.operation].push_back(reply);
  }
  const auto index = log_->Propose(wire::Encode(edit));
  if (index) return;
  std::vector<EditReply> replies;
  {
    const std::unique_lock lock(mutex_);
    if (auto node = edits_.extract(edit.operation); !node.empty()) replies = node.mapped();
  }
  Error error = index.error();
  if (error.code == ResultCode::kNotLeader) error.message = log_->Leader().value();
  for (const EditReply& waiting : replies) waiting(tl::make_unexpected(error));
}

wire::SettingsSnapshot SettingsService::Snapshot(bool with_tree) {
  const TimePoint now = clock_.Now();
  if (last_contact_ == TimePoint() || !log_->Leader().value().empty()) last_contact_ = now;
  return {.revision = tree_.revision(),
          .tree = with_tree ? tree_.ToJson() : std::string(),
          .age = std::chrono::duration_cast<Milliseconds>(now - last_contact_)};
}

void SettingsService::Watch(const wire::SettingsWatch& watch, WatchReply reply) {
  std::unique_lock lock(mutex_);
  const bool newer = tree_.revision() > watch.known_revision;
  if (!newer && watch.max_wait > Milliseconds(0)) {
    watchers_.push_back({clock_.Now() + watch.max_wait, std::move(reply)});
    return;
  }
  const wire::SettingsSnapshot snapshot = Snapshot(newer);
  lock.unlock();
  reply(snapshot);
}

wire::SettingsHistory SettingsService::History(const wire::SettingsHistoryQuery& query) {
  const std::unique_lock lock(mutex_);
  return tree_.History(query.from_revision);
}

Revision SettingsService::CurrentRevision() {
  const std::unique_lock lock(mutex_);
  return tree_.revision();
}

void SettingsService::Tick() {
  std::unique_lock lock(mutex_);
  const TimePoint now = clock_.Now();
  const auto expired = std::partition(watchers_.begin(), watchers_.end(),
                                      [now](const auto& it) { return it.deadline > now; });
  std::vector<Watcher> ended(std::make_move_iterator(expired),
                             std::make_move_iterator(watchers_.end()));
  watchers_.erase(expired, watchers_.end());
  // Called even without expired watchers, because it updates the time of the last known leader.
  const wire::SettingsSnapshot snapshot = Snapshot(false);
  lock.unlock();
  for (const Watcher& watcher : ended) watcher.reply(snapshot);
}

void SettingsService::Announce(std::unique_lock<std::mutex> lock) {
  const std::vector<Watcher> watchers = std::exchange(watchers_, {});
  const wire::SettingsSnapshot snapshot = Snapshot(true);
  lock.unlock();
  Event("settings_in_force").With("revision", snapshot.revision);
  for (const Watcher& watcher : watchers) watcher.reply(snapshot);
  for (const auto& subscriber : subscribers_) subscriber(snapshot.revision, snapshot.tree);
}

void SettingsService::Apply(LogIndex index, std::string_view command) {
  const auto edit = wire::Decode<wire::SettingsEdit>(command);
  if (!edit) {
    Event("record_skipped", Severity::kError)
        .With("index", index)
        .With("reason", edit.error().message);
    return;
  }
  std::unique_lock lock(mutex_);
  const Revision before = tree_.revision();
  const wire::SettingsEditReply result = tree_.Apply(*edit);
  Event("settings_edit")
      .With("operation", edit->operation)
      .With("author", edit->author)
      .With("path", edit->path)
      .With("code", static_cast<int>(result.code))
      .With("revision", result.revision);
  std::vector<EditReply> replies;
  if (auto node = edits_.extract(edit->operation); !node.empty()) replies = node.mapped();
  if (tree_.revision() != before) {
    Announce(std::move(lock));
  } else {
    lock.unlock();
  }
  for (const EditReply& reply : replies) reply(result);
}

std::string SettingsService::TakeSnapshot() {
  const std::unique_lock lock(mutex_);
  return tree_.TakeSnapshot();
}

Result<void> SettingsService::Restore(std::string_view snapshot) {
  std::unique_lock lock(mutex_);
  auto restored = tree_.Restore(snapshot);
  if (restored) Announce(std::move(lock));
  return restored;
}

void SettingsService::OnRoleChange(raft::Role role, Term) {
  if (role == raft::Role::kLeader) return;
  std::unordered_map<OperationId, std::vector<EditReply>> edits;
  {
    const std::unique_lock lock(mutex_);
    edits = std::exchange(edits_, {});
  }
  const Error error{ResultCode::kNotLeader, log_->Leader().value()};
  for (const auto& [operation, replies] : edits) {
    for (const EditReply& reply : replies) reply(tl::make_unexpected(error));
  }
}

void SettingsService::RegisterMethods(transport::RpcServer& server) {
  HandleLater<wire::SettingsEdit, wire::SettingsEditReply>(
      server, std::string(wire::kSettingsEditMethod),
      [this](const wire::SettingsEdit& edit, auto reply) { Edit(edit, std::move(reply)); });
  HandleLater<wire::SettingsWatch, wire::SettingsSnapshot>(
      server, std::string(wire::kSettingsWatchMethod),
      [this](const wire::SettingsWatch& watch, auto reply) { Watch(watch, std::move(reply)); });
  HandleNow<wire::SettingsHistoryQuery, wire::SettingsHistory>(
      server, std::string(wire::kSettingsHistoryMethod),
      [this](const wire::SettingsHistoryQuery& query) -> Result<wire::SettingsHistory> {
        return History(query);
      });
}

}  // namespace parsleyline::scheduler
