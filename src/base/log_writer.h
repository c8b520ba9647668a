#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "base/clock.h"
#include "base/units.h"

namespace parsleyline {

/// Limits on the log output of a process. Lines that exceed them are dropped.
struct LogLimits {
  /// Bytes per second after which lines that are not urgent are dropped.
  std::size_t bytes_per_second = std::size_t{1} << 20U;
  /// Bytes per second after which urgent lines (warnings and errors) are dropped too.
  std::size_t urgent_bytes_per_second = std::size_t{2} << 20U;
  /// Bytes that are buffered for a slow reader before further lines are dropped.
  std::size_t max_buffered_bytes = std::size_t{1} << 20U;
  /// Time between the first buffered line and the write of the whole buffer.
  Milliseconds flush_interval{100};
};

/// Writes log lines to a file descriptor on a background thread, so that a slow reader does not
/// block the threads that log. Lines that exceed the limits are dropped, and the event
/// log_lines_left_out reports their number. Thread-safe.
class LogWriter {
 public:
  explicit LogWriter(int fd, LogLimits limits = {});
  /// Writes the buffered lines and joins the thread. Blocks while the reader does not read.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Buffers the line "time=... level=<level> <text>"; `text` has no line break. `urgent` selects
  /// the limit that applies.
  void Write(std::string_view level, std::string_view text, bool urgent);
  /// Returns the number of lines dropped so far.
  std::uint64_t dropped_lines() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline
