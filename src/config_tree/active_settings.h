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

/// Result of ActiveSettings::Update().
enum class UpdateResult : std::uint8_t {
  /// The settings of the snapshot are active now.
  kApplied,
  /// The snapshot has the active revision.
  kUnchanged,
  /// The snapshot was ignored, because a later revision was received before.
  kOlder,
  /// The snapshot was ignored, because its revision is new and its tree is missing or invalid, or
  /// because its tree differs from the active tree of the same revision.
  kInvalid,
};

/// The active settings of one process, which it updates from snapshots of the settings tree. They
/// start as the empty tree at revision 0. A snapshot with an earlier revision than one received
/// before is ignored.
///
/// Thread-safe. Performs I/O only through its SnapshotStore. Calls to Update() and to subscribers
/// are serialized. A subscriber may call only the const functions.
class ActiveSettings {
 public:
  using Subscriber = std::function<void(Revision revision, const std::string& tree)>;

  /// The active settings at one point in time.
  struct View {
    Revision revision;
    /// The whole tree as JSON text; never null.
    std::shared_ptr<const std::string> tree;
    /// Time since a majority of the settings group last confirmed these settings, or std::nullopt
    /// if that has not happened since the process started.
    std::optional<Milliseconds> age;
  };

  /// If there is a store, each revision is saved before it becomes active, so that the process does
  /// not return to an earlier revision after a restart.
  explicit ActiveSettings(std::unique_ptr<SnapshotStore> store = nullptr);
  ~ActiveSettings();

  /// Makes the stored settings active. After an error the object can be used and is at revision 0.
  Result<void> Load();

  /// Handles a snapshot received at `now`. Settings that cannot be saved become active
  /// nevertheless, and later calls that confirm the revision try again to save them.
  UpdateResult Update(const wire::SettingsSnapshot& snapshot, TimePoint now);

  /// Returns the active settings and their age at `now`.
  View Current(TimePoint now) const;

  /// Calls `subscriber` with the active settings, at once and after each change.
  void Subscribe(Subscriber subscriber);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::config_tree
