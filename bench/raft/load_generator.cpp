#include "bench/raft/load.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "bench/raft/sync_time.h"

namespace parsleyline::bench {

void Load::Refill() {
  while (started_.size() < wanted_) {
    started_.push_back(std::chrono::steady_clock::now());
    if (log_->Propose(payload_)) continue;
    started_.pop_back();
    return;
  }
}

void Load::Apply(LogIndex, std::string_view) {
  const std::lock_guard lock(mutex_);
  if (!leader_ || started_.empty()) return;
  latencies_.push_back(std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now() -
                                                                started_.front()));
  started_.pop_front();
  Refill();
}

void Load::BeginMeasuring() {
  const std::lock_guard lock(mutex_);
  latencies_.clear();
}

Load::Figures Load::EndMeasuring(TimePoint begin) {
  std::vector<Microseconds> latencies;
  {
    const std::lock_guard lock(mutex_);
    latencies = std::exchange(latencies_, {});
    wanted_ = 0;
  }
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
  std::sort(latencies.begin(), latencies.end());
  return {latencies.size(), static_cast<double>(latencies.size()) / taken.count(),
          Percentile(latencies, 0.5), Percentile(latencies, 0.99)};
}

Load::Figures Load::Measure(std::size_t in_flight, Milliseconds warm_up, Milliseconds time) {
  {
    const std::lock_guard lock(mutex_);
    wanted_ = in_flight;
    Refill();
  }
  std::this_thread::sleep_for(warm_up);
  const auto begin = std::chrono::steady_clock::now();
  BeginMeasuring();
  std::this_thread::sleep_for(time);
  const Figures figures = EndMeasuring(begin);
  std::this_thread::sleep_for(warm_up);  // Lets the proposals in flight end.
  return figures;
}

void Load::Pace(std::size_t per_second, Milliseconds time) {
  const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1)) / per_second;
  const auto begin = std::chrono::steady_clock::now();
  for (auto due = begin; due < begin + time; due += interval) {
    std::this_thread::sleep_until(due);
    const std::lock_guard lock(mutex_);
    // The latency counts from the time at which the proposal was due.
    started_.push_back(due);
    if (!log_->Propose(payload_)) started_.pop_back();
  }
}

Load::Figures Load::MeasureRate(std::size_t per_second, Milliseconds warm_up, Milliseconds time) {
  Pace(per_second, warm_up);
  const auto begin = std::chrono::steady_clock::now();
  BeginMeasuring();
  Pace(per_second, time);
  return EndMeasuring(begin);
}

}  // namespace parsleyline::bench
