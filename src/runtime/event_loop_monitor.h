#pragma once

#include <functional>
#include <memory>

#include "base/units.h"
#include "runtime/stall_detector.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::runtime {

/// Intervals of an EventLoopMonitor.
struct MonitorOptions {
  /// Interval of the timer in the loop that shows that handlers run.
  Milliseconds run_interval{200};
  /// Interval of the checks on the thread of the monitor.
  Milliseconds check_interval{250};
  /// Time without a handler after which a loop counts as stalled.
  Milliseconds stall_limit{700};
  /// A process whose loop has stood still for this time when a stall is reported ends itself.
  Milliseconds stuck_limit{5000};
};

/// Logs `finding` as `event_loop_stalled`, `event_loop_resumed` or `process_suspended`.
void LogStall(const StallDetector::Finding& finding);

/// Watches an event loop from a thread of its own, so that a process whose handlers do not run
/// still says so. Ends a process that stays stuck: its peers reconnect to the next one, while
/// connections to a stuck process only time out. Suspensions do not count.
class EventLoopMonitor {
 public:
  using Report = std::function<void(const StallDetector::Finding&)>;

  /// Calls `report` on the thread of the monitor. `io` must outlive the monitor.
  explicit EventLoopMonitor(boost::asio::io_context& io, MonitorOptions options = {},
                            Report report = &LogStall);
  ~EventLoopMonitor();
  EventLoopMonitor(const EventLoopMonitor&) = delete;
  EventLoopMonitor& operator=(const EventLoopMonitor&) = delete;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::runtime
