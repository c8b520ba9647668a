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

/// Injects random, overlapping faults, derived from a seed, into the processes, the workers and the
/// connections to the workers. Kills only processes that the soak has started.
class FaultPlan {
 public:
  FaultPlan(boost::asio::io_context& io, std::uint32_t seed, Processes& processes,
            StandinPlatform& platform, Operator& config_operator);
  ~FaultPlan();

  void Start();
  /// Ends all faults and starts every process again.
  void Heal();
  const std::vector<std::string>& log() const { return log_; }

 private:
  void InjectNextFault();
  void InjectNextSeries();
  void ResizeNextWorker();
  /// Restarts a worker under its id, with a clock that begins anywhere, and cuts it off soon after.
  void RestartNextWorker();
  void KillProcess();
  void PauseProcess();
  void RestartProcess();
  void ReloadProcess();
  void KillAllCores();
  void WipeCore();
  void CrashWorker();
  void HangWorker();
  void FailWorker();
  void SlowWorker();
  void DrainWorker();
  void DelayOrders();
  void DisturbConnection();
  void PauseCoresInTurn();
  void PauseCore(std::size_t number, std::size_t remaining);
  void StopReading();
  void ChangeConfig();

  std::size_t RandomBelow(std::size_t below) { return random_() % below; }
  milliseconds RandomDuration(std::int64_t least, std::int64_t most);
  milliseconds RandomSeriesDuration(std::int64_t least, std::int64_t most);
  milliseconds RandomRestartDuration(std::int64_t least, std::int64_t most);
  void LogFault(const std::string& description);

  boost::asio::io_context& io_;
  std::mt19937 random_;
  std::mt19937 series_random_;
  std::mt19937 resize_random_;
  std::mt19937 restart_random_;
  Processes& processes_;
  StandinPlatform& platform_;
  Operator& operator_;
  /// The proxies have threads of their own, because their commands block until they take effect.
  IoThreads proxy_threads_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;
  std::vector<std::string> log_;
  SteadyTime started_;
  SteadyTime next_wipe_;
  bool active_ = true;
};

}  // namespace parsleyline::testing
