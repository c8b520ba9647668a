#include "tests/soak/fault_plan.h"

#include <sstream>
#include <utility>

#include "tests/support/run_after.h"

namespace parsleyline::testing {
namespace {

constexpr char kLoopback[] = "127.0.0.1";
// Workers whose connections pass through a proxy.
constexpr std::size_t kProxiedWorkers = 4;
// Time that a replica gets to catch up before the next disk may be lost, as the users' pages allow.
constexpr milliseconds kCatchUp{6000};

}  // namespace

FaultPlan::FaultPlan(boost::asio::io_context& io, std::uint32_t seed, Processes& processes,
                     StandinPlatform& platform, Operator& config)
    : io_(io),
      random_(seed),
      processes_(processes),
      platform_(platform),
      config_(config),
      begun_(std::chrono::steady_clock::now()),
      next_wipe_(begun_ + kCatchUp) {
  for (std::size_t i = 0; i < kProxiedWorkers && i < platform_.fleet().size(); ++i) {
    const std::string address = platform_.AddressOf(i);
    const auto port =
        static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    proxies_.push_back(std::make_unique<FaultProxy>(proxy_threads_.io(), kLoopback, port, seed));
    const auto listening = proxies_.back()->Listen(kLoopback, 0);
    platform_.Announce(i, std::string(kLoopback) + ':' + std::to_string(listening.value()));
  }
}

FaultPlan::~FaultPlan() = default;

milliseconds FaultPlan::Span(std::int64_t least, std::int64_t most) {
  return milliseconds(least + static_cast<std::int64_t>(random_() % (most - least + 1)));
}

void FaultPlan::Note(const std::string& what) {
  std::ostringstream line;
  line
      << std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun_).count()
      << " ms: " << what;
  log_.push_back(line.str());
}

void FaultPlan::Start() { Next(); }

void FaultPlan::Next() {
  if (!active_) return;
  using Fault = void (FaultPlan::*)();
  constexpr Fault kFaults[] = {
      &FaultPlan::KillProcess,   &FaultPlan::PauseProcess,      &FaultPlan::ReplaceProcess,
      &FaultPlan::HangupProcess, &FaultPlan::KillAllCores,      &FaultPlan::WipeCore,
      &FaultPlan::CrashWorker,   &FaultPlan::HangWorker,        &FaultPlan::FailWorker,
      &FaultPlan::SlowWorker,    &FaultPlan::DrainWorker,       &FaultPlan::DelayOrders,
      &FaultPlan::ChangeConfig,  &FaultPlan::DisturbConnection, &FaultPlan::DisturbConnection};
  (this->*kFaults[Draw(std::size(kFaults))])();
  RunAfter(io_, Span(100, 1500), [this] { Next(); });
}

void FaultPlan::KillProcess() {
  const std::size_t number = Draw(processes_.size());
  Note("kill process " + std::to_string(number));
  processes_.Kill(number);
  RunAfter(io_, Span(100, 2500), [this, number] { processes_.Start(number); });
}

void FaultPlan::PauseProcess() {
  const std::size_t number = Draw(processes_.size());
  Note("pause process " + std::to_string(number));
  processes_.Pause(number);
  RunAfter(io_, Span(200, 5000), [this, number] { processes_.Resume(number); });
}

void FaultPlan::ReplaceProcess() {
  const std::size_t number = Draw(processes_.size());
  Note("stop and start process " + std::to_string(number));
  processes_.Replace(number);
}

void FaultPlan::HangupProcess() { processes_.Hangup(Draw(processes_.size())); }

void FaultPlan::KillAllCores() {
  Note("kill all cores");
  for (std::size_t i = 0; i < processes_.core_count(); ++i) {
    processes_.Kill(i);
    RunAfter(io_, Span(100, 1000), [this, i] { processes_.Start(i); });
  }
}

void FaultPlan::WipeCore() {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (now < next_wipe_) return;
  // Only one disk may be lost at once, and the others must hold what was acknowledged.
  for (std::size_t i = 0; i < processes_.core_count(); ++i) {
    if (!processes_.IsUp(i)) return;
  }
  const std::size_t number = Draw(processes_.core_count());
  Note("wipe core " + std::to_string(number));
  processes_.Wipe(number);
  next_wipe_ = now + 2 * kCatchUp;
  RunAfter(io_, Span(200, 1500), [this, number] { processes_.Start(number); });
}

void FaultPlan::CrashWorker() {
  const std::size_t number = Draw(platform_.fleet().size());
  if (!platform_.fleet().worker(number).up) return;
  Note("crash worker " + std::to_string(number));
  platform_.Crash(number);
  RunAfter(io_, Span(50, 4000), [this, number] { platform_.Restart(number); });
}

void FaultPlan::HangWorker() {
  const std::size_t number = Draw(platform_.fleet().size());
  Note("hang worker " + std::to_string(number));
  platform_.fleet().worker(number).hangs = true;
  RunAfter(io_, Span(1000, 4000),
           [this, number] { platform_.fleet().worker(number).hangs = false; });
}

void FaultPlan::FailWorker() {
  const std::size_t number = Draw(platform_.fleet().size());
  Note("worker fails everything " + std::to_string(number));
  platform_.fleet().worker(number).fails_all = true;
  RunAfter(io_, Span(500, 2000),
           [this, number] { platform_.fleet().worker(number).fails_all = false; });
}

void FaultPlan::SlowWorker() {
  const std::size_t number = Draw(platform_.fleet().size());
  Note("slow worker " + std::to_string(number));
  platform_.fleet().worker(number).slowness = 6;
  RunAfter(io_, Span(1000, 4000),
           [this, number] { platform_.fleet().worker(number).slowness = 1; });
}

void FaultPlan::DrainWorker() {
  const std::size_t number = Draw(platform_.fleet().size());
  Note("drain worker " + std::to_string(number));
  platform_.Drain(number, Span(1500, 3000));
}

void FaultPlan::DelayOrders() {
  Note("late orders");
  platform_.SetLateOrders(100);
  RunAfter(io_, Span(500, 3000), [this] { platform_.SetLateOrders(0); });
}

void FaultPlan::DisturbConnection() {
  const std::size_t number = Draw(proxies_.size());
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
  const std::string command = commands[Draw(std::size(commands))];
  Note("worker " + std::to_string(number) + ": " + command);
  proxy.RunCommand(command);
  RunAfter(io_, Span(300, 6000), [&proxy] { proxy.Heal(); });
}

void FaultPlan::ChangeConfig() {
  Note("change the configuration");
  config_.Change();
}

void FaultPlan::Heal() {
  active_ = false;
  platform_.SetLateOrders(0);
  for (const auto& it : proxies_) it->Heal();
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    processes_.Resume(i);
    processes_.Start(i);
  }
}

}  // namespace parsleyline::testing
