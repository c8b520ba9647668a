#include "tests/soak/fault_plan.h"

#include <sstream>
#include <utility>

#include "cell/messages.h"
#include "tests/support/run_after.h"
#include "tests/support/unread_peer.h"
#include "wire/codec.h"

namespace parsleyline::testing {
namespace {

constexpr char kLoopback[] = "127.0.0.1";
// Workers whose connections pass through a proxy.
constexpr std::size_t kProxiedWorkers = 4;
// Time that the platform's documentation guarantees a replica for catching up before the next disk
// is lost.
constexpr milliseconds kCatchUpTime{6000};
// The responses to these calls exceed the send buffer of the leader, but not the window of an
// HTTP/2 connection. The peers read multiples of the step, because not every remainder leaves a
// socket full.
constexpr std::size_t kUnreadCalls = 30;
constexpr std::size_t kUnreadPeers = 20;
constexpr std::size_t kReadStepBytes = 10'000;
// The clock of a restarted worker begins below this.
constexpr std::int64_t kMaxClockMs = 9'000'000;

}  // namespace

FaultPlan::FaultPlan(boost::asio::io_context& io, std::uint32_t seed, Processes& processes,
                     StandinPlatform& platform, Operator& config_operator)
    : io_(io),
      random_(seed),
      series_random_(~seed),
      resize_random_(seed + 1),
      restart_random_(~seed - 1),
      processes_(processes),
      platform_(platform),
      operator_(config_operator),
      started_(std::chrono::steady_clock::now()),
      next_wipe_(started_ + kCatchUpTime) {
  for (std::size_t i = 0; i < kProxiedWorkers && i < platform_.fleet().size(); ++i) {
    const std::string address = platform_.AddressOf(i);
    const auto port =
        static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    proxies_.push_back(std::make_unique<FaultProxy>(proxy_threads_.io(), kLoopback, port, seed));
    const auto listening = proxies_.back()->Listen(kLoopback, 0);
    platform_.SetAnnouncedAddress(i,
                                  std::string(kLoopback) + ':' + std::to_string(listening.value()));
  }
}

FaultPlan::~FaultPlan() = default;

milliseconds FaultPlan::RandomDuration(std::int64_t least, std::int64_t most) {
  return milliseconds(least + static_cast<std::int64_t>(random_() % (most - least + 1)));
}

milliseconds FaultPlan::RandomSeriesDuration(std::int64_t least, std::int64_t most) {
  return milliseconds(least + static_cast<std::int64_t>(series_random_() % (most - least + 1)));
}

milliseconds FaultPlan::RandomRestartDuration(std::int64_t least, std::int64_t most) {
  return milliseconds(least + static_cast<std::int64_t>(restart_random_() % (most - least + 1)));
}

void FaultPlan::LogFault(const std::string& description) {
  std::ostringstream line;
  line << std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_)
              .count()
       << " ms: " << description;
  log_.push_back(line.str());
}

void FaultPlan::Start() {
  InjectNextFault();
  InjectNextSeries();
  ResizeNextWorker();
  RestartNextWorker();
}

void FaultPlan::RestartNextWorker() {
  if (!active_) return;
  RunAfter(io_, RandomRestartDuration(3000, 8000), [this] { RestartNextWorker(); });
  const std::size_t number = restart_random_() % proxies_.size();
  const milliseconds down_time = RandomRestartDuration(5, 1500);
  const milliseconds clock = RandomRestartDuration(0, kMaxClockMs);
  const milliseconds cut = down_time + RandomRestartDuration(0, 3000);
  const milliseconds cut_time = RandomRestartDuration(2000, 10'000);
  if (!platform_.fleet().worker(number).up) return;
  LogFault("restart worker " + std::to_string(number) + ", cut it off after " +
           std::to_string(cut.count()) + " ms for " + std::to_string(cut_time.count()) + " ms");
  platform_.CrashWorker(number);
  RunAfter(io_, down_time, [this, number, clock] { platform_.RestartWorker(number, clock); });
  RunAfter(io_, cut, [this, number] {
    if (active_) proxies_[number]->RunCommand("silence");
  });
  RunAfter(io_, cut + cut_time, [this, number] { proxies_[number]->Heal(); });
}

// The capacity of workers changes all the while, from random numbers of its own.
void FaultPlan::ResizeNextWorker() {
  if (!active_) return;
  const std::size_t number = resize_random_() % platform_.fleet().size();
  const std::int64_t full = platform_.full_worker_cpu();
  const bool is_full = platform_.fleet().worker(number).cpu == full;
  const std::int64_t cpu =
      is_full ? full / (2 + static_cast<std::int64_t>(resize_random_() % 3)) : full;
  LogFault("capacity of worker " + std::to_string(number) + ": " + std::to_string(cpu));
  platform_.ResizeWorker(number, cpu);
  RunAfter(io_, milliseconds(200 + resize_random_() % 1000), [this] { ResizeNextWorker(); });
}

// Series draw from random numbers of their own, so that they do not change which single faults a
// seed injects.
void FaultPlan::InjectNextSeries() {
  if (!active_) return;
  if (series_random_() % 2 == 0) {
    PauseCoresInTurn();
  } else {
    StopReading();
  }
  RunAfter(io_, RandomSeriesDuration(2000, 8000), [this] { InjectNextSeries(); });
}

void FaultPlan::InjectNextFault() {
  if (!active_) return;
  using Fault = void (FaultPlan::*)();
  constexpr Fault kFaults[] = {
      &FaultPlan::KillProcess,   &FaultPlan::PauseProcess,      &FaultPlan::RestartProcess,
      &FaultPlan::ReloadProcess, &FaultPlan::KillAllCores,      &FaultPlan::WipeCore,
      &FaultPlan::CrashWorker,   &FaultPlan::HangWorker,        &FaultPlan::FailWorker,
      &FaultPlan::SlowWorker,    &FaultPlan::DrainWorker,       &FaultPlan::DelayOrders,
      &FaultPlan::ChangeConfig,  &FaultPlan::DisturbConnection, &FaultPlan::DisturbConnection};
  (this->*kFaults[RandomBelow(std::size(kFaults))])();
  RunAfter(io_, RandomDuration(100, 1500), [this] { InjectNextFault(); });
}

void FaultPlan::KillProcess() {
  const std::size_t number = RandomBelow(processes_.size());
  LogFault("kill process " + std::to_string(number));
  processes_.Kill(number);
  RunAfter(io_, RandomDuration(100, 2500), [this, number] { processes_.Start(number); });
}

void FaultPlan::PauseProcess() {
  const std::size_t number = RandomBelow(processes_.size());
  LogFault("pause process " + std::to_string(number));
  processes_.Pause(number);
  RunAfter(io_, RandomDuration(200, 5000), [this, number] { processes_.Resume(number); });
}

// Each core in turn is paused for longer than an election takes, so that it comes back to a leader
// that has much to send to it, while it has calls to forward.
void FaultPlan::PauseCoresInTurn() {
  LogFault("pause cores in turn");
  PauseCore(series_random_() % processes_.core_count(), 2 * processes_.core_count());
}

void FaultPlan::PauseCore(std::size_t number, std::size_t remaining) {
  if (!active_ || remaining == 0) return;
  processes_.Pause(number);
  RunAfter(io_, RandomSeriesDuration(1000, 2500), [this, number, remaining] {
    processes_.Resume(number);
    RunAfter(io_, RandomSeriesDuration(0, 700), [this, number, remaining] {
      PauseCore((number + 1) % processes_.core_count(), remaining - 1);
    });
  });
}

// Only the leader responds with the configuration.
void FaultPlan::StopReading() {
  LogFault("peers of the cores stop reading");
  const std::string calls = FirstBytes(transport::Http2Role::kClient, cell::kGetConfigMethod,
                                       wire::Encode(cell::ConfigQuery{}), kUnreadCalls);
  const milliseconds duration = RandomSeriesDuration(1000, 5000);
  for (std::size_t core = 0; core < processes_.core_count(); ++core) {
    for (std::size_t i = 1; i <= kUnreadPeers; ++i) {
      const auto peer = std::make_shared<UnreadPeer>(io_, calls, i * kReadStepBytes);
      peer->Start(processes_.RpcEndpoint(core));
      RunAfter(io_, duration, [peer] { peer->Close(); });
    }
  }
}

void FaultPlan::RestartProcess() {
  const std::size_t number = RandomBelow(processes_.size());
  LogFault("stop and start process " + std::to_string(number));
  processes_.RestartGracefully(number);
}

void FaultPlan::ReloadProcess() { processes_.Reload(RandomBelow(processes_.size())); }

void FaultPlan::KillAllCores() {
  LogFault("kill all cores");
  for (std::size_t i = 0; i < processes_.core_count(); ++i) {
    processes_.Kill(i);
    RunAfter(io_, RandomDuration(100, 1000), [this, i] { processes_.Start(i); });
  }
}

void FaultPlan::WipeCore() {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (now < next_wipe_) return;
  // Only one disk may be lost at a time, and the other replicas must hold all acknowledged changes.
  for (std::size_t i = 0; i < processes_.core_count(); ++i) {
    if (!processes_.IsUp(i)) return;
  }
  const std::size_t number = RandomBelow(processes_.core_count());
  LogFault("wipe core " + std::to_string(number));
  processes_.Wipe(number);
  next_wipe_ = now + 2 * kCatchUpTime;
  RunAfter(io_, RandomDuration(200, 1500), [this, number] { processes_.Start(number); });
}

void FaultPlan::CrashWorker() {
  const std::size_t number = RandomBelow(platform_.fleet().size());
  if (!platform_.fleet().worker(number).up) return;
  LogFault("crash worker " + std::to_string(number));
  platform_.CrashWorker(number);
  RunAfter(io_, RandomDuration(50, 4000), [this, number] { platform_.RestartWorker(number); });
}

void FaultPlan::HangWorker() {
  const std::size_t number = RandomBelow(platform_.fleet().size());
  LogFault("hang worker " + std::to_string(number));
  platform_.fleet().worker(number).hangs = true;
  RunAfter(io_, RandomDuration(1000, 4000),
           [this, number] { platform_.fleet().worker(number).hangs = false; });
}

void FaultPlan::FailWorker() {
  const std::size_t number = RandomBelow(platform_.fleet().size());
  LogFault("fail all runs of worker " + std::to_string(number));
  platform_.fleet().worker(number).fails_all_runs = true;
  RunAfter(io_, RandomDuration(500, 2000),
           [this, number] { platform_.fleet().worker(number).fails_all_runs = false; });
}

void FaultPlan::SlowWorker() {
  const std::size_t number = RandomBelow(platform_.fleet().size());
  LogFault("slow down worker " + std::to_string(number));
  platform_.fleet().worker(number).slowness = 6;
  RunAfter(io_, RandomDuration(1000, 4000),
           [this, number] { platform_.fleet().worker(number).slowness = 1; });
}

void FaultPlan::DrainWorker() {
  const std::size_t number = RandomBelow(platform_.fleet().size());
  LogFault("drain worker " + std::to_string(number));
  platform_.DrainWorker(number, RandomDuration(1500, 3000));
}

void FaultPlan::DelayOrders() {
  LogFault("delay orders");
  platform_.SetDelayedOrders(100);
  RunAfter(io_, RandomDuration(500, 3000), [this] { platform_.SetDelayedOrders(0); });
}

void FaultPlan::DisturbConnection() {
  const std::size_t number = RandomBelow(proxies_.size());
  FaultProxy& proxy = *proxies_[number];
  const char* const commands[] = {"delay both 40 60",
                                  "drop both",
                                  "drop to_client",
                                  "drop to_target",
                                  "silence",
                                  "reset",
                                  "refuse",
                                  "truncate to_client 300",
                                  "throttle to_client 2000"};
  const std::string command = commands[RandomBelow(std::size(commands))];
  LogFault("worker " + std::to_string(number) + ": " + command);
  proxy.RunCommand(command);
  RunAfter(io_, RandomDuration(300, 6000), [&proxy] { proxy.Heal(); });
}

void FaultPlan::ChangeConfig() {
  LogFault("change the configuration");
  operator_.ChangeConfig();
}

void FaultPlan::Heal() {
  active_ = false;
  platform_.SetDelayedOrders(0);
  for (std::size_t i = 0; i < platform_.fleet().size(); ++i) {
    platform_.ResizeWorker(i, platform_.full_worker_cpu());
  }
  for (const auto& it : proxies_) it->Heal();
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    processes_.Resume(i);
    processes_.Start(i);
  }
}

}  // namespace parsleyline::testing
