#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

namespace parsleyline::scheduler {

/// Leases of the running tasks of one failure domain. Kept by the leader only; not replicated.
///
/// A lease is renewed whenever the worker reports the task as running. When it has expired and the
/// worker still sends announcements, the replies tell the worker to stop the task and to reject it
/// from then on, because its dispatch may still be in flight. A reply may be lost, so the lease
/// ends only with an announcement that does not report the task and that the worker sent after it
/// processed such a reply. If the worker is silent, the lease ends when the worker must have
/// stopped the task by itself.
class LeaseTable {
 public:
  /// The replies to announcements are numbered in sequence from `first_number` + 1 on. The numbers
  /// must be higher than those of earlier leaders.
  LeaseTable(Milliseconds clock_margin, std::uint64_t first_number)
      : clock_margin_(clock_margin), last_reply_number_(first_number) {}

  /// Starts the lease of a task that was granted, or that runs at the start of a leader's term.
  void Start(FencingToken token, const WorkerId& worker, Milliseconds duration, TimePoint now);

  /// Removes the lease of a task that has ended.
  void Remove(FencingToken token);

  /// Outcome of one announcement.
  struct LeaseUpdate {
    std::vector<FencingToken> renewed;
    /// Tasks that the worker must stop, and must reject if their dispatch arrives later.
    std::vector<FencingToken> stop;
    /// Tasks with an expired lease that the worker has stopped and will not start again.
    std::vector<FencingToken> ended;
    /// Tasks that the worker reports and that have no lease.
    std::vector<FencingToken> unknown;
    /// Number of the reply that contains `stop`.
    std::uint64_t reply_number = 0;
  };

  /// Handles the list of running tasks in an announcement. `seen` is the number of the last reply
  /// that the worker has processed.
  LeaseUpdate RecordAnnouncement(const WorkerId& worker, const std::vector<FencingToken>& running,
                                 std::uint64_t seen, TimePoint now);

  /// Returns the tasks of silent workers whose leases have expired. Their leases stay until
  /// Remove().
  std::vector<FencingToken> FindExpired(TimePoint now,
                                        const std::function<bool(const WorkerId&)>& is_silent);

  std::size_t size() const { return leases_.size(); }

 private:
  struct Lease {
    WorkerId worker;
    Milliseconds duration{0};
    TimePoint expiry;
    /// When the task must have ended if the worker announces nothing more. A worker accepts a task
    /// until one lease after its last answered announcement and then runs it for another lease, so
    /// a task that the worker did not report counts for two leases.
    TimePoint expiry_if_silent;
    /// Number of the first reply that told the worker to stop the task, or 0.
    std::uint64_t stop_reply_number = 0;
  };

  Milliseconds clock_margin_;
  std::uint64_t last_reply_number_;
  std::unordered_map<FencingToken, Lease> leases_;
  std::unordered_map<WorkerId, std::unordered_set<FencingToken>> tokens_by_worker_;
};

}  // namespace parsleyline::scheduler
