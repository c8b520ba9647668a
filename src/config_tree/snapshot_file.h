#pragma once

#include <optional>
#include <string>

#include "config_tree/snapshot_store.h"

namespace parsleyline::config_tree {

/// Stores the snapshot in the file "settings.snapshot" of a folder. A new snapshot is written to a
/// temporary file, synced and renamed, so that a crash leaves either the old or the new file.
class SnapshotFile : public SnapshotStore {
 public:
  /// Creates the folder on the first Save() if it does not exist.
  explicit SnapshotFile(std::string folder);

  Result<void> Save(const wire::SettingsSnapshot& snapshot) override;
  /// Fails with kStorageCorrupt if the file does not match its checksum.
  Result<std::optional<wire::SettingsSnapshot>> Load() override;

 private:
  std::string folder_;
};

}  // namespace parsleyline::config_tree
