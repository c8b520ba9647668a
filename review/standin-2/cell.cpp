#include "review/standin-2/cell.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr int kPortAttempts = 50;

bool CanBind(const std::string& ip, std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return free;
}

}  // namespace

Cell::Cell(CellSetup setup)
    : setup_(std::move(setup)), pids_(setup_.cores + setup_.entries, pid_t{0}) {
  std::random_device random;
  for (int i = 0; i < kPortAttempts; ++i) {
    subnet_ = 1 + static_cast<int>(random() % 250);
    base_port_ = static_cast<std::uint16_t>(20'000 + random() % 8'000);
    if (PortsAreFree()) return;
  }
  throw std::runtime_error("no free ports");
}

Cell::~Cell() {
  for (std::size_t i = 0; i < pids_.size(); ++i) Kill(i);
}

std::string Cell::Ip(std::size_t number) const {
  return "127.77." + std::to_string(subnet_) + '.' + std::to_string(number + 1);
}

bool Cell::PortsAreFree() const {
  for (std::size_t i = 0; i < pids_.size(); ++i) {
    for (std::uint16_t port = 0; port < 4; ++port) {
      if (!CanBind(Ip(i), static_cast<std::uint16_t>(base_port_ + port))) return false;
    }
  }
  return true;
}

void Cell::WriteSettings(std::size_t number) {
  const bool core = number < setup_.cores;
  const auto at = [this](const std::string& ip, int offset) {
    return ip + ':' + std::to_string(base_port_ + offset);
  };
  json seeds = json::array();
  for (std::size_t i = 0; i < setup_.cores && i < 3; ++i) seeds.push_back(at(Ip(i), 1));
  const std::string zone = "zone-" + std::to_string(number % 3);
  json zones{{"zone-0", "region"}, {"zone-1", "region"}, {"zone-2", "region"}};
  json bounds{{"seed-lag-s", 3},         {"contact-ms", 3000},
              {"ack-ms", 4000},          {"catch-up-s", 4},
              {"drain-ms", 2000},        {"grace-s", 6},
              {"config-apply-ms", 2000}, {"outer-ms", 5000},
              {"recovery-s", 12},        {"hold-max-ms", setup_.hold_max_ms},
              {"kill-grace-ms", 200},    {"gang-timeout-ms", 3000},
              {"cancel_ms", 3000},       {"visible_ms", 3000},
              {"status_s", 120}};
  json settings{
      {"node-name", (core ? "core-" : "edge-") + std::to_string(number)},
      {"role", core ? "scheduler" : "entry"},
      {"machine-class", core ? "core" : "edge"},
      {"serves", json::array({core ? "control" : "edge"})},
      {"ip", Ip(number)},
      {"zone", zone},
      {"region", "region"},
      {"zones", zones},
      {"internal-ports", json::array({base_port_, base_port_})},
      {"seeds", seeds},
      {"bootstrap", bootstrap_},
      {"in-tolerance", core},
      {"limits",
       {{"cpu-share", core ? 0.5 : 0.25}, {"cores", 1}, {"memory-mb", 256}, {"max-fds", 4096}}},
      {"data-dir", nullptr},
      {"discovery", "registry"},
      {"entry", "vip"},
      {"heartbeat-ms", 1500},
      {"fault-tolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
      {"bounds", bounds},
      {"config_mode", "highest"},
      {"control-mode", "rpc"}};
  if (core) {
    const std::string data = setup_.folder + "/data-" + std::to_string(number);
    std::filesystem::create_directories(data);
    settings["data-dir"] = data;
    settings["listen"] = {{"control", at(Ip(number), 1)}};
  } else {
    settings["listen"] = {{"front", at(Ip(number), 2)}, {"ready", at(Ip(number), 3)}};
  }
  std::ofstream(setup_.folder + "/node-" + std::to_string(number) + ".json") << settings.dump();
}

void Cell::StartAll() {
  for (std::size_t i = 0; i < pids_.size(); ++i) Start(i);
  bootstrap_ = false;
}

void Cell::Start(std::size_t number) {
  WriteSettings(number);
  const std::string settings =
      "PARSLEYLINE_NODE_FILE=" + setup_.folder + "/node-" + std::to_string(number) + ".json";
  const std::string log = setup_.folder + "/log-" + std::to_string(number) + ".txt";
  const std::string role = number < setup_.cores ? "core" : "entry";
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("fork failed");
  if (pid == 0) {
    // The process ends with the program that started it, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    char* const arguments[] = {const_cast<char*>(setup_.program.c_str()),
                               const_cast<char*>(role.c_str()), nullptr};
    const char* path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path == nullptr ? "" : path);
    char* const environment[] = {const_cast<char*>(settings.c_str()),
                                 const_cast<char*>(path_variable.c_str()), nullptr};
    if (::getppid() == parent) ::execve(arguments[0], arguments, environment);
    ::_exit(127);
  }
  pids_[number] = pid;
}

void Cell::Signal(std::size_t number, int signal) {
  if (pids_[number] > 0) ::kill(pids_[number], signal);
}

void Cell::Kill(std::size_t number) {
  if (pids_[number] <= 0) return;
  ::kill(pids_[number], SIGKILL);
  ::waitpid(pids_[number], nullptr, 0);
  pids_[number] = 0;
}

bool Cell::HasEnded(std::size_t number) {
  if (pids_[number] <= 0) return false;
  if (::waitpid(pids_[number], nullptr, WNOHANG) != pids_[number]) return false;
  pids_[number] = 0;
  return true;
}

}  // namespace review
