#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/client.h"
#include "review/standin-2/cell.h"
#include "review/standin-2/fleet.h"

namespace review {

/// Clients and operator: they call the processes under test as `PROTOCOL.md` says.
class Client {
 public:
  Client(boost::asio::io_context& io, const Cell& cell, Record& record);

  /// Sends the configuration until it is acknowledged, then calls `done`.
  void PutConfig(const nlohmann::json& config, std::function<void()> done);
  /// Hands a job in. After no answer, a 502 or a 504 the same request is sent again, at another
  /// node. `done` gets the last status, or 0 if there was none in five attempts.
  void Submit(const std::string& prefix, const std::string& job, const nlohmann::json& body,
              std::function<void(int status)> done);
  /// Asks for the state of a job until there is a 200 or 410. `done` gets the state; `gone` for
  /// 410.
  void Query(const std::string& prefix, const std::string& job,
             std::function<void(const std::string& state)> done);
  /// Returns a new job id.
  std::string NewJobId();

 private:
  void Send(std::size_t entry, const std::string& method, const std::string& target,
            const std::string& body, std::function<void(int, const std::string&)> done);
  void SubmitAt(std::size_t attempt, const std::string& target, const std::string& body,
                std::function<void(int)> done);
  void QueryAt(std::size_t attempt, const std::string& target,
               std::function<void(const std::string&)> done);
  void PutConfigAt(std::size_t attempt, const std::string& body, std::function<void()> done);
  void RunAfter(milliseconds delay, std::function<void()> then);

  boost::asio::io_context& io_;
  Record& record_;
  std::vector<std::unique_ptr<parsleyline::http::Client>> entries_;
  std::vector<std::unique_ptr<parsleyline::http::Client>> control_;
  std::uint64_t next_job_ = 0;
  std::size_t next_entry_ = 0;
};

/// Returns a configuration with one service and one route.
nlohmann::json OneRoute(std::uint64_t version, const std::string& prefix, int attempts);

}  // namespace review
