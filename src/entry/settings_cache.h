#pragma once

#include <mutex>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "config_tree/active_settings.h"
#include "wire/messages.h"

namespace parsleyline::entry {

/// The settings in force at an entry daemon. Thread-safe.
class SettingsCache {
 public:
  explicit SettingsCache(const Clock& clock);

  /// Applies a snapshot, or records that the settings have not changed.
  void Update(const wire::SettingsSnapshot& snapshot);

  bool HasTeam(const TeamId& team) const;
  Revision revision() const;
  /// Returns a consistent pair of revision and settings tree.
  config_tree::ActiveSettings::View Current() const;

  /// Time since a scheduler in contact with the settings log last confirmed the revision; time
  /// since the start of the process if none has.
  Milliseconds Age() const;

 private:
  void UpdateTeams(const std::string& tree);

  const Clock& clock_;
  const TimePoint started_;
  config_tree::ActiveSettings follower_;
  mutable std::mutex mutex_;
  std::set<TeamId> teams_;
};

}  // namespace parsleyline::entry
