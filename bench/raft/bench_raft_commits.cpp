#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/wait.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "base/event_log.h"
#include "bench/raft/load_generator.h"
#include "bench/raft/loopback_peers.h"
#include "bench/raft/sync_time.h"
#include "raft/raft_group.h"

// Measures commits per second and commit latency of a group of three replicas. Each replica runs in
// a process of its own and syncs its files. The processes communicate over TCP on 127.0.0.1. The
// parent process starts this program once per replica. The replica that becomes leader generates
// the load.
namespace parsleyline::bench {
namespace {

constexpr Milliseconds kWarmUp{500};
const std::vector<std::string> kNames = {"a", "b", "c"};

struct BenchOptions {
  std::string folder;
  std::string replica;
  std::vector<std::uint16_t> ports;
  std::vector<std::size_t> in_flight;
  std::size_t payload = 0;
  std::size_t rate = 0;
  Milliseconds measured_time{0};
};

void PrintMeasurement(const char* load_kind, std::size_t n,
                      const LoadGenerator::Measurement& measurement) {
  std::printf("%s=%zu commits=%zu commits_per_s=%.0f p50_us=%d p99_us=%d\n", load_kind, n,
              measurement.commits, measurement.commits_per_second,
              static_cast<int>(measurement.p50.count()), static_cast<int>(measurement.p99.count()));
  std::fflush(stdout);
}

int RunReplica(const BenchOptions& options) {
  SetMinimumSeverity(Severity::kWarning);
  boost::asio::io_context io;
  LoadGenerator load(options.payload);
  std::map<NodeId, std::uint16_t> ports;
  raft::ReplicaOptions replica_options;
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    ports[NodeId(kNames[i])] = options.ports[i];
    replica_options.node_options.initial_voters.emplace_back(kNames[i]);
  }
  replica_options.group_name = "bench";
  replica_options.node = NodeId(options.replica);
  replica_options.folder = options.folder + "/" + options.replica;
  raft::RaftGroup* receiver = nullptr;
  LoopbackPeers peers(io, replica_options.node, ports,
                      [&receiver](const NodeId& from, std::string bytes) {
                        receiver->Receive(from, std::move(bytes));
                      });
  raft::RaftGroup group(io, replica_options, load, peers);
  receiver = &group;
  load.SetLog(&group);
  if (auto started = group.Start(); !started) {
    std::fprintf(stderr, "start failed: %s\n", started.error().message.c_str());
    return EXIT_FAILURE;
  }
  std::vector<std::thread> threads;
  for (int i = 0; i < 2; ++i) threads.emplace_back([&io] { io.run(); });
  while (!load.IsLeader()) std::this_thread::sleep_for(Milliseconds(10));
  for (const std::size_t in_flight : options.in_flight) {
    PrintMeasurement("in_flight", in_flight,
                     load.Measure(in_flight, kWarmUp, options.measured_time));
  }
  PrintMeasurement("rate", options.rate,
                   load.MeasureRate(options.rate, kWarmUp, options.measured_time));
  std::_Exit(load.IsLeader() ? EXIT_SUCCESS : EXIT_FAILURE);
}

void PrintSyncTimes(const std::string& folder, int writers) {
  const auto times = MeasureSyncs(folder, writers, 500);
  std::printf("sync writers=%d p50_us=%d p99_us=%d\n", writers,
              static_cast<int>(Percentile(times, 0.5).count()),
              static_cast<int>(Percentile(times, 0.99).count()));
  std::fflush(stdout);
}

std::vector<std::string> FreePorts() {
  boost::asio::io_context io;
  std::vector<boost::asio::ip::tcp::acceptor> acceptors;
  std::vector<std::string> ports;
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    acceptors.emplace_back(
        io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    ports.push_back(std::to_string(acceptors.back().local_endpoint().port()));
  }
  return ports;
}

// Starts this program with the given arguments and returns its process id, or -1.
pid_t Spawn(std::vector<std::string> arguments) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  pid_t pid = 0;
  return posix_spawn(&pid, "/proc/self/exe", nullptr, nullptr, pointers.data(), environ) == 0 ? pid
                                                                                              : -1;
}

int RunParent(const std::string& parent_folder, const std::vector<std::string>& arguments) {
  std::string folder = parent_folder + "/bench-raft-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) return EXIT_FAILURE;
  PrintSyncTimes(folder, 1);
  PrintSyncTimes(folder, 3);
  const auto ports = FreePorts();
  std::vector<pid_t> children;
  for (const std::string& name : kNames) {
    auto child = arguments;
    child.insert(child.end(), {"--replica", name, "--folder", folder, "--ports",
                               ports[0] + "," + ports[1] + "," + ports[2]});
    children.push_back(Spawn(std::move(child)));
  }
  // Only the leader exits by itself.
  int status = 0;
  const pid_t ended = waitpid(-1, &status, 0);
  for (const pid_t child : children) {
    if (child <= 0 || child == ended) continue;
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  PrintSyncTimes(folder, 3);
  std::filesystem::remove_all(folder);
  return WIFEXITED(status) ? WEXITSTATUS(status) : EXIT_FAILURE;
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("bench_raft_commits", "Commits per second against batch size");
  parser.add_options()(
      "folder", "Folder on the disk to measure",
      cxxopts::value<std::string>()->default_value(std::filesystem::temp_directory_path()))(
      "seconds", "Time per measurement", cxxopts::value<int>()->default_value("3"))(
      "payload", "Bytes per command", cxxopts::value<std::size_t>()->default_value("256"))(
      "in-flight", "Proposals in flight",
      cxxopts::value<std::vector<std::size_t>>()->default_value("1,8,64,512"))(
      "rate", "Proposals per second in the last measurement",
      cxxopts::value<std::size_t>()->default_value("8000"))(
      "replica", "Name of the replica, set for child processes",
      cxxopts::value<std::string>()->default_value(""))(
      "ports", "Ports of the replicas, set for child processes",
      cxxopts::value<std::vector<std::uint16_t>>());
  const std::vector<std::string> arguments(argv, argv + argc);
  const auto parsed = parser.parse(argc, argv);
  if (parsed["replica"].as<std::string>().empty()) {
    return RunParent(parsed["folder"].as<std::string>(), arguments);
  }
  BenchOptions options;
  options.folder = parsed["folder"].as<std::string>();
  options.replica = parsed["replica"].as<std::string>();
  options.ports = parsed["ports"].as<std::vector<std::uint16_t>>();
  options.in_flight = parsed["in-flight"].as<std::vector<std::size_t>>();
  options.payload = parsed["payload"].as<std::size_t>();
  options.rate = parsed["rate"].as<std::size_t>();
  options.measured_time = std::chrono::seconds(parsed["seconds"].as<int>());
  return RunReplica(options);
}

}  // namespace
}  // namespace parsleyline::bench

int main(int argc, char** argv) { return parsleyline::bench::Main(argc, argv); }
