#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace review {

/// Settings of the processes under test, in the order of `DEPLOY.md`.
struct CellSetup {
  /// Temporary folder for settings, data and logs.
  std::string folder;
  /// Path of `parsleyline-platform`, as the deploy file builds it.
  std::string program;
  std::size_t cores = 3;
  std::size_t entries = 3;
  std::int64_t hold_max_ms = 10'000;
};

/// The programs under test as separate processes, each at a loopback address of its own. The cores
/// come first; `number` is the index of a process.
class Cell {
 public:
  explicit Cell(CellSetup setup);
  /// Kills all processes that are still running.
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  void StartAll();
  void Start(std::size_t number);
  void Signal(std::size_t number, int signal);
  /// Kills the process and waits for its end.
  void Kill(std::size_t number);
  /// Returns whether the process has ended by itself.
  bool HasEnded(std::size_t number);

  std::size_t cores() const { return setup_.cores; }
  std::size_t entries() const { return setup_.entries; }
  std::string Ip(std::size_t number) const;
  std::uint16_t control_port() const { return base_port_ + 1; }
  std::uint16_t front_port() const { return base_port_ + 2; }
  /// Third byte of the addresses, for stand-ins that want addresses of the same range.
  int subnet() const { return subnet_; }

 private:
  void WriteSettings(std::size_t number);
  bool PortsAreFree() const;

  CellSetup setup_;
  int subnet_ = 0;
  std::uint16_t base_port_ = 0;
  bool bootstrap_ = true;
  std::vector<pid_t> pids_;
};

}  // namespace review
