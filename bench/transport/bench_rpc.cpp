#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "tests/fault_proxy/fault_proxy.h"
#include "tests/support/io_threads.h"
#include "transport/rpc.h"

// Measures echo calls over loopback:
//   bench_rpc calls          calls per second and latency, with 1 and 4 io threads each for client
//                            and server and 1, 16 and 256 calls in flight
//   bench_rpc silence [n]    time from the moment at which the connection becomes silent to the
//   next
//                            successful call; n repetitions, 50 by default
namespace parsleyline::transport {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr char kLoopback[] = "127.0.0.1";
constexpr std::uint32_t kSeed = 7;
constexpr std::size_t kBodyBytes = 64;
constexpr std::chrono::seconds kWarmUp{1};
constexpr std::chrono::seconds kMeasured{4};

double Micros(std::chrono::nanoseconds time) { return static_cast<double>(time.count()) / 1000; }

double Percentile(std::vector<double>& sorted, double fraction) {
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted.at(static_cast<std::size_t>(last * fraction + 0.5));
}

// Returns the resident memory of this process in MiB.
std::int64_t ResidentMebibytes() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stoll(line.substr(6)) / 1024;
  }
  return 0;
}

std::uint16_t StartEcho(RpcServer& server) {
  server.RegisterHandler("echo", [](RpcRequest request, const RpcResponseCallback& reply) {
    reply(std::move(request.body));
  });
  return server.Listen(kLoopback, 0).value();
}

// Keeps `in_flight` calls in flight until the end of the measurement. Callbacks of one client run
// one after the other on its strand, so that the members need no lock once all calls have started.
class Load {
 public:
  Load(RpcClient& client, int in_flight)
      : client_(client),
        left_(in_flight),
        begin_(std::chrono::steady_clock::now() + kWarmUp),
        end_(begin_ + kMeasured) {
    latencies_.reserve(1'000'000);
    for (int i = 0; i < in_flight; ++i) Next();
  }
  void Wait() { done_.get_future().wait(); }

  std::vector<double> latencies_;
  std::size_t failed_ = 0;

 private:
  void Next() {
    const SteadyTime start = std::chrono::steady_clock::now();
    client_.Call("echo", body_, Milliseconds(10000), [this, start](Result<std::string> result) {
      OnAnswer(start, result.has_value());
    });
  }
  void OnAnswer(SteadyTime start, bool ok) {
    const SteadyTime now = std::chrono::steady_clock::now();
    if (!ok) ++failed_;
    if (start >= begin_ && now < end_) latencies_.push_back(Micros(now - start));
    if (now < end_) {
      Next();
    } else if (--left_ == 0) {
      done_.set_value();
    }
  }

  RpcClient& client_;
  const std::string body_ = std::string(kBodyBytes, 'x');
  int left_;
  const SteadyTime begin_;
  const SteadyTime end_;
  std::promise<void> done_;
};

void MeasureCalls(int threads, int in_flight) {
  testing::IoThreads server_threads(threads);
  testing::IoThreads client_threads(threads);
  RpcServer server(server_threads.io());
  const auto port = StartEcho(server);
  RpcClient client(client_threads.io(), kLoopback, port);
  Load load(client, in_flight);
  load.Wait();
  std::sort(load.latencies_.begin(), load.latencies_.end());
  const auto per_second = static_cast<double>(load.latencies_.size()) /
                          std::chrono::duration<double>(kMeasured).count();
  std::printf(
      "io_threads=%d in_flight=%d calls_per_s=%.0f p50_us=%.1f p99_us=%.1f failed=%zu "
      "rss_mib=%s\n",
      threads, in_flight, per_second, Percentile(load.latencies_, 0.5),
      Percentile(load.latencies_, 0.99), load.failed_, std::to_string(ResidentMebibytes()).c_str());
}

bool CallOnce(RpcClient& client) {
  std::promise<bool> answered;
  client.Call("echo", "x", Milliseconds(10000), [&answered](const Result<std::string>& result) {
    answered.set_value(result.has_value());
  });
  return answered.get_future().get();
}

void MeasureSilence(int repetitions) {
  std::mt19937 random(kSeed);
  std::uniform_int_distribution<int> phase_ms(0, 600);
  testing::IoThreads threads(2);
  RpcServer server(threads.io());
  const auto port = StartEcho(server);
  testing::FaultProxy proxy(threads.io(), kLoopback, port, kSeed);
  RpcClient client(threads.io(), kLoopback, proxy.Listen(kLoopback, 0).value());
  std::vector<double> times;
  for (int i = 0; i < repetitions; ++i) {
    // Makes calls until the random time at which the connection becomes silent.
    const auto silent_at = std::chrono::steady_clock::now() + Milliseconds(phase_ms(random));
    while (std::chrono::steady_clock::now() < silent_at) CallOnce(client);
    proxy.Silence();
    const auto start = std::chrono::steady_clock::now();
    while (!CallOnce(client)) {
    }
    times.push_back(Micros(std::chrono::steady_clock::now() - start) / 1000);
  }
  std::sort(times.begin(), times.end());
  std::printf("silence repetitions=%d p50_ms=%.0f p99_ms=%.0f max_ms=%.0f\n", repetitions,
              Percentile(times, 0.5), Percentile(times, 0.99), times.back());
}

int Main(int argc, char** argv) {
  SetMinimumSeverity(Severity::kError);
  const std::string mode = argc > 1 ? argv[1] : "calls";
  if (mode == "silence") {
    MeasureSilence(argc > 2 ? std::atoi(argv[2]) : 50);
    return EXIT_SUCCESS;
  }
  for (const int threads : {1, 4}) {
    for (const int in_flight : {1, 16, 256}) MeasureCalls(threads, in_flight);
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace parsleyline::transport

int main(int argc, char** argv) { return parsleyline::transport::Main(argc, argv); }
