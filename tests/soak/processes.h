#pragma once

#include <boost/asio/io_context.hpp>
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
  /// First of the ports that all processes use, each at an address of its own.
  std::uint16_t base_port = 20000;
};

/// The real programs, started as the platform starts them: each with a settings file, at a loopback
/// address of its own.
class Processes {
 public:
  Processes(boost::asio::io_context& io, CellSetup setup);

  std::size_t size() const { return nodes_.size(); }
  std::size_t core_count() const { return setup_.cores; }
  bool IsCore(std::size_t number) const { return number < setup_.cores; }
  /// Addresses that the platform reaches the processes at, as ip:port.
  std::string ControlAddress(std::size_t core) const;
  std::string CallerAddress(std::size_t entry) const;

  /// Sets the advisor and starts everything.
  void StartAll(const std::string& advisor);
  void Kill(std::size_t number);
  /// Kills the process and empties its data folder.
  void Wipe(std::size_t number);
  void Pause(std::size_t number);
  void Resume(std::size_t number);
  /// Sends SIGTERM, and SIGKILL after the time that the platform allows; then starts it again.
  void Replace(std::size_t number);
  void Hangup(std::size_t number);
  void Start(std::size_t number);
  bool IsUp(std::size_t number) const { return nodes_[number].up && !nodes_[number].paused; }
  /// Whether a planned stop took longer than the platform allows.
  std::size_t late_stops() const { return late_stops_; }

 private:
  struct Node {
    std::string name;
    std::string ip;
    std::unique_ptr<cell::Process> process;
    bool up = false;
    bool paused = false;
    /// SIGTERM was sent, and the end is awaited.
    bool stopping = false;
    bool first_start = true;
  };

  void WriteSettings(std::size_t number);
  void AwaitStop(std::size_t number, std::chrono::steady_clock::time_point deadline);

  boost::asio::io_context& io_;
  CellSetup setup_;
  std::vector<Node> nodes_;
  std::size_t late_stops_ = 0;
};

}  // namespace parsleyline::testing
