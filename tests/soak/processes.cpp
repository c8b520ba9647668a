#include "tests/soak/processes.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <utility>

#include "tests/support/run_after.h"

namespace parsleyline::testing {
namespace {

using nlohmann::json;

// The platform sends SIGKILL this long after SIGTERM.
constexpr milliseconds kStopGrace{6000};
constexpr milliseconds kStopPoll{50};
// As in src/cell/cell_core.cpp.
constexpr milliseconds kMaxElectionTimeout{900};
constexpr std::uint16_t kCallerPort = 1;
constexpr std::uint16_t kReadyPort = 2;
constexpr std::uint16_t kControlPort = 3;

}  // namespace

Processes::Processes(boost::asio::io_context& io, CellSetup setup)
    : io_(io), setup_(std::move(setup)) {
  for (std::size_t i = 0; i < setup_.cores + setup_.entries; ++i) {
    Node node;
    node.name = (IsCore(i) ? "core-" : "entry-") + std::to_string(i);
    node.ip = "127.1.0." + std::to_string(i + 1);
    node.process = std::make_unique<cell::Process>(
        std::vector<std::string>{
            "/usr/bin/env", "PARSLEYLINE_NODE_FILE=" + setup_.folder + '/' + node.name + ".json",
            PARSLEYLINE_PROGRAM, IsCore(i) ? "core" : "entry"},
        setup_.folder + '/' + node.name + ".log");
    nodes_.push_back(std::move(node));
  }
}

std::string Processes::ControlAddress(std::size_t core) const {
  return nodes_[core].ip + ':' + std::to_string(setup_.base_port + kControlPort);
}

std::string Processes::CallerAddress(std::size_t entry) const {
  return nodes_[setup_.cores + entry].ip + ':' + std::to_string(setup_.base_port + kCallerPort);
}

boost::asio::ip::tcp::endpoint Processes::RpcEndpoint(std::size_t number) const {
  return {boost::asio::ip::make_address(nodes_[number].ip), setup_.base_port};
}

std::vector<std::string> Processes::FindStalls() const {
  const std::regex pattern("event=event_loop_stalled ms=([0-9]+) cpu_ms=([0-9]+)");
  std::vector<std::string> stalls;
  for (const Node& node : nodes_) {
    std::ifstream log(setup_.folder + '/' + node.name + ".log");
    for (std::string line; std::getline(log, line);) {
      std::smatch match;
      if (!std::regex_search(line, match, pattern)) continue;
      const milliseconds stalled(std::stoll(match[1]));
      const milliseconds computed(std::stoll(match[2]));
      if (stalled - computed > kMaxElectionTimeout) stalls.push_back(node.name + ": " + line);
    }
  }
  return stalls;
}

std::vector<std::string> Processes::FindUnexpectedEnds() {
  std::vector<std::string> ended;
  for (Node& node : nodes_) {
    if (node.up && !node.stopping && node.process->HasEnded()) ended.push_back(node.name);
  }
  return ended;
}

void Processes::WriteNodeFile(std::size_t number) {
  const Node& node = nodes_[number];
  json seeds = json::array();
  for (std::size_t i = 0; i < setup_.cores && i < 3; ++i) seeds.push_back(ControlAddress(i));
  json settings{{"node-name", node.name},
                {"ip", node.ip},
                {"zone", "z" + std::to_string(number % 2)},
                {"internal-ports", {setup_.base_port, setup_.base_port}},
                {"seeds", seeds},
                {"bootstrap", node.bootstrap},
                {"advisor", setup_.advisor},
                {"bounds", {{"grace-s", 6}, {"hold-max-ms", 10000}}}};
  if (IsCore(number)) {
    settings["listen"] = {{"control", ControlAddress(number)}};
    settings["data-dir"] = setup_.folder + '/' + node.name;
  } else {
    settings["listen"] = {{"front", CallerAddress(number - setup_.cores)},
                          {"ready", node.ip + ':' + std::to_string(setup_.base_port + kReadyPort)}};
  }
  std::ofstream(setup_.folder + '/' + node.name + ".json") << settings.dump();
}

void Processes::Start(std::size_t number) {
  Node& node = nodes_[number];
  if (node.up) return;
  if (IsCore(number)) std::filesystem::create_directories(setup_.folder + '/' + node.name);
  WriteNodeFile(number);
  node.process->Start();
  node.up = true;
  node.stopping = false;
}

void Processes::StartAll(const std::string& advisor) {
  setup_.advisor = advisor;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Start(i);
    nodes_[i].bootstrap = false;
  }
}

void Processes::Kill(std::size_t number) {
  Node& node = nodes_[number];
  if (!node.up) return;
  node.process->Kill();
  node.up = false;
  node.paused = false;
}

void Processes::Wipe(std::size_t number) {
  Kill(number);
  std::filesystem::remove_all(setup_.folder + '/' + nodes_[number].name);
}

void Processes::Pause(std::size_t number) {
  if (!nodes_[number].up) return;
  nodes_[number].process->Signal(SIGSTOP);
  nodes_[number].paused = true;
}

void Processes::Resume(std::size_t number) {
  if (!nodes_[number].up) return;
  nodes_[number].process->Signal(SIGCONT);
  nodes_[number].paused = false;
}

void Processes::Reload(std::size_t number) {
  if (nodes_[number].up) nodes_[number].process->Signal(SIGHUP);
}

void Processes::RestartGracefully(std::size_t number) {
  Node& node = nodes_[number];
  // A second SIGTERM would end the process at once and start a second wait for its end.
  if (!node.up || node.paused || node.stopping) return;
  node.stopping = true;
  node.process->Signal(SIGTERM);
  AwaitStop(number, std::chrono::steady_clock::now() + kStopGrace);
}

void Processes::AwaitStop(std::size_t number, std::chrono::steady_clock::time_point deadline) {
  Node& node = nodes_[number];
  if (!node.up || !node.stopping) return;
  if (node.process->HasEnded()) {
    node.up = false;
    return Start(number);
  }
  // As on the platform, a pause by SIGSTOP counts towards the time, but the stop is not overdue
  // then.
  if (std::chrono::steady_clock::now() > deadline) {
    if (!node.paused) ++overdue_stops_;
    Kill(number);
    return Start(number);
  }
  RunAfter(io_, kStopPoll, [this, number, deadline] { AwaitStop(number, deadline); });
}

}  // namespace parsleyline::testing
