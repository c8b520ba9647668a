#pragma once

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/standin/net.h"
#include "review/standin/proxy.h"
#include "review/standin/record.h"
#include "review/standin/worker.h"

namespace parsleyline::review {

/// Results of a case, as the exit status of its program.
enum CaseResult : int { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// Processes of the system on loopback addresses: three core machines in three zones, and entry
/// machines. Settings as on vgda-draws.
class Cell {
 public:
  struct Options {
    std::size_t entries = 3;
    /// Whether the first entry machine calls the core machines through proxies, which listen at
    /// ProxiedRpc().
    bool has_proxied_entry = false;
    /// Whether the links between the core machines, and from the entry machines to them, can be
    /// cut. Each machine then has an internal port of its own, and proxies listen on it at the
    /// others.
    bool has_links = false;
  };

  Cell(Record& record, Options options);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  /// Starts all processes and waits until the entries are ready. Returns false if they aren't.
  bool Start();
  /// Sends a configuration to the core machines until one acknowledges it.
  bool PutConfig(const nlohmann::json& config);
  /// Sends a configuration to one core machine. Returns the status, 0 without a response.
  int PutConfigTo(std::size_t core, const nlohmann::json& config);

  static constexpr std::size_t kCores = 3;
  Address Control(std::size_t core) const;
  std::vector<Address> Controls() const;
  Address Front(std::size_t entry) const;
  Address CoreRpc(std::size_t core) const;
  /// Where the first entry calls a core machine if `has_proxied_entry` is set.
  Address ProxiedRpc(std::size_t core) const;
  /// An address for a worker or another server of the stand-ins.
  Address Other(std::size_t number) const;

  void SignalCore(std::size_t core, int signal);
  void SignalEntry(std::size_t entry, int signal);
  /// Returns the core machine that has become the leader last, going by the logs.
  std::size_t FindLeader() const;
  /// Partitions a core machine from the other core machines. All others reach both sides.
  void CutCore(std::size_t core);
  void HealLinks();

 private:
  struct Link {
    std::size_t from = 0;
    std::size_t to = 0;
    std::unique_ptr<Proxy> proxy;
  };
  struct Node {
    std::string name;
    std::string ip;
    bool is_core = false;
    pid_t pid = -1;
  };

  /// Number of a node's own internal port, counted from the base port.
  std::uint16_t RpcOffset(std::size_t node) const;
  bool CreateLinks();
  void Spawn(Node* node);
  void Signal(const Node& node, int signal);
  nlohmann::json Settings(const Node& node) const;
  std::string Ip(std::size_t last) const;

  Record& record_;
  const Options options_;
  std::string prefix_;
  std::string folder_;
  std::uint16_t base_port_ = 0;
  std::vector<Node> nodes_;
  std::vector<Link> links_;
};

/// A step of a job.
struct Step {
  int tasks = 1;
  std::int64_t cpu = 1000;
  std::int64_t memory_mb = 256;
  std::int64_t estimate_ms = 1000;
};

/// Calls of clients, which are recorded.
class Client {
 public:
  Client(Cell& cell, Record& record) : cell_(cell), record_(record) {}

  /// Returns the status of the response, 0 if there is none within `timeout`.
  int Submit(std::size_t entry, const std::string& job, Ms run_time, const Step& step,
             Ms timeout = Ms(3000), const std::string& prefix = "/jobs/");
  int Cancel(std::size_t entry, const std::string& job, Ms timeout = Ms(3000));
  /// Returns the state, or the status if it isn't 200.
  std::string State(std::size_t entry, const std::string& job);
  /// Waits until the state is shown.
  bool WaitForState(std::size_t entry, const std::string& job, const std::string& state,
                    Ms timeout);

 private:
  Cell& cell_;
  Record& record_;
};

/// A configuration with one queue, "host.example" "/jobs/", that the workers of "svc-1" serve.
nlohmann::json SimpleConfig(int version, int attempts);
/// Adds a queue, "host.example" "/more/", to a configuration.
void AddSecondQueue(nlohmann::json* config);
/// Returns the settings of worker `number` of a cell.
WorkerSettings SimpleWorker(const Cell& cell, std::size_t number, std::int64_t cpu);
/// Whether the disruption of the case is left out.
bool IsCalm();
/// Waits until `condition` holds.
bool WaitUntil(Ms timeout, const std::function<bool()>& condition);
void Sleep(Ms time);

}  // namespace parsleyline::review
