#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result_code.h"
#include "base/units.h"
#include "config_tree/snapshot_store.h"
#include "wire/messages.h"

namespace parsleyline::config_tree {

/// What ActiveSettings::Update() did with a snapshot.
enum class UpdateResult : std::uint8_t {
  /// Its revision is in force now.
  kApplied,
  /// It confirms the revision in force.
  kUnchanged,
  /// Its revision is lower than one that was seen; it is ignored.
  kOlder,
  /// Its tree is missing or invalid; the revision in force stays.
  kInvalid,
};

/// Settings that are in force in one process. They start as the empty tree at revision 0 and never
/// go back to a revision lower than one that was seen.
///
/// Performs no I/O of its own and is thread-safe. Calls of Update() and of subscribers happen one
/// after the other; a subscriber may call the const functions only.
class ActiveSettings {
 public:
  using Subscriber = std::function<void(Revision revision, const std::string& tree)>;

  /// Settings at one moment.
  struct View {
    Revision revision;
    /// The whole tree as JSON text; never null.
    std::shared_ptr<const std::string> tree;
    /// Time since the last contact with a majority of the settings log; nothing if there was none
    /// since the process started.
    std::optional<Milliseconds> age;
  };

  /// With a store, a revision is saved before it is in force, so that a restart does not go back.
  explicit ActiveSettings(std::unique_ptr<SnapshotStore> store = nullptr);
  ~ActiveSettings();

  /// Takes up the stored settings. After an error the follower works and starts at revision 0.
  Result<void> Load();

  /// Takes a snapshot received at `now`. If it cannot be saved, it is in force nevertheless, and
  /// saving is tried again with each later call.
  UpdateResult Update(const wire::SettingsSnapshot& snapshot, TimePoint now);

  View Current(TimePoint now) const;

  /// Calls `subscriber` with the settings in force, now and after each change.
  void Subscribe(Subscriber subscriber);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::config_tree
