#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace parsleyline {

enum class Severity { kInfo, kWarning, kError };

/// Collects key=value pairs and writes them as one log line in its destructor:
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

/// Initializes glog. Lines go to standard error.
void InitLogging(const char* program);

/// Initializes glog for a daemon and sends events to standard output through a LogWriter. Must be
/// called at most once, before other threads log.
void StartDaemonLog(const char* program);

/// Returns the number of lines that the daemon's log dropped because of its LogLimits.
std::uint64_t DroppedLogLines();

/// Discards events below `severity` in this process. Benchmarks use it to keep logging out of their
/// measurements.
void SetMinimumSeverity(Severity severity);

}  // namespace parsleyline

/// Evaluates to `condition`. If it is false, logs its text, file and line, so that the caller can
/// return early instead of aborting: `if (!PARSLEYLINE_CHECK(x > 0)) return;`
#define PARSLEYLINE_CHECK(condition) \
  ((condition) || ::parsleyline::internal::LogFailedCheck(#condition, __FILE__, __LINE__))

namespace parsleyline::internal {
bool LogFailedCheck(const char* condition, const char* file, int line);
}  // namespace parsleyline::internal
