#pragma once

#include <memory>

#include "entry/entry_context.h"
#include "entry/settings_cache.h"

namespace parsleyline::entry {

/// Follows the settings log for an entry daemon: queries every scheduler at the start, so that a
/// lagging replica cannot set the daemon back to an older revision, and then waits for changes by
/// long polling, preferably at a scheduler of its own domain.
class SettingsWatcher : public std::enable_shared_from_this<SettingsWatcher> {
 public:
  SettingsWatcher(EntryContext& context, SettingsCache& cache) : context_(context), cache_(cache) {}

  void Start();
  void Stop() { stopped_ = true; }

  /// Whether at least one scheduler has answered.
  bool HasReply() const { return has_reply_; }

 private:
  void QueryAllSchedulers();
  void Watch();
  void HandleReply(const Result<std::string>& reply);

  EntryContext& context_;
  SettingsCache& cache_;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> has_reply_{false};
};

}  // namespace parsleyline::entry
