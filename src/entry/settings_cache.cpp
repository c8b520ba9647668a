#include "entry/settings_cache.h"

#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "config_tree/tree_schema.h"

namespace parsleyline::entry {

using config_tree::UpdateResult;

SettingsCache::SettingsCache(const Clock& clock) : clock_(clock), started_(clock.Now()) {
  follower_.Subscribe([this](Revision, const std::string& tree) { UpdateTeams(tree); });
}

void SettingsCache::UpdateTeams(const std::string& tree) {
  const auto policy = config_tree::ReadQueuePolicy(tree);
  if (!PARSLEYLINE_CHECK(policy.has_value())) return;
  std::set<TeamId> teams;
  for (const auto& [team, unused] : policy->teams) teams.insert(team);
  const std::lock_guard lock(mutex_);
  teams_ = std::move(teams);
}

void SettingsCache::Update(const wire::SettingsSnapshot& snapshot) {
  switch (follower_.Update(snapshot, clock_.Now())) {
    case UpdateResult::kApplied:
      Event("settings_in_force").With("revision", snapshot.revision);
      break;
    case UpdateResult::kOlder:
      // The snapshot comes from a lagging replica; the newer settings stay in force.
      Event("settings_older_ignored", Severity::kWarning).With("revision", snapshot.revision);
      break;
    case UpdateResult::kInvalid:
      Event("settings_unreadable", Severity::kError).With("revision", snapshot.revision);
      break;
    case UpdateResult::kUnchanged:
      break;
  }
}

bool SettingsCache::HasTeam(const TeamId& team) const {
  const std::lock_guard lock(mutex_);
  return teams_.contains(team);
}

Revision SettingsCache::revision() const { return Current().revision; }

config_tree::ActiveSettings::View SettingsCache::Current() const {
  return follower_.Current(clock_.Now());
}

Milliseconds SettingsCache::Age() const {
  const TimePoint now = clock_.Now();
  return follower_.Current(now).age.value_or(
      std::chrono::duration_cast<Milliseconds>(now - started_));
}

}  // namespace parsleyline::entry
