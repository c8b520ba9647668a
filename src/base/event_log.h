#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace parsleyline {

enum class Severity { kInfo, kWarning, kError };

/// Writes one log line of key=value pairs when it goes out of scope:
///
///   Event("grant").With("request", id).With("worker", worker);
///
/// Values with spaces, quotes or control characters are quoted and escaped.
class Event {
 public:
  explicit Event(std::string_view name, Severity severity = Severity::kInfo);
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  template <typename T>
  Event& With(std::string_view key, const T& value) {
    if constexpr (std::is_integral_v<T>) {
      Append(key, std::to_string(value));
    } else {
      std::ostringstream text;
      text << value;
      Append(key, text.str());
    }
    return *this;
  }
  Event& With(std::string_view key, const std::string& value) {
    Append(key, value);
    return *this;
  }
  Event& With(std::string_view key, std::string_view value) {
    Append(key, value);
    return *this;
  }
  Event& With(std::string_view key, const char* value) {
    Append(key, value);
    return *this;
  }

 private:
  void Append(std::string_view key, std::string_view value);

  std::string line_;
  Severity severity_;
};

/// Initialises glog for a program: lines go to standard error.
void InitLogging(const char* program);

/// The same for a daemon, whose lines go to standard output through a LogWriter. Call it once,
/// before other threads log.
void StartDaemonLog(const char* program);

/// Lines that the limits of the daemon's log have left out.
std::uint64_t LogLinesLeftOut();

/// Discards events below `severity` in this process. Benchmarks use it.
void SetMinimumSeverity(Severity severity);

}  // namespace parsleyline

/// Logs a failed condition with its text and place, and yields false, so that the caller can
/// leave the function in a sane state: `if (!PARSLEYLINE_CHECK(x > 0)) return;`
#define PARSLEYLINE_CHECK(condition) \
  ((condition) || ::parsleyline::internal::LogFailedCheck(#condition, __FILE__, __LINE__))

namespace parsleyline::internal {
bool LogFailedCheck(const char* condition, const char* file, int line);
}  // namespace parsleyline::internal
