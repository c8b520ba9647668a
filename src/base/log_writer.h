#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "base/clock.h"
#include "base/units.h"

namespace parsleyline {

/// How much a process may log.
struct LogLimits {
  /// Bytes in one second after which lines of no more than usual importance are left out.
  std::size_t bytes_per_second = std::size_t{1} << 20U;
  /// The same for warnings and errors.
  std::size_t urgent_bytes_per_second = std::size_t{2} << 20U;
  /// Bytes that may wait for a reader that does not keep up; further lines are left out.
  std::size_t most_waiting_bytes = std::size_t{1} << 20U;
  /// Lines are written this long after the first that waits, in one call.
  Milliseconds flush_interval{100};
};

/// Writes log lines to a file descriptor from a thread of its own, so that a reader that does not
/// keep up blocks nobody else. What exceeds the limits is left out; a line says how much.
/// Thread-safe.
class LogWriter {
 public:
  explicit LogWriter(int fd, LogLimits limits = {});
  /// Writes what is left.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Adds one line without its line break. `level` is part of the line.
  void Write(std::string_view level, std::string_view text, bool urgent);
  /// Lines that were left out so far.
  std::uint64_t left_out() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace parsleyline
