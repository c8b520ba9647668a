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

/// A state machine that proposes commands while it is the leader, and measures the time from each
/// proposal until the command is applied.
class LoadGenerator : public raft::StateMachine {
 public:
  struct Measurement {
    std::size_t commits = 0;
    double commits_per_second = 0;
    Microseconds p50{0};
    Microseconds p99{0};
  };

  explicit LoadGenerator(std::size_t payload_bytes) : payload_(payload_bytes, 'p') {}
  void SetLog(raft::ReplicatedLog* log) { log_ = log; }
  bool IsLeader() const { return leader_; }

  /// Keeps `in_flight` proposals in flight, and measures for `time` after the warm-up.
  Measurement Measure(std::size_t in_flight, Milliseconds warm_up, Milliseconds time);

  /// Proposes at a fixed rate, whether or not earlier proposals are committed, and measures for
  /// `time` after the warm-up.
  Measurement MeasureRate(std::size_t per_second, Milliseconds warm_up, Milliseconds time);

  void Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() override { return "state"; }
  Result<void> Restore(std::string_view) override { return {}; }
  void OnRoleChange(raft::Role role, Term) override { leader_ = role == raft::Role::kLeader; }

 private:
  void FillInFlight();
  void ProposeAtRate(std::size_t per_second, Milliseconds time);
  void StartMeasurement();
  Measurement FinishMeasurement(TimePoint begin);

  const std::string payload_;
  raft::ReplicatedLog* log_ = nullptr;
  std::atomic<bool> leader_{false};
  std::mutex mutex_;
  std::size_t target_in_flight_ = 0;
  std::deque<TimePoint> proposal_times_;
  std::vector<Microseconds> latencies_;
};

}  // namespace parsleyline::bench
