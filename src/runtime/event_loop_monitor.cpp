#include "runtime/event_loop_monitor.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <ctime>
#include <mutex>
#include <thread>
#include <utility>

#include "base/event_log.h"

namespace parsleyline::runtime {
namespace {

// Time for the last lines to be written to the log.
constexpr Milliseconds kLogTime{300};

Duration ProcessCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

[[noreturn]] void EndProcess(Duration stalled) {
  Event("event_loop_stuck", Severity::kError).With("ms", ToMillis(stalled)).With("action", "exit");
  std::this_thread::sleep_for(kLogTime);
  std::_Exit(EXIT_FAILURE);
}

}  // namespace

void LogStall(const StallDetector::Finding& finding) {
  constexpr std::array<const char*, 3> kNames = {"event_loop_stalled", "event_loop_resumed",
                                                 "process_suspended"};
  Event(kNames.at(static_cast<std::size_t>(finding.kind)), Severity::kWarning)
      .With("ms", ToMillis(finding.duration))
      .With("cpu_ms", ToMillis(finding.cpu_time));
}

struct EventLoopMonitor::Impl : std::enable_shared_from_this<EventLoopMonitor::Impl> {
  Impl(boost::asio::io_context& io, MonitorOptions monitor_options, Report on_finding)
      : options(monitor_options),
        report(std::move(on_finding)),
        run_timer(io),
        last_run(clock.Now()) {}

  // Runs in the loop.
  void RecordRun() {
    last_run = clock.Now();
    run_timer.expires_after(options.run_interval);
    run_timer.async_wait([self = weak_from_this()](const boost::system::error_code& ec) {
      const auto monitor = self.lock();
      if (!ec && monitor && !monitor->stopping) monitor->RecordRun();
    });
  }

  // Runs on the thread of the monitor.
  void CheckUntilStopped() {
    StallDetector detector(options.stall_limit);
    std::unique_lock lock(mutex);
    while (!wake_up.wait_for(lock, options.check_interval, [this] { return stopping.load(); })) {
      const auto finding = detector.Check({clock.Now(), last_run, ProcessCpuTime()});
      if (!finding) continue;
      report(*finding);
      if (finding->kind == StallDetector::Kind::kStalled &&
          finding->duration >= options.stuck_limit) {
        EndProcess(finding->duration);
      }
    }
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex);
      stopping = true;
    }
    wake_up.notify_all();
    thread.join();
  }

  const MonitorOptions options;
  const Report report;
  const SteadyClock clock;
  boost::asio::steady_timer run_timer;
  std::atomic<TimePoint> last_run;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::condition_variable wake_up;
  std::thread thread;
};

EventLoopMonitor::EventLoopMonitor(boost::asio::io_context& io, MonitorOptions options,
                                   Report report)
    : impl_(std::make_shared<Impl>(io, options, std::move(report))) {
  boost::asio::post(io, [impl = impl_] { impl->RecordRun(); });
  impl_->thread = std::thread([impl = impl_.get()] { impl->CheckUntilStopped(); });
}

EventLoopMonitor::~EventLoopMonitor() { impl_->Stop(); }

}  // namespace parsleyline::runtime
