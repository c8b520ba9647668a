// The link of an entry machine is cut for less than a second while it hands a job over. The entry
// tries again and tells the client that the job is rejected. Then the first call arrives.
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/cell.h"
#include "review/standin/proxy.h"

namespace parsleyline::review {
namespace {

// The leader closes a connection that has been silent for 1.0 to 1.5 s, at a time that depends on
// its last ping. If it does so before the bytes arrive, nothing happens, so that there are up to
// kRounds cuts.
constexpr int kRounds = 8;
constexpr int kFillers = 3;
// Single machines are cut off (node_cut) for up to 5.5 s.
constexpr Ms kCut{600};
// The bytes of the cut arrive this long after the load has gone, and at the latest kMaxDelay after
// the cut began.
constexpr Ms kDelay{150};
constexpr Ms kMaxDelay{1500};
// Spreads the cuts over the interval of the pings.
constexpr Ms kPause{2070};

using Proxies = std::vector<std::unique_ptr<Proxy>>;

void CutOff(const Proxies& proxies, const std::atomic<bool>& is_calm, Record& record) {
  const Time cut = Clock::now();
  record.Add("network: entry-1 is cut off");
  for (const auto& it : proxies) it->Cut();
  std::this_thread::sleep_until(cut + kCut);
  record.Add("network: entry-1 is joined again");
  for (const auto& it : proxies) it->Heal();
  while (!is_calm && Clock::now() < cut + kMaxDelay) Sleep(Ms(5));
  Sleep(kDelay);
  record.Add("network: the bytes that were held up in the cut arrive");
  for (const auto& it : proxies) it->Deliver();
}

CaseResult RunRound(int round, const Proxies& proxies, const RunLog& log, Client& client,
                    Record& record) {
  const std::string job = "00000000000000e" + std::to_string(round);
  // Work for half a minute, so that further short jobs are rejected.
  const auto filler = [round](int i) {
    return "0000000000000f" + std::to_string(round) + std::to_string(i);
  };
  for (int i = 0; i < kFillers; ++i) {
    const Step step{.tasks = 16, .cpu = 1000, .memory_mb = 256, .estimate_ms = 10'000};
    if (client.Submit(1, filler(i), Ms(10'000), step) != 200) return kCouldNotRun;
  }
  Sleep(Ms(500));
  std::atomic<bool> is_calm{false};
  std::thread network([&] {
    if (!IsCalm()) CutOff(proxies, is_calm, record);
  });
  Sleep(Ms(5));
  const int status = client.Submit(0, job, Ms(1000), {});
  for (int i = 0; i < kFillers; ++i) client.Cancel(1, filler(i));
  is_calm = true;
  network.join();
  Sleep(kPause);
  const std::vector<SeenRun> runs = log.RunsOf(job);
  if ((status != 429 && status != 503) || runs.empty()) return kHeld;
  record.Add("REFUSED: " + runs.front().task + " starts, and the only attempt to hand its job in " +
             "was answered with " + std::to_string(status));
  return kBroken;
}

int Run(Record& record) {
  Cell::Options options;
  options.has_proxied_entry = true;
  Cell cell(record, options);
  RunLog log(record);
  Client client(cell, record);
  Proxies proxies;
  for (std::size_t i = 0; i < Cell::kCores; ++i) {
    proxies.push_back(std::make_unique<Proxy>(cell.ProxiedRpc(i), cell.CoreRpc(i)));
    if (!proxies.back()->IsListening()) return kCouldNotRun;
  }
  if (!cell.Start() || !cell.PutConfig(SimpleConfig(1, 4))) return kCouldNotRun;
  Worker worker(SimpleWorker(cell, 0, 16'000), log, record);
  if (!worker.Start()) return kCouldNotRun;
  Sleep(Ms(3000));
  CaseResult result = kHeld;
  for (int i = 0; i < kRounds && result == kHeld; ++i) {
    result = RunRound(i, proxies, log, client, record);
  }
  return result;
}

}  // namespace
}  // namespace parsleyline::review

int main(int /*argc*/, char** argv) {
  parsleyline::review::Record record(argv[1]);
  return parsleyline::review::Run(record);
}
