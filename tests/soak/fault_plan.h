#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/fault_proxy/fault_proxy.h"
#include "tests/soak/operator.h"
#include "tests/soak/processes.h"
#include "tests/standin_platform/standin_platform.h"
#include "tests/support/io_threads.h"

namespace parsleyline::testing {

/// Draws faults from a seed and inflicts them on the processes, the workers and the connections to
/// the workers, in overlapping series. Ends only what the soak has started.
class FaultPlan {
 public:
  FaultPlan(boost::asio::io_context& io, std::uint32_t seed, Processes& processes,
            StandinPlatform& platform, Operator& config);
  ~FaultPlan();

  void Start();
  /// Ends all faults; everything runs again.
  void Heal();
  const std::vector<std::string>& log() const { return log_; }

 private:
  void Next();
  void KillProcess();
  void PauseProcess();
  void ReplaceProcess();
  void HangupProcess();
  void KillAllCores();
  void WipeCore();
  void CrashWorker();
  void HangWorker();
  void FailWorker();
  void SlowWorker();
  void DrainWorker();
  void DelayOrders();
  void DisturbConnection();
  void ChangeConfig();

  std::size_t Draw(std::size_t below) { return random_() % below; }
  milliseconds Span(std::int64_t least, std::int64_t most);
  void Note(const std::string& what);

  boost::asio::io_context& io_;
  std::mt19937 random_;
  Processes& processes_;
  StandinPlatform& platform_;
  Operator& config_;
  /// Proxies run on threads of their own, because their commands wait for their effect.
  IoThreads proxy_threads_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;
  std::vector<std::string> log_;
  SteadyTime begun_;
  SteadyTime next_wipe_;
  bool active_ = true;
};

}  // namespace parsleyline::testing
