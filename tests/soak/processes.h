#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/cell/process.h"

namespace parsleyline::testing {

using std::chrono::milliseconds;

struct CellSetup {
  std::string folder;
  std::size_t cores = 3;
  std::size_t entries = 2;
  std::string advisor;
  /// The first of the ports that every process uses at its own address.
  std::uint16_t base_port = 20000;
};

/// The programs under test, started as the platform starts them: each with a settings file and a
/// loopback address of its own. `number` is the index of a process; the cores come first.
class Processes {
 public:
  Processes(boost::asio::io_context& io, CellSetup setup);

  std::size_t size() const { return nodes_.size(); }
  std::size_t core_count() const { return setup_.cores; }
  bool IsCore(std::size_t number) const { return number < setup_.cores; }
  /// Addresses at which the platform reaches the processes, as ip:port.
  std::string ControlAddress(std::size_t core) const;
  std::string CallerAddress(std::size_t entry) const;
  /// Endpoint at which the processes call each other.
  boost::asio::ip::tcp::endpoint RpcEndpoint(std::size_t number) const;
  /// Returns the lines of all logs that report an event loop which waited longer than a leader may
  /// be silent before the next one is elected.
  std::vector<std::string> FindStalls() const;
  /// Returns the names of the processes that have ended although nobody has stopped them.
  std::vector<std::string> FindUnexpectedEnds();

  /// Sets the address of the advisor and starts all processes.
  void StartAll(const std::string& advisor);
  void Kill(std::size_t number);
  /// Kills the process and removes its data folder.
  void Wipe(std::size_t number);
  void Pause(std::size_t number);
  void Resume(std::size_t number);
  /// Sends SIGTERM, and SIGKILL after the time that the platform allows; then starts the process
  /// again.
  void RestartGracefully(std::size_t number);
  /// Sends SIGHUP.
  void Reload(std::size_t number);
  void Start(std::size_t number);
  bool IsUp(std::size_t number) const { return nodes_[number].up && !nodes_[number].paused; }
  /// Number of graceful stops that took longer than the platform allows.
  std::size_t overdue_stops() const { return overdue_stops_; }

 private:
  struct Node {
    std::string name;
    std::string ip;
    std::unique_ptr<cell::Process> process;
    bool up = false;
    bool paused = false;
    /// Whether SIGTERM was sent and the process has not ended yet.
    bool stopping = false;
    bool bootstrap = true;
  };

  void WriteNodeFile(std::size_t number);
  void AwaitStop(std::size_t number, std::chrono::steady_clock::time_point deadline);

  boost::asio::io_context& io_;
  CellSetup setup_;
  std::vector<Node> nodes_;
  std::size_t overdue_stops_ = 0;
};

}  // namespace parsleyline::testing
