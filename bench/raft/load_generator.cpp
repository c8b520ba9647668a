#include "bench/raft/load_generator.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "bench/raft/sync_time.h"

namespace parsleyline::bench {

void LoadGenerator::FillInFlight() {
  while (proposal_times_.size() < target_in_flight_) {
    proposal_times_.push_back(std::chrono::steady_clock::now());
    if (log_->Propose(payload_)) continue;
    proposal_times_.pop_back();
    return;
  }
}

void LoadGenerator::Apply(LogIndex, std::string_view) {
  const std::lock_guard lock(mutex_);
  if (!leader_ || proposal_times_.empty()) return;
  latencies_.push_back(std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now() -
                                                                proposal_times_.front()));
  proposal_times_.pop_front();
  FillInFlight();
}

void LoadGenerator::StartMeasurement() {
  const std::lock_guard lock(mutex_);
  latencies_.clear();
}

LoadGenerator::Measurement LoadGenerator::FinishMeasurement(TimePoint begin) {
  std::vector<Microseconds> latencies;
  {
    const std::lock_guard lock(mutex_);
    latencies = std::exchange(latencies_, {});
    target_in_flight_ = 0;
  }
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
  std::sort(latencies.begin(), latencies.end());
  return {latencies.size(), static_cast<double>(latencies.size()) / taken.count(),
          Percentile(latencies, 0.5), Percentile(latencies, 0.99)};
}

LoadGenerator::Measurement LoadGenerator::Measure(std::size_t in_flight, Milliseconds warm_up,
                                                  Milliseconds time) {
  {
    const std::lock_guard lock(mutex_);
    target_in_flight_ = in_flight;
    FillInFlight();
  }
  std::this_thread::sleep_for(warm_up);
  const auto begin = std::chrono::steady_clock::now();
  StartMeasurement();
  std::this_thread::sleep_for(time);
  const Measurement measurement = FinishMeasurement(begin);
  std::this_thread::sleep_for(warm_up);  // Waits for the proposals in flight.
  return measurement;
}

void LoadGenerator::ProposeAtRate(std::size_t per_second, Milliseconds time) {
  const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1)) / per_second;
  const auto begin = std::chrono::steady_clock::now();
  for (auto due = begin; due < begin + time; due += interval) {
    std::this_thread::sleep_until(due);
    const std::lock_guard lock(mutex_);
    // The latency is measured from the time at which the proposal was due.
    proposal_times_.push_back(due);
    if (!log_->Propose(payload_)) proposal_times_.pop_back();
  }
}

LoadGenerator::Measurement LoadGenerator::MeasureRate(std::size_t per_second, Milliseconds warm_up,
                                                      Milliseconds time) {
  ProposeAtRate(per_second, warm_up);
  const auto begin = std::chrono::steady_clock::now();
  StartMeasurement();
  ProposeAtRate(per_second, time);
  return FinishMeasurement(begin);
}

}  // namespace parsleyline::bench
