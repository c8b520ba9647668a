#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "tests/standin_platform/run_oracle.h"

namespace parsleyline::testing {

using std::chrono::milliseconds;

/// Emulates the operator: sends configurations with increasing versions, each until it is
/// acknowledged, and regularly reads the configuration in force.
class Operator {
 public:
  Operator(boost::asio::io_context& io, const std::vector<std::string>& control, std::string pool,
           RunOracle& oracle);
  ~Operator();

  /// Sends the first configuration.
  void Start();
  /// Sends the next version unless the last one is not acknowledged yet.
  void ChangeConfig();
  /// Reads the configuration, repeatedly until a process responds. `done` is called once a read
  /// that was sent after the call has succeeded.
  void ReadConfig(std::function<void()> done);
  std::uint64_t acknowledged_version() const { return acknowledged_version_; }

 private:
  void SendConfig();
  void ReadPeriodically();
  void Send(const std::string& method, std::string body,
            std::function<void(const http::ClientResult&)> done);

  boost::asio::io_context& io_;
  std::vector<std::unique_ptr<http::Client>> control_;
  const std::string pool_;
  RunOracle& oracle_;
  std::uint64_t version_ = 0;
  std::uint64_t acknowledged_version_ = 0;
  std::size_t next_ = 0;
};

}  // namespace parsleyline::testing
