#include "config_tree/active_settings.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "config_tree/config_tree.h"
#include "config_tree/tree_schema.h"

namespace parsleyline::config_tree {

struct ActiveSettings::Impl {
  /// Makes a valid snapshot active and calls the subscribers.
  void Activate(const wire::SettingsSnapshot& snapshot);
  /// Saves a snapshot unless its revision is saved already. Logs a failure.
  void Save(const wire::SettingsSnapshot& snapshot);
  void RecordContact(TimePoint contact);
  UpdateResult CheckSnapshot(const wire::SettingsSnapshot& snapshot);

  std::unique_ptr<SnapshotStore> store;

  /// Serializes changes, saving and calls to subscribers. Locked before `state_mutex`.
  std::mutex change_mutex;
  std::vector<Subscriber> subscribers;
  /// Highest revision of any snapshot received, valid or not.
  Revision highest_received;
  Revision saved_revision;

  /// Guards the members below. Never held during I/O or calls to subscribers.
  mutable std::mutex state_mutex;
  Revision revision;
  std::shared_ptr<const std::string> tree;
  std::optional<TimePoint> last_contact;
};

void ActiveSettings::Impl::Activate(const wire::SettingsSnapshot& snapshot) {
  const auto text = std::make_shared<const std::string>(snapshot.tree);
  {
    const std::lock_guard lock(state_mutex);
    revision = snapshot.revision;
    tree = text;
  }
  Event("settings_in_force").With("revision", revision).With("bytes", text->size());
  for (const Subscriber& subscriber : subscribers) subscriber(snapshot.revision, *text);
}

void ActiveSettings::Impl::Save(const wire::SettingsSnapshot& snapshot) {
  if (store == nullptr || saved_revision == snapshot.revision) return;
  const auto result = store->Save(snapshot);
  if (result) {
    saved_revision = snapshot.revision;
    return;
  }
  Event("settings_not_saved", Severity::kError)
      .With("revision", snapshot.revision)
      .With("code", Describe(result.error().code).name)
      .With("message", result.error().message);
}

void ActiveSettings::Impl::RecordContact(TimePoint contact) {
  const std::lock_guard lock(state_mutex);
  last_contact = std::max(last_contact.value_or(contact), contact);
}

UpdateResult ActiveSettings::Impl::CheckSnapshot(const wire::SettingsSnapshot& snapshot) {
  if (snapshot.revision < highest_received) return UpdateResult::kOlder;
  highest_received = snapshot.revision;
  const bool has_tree = !snapshot.tree.empty();
  if (snapshot.revision == revision) {
    return !has_tree || snapshot.tree == *tree ? UpdateResult::kUnchanged : UpdateResult::kInvalid;
  }
  return has_tree && CheckTree(snapshot.tree).empty() ? UpdateResult::kApplied
                                                      : UpdateResult::kInvalid;
}

ActiveSettings::ActiveSettings(std::unique_ptr<SnapshotStore> store)
    : impl_(std::make_unique<Impl>()) {
  impl_->store = std::move(store);
  impl_->tree = std::make_shared<const std::string>(ConfigTree().ToJson());
}

ActiveSettings::~ActiveSettings() = default;

Result<void> ActiveSettings::Load() {
  const std::lock_guard lock(impl_->change_mutex);
  if (impl_->store == nullptr) return {};
  const auto stored = impl_->store->Load();
  if (!stored) return tl::make_unexpected(stored.error());
  if (!stored->has_value() || impl_->CheckSnapshot(**stored) != UpdateResult::kApplied) return {};
  impl_->saved_revision = (*stored)->revision;
  impl_->Activate(**stored);
  return {};
}

UpdateResult ActiveSettings::Update(const wire::SettingsSnapshot& snapshot, TimePoint now) {
  const std::lock_guard lock(impl_->change_mutex);
  const UpdateResult result = impl_->CheckSnapshot(snapshot);
  if (result == UpdateResult::kInvalid) {
    Event("settings_refused", Severity::kError)
        .With("revision", snapshot.revision)
        .With("in_force", impl_->revision);
  }
  if (result == UpdateResult::kApplied) {
    impl_->Save(snapshot);
    impl_->Activate(snapshot);
  }
  if (result == UpdateResult::kUnchanged) {
    impl_->Save({impl_->revision, *impl_->tree, Milliseconds(0)});
  }
  if (result == UpdateResult::kApplied || result == UpdateResult::kUnchanged) {
    impl_->RecordContact(now - snapshot.age);
  }
  return result;
}

ActiveSettings::View ActiveSettings::Current(TimePoint now) const {
  const std::lock_guard lock(impl_->state_mutex);
  View view{impl_->revision, impl_->tree, std::nullopt};
  if (impl_->last_contact) {
    const auto age = std::chrono::duration_cast<Milliseconds>(now - *impl_->last_contact);
    view.age = std::max(age, Milliseconds(0));
  }
  return view;
}

void ActiveSettings::Subscribe(Subscriber subscriber) {
  const std::lock_guard lock(impl_->change_mutex);
  subscriber(impl_->revision, *impl_->tree);
  impl_->subscribers.push_back(std::move(subscriber));
}

}  // namespace parsleyline::config_tree
