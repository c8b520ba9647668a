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

/// What an entry daemon needs of the settings in force. Calls may come from any thread.
class SettingsCache {
 public:
  explicit SettingsCache(const Clock& clock);

  /// Takes a snapshot, or just the news that nothing has changed.
  void Update(const wire::SettingsSnapshot& snapshot);

  bool HasTeam(const TeamId& team) const;
  Revision revision() const;
  /// Revision and tree of one moment.
  config_tree::ActiveSettings::View Current() const;

  /// Time since a scheduler in contact with the settings log last confirmed the revision, or since
  /// the start of the process.
  Milliseconds Age() const;

 private:
  void TakeTeams(const std::string& tree);

  const Clock& clock_;
  const TimePoint started_;
  config_tree::ActiveSettings follower_;
  mutable std::mutex mutex_;
  std::set<TeamId> teams_;
};

}  // namespace parsleyline::entry
