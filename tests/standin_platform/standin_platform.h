#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "tests/standin_platform/emulated_fleet.h"

namespace parsleyline::testing {

struct PlatformSetup {
  std::uint32_t seed = 1;
  std::size_t workers = 12;
  std::int64_t worker_cpu = 16'000;
  std::int64_t worker_memory_mb = 32'768;
  std::string pool = "pool";
  /// Addresses to which workers report, as ip:port.
  std::vector<std::string> control_addresses;
  milliseconds report_interval{500};
  /// Duration of a call of the advisor.
  milliseconds advisor_delay{5};
  /// Share of the workers that the advisor approves for a step, in thousandths.
  std::uint32_t approved_permille = 600;
};

/// Emulates the users' platform as its documentation specifies it: workers, which report to the
/// control addresses and carry out orders, and the advisor. Runs on the only thread of `io`.
class StandinPlatform {
 public:
  StandinPlatform(boost::asio::io_context& io, PlatformSetup setup, RunOracle& oracle);
  ~StandinPlatform();

  void Start();
  EmulatedFleet& fleet() { return fleet_; }
  const std::string& pool() const { return setup_.pool; }
  std::int64_t full_worker_cpu() const { return setup_.worker_cpu; }
  /// Address of the advisor, as ip:port.
  std::string advisor_address() const { return advisor_address_; }

  /// Address at which a worker listens. Its reports contain the announced address, which may be
  /// that of a proxy.
  std::string AddressOf(std::size_t number) const { return endpoints_[number].address; }
  void SetAnnouncedAddress(std::size_t number, const std::string& announced);

  /// Ends the incarnation of a worker; RestartWorker starts the next one.
  void CrashWorker(std::size_t number);
  void RestartWorker(std::size_t number, milliseconds clock = milliseconds(0));
  /// Changes the CPU capacity of a worker, which its next report contains.
  void ResizeWorker(std::size_t number, std::int64_t cpu);
  /// Drains a worker: after `patience` it deregisters and ends, and after as long again its next
  /// incarnation starts.
  void DrainWorker(std::size_t number, milliseconds patience);
  /// Makes this share of the orders, in thousandths, be carried out late and without a response.
  void SetDelayedOrders(std::uint32_t permille) { delayed_order_permille_ = permille; }

 private:
  struct WorkerEndpoint {
    std::unique_ptr<http::Server> server;
    std::string address;
    std::string announced_address;
    std::uint64_t sequence = 0;
    bool draining = false;
    std::size_t next_control = 0;
    /// Hold that waits for the end of a run, and its number.
    http::ResponseCallback pending_hold;
    std::uint64_t hold_number = 0;
  };

  void ListenForOrders(std::size_t number);
  void HandleOrder(std::size_t number, const http::Request& request,
                   const http::ResponseCallback& respond);
  void OnStart(std::size_t number, const nlohmann::json& body,
               const http::ResponseCallback& respond);
  void OnStop(std::size_t number, const nlohmann::json& body,
              const http::ResponseCallback& respond);
  void OnHold(std::size_t number, const nlohmann::json& body,
              const http::ResponseCallback& respond);
  void OnAdvise(const http::Request& request, const http::ResponseCallback& respond);
  void RespondToHold(std::size_t number);
  http::Response HoldResponse(std::size_t number);
  static http::Response OrderResponse(const OrderReply& answer);
  void ResetEndpoint(std::size_t number);
  void SendReport(std::size_t number);
  void SendToControl(std::size_t number, const std::string& method, std::string body);
  void Tick();

  boost::asio::io_context& io_;
  const PlatformSetup setup_;
  RunOracle& oracle_;
  EmulatedFleet fleet_;
  std::vector<WorkerEndpoint> endpoints_;
  std::vector<std::unique_ptr<http::Client>> control_;
  std::unique_ptr<http::Server> advisor_server_;
  std::string advisor_address_;
  boost::asio::steady_timer tick_;
  std::mt19937 random_;
  std::uint32_t delayed_order_permille_ = 0;
};

}  // namespace parsleyline::testing
