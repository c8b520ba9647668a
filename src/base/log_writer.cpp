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

// Largest size of one write(). Writes to a pipe of up to PIPE_BUF bytes (4096 on Linux) are atomic,
// so lines of several processes that share the pipe are not interleaved.
constexpr std::size_t kWriteBytes = 4096;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
// Size of the buffers for formatted timestamps.
constexpr std::size_t kTimeSize = 40;

}  // namespace

struct LogWriter::Impl {
  Impl(int descriptor, LogLimits log_limits)
      : fd(descriptor), limits(log_limits), thread([this] { Run(); }) {}

  // Appends the timestamp and "level=" to the buffer. The part up to the second is cached, because
  // many lines share it.
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
      formatted_text.assign(buf.data(), n);
    }
    std::array<char, kTimeSize> buf{};
    const int n =
        std::snprintf(buf.data(), buf.size(), ".%06" PRId64 "Z level=", now % kMicrosPerSecond);
    buffer.append(formatted_text).append(buf.data(), static_cast<std::size_t>(n));
  }

  // Resets the byte budget if it is older than one second, and logs the number of lines that were
  // dropped since the last reset.
  void RenewByteBudget() {
    const auto now = std::chrono::steady_clock::now();
    if (now - budget_start < std::chrono::seconds(1)) return;
    budget_start = now;
    used_bytes = 0;
    const std::uint64_t count = std::exchange(unreported_drops, 0);
    if (count == 0) return;
    AppendTime();
    buffer.append("warning event=log_lines_left_out count=")
        .append(std::to_string(count))
        .push_back('\n');
  }

  void Run() {
    std::unique_lock lock(mutex);
    while (!stopping || !buffer.empty()) {
      wake_up.wait(lock, [this] { return stopping || !buffer.empty(); });
      if (!stopping) wake_up.wait_for(lock, limits.flush_interval, [this] { return stopping; });
      std::string batch;
      batch.swap(buffer);
      lock.unlock();
      WriteAll(batch);
      lock.lock();
    }
  }

  // Returns the number of bytes to pass to the next write(): as many whole lines as fit into
  // kWriteBytes, or kWriteBytes of a longer line.
  static std::size_t NextWriteSize(std::string_view batch) {
    if (batch.size() <= kWriteBytes) return batch.size();
    const std::size_t line_break = batch.rfind('\n', kWriteBytes - 1);
    return line_break == std::string_view::npos ? kWriteBytes : line_break + 1;
  }

  void WriteAll(std::string_view batch) const {
    while (!batch.empty()) {
      const ssize_t n = ::write(fd, batch.data(), NextWriteSize(batch));
      if (n < 0 && errno == EINTR) continue;
      // A failure to write the log cannot be logged, so the rest of the batch is discarded.
      if (n < 0) return;
      batch.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  const int fd;
  const LogLimits limits;
  mutable std::mutex mutex;
  std::condition_variable wake_up;
  std::string buffer;
  bool stopping = false;
  std::chrono::steady_clock::time_point budget_start;
  std::size_t used_bytes = 0;
  std::uint64_t unreported_drops = 0;
  std::uint64_t total_drops = 0;
  std::int64_t formatted_second = -1;
  std::string formatted_text;
  /// Declared last, because the thread uses the members above as soon as it starts.
  std::thread thread;
};

LogWriter::LogWriter(int fd, LogLimits limits) : impl_(std::make_unique<Impl>(fd, limits)) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
    impl_->budget_start = {};
    impl_->RenewByteBudget();
  }
  impl_->wake_up.notify_all();
  impl_->thread.join();
}

void LogWriter::Write(std::string_view level, std::string_view text, bool urgent) {
  const std::lock_guard lock(impl_->mutex);
  impl_->RenewByteBudget();
  const std::size_t limit =
      urgent ? impl_->limits.urgent_bytes_per_second : impl_->limits.bytes_per_second;
  if (impl_->used_bytes + text.size() > limit ||
      impl_->buffer.size() + text.size() > impl_->limits.max_buffered_bytes) {
    ++impl_->unreported_drops;
    ++impl_->total_drops;
    return;
  }
  const bool was_empty = impl_->buffer.empty();
  const std::size_t before = impl_->buffer.size();
  impl_->AppendTime();
  impl_->buffer.append(level).append(" ").append(text).push_back('\n');
  impl_->used_bytes += impl_->buffer.size() - before;
  if (was_empty) impl_->wake_up.notify_all();
}

std::uint64_t LogWriter::dropped_lines() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->total_drops;
}

}  // namespace parsleyline
