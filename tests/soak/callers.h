#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http/client.h"
#include "tests/standin_platform/run_oracle.h"

namespace parsleyline::testing {

using std::chrono::milliseconds;

struct CallerSetup {
  std::uint32_t seed = 1;
  /// Entries, as ip:port.
  std::vector<std::string> entries;
  double jobs_per_second = 20;
  /// Share of the jobs that are cancelled, and that can never be done, in thousandths.
  std::uint32_t cancelled_permille = 50;
  std::uint32_t hopeless_permille = 20;
  /// Widest step.
  std::uint32_t most_tasks = 6;
};

/// Callers that hand jobs in, hand them in again under the same id after an unclear answer, and ask
/// for the state until the job has ended. What they are told goes to the oracle.
class Callers {
 public:
  Callers(boost::asio::io_context& io, CallerSetup setup, RunOracle& oracle);
  ~Callers();

  void Start();
  /// No new jobs from now on; those that are under way are followed to their end.
  void StopArrivals() { arriving_ = false; }
  /// Jobs that no answer has settled yet.
  std::size_t open_count() const { return jobs_.size(); }
  std::size_t complete_count() const { return complete_; }
  /// Median and 99th percentile of the time to the end, in ms.
  std::pair<double, double> Latencies() const;

 private:
  struct Job {
    std::string queue;
    std::string body;
    SteadyTime begun;
    std::uint32_t attempts = 0;
    bool unclear = false;
    bool accepted = false;
    bool cancelling = false;
    bool cancelled = false;
  };

  void Arrive();
  std::string MakeJob(const std::string& id, const std::string& queue);
  void Submit(const std::string& id);
  void OnSubmitted(const std::string& id, const http::ClientResult& result);
  void Poll(const std::string& id);
  void OnState(const std::string& id, const http::ClientResult& result);
  void Cancel(const std::string& id);
  void Send(const std::string& method, const std::string& id, std::string body,
            std::function<void(const http::ClientResult&)> done);

  boost::asio::io_context& io_;
  const CallerSetup setup_;
  RunOracle& oracle_;
  std::vector<std::unique_ptr<http::Client>> entries_;
  std::map<std::string, Job> jobs_;
  std::mt19937 random_;
  std::uint64_t next_id_;
  std::size_t next_entry_ = 0;
  std::size_t complete_ = 0;
  std::vector<double> latencies_;
  bool arriving_ = true;
};

/// Queues that callers use, as routes of the operator's configuration.
std::string RoutesOf(const std::string& pool, std::uint32_t timeout_ms);

}  // namespace parsleyline::testing
