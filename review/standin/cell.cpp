#include "review/standin/cell.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <utility>

namespace parsleyline::review {
namespace {

using nlohmann::json;

constexpr std::size_t kFirstEntryIp = 11;
constexpr std::size_t kFirstOtherIp = 101;
constexpr std::uint16_t kFirstPort = 21'000;
constexpr std::uint16_t kPortsPerRun = 20;
constexpr std::uint16_t kPortRuns = 450;
// Ports of a machine, counted from the base port.
constexpr std::uint16_t kRpcPort = 0;
constexpr std::uint16_t kProxiedRpcPort = 2;
constexpr std::uint16_t kFrontPort = 4;
constexpr std::uint16_t kReadyPort = 5;
constexpr std::uint16_t kControlPort = 6;
constexpr std::uint16_t kOtherPort = 7;
// The first of one internal port for each machine.
constexpr std::uint16_t kOwnRpcPort = 8;
constexpr Ms kStartTime{20'000};
constexpr Ms kPoll{20};
constexpr char kProgram[] = "target/platform/parsleyline-platform";
constexpr char kHost[] = "host.example";
constexpr char kPrefix[] = "/jobs/";

// The environment that the provider gives to a process.
std::vector<std::string> Environment(const std::string& settings_path) {
  std::vector<std::string> result{"PARSLEYLINE_NODE_FILE=" + settings_path};
  for (const char* name : {"PATH", "HOME", "LANG"}) {
    if (const char* value = std::getenv(name)) result.push_back(std::string(name) + '=' + value);
  }
  return result;
}

}  // namespace

bool IsCalm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

void Sleep(Ms time) { std::this_thread::sleep_for(time); }

bool WaitUntil(Ms timeout, const std::function<bool()>& condition) {
  const Time deadline = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() >= deadline) return false;
    Sleep(kPoll);
  }
  return true;
}

Cell::Cell(Record& record, Options options) : record_(record), options_(std::move(options)) {
  const auto number = static_cast<std::uint32_t>(getpid());
  prefix_ = "127." + std::to_string(40 + number % 80) + '.' + std::to_string(number / 80 % 250);
  folder_ =
      (std::filesystem::temp_directory_path() / ("parsleyline-review-" + std::to_string(getpid())))
          .string();
  std::filesystem::create_directories(folder_);
  for (std::uint16_t i = 0; i < kPortRuns && base_port_ == 0; ++i) {
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + (number + i) % kPortRuns * kPortsPerRun);
    bool free = true;
    for (std::uint16_t k = 0; k < kPortsPerRun && free; ++k) {
      const int listener = Listen({Ip(1), static_cast<std::uint16_t>(port + k)});
      free = listener >= 0;
      if (free) close(listener);
    }
    if (free) base_port_ = port;
  }
  for (std::size_t i = 0; i < kCores; ++i) {
    nodes_.push_back({"core-" + std::to_string(i + 1), Ip(i + 1), true, -1});
  }
  for (std::size_t i = 0; i < options_.entries; ++i) {
    nodes_.push_back({"entry-" + std::to_string(i + 1), Ip(kFirstEntryIp + i), false, -1});
  }
}

Cell::~Cell() {
  for (Node& it : nodes_) {
    if (it.pid <= 0) continue;
    kill(it.pid, SIGKILL);
    waitpid(it.pid, nullptr, 0);
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::string Cell::Ip(std::size_t last) const { return prefix_ + '.' + std::to_string(last); }

Address Cell::Control(std::size_t core) const {
  return {nodes_[core].ip, static_cast<std::uint16_t>(base_port_ + kControlPort)};
}

std::vector<Address> Cell::Controls() const {
  std::vector<Address> result;
  for (std::size_t i = 0; i < kCores; ++i) result.push_back(Control(i));
  return result;
}

Address Cell::Front(std::size_t entry) const {
  return {nodes_[kCores + entry].ip, static_cast<std::uint16_t>(base_port_ + kFrontPort)};
}

Address Cell::CoreRpc(std::size_t core) const {
  return {nodes_[core].ip, static_cast<std::uint16_t>(base_port_ + kRpcPort)};
}

Address Cell::ProxiedRpc(std::size_t core) const {
  return {nodes_[core].ip, static_cast<std::uint16_t>(base_port_ + kProxiedRpcPort)};
}

Address Cell::Other(std::size_t number) const {
  return {Ip(kFirstOtherIp + number), static_cast<std::uint16_t>(base_port_ + kOtherPort)};
}

json Cell::Settings(const Node& node) const {
  const auto port = [this](std::uint16_t offset) { return base_port_ + offset; };
  const std::uint16_t rpc = RpcOffset(static_cast<std::size_t>(&node - nodes_.data()));
  json seeds = json::array();
  for (std::size_t i = 0; i < kCores; ++i) seeds.push_back(Control(i).Text());
  const std::size_t number =
      std::strtoul(node.name.c_str() + node.name.rfind('-') + 1, nullptr, 10);
  json settings{{"node-name", node.name},
                {"role", node.is_core ? "scheduler" : "entry"},
                {"machine-class", node.is_core ? "core" : "edge"},
                {"serves", json::array({node.is_core ? "control" : "edge"})},
                {"ip", node.ip},
                {"zone", "z" + std::to_string((number - 1) % 3 + 1)},
                {"region", "r1"},
                {"zones", {{"z1", "r1"}, {"z2", "r1"}, {"z3", "r1"}}},
                {"internal-ports", {port(rpc), port(rpc) + 1}},
                {"seeds", seeds},
                {"bootstrap", true},
                {"in-tolerance", node.is_core},
                {"limits",
                 {{"cpu-share", node.is_core ? 0.5 : 0.25},
                  {"cores", 1},
                  {"memory-mb", node.is_core ? 256 : 260},
                  {"max-fds", node.is_core ? 4096 : 4100},
                  {"link-mbps", 1000.0},
                  {"disk-mb", node.is_core ? 128 : 0}}},
                {"data-dir", nullptr},
                {"discovery", "registry"},
                {"entry", "vip"},
                {"heartbeat-ms", 1500},
                {"fault-tolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
                {"bounds",
                 {{"seed-lag-s", 3},
                  {"addr-reuse-s", 2},
                  {"contact-ms", 3000},
                  {"ack-ms", 4000},
                  {"catch-up-s", 4},
                  {"drain-ms", 2000},
                  {"grace-s", 6},
                  {"loss-slack-ms", 200},
                  {"config-apply-ms", 2000},
                  {"hold-max-ms", 10'000},
                  {"kill-grace-ms", 200},
                  {"gang-timeout-ms", 3000},
                  {"cancel_ms", 3000},
                  {"visible_ms", 3000},
                  {"early_ms", 250},
                  {"status_s", 120},
                  {"lease-ms", 3000}}},
                {"config_mode", "highest"},
                {"control-mode", "rpc"}};
  if (node.is_core) {
    settings["listen"] = {{"control", node.ip + ':' + std::to_string(port(kControlPort))}};
    settings["data-dir"] = folder_ + '/' + node.name;
  } else {
    settings["listen"] = {{"front", node.ip + ':' + std::to_string(port(kFrontPort))},
                          {"ready", node.ip + ':' + std::to_string(port(kReadyPort))}};
  }
  return settings;
}

void Cell::Spawn(Node* node) {
  const std::string path = folder_ + '/' + node->name + ".json";
  std::ofstream(path) << Settings(*node).dump(2);
  if (node->is_core) std::filesystem::create_directories(folder_ + '/' + node->name);
  const std::string log = folder_ + '/' + node->name + ".log";
  std::vector<std::string> environment = Environment(path);
  std::vector<char*> variables;
  for (std::string& it : environment) variables.push_back(it.data());
  variables.push_back(nullptr);
  std::string program = kProgram;
  std::string role = node->is_core ? "core" : "entry";
  char* arguments[] = {program.data(), role.data(), nullptr};
  const pid_t parent = getpid();
  node->pid = fork();
  if (node->pid != 0) return;
  // The process must not outlive the case.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(1);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execve(kProgram, arguments, variables.data());
  _exit(127);
}

std::uint16_t Cell::RpcOffset(std::size_t node) const {
  if (options_.has_links) return static_cast<std::uint16_t>(kOwnRpcPort + node);
  return options_.has_proxied_entry && node == kCores ? kProxiedRpcPort : kRpcPort;
}

bool Cell::CreateLinks() {
  for (std::size_t from = 0; options_.has_links && from < nodes_.size(); ++from) {
    for (std::size_t to = 0; to < kCores; ++to) {
      if (from == to) continue;
      const auto port = [this](std::size_t node) {
        return static_cast<std::uint16_t>(base_port_ + RpcOffset(node));
      };
      const std::string& ip = nodes_[to].ip;
      links_.push_back(
          {from, to, std::make_unique<Proxy>(Address{ip, port(from)}, Address{ip, port(to)})});
      if (!links_.back().proxy->IsListening()) return false;
    }
  }
  return true;
}

void Cell::CutCore(std::size_t core) {
  record_.Add("network: " + nodes_[core].name + " is cut off from the other core machines");
  for (const Link& it : links_) {
    if (it.from < kCores && (it.from == core) != (it.to == core)) it.proxy->Cut();
  }
}

void Cell::HealLinks() {
  record_.Add("network: the core is joined again");
  for (const Link& it : links_) {
    it.proxy->Heal();
    it.proxy->Deliver();
  }
}

std::size_t Cell::FindLeader() const {
  std::size_t leader = 0;
  std::uint64_t newest = 0;
  const std::string key = "event=lead fence=";
  for (std::size_t i = 0; i < kCores; ++i) {
    std::ifstream log(folder_ + '/' + nodes_[i].name + ".log");
    for (std::string line; std::getline(log, line);) {
      const auto at = line.find(key);
      if (at == std::string::npos) continue;
      const std::uint64_t fence = std::strtoull(line.c_str() + at + key.size(), nullptr, 10);
      if (fence > newest) leader = i;
      newest = std::max(newest, fence);
    }
  }
  return leader;
}

bool Cell::Start() {
  if (base_port_ == 0 || access(kProgram, X_OK) != 0 || !CreateLinks()) return false;
  for (Node& it : nodes_) Spawn(&it);
  for (const Node& it : nodes_) {
    if (it.is_core) continue;
    const Address ready{it.ip, static_cast<std::uint16_t>(base_port_ + kReadyPort)};
    const bool is_ready = WaitUntil(kStartTime, [&ready] {
      return Call(ready, {"GET", "/parsleyline/readyz", {}, ""}, Ms(500)).status == 200;
    });
    if (!is_ready) return false;
  }
  record_.Add("cell: all processes are ready");
  return true;
}

int Cell::PutConfigTo(std::size_t core, const json& config) {
  const Request request{
      "PUT", "/parsleyline/config", {{"Content-Type", "application/json"}}, config.dump()};
  const std::string version = std::to_string(config.value("version", 0));
  record_.Add("operator: PUT config " + version + " to " + nodes_[core].name);
  const int status = Call(Control(core), request, Ms(1000)).status;
  record_.Add("operator: PUT config " + version + ": " +
              (status == 0 ? "no response" : std::to_string(status)));
  return status;
}

bool Cell::PutConfig(const json& config) {
  std::size_t next = 0;
  return WaitUntil(kStartTime, [&] { return PutConfigTo(next++ % kCores, config) == 200; });
}

void Cell::Signal(const Node& node, int signal) {
  record_.Add("signal: " + std::string(strsignal(signal)) + " to " + node.name);
  kill(node.pid, signal);
}

void Cell::SignalCore(std::size_t core, int signal) { Signal(nodes_[core], signal); }

void Cell::SignalEntry(std::size_t entry, int signal) { Signal(nodes_[kCores + entry], signal); }

int Client::Submit(std::size_t entry, const std::string& job, Ms run_time, const Step& step,
                   Ms timeout, const std::string& prefix) {
  const json body{{"spec", "run-ms=" + std::to_string(run_time.count())},
                  {"job-steps",
                   {{{"count", step.tasks},
                     {"cpu", step.cpu},
                     {"mem-mb", step.memory_mb},
                     {"estimate-ms", step.estimate_ms}}}}};
  const Request request{"POST",
                        prefix + job,
                        {{"Host", kHost},
                         {"Content-Type", "application/json"},
                         {"X-Parsleyline-Deadline-Ms", "3000"}},
                        body.dump()};
  record_.Add("client: POST " + job + " to entry-" + std::to_string(entry + 1));
  const int status = Call(cell_.Front(entry), request, timeout).status;
  record_.Add("client: POST " + job + ": " +
              (status == 0 ? "no response" : std::to_string(status)));
  return status;
}

int Client::Cancel(std::size_t entry, const std::string& job, Ms timeout) {
  const Request request{
      "DELETE", kPrefix + job, {{"Host", kHost}, {"X-Parsleyline-Deadline-Ms", "3000"}}, ""};
  record_.Add("client: DELETE " + job + " to entry-" + std::to_string(entry + 1));
  const int status = Call(cell_.Front(entry), request, timeout).status;
  record_.Add("client: DELETE " + job + ": " +
              (status == 0 ? "no response" : std::to_string(status)));
  return status;
}

std::string Client::State(std::size_t entry, const std::string& job) {
  const Request request{
      "GET", kPrefix + job, {{"Host", kHost}, {"X-Parsleyline-Deadline-Ms", "3000"}}, ""};
  const Response response = Call(cell_.Front(entry), request, Ms(3000));
  if (response.status != 200) return std::to_string(response.status);
  const json body = json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("state", "") : "";
}

bool Client::WaitForState(std::size_t entry, const std::string& job, const std::string& state,
                          Ms timeout) {
  std::string last;
  return WaitUntil(timeout, [&] {
    const std::string shown = State(entry, job);
    if (shown != last) record_.Add("client: GET " + job + ": " + shown);
    last = shown;
    return shown == state;
  });
}

json SimpleConfig(int version, int attempts) {
  return {{"version", version},
          {"routes",
           {{{"name", "r-1"},
             {"host", kHost},
             {"prefix", kPrefix},
             {"kind", "mutating"},
             {"timeout-ms", 3000},
             {"target-latency-ms", 1000},
             {"priority", 1},
             {"service", "svc-1"},
             {"attempts", attempts},
             {"slack-factor", 2.2}}}},
          {"services",
           {{{"name", "svc-1"},
             {"health-path", "/healthz"},
             {"max-conns", 64},
             {"protocol", "h1"},
             {"tls", false},
             {"enforce-capacity", false},
             {"standby", false}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 262144},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

void AddSecondQueue(json* config) {
  json queue = (*config)["routes"][0];
  queue["name"] = "r-2";
  queue["prefix"] = "/more/";
  (*config)["routes"].push_back(queue);
}

WorkerSettings SimpleWorker(const Cell& cell, std::size_t number, std::int64_t cpu) {
  WorkerSettings settings;
  settings.id = "i-" + std::to_string(1000 + number);
  settings.address = cell.Other(number);
  settings.zone = "z" + std::to_string(number % 3 + 1);
  settings.rack = "r1-" + std::to_string(number / 2);
  settings.cpu = cpu;
  settings.control = cell.Controls();
  return settings;
}

}  // namespace parsleyline::review
