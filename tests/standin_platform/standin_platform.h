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
  /// Where workers report, as ip:port.
  std::vector<std::string> control;
  milliseconds heartbeat{500};
  /// Time of an advisor's call, and for each worker that it names.
  milliseconds advice_time{5};
  /// Workers that the advisor approves for a step, in thousandths.
  std::uint32_t approved_permille = 600;
};

/// The users' platform as their pages describe it: workers that announce themselves and take
/// orders, and the advisor. Runs in the given io_context, on one thread.
class StandinPlatform {
 public:
  StandinPlatform(boost::asio::io_context& io, PlatformSetup setup, RunOracle& oracle);
  ~StandinPlatform();

  void Start();
  EmulatedFleet& fleet() { return fleet_; }
  /// Address of the advisor, as ip:port.
  std::string advisor() const { return advisor_address_; }

  /// Address at which a worker listens. `announced` may name another one, such as a proxy.
  std::string AddressOf(std::size_t number) const { return sites_[number].address; }
  void Announce(std::size_t number, const std::string& announced);

  /// Ends a lifetime at once; Restart brings another one.
  void Crash(std::size_t number);
  void Restart(std::size_t number);
  /// The worker says that it leaves, goes when told so or after `patience`, and a new one comes.
  void Drain(std::size_t number, milliseconds patience);
  /// From now on this share of the orders, in thousandths, is carried out late and not answered.
  void SetLateOrders(std::uint32_t permille) { late_permille_ = permille; }

 private:
  struct Site {
    std::unique_ptr<http::Server> server;
    std::string address;
    std::string announced;
    std::uint64_t sequence = 0;
    bool draining = false;
    std::size_t next_control = 0;
    /// Hold that waits for an end, and its number.
    http::ResponseCallback waiting;
    std::uint64_t hold_number = 0;
  };

  void Listen(std::size_t number);
  void Handle(std::size_t number, const http::Request& request,
              const http::ResponseCallback& respond);
  void OnStart(std::size_t number, const nlohmann::json& body,
               const http::ResponseCallback& respond);
  void OnStop(std::size_t number, const nlohmann::json& body,
              const http::ResponseCallback& respond);
  void OnHold(std::size_t number, const nlohmann::json& body,
              const http::ResponseCallback& respond);
  void OnAdvise(const http::Request& request, const http::ResponseCallback& respond);
  void AnswerHold(std::size_t number);
  http::Response Lists(std::size_t number);
  static http::Response Answer(const CallAnswer& answer);
  void Heartbeat(std::size_t number);
  void SendToControl(std::size_t number, const std::string& method, std::string body);
  void Tick();

  boost::asio::io_context& io_;
  const PlatformSetup setup_;
  RunOracle& oracle_;
  EmulatedFleet fleet_;
  std::vector<Site> sites_;
  std::vector<std::unique_ptr<http::Client>> control_;
  std::unique_ptr<http::Server> advisor_server_;
  std::string advisor_address_;
  boost::asio::steady_timer tick_;
  std::mt19937 random_;
  std::uint32_t late_permille_ = 0;
};

}  // namespace parsleyline::testing
