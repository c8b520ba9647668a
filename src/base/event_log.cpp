#include "base/event_log.h"

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <memory>

#include "base/log_writer.h"

namespace parsleyline {
namespace {

std::atomic<Severity> minimum_severity{Severity::kInfo};
/// Writer of the daemon's log; null in other programs, which log through glog. Its destructor
/// writes the buffered lines when the process exits.
std::unique_ptr<LogWriter> log_writer;
constexpr std::string_view kLevels[] = {"info", "warning", "error"};

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

void AppendQuoted(std::string* line, std::string_view value) {
  constexpr char kHex[] = "0123456789abcdef";
  line->push_back('"');
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line->push_back('\\');
      line->push_back(c);
    } else if (byte < ' ' || byte == 0x7f) {
      line->append("\\x");
      line->push_back(kHex[byte >> 4U]);
      line->push_back(kHex[byte & 15U]);
    } else {
      line->push_back(c);
    }
  }
  line->push_back('"');
}

}  // namespace

Event::Event(std::string_view name, Severity severity) : severity_(severity) {
  line_.append("event=").append(name);
}

Event::~Event() {
  if (severity_ < minimum_severity.load(std::memory_order_relaxed)) return;
  if (log_writer != nullptr) {
    const std::string_view level = kLevels[static_cast<std::size_t>(severity_)];
    log_writer->Write(level, line_, severity_ != Severity::kInfo);
    return;
  }
  switch (severity_) {
    case Severity::kInfo:
      LOG(INFO) << line_;
      break;
    case Severity::kWarning:
      LOG(WARNING) << line_;
      break;
    case Severity::kError:
      LOG(ERROR) << line_;
      break;
  }
}

void Event::Append(std::string_view key, std::string_view value) {
  line_.push_back(' ');
  line_.append(key);
  line_.push_back('=');
  if (NeedsQuotes(value)) {
    AppendQuoted(&line_, value);
  } else {
    line_.append(value);
  }
}

void InitLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void StartDaemonLog(const char* program) {
  InitLogging(program);
  log_writer = std::make_unique<LogWriter>(STDOUT_FILENO);
}

std::uint64_t DroppedLogLines() { return log_writer == nullptr ? 0 : log_writer->dropped_lines(); }

void SetMinimumSeverity(Severity severity) { minimum_severity = severity; }

namespace internal {

bool LogFailedCheck(const char* condition, const char* file, int line) {
  Event("check_failed", Severity::kError)
      .With("condition", condition)
      .With("file", file)
      .With("line", line);
  return false;
}

}  // namespace internal
}  // namespace parsleyline
