#pragma once

#include <optional>

#include "base/result_code.h"
#include "wire/messages.h"

namespace parsleyline::config_tree {

/// Stores the active settings of a process, so that they survive a restart.
class SnapshotStore {
 public:
  virtual ~SnapshotStore() = default;

  /// Replaces the stored snapshot. Once it returns success, the snapshot survives a crash.
  virtual Result<void> Save(const wire::SettingsSnapshot& snapshot) = 0;

  /// Returns the stored snapshot, or std::nullopt if there is none.
  virtual Result<std::optional<wire::SettingsSnapshot>> Load() = 0;
};

}  // namespace parsleyline::config_tree
