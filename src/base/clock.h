#pragma once

#include <atomic>
#include <chrono>

namespace parsleyline {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Interface of a monotonic time source, which adjustments of the wall clock do not affect.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/// Clock that reads the monotonic clock of the operating system.
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

/// Clock for tests. Its time changes only through Advance().
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(Duration(ticks_.load())); }
  void Advance(Duration step) { ticks_ += step.count(); }

 private:
  std::atomic<Duration::rep> ticks_{0};
};

}  // namespace parsleyline
