#include "runtime/daemon_loop.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "runtime/event_loop_monitor.h"

namespace parsleyline::runtime {

namespace asio = boost::asio;

struct DaemonLoop::Impl {
  Impl(std::uint32_t thread_count, Milliseconds timeout)
      : threads(thread_count),
        stop_timeout(timeout),
        io(static_cast<int>(thread_count)),
        work(asio::make_work_guard(io)),
        signals(io, SIGTERM, SIGINT),
        stop_timer(io) {}

  void WaitForSignal() {
    signals.async_wait([this](const boost::system::error_code& ec, int) {
      if (ec) return;
      if (std::exchange(stopping, true)) return StopImmediately("second_signal");
      BeginShutdown();
      WaitForSignal();
    });
  }

  void BeginShutdown() {
    Event("stop_requested").With("in_flight", count_in_flight ? count_in_flight() : 0);
    stop_timer.expires_after(stop_timeout);
    stop_timer.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) StopImmediately("stop_timeout");
    });
    if (!stop_handler) return io.stop();
    stop_handler([this] {
      Event("stopped").With("in_flight", count_in_flight ? count_in_flight() : 0);
      io.stop();
    });
  }

  void StopImmediately(const char* reason) {
    Event("stop_cut_short", Severity::kError)
        .With("reason", reason)
        .With("cut_off", count_in_flight ? count_in_flight() : 0);
    exit_status = EXIT_FAILURE;
    io.stop();
  }

  void ScheduleRepeated(const std::shared_ptr<asio::steady_timer>& timer, Milliseconds interval,
                        const std::shared_ptr<std::function<void()>>& action) {
    timer->expires_after(interval);
    timer->async_wait([this, timer, interval, action](const boost::system::error_code& ec) {
      if (ec) return;
      (*action)();
      ScheduleRepeated(timer, interval, action);
    });
  }

  const std::uint32_t threads;
  const Milliseconds stop_timeout;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::signal_set signals;
  asio::steady_timer stop_timer;
  std::function<void(std::function<void()>)> stop_handler;
  std::function<std::size_t()> count_in_flight;
  bool stopping = false;
  std::atomic<int> exit_status{EXIT_SUCCESS};
};

DaemonLoop::DaemonLoop(std::uint32_t threads, Milliseconds stop_timeout)
    : impl_(std::make_unique<Impl>(threads, stop_timeout)) {}

DaemonLoop::~DaemonLoop() = default;

asio::io_context& DaemonLoop::io() { return impl_->io; }

void DaemonLoop::SetStopHandler(std::function<void(std::function<void()> done)> stop) {
  impl_->stop_handler = std::move(stop);
}

void DaemonLoop::SetInFlightCounter(std::function<std::size_t()> count_in_flight) {
  impl_->count_in_flight = std::move(count_in_flight);
}

int DaemonLoop::Run() {
  impl_->WaitForSignal();
  const EventLoopMonitor monitor(impl_->io);
  std::vector<std::thread> pool;
  for (std::uint32_t i = 1; i < impl_->threads; ++i) {
    pool.emplace_back([this] { impl_->io.run(); });
  }
  impl_->io.run();
  for (std::thread& thread : pool) thread.join();
  return impl_->exit_status;
}

void DaemonLoop::Abort() {
  impl_->exit_status = EXIT_FAILURE;
  impl_->io.stop();
}

void DaemonLoop::RunPeriodically(Milliseconds interval, std::function<void()> action) {
  impl_->ScheduleRepeated(std::make_shared<asio::steady_timer>(impl_->io), interval,
                          std::make_shared<std::function<void()>>(std::move(action)));
}

}  // namespace parsleyline::runtime
