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
  /// Addresses of the entry processes, as ip:port.
  std::vector<std::string> entries;
  double jobs_per_second = 20;
  /// Share of the jobs that are cancelled, and of those whose tasks always fail, in thousandths.
  std::uint32_t cancelled_permille = 50;
  std::uint32_t always_failing_permille = 20;
  /// Share of the jobs with a task that crashes its workers, in thousandths.
  std::uint32_t deadly_permille = 10;
  /// Limit on the tasks of a step.
  std::uint32_t max_step_tasks = 6;
};

/// Callers that submit jobs, submit them again with the same id while the outcome is unknown, and
/// query their state until they have ended. Every response is reported to the oracle.
class Callers {
 public:
  Callers(boost::asio::io_context& io, CallerSetup setup, RunOracle& oracle);
  ~Callers();

  void Start();
  /// Stops the submission of new jobs; open jobs are followed to their end.
  void StopNewJobs() { accepting_new_jobs_ = false; }
  /// Jobs that are neither rejected for good nor known to have ended.
  std::size_t open_job_count() const { return jobs_.size(); }
  std::size_t complete_job_count() const { return complete_; }
  /// Median and 99th percentile of the time from submission to completion, in ms.
  std::pair<double, double> Latencies() const;

 private:
  struct Job {
    std::string queue;
    std::string body;
    SteadyTime submitted_at;
    std::uint32_t attempts = 0;
    /// Whether a submission got no response that settles its outcome.
    bool may_be_accepted = false;
    bool accepted = false;
    bool to_be_cancelled = false;
    /// Whether the cancellation was confirmed.
    bool cancelled = false;
  };

  void SubmitNewJob();
  std::string CreateJob(const std::string& id, const std::string& queue);
  void Submit(const std::string& id);
  void OnSubmitted(const std::string& id, const http::ClientResult& result);
  void QueryState(const std::string& id);
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
  bool accepting_new_jobs_ = true;
};

/// Returns the callers' queues as the routes of the operator's configuration.
std::string RoutesJson(const std::string& pool, std::uint32_t timeout_ms);

}  // namespace parsleyline::testing
