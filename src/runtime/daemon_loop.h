#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/units.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::runtime {

/// Event loop of a daemon: runs its threads, handles signals and shuts it down gracefully.
///
/// SIGTERM and SIGINT begin a graceful shutdown. A second signal, or the timeout of the shutdown,
/// ends the loop immediately with an error.
class DaemonLoop {
 public:
  DaemonLoop(std::uint32_t threads, Milliseconds stop_timeout);
  ~DaemonLoop();

  boost::asio::io_context& io();

  /// Sets the handler of a graceful shutdown. It must call `done` when nothing is in flight.
  void SetStopHandler(std::function<void(std::function<void()> done)> stop);
  /// Sets the function that returns how many requests are in flight, for the log.
  void SetInFlightCounter(std::function<std::size_t()> count_in_flight);

  /// Runs until the shutdown is complete. Returns the exit status of the process.
  int Run();

  /// Ends Run() immediately with an error, for example after a storage failure.
  void Abort();

  /// Calls `action` periodically while the loop runs.
  void RunPeriodically(Milliseconds interval, std::function<void()> action);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline::runtime
