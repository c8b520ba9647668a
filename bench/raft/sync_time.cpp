#include "bench/raft/sync_time.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>

#include "raft/file_system.h"

namespace parsleyline::bench {

std::vector<Microseconds> MeasureSyncs(const std::string& folder, int writers, int count) {
  // Approximate size of a batch of eight commands.
  const std::string block(4096, 'x');
  std::mutex mutex;
  std::vector<Microseconds> times;
  std::vector<std::thread> threads;
  for (int i = 0; i < writers; ++i) {
    threads.emplace_back([&, path = folder + "/sync-" + std::to_string(i)] {
      raft::PosixFileSystem files;
      auto file = files.Open(path);
      for (int n = 0; file && n < count; ++n) {
        const auto begin = std::chrono::steady_clock::now();
        if (!(*file)->Append(block) || !(*file)->Sync()) return;
        const auto end = std::chrono::steady_clock::now();
        const std::lock_guard lock(mutex);
        times.push_back(std::chrono::duration_cast<Microseconds>(end - begin));
      }
    });
  }
  for (auto& thread : threads) thread.join();
  std::sort(times.begin(), times.end());
  return times;
}

Microseconds Percentile(const std::vector<Microseconds>& sorted, double fraction) {
  if (sorted.empty()) return Microseconds(0);
  const auto at = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
  return sorted[std::min(at, sorted.size() - 1)];
}

}  // namespace parsleyline::bench
