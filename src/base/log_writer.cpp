#include "base/log_writer.h"

#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cinttypes>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace parsleyline {
namespace {

// Bytes in one write. A pipe takes this many whole, so that lines of several writers do not mix.
constexpr std::size_t kWriteBytes = 4096;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
// Longest text of a time with microseconds.
constexpr std::size_t kTimeSize = 40;

}  // namespace

struct LogWriter::Impl {
  Impl(int descriptor, LogLimits log_limits)
      : fd(descriptor), limits(log_limits), thread([this] { Run(); }) {}

  void AppendTime() {
    const std::int64_t now = std::chrono::duration_cast<std::chrono::microseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    const std::int64_t second = now / kMicrosPerSecond;
    if (second != formatted_second) {
      formatted_second = second;
      const std::time_t time = second;
      std::tm parts{};
      gmtime_r(&time, &parts);
      std::array<char, kTimeSize> buf{};
      const std::size_t n = std::strftime(buf.data(), buf.size(), "time=%Y-%m-%dT%H:%M:%S", &parts);
      second_text.assign(buf.data(), n);
    }
    std::array<char, kTimeSize> buf{};
    const int n =
        std::snprintf(buf.data(), buf.size(), ".%06" PRId64 "Z level=", now % kMicrosPerSecond);
    waiting.append(second_text).append(buf.data(), static_cast<std::size_t>(n));
  }

  // Starts a new second of the budget, and tells what the last one left out.
  void RenewBudget() {
    const auto now = std::chrono::steady_clock::now();
    if (now - budget_since < std::chrono::seconds(1)) return;
    budget_since = now;
    used = 0;
    const std::uint64_t count = std::exchange(unreported, 0);
    if (count == 0) return;
    AppendTime();
    waiting.append("warning event=log_lines_left_out count=")
        .append(std::to_string(count))
        .push_back('\n');
  }

  void Run() {
    std::unique_lock lock(mutex);
    while (!stopping || !waiting.empty()) {
      changed.wait(lock, [this] { return stopping || !waiting.empty(); });
      if (!stopping) changed.wait_for(lock, limits.flush_interval, [this] { return stopping; });
      std::string batch;
      batch.swap(waiting);
      lock.unlock();
      WriteAll(batch);
      lock.lock();
    }
  }

  // Returns the length of the longest piece of whole lines that one write may take.
  static std::size_t PieceOf(std::string_view batch) {
    if (batch.size() <= kWriteBytes) return batch.size();
    const std::size_t line_break = batch.rfind('\n', kWriteBytes - 1);
    return line_break == std::string_view::npos ? kWriteBytes : line_break + 1;
  }

  void WriteAll(std::string_view batch) const {
    while (!batch.empty()) {
      const ssize_t n = ::write(fd, batch.data(), PieceOf(batch));
      if (n < 0 && errno == EINTR) continue;
      // There is no place left to report that the log itself cannot be written.
      if (n < 0) return;
      batch.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  const int fd;
  const LogLimits limits;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::string waiting;
  bool stopping = false;
  std::chrono::steady_clock::time_point budget_since;
  std::size_t used = 0;
  std::uint64_t unreported = 0;
  std::uint64_t total_left_out = 0;
  std::int64_t formatted_second = -1;
  std::string second_text;
  /// Last, because it uses the members above.
  std::thread thread;
};

LogWriter::LogWriter(int fd, LogLimits limits) : impl_(std::make_unique<Impl>(fd, limits)) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
    impl_->budget_since = {};
    impl_->RenewBudget();
  }
  impl_->changed.notify_all();
  impl_->thread.join();
}

void LogWriter::Write(std::string_view level, std::string_view text, bool urgent) {
  const std::lock_guard lock(impl_->mutex);
  impl_->RenewBudget();
  const std::size_t limit =
      urgent ? impl_->limits.urgent_bytes_per_second : impl_->limits.bytes_per_second;
  if (impl_->used + text.size() > limit ||
      impl_->waiting.size() + text.size() > impl_->limits.most_waiting_bytes) {
    ++impl_->unreported;
    ++impl_->total_left_out;
    return;
  }
  const bool was_empty = impl_->waiting.empty();
  const std::size_t before = impl_->waiting.size();
  impl_->AppendTime();
  impl_->waiting.append(level).append(" ").append(text).push_back('\n');
  impl_->used += impl_->waiting.size() - before;
  if (was_empty) impl_->changed.notify_all();
}

std::uint64_t LogWriter::left_out() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->total_left_out;
}

}  // namespace parsleyline
