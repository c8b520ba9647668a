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

void SettingsService::Edit(const wire::SettingsEdit& edit, const EditCallback& reply) {
  {
    const std::unique_lock lock(mutex_);
    pending_edits_[edit.operation].push_back(reply);
  }
  const auto index = log_->Propose(wire::Encode(edit));
  if (index) return;
  std::vector<EditCallback> replies;
  {
    const std::unique_lock lock(mutex_);
    if (auto node = pending_edits_.extract(edit.operation); !node.empty()) replies = node.mapped();
  }
  Error error = index.error();
  if (error.code == ResultCode::kNotLeader) error.message = log_->Leader().value();
  for (const EditCallback& callback : replies) callback(tl::make_unexpected(error));
}

wire::SettingsSnapshot SettingsService::MakeSnapshot(bool with_tree) {
  const TimePoint now = clock_.Now();
  const bool leader_is_known = !log_->Leader().value().empty();
  if (leader_is_known || last_leader_known_ == TimePoint()) last_leader_known_ = now;
  return {.revision = tree_.revision(),
          .tree = with_tree ? tree_.ToJson() : std::string(),
          .age = std::chrono::duration_cast<Milliseconds>(now - last_leader_known_)};
}

void SettingsService::Watch(const wire::SettingsWatch& watch, WatchCallback reply) {
  std::unique_lock lock(mutex_);
  const bool newer = tree_.revision() > watch.known_revision;
  if (!newer && watch.max_wait > Milliseconds(0)) {
    watchers_.push_back({clock_.Now() + watch.max_wait, std::move(reply)});
    return;
  }
  const wire::SettingsSnapshot snapshot = MakeSnapshot(newer);
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
  const auto first_expired = std::partition(watchers_.begin(), watchers_.end(),
                                            [now](const auto& it) { return it.deadline > now; });
  std::vector<Watcher> expired_watchers(std::make_move_iterator(first_expired),
                                        std::make_move_iterator(watchers_.end()));
  watchers_.erase(first_expired, watchers_.end());
  // Called even without expired watchers, because it updates the time of the last known leader.
  const wire::SettingsSnapshot snapshot = MakeSnapshot(false);
  lock.unlock();
  for (const Watcher& watcher : expired_watchers) watcher.reply(snapshot);
}

void SettingsService::PublishRevision(std::unique_lock<std::mutex> lock) {
  const std::vector<Watcher> watchers = std::exchange(watchers_, {});
  const wire::SettingsSnapshot snapshot = MakeSnapshot(true);
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
  std::vector<EditCallback> replies;
  if (auto node = pending_edits_.extract(edit->operation); !node.empty()) replies = node.mapped();
  if (tree_.revision() != before) {
    PublishRevision(std::move(lock));
  } else {
    lock.unlock();
  }
  for (const EditCallback& reply : replies) reply(result);
}

std::string SettingsService::TakeSnapshot() {
  const std::unique_lock lock(mutex_);
  return tree_.TakeSnapshot();
}

Result<void> SettingsService::Restore(std::string_view snapshot) {
  std::unique_lock lock(mutex_);
  auto restored = tree_.Restore(snapshot);
  if (restored) PublishRevision(std::move(lock));
  return restored;
}

void SettingsService::OnRoleChange(raft::Role role, Term) {
  if (role == raft::Role::kLeader) return;
  std::unordered_map<OperationId, std::vector<EditCallback>> edits;
  {
    const std::unique_lock lock(mutex_);
    edits = std::exchange(pending_edits_, {});
  }
  const Error error{ResultCode::kNotLeader, log_->Leader().value()};
  for (const auto& [operation, replies] : edits) {
    for (const EditCallback& reply : replies) reply(tl::make_unexpected(error));
  }
}

void SettingsService::RegisterMethods(transport::RpcServer& server) {
  RegisterAsyncHandler<wire::SettingsEdit, wire::SettingsEditReply>(
      server, std::string(wire::kSettingsEditMethod),
      [this](const wire::SettingsEdit& edit, const auto& reply) { Edit(edit, reply); });
  RegisterAsyncHandler<wire::SettingsWatch, wire::SettingsSnapshot>(
      server, std::string(wire::kSettingsWatchMethod),
      [this](const wire::SettingsWatch& watch, auto reply) { Watch(watch, std::move(reply)); });
  RegisterSyncHandler<wire::SettingsHistoryQuery, wire::SettingsHistory>(
      server, std::string(wire::kSettingsHistoryMethod),
      [this](const wire::SettingsHistoryQuery& query) -> Result<wire::SettingsHistory> {
        return History(query);
      });
}

}  // namespace parsleyline::scheduler
