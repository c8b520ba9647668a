#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/units.h"
#include "raft/replicated_log.h"

namespace parsleyline::bench {

/// A state machine that measures the time from proposal to commit. While it leads, it keeps a
/// fixed number of proposals in flight.
class Load : public raft::StateMachine {
 public:
  struct Figures {
    std::size_t commits = 0;
    double per_second = 0;
    Microseconds p50{0};
    Microseconds p99{0};
  };

  explicit Load(std::size_t payload_bytes) : payload_(payload_bytes, 'p') {}
  void UseLog(raft::ReplicatedLog* log) { log_ = log; }
  bool IsLeader() const { return leader_; }

  /// Runs with `in_flight` proposals: first to warm up, then measured.
  Figures Measure(std::size_t in_flight, Milliseconds warm_up, Milliseconds time);

  /// Proposes at a fixed rate, whether or not earlier proposals are committed.
  Figures MeasureRate(std::size_t per_second, Milliseconds warm_up, Milliseconds time);

  void Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() override { return "state"; }
  Result<void> Restore(std::string_view) override { return {}; }
  void OnRoleChange(raft::Role role, Term) override { leader_ = role == raft::Role::kLeader; }

 private:
  void Refill();
  void Pace(std::size_t per_second, Milliseconds time);
  void BeginMeasuring();
  Figures EndMeasuring(TimePoint begin);

  const std::string payload_;
  raft::ReplicatedLog* log_ = nullptr;
  std::atomic<bool> leader_{false};
  std::mutex mutex_;
  std::size_t wanted_ = 0;
  std::deque<TimePoint> started_;
  std::vector<Microseconds> latencies_;
};

}  // namespace parsleyline::bench
