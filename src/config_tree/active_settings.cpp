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
  /// Puts a valid snapshot in force and tells the subscribers.
  void Apply(const wire::SettingsSnapshot& snapshot);
  /// Saves a snapshot unless it is saved already.
  void Save(const wire::SettingsSnapshot& snapshot);
  void NoteContact(TimePoint contact);
  UpdateResult Judge(const wire::SettingsSnapshot& snapshot);

  std::unique_ptr<SnapshotStore> store;

  /// Serialises changes, saving and calls of subscribers. Taken before `state_lock`.
  std::mutex change_lock;
  std::vector<Subscriber> subscribers;
  /// Highest revision in any snapshot, valid or not.
  Revision seen;
  Revision saved;

  /// Guards what readers see; never held during I/O or calls of subscribers.
  mutable std::mutex state_lock;
  Revision revision;
  std::shared_ptr<const std::string> tree;
  std::optional<TimePoint> last_contact;
};

void ActiveSettings::Impl::Apply(const wire::SettingsSnapshot& snapshot) {
  const auto text = std::make_shared<const std::string>(snapshot.tree);
  {
    const std::lock_guard lock(state_lock);
    revision = snapshot.revision;
    tree = text;
  }
  Event("settings_in_force").With("revision", revision).With("bytes", text->size());
  for (const Subscriber& subscriber : subscribers) subscriber(snapshot.revision, *text);
}

void ActiveSettings::Impl::Save(const wire::SettingsSnapshot& snapshot) {
  if (store == nullptr || saved == snapshot.revision) return;
  const auto result = store->Save(snapshot);
  if (result) {
    saved = snapshot.revision;
    return;
  }
  Event("settings_not_saved", Severity::kError)
      .With("revision", snapshot.revision)
      .With("code", Describe(result.error().code).name)
      .With("message", result.error().message);
}

void ActiveSettings::Impl::NoteContact(TimePoint contact) {
  const std::lock_guard lock(state_lock);
  last_contact = std::max(last_contact.value_or(contact), contact);
}

UpdateResult ActiveSettings::Impl::Judge(const wire::SettingsSnapshot& snapshot) {
  if (snapshot.revision < seen) return UpdateResult::kOlder;
  seen = snapshot.revision;
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
  const std::lock_guard lock(impl_->change_lock);
  if (impl_->store == nullptr) return {};
  const auto stored = impl_->store->Load();
  if (!stored) return tl::make_unexpected(stored.error());
  if (!stored->has_value() || impl_->Judge(**stored) != UpdateResult::kApplied) return {};
  impl_->saved = (*stored)->revision;
  impl_->Apply(**stored);
  return {};
}

UpdateResult ActiveSettings::Update(const wire::SettingsSnapshot& snapshot, TimePoint now) {
  const std::lock_guard lock(impl_->change_lock);
  const UpdateResult accepted = impl_->Judge(snapshot);
  if (accepted == UpdateResult::kInvalid) {
    Event("settings_refused", Severity::kError)
        .With("revision", snapshot.revision)
        .With("in_force", impl_->revision);
  }
  if (accepted == UpdateResult::kApplied) {
    impl_->Save(snapshot);
    impl_->Apply(snapshot);
  }
  if (accepted == UpdateResult::kUnchanged) {
    impl_->Save({impl_->revision, *impl_->tree, Milliseconds(0)});
  }
  if (accepted == UpdateResult::kApplied || accepted == UpdateResult::kUnchanged) {
    impl_->NoteContact(now - snapshot.age);
  }
  return accepted;
}

ActiveSettings::View ActiveSettings::Current(TimePoint now) const {
  const std::lock_guard lock(impl_->state_lock);
  View view{impl_->revision, impl_->tree, std::nullopt};
  if (impl_->last_contact) {
    const auto age = std::chrono::duration_cast<Milliseconds>(now - *impl_->last_contact);
    view.age = std::max(age, Milliseconds(0));
  }
  return view;
}

void ActiveSettings::Subscribe(Subscriber subscriber) {
  const std::lock_guard lock(impl_->change_lock);
  subscriber(impl_->revision, *impl_->tree);
  impl_->subscribers.push_back(std::move(subscriber));
}

}  // namespace parsleyline::config_tree
