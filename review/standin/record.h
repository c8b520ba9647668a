#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace parsleyline::review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

/// Writes what was sent, answered and run to a file, one line for each event. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  /// Adds a line with the time since the record was opened.
  void Add(const std::string& text);
  /// Returns the time since the record was opened.
  Ms Now() const;

 private:
  std::mutex mutex_;
  const Time start_ = Clock::now();
  std::ofstream file_;
};

}  // namespace parsleyline::review
