// Case 6: a worker that starts again under its id, and is cut off soon afterwards, runs a task that
// the scheduler has started elsewhere.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "review/standin-2/cell.h"
#include "review/standin-2/client.h"
#include "review/standin-2/fleet.h"

namespace review {
namespace {

constexpr char kPrefix[] = "/draws/";
constexpr int kWorkers = 48;
// 0.125 of the workers. The site file lets 0.14 crash, and cuts off 0.17 for 5.5 s.
constexpr int kCutWorkers = 6;
constexpr int kRounds = 4;
// By then the clocks of the workers show more than `hold-max-ms`.
constexpr milliseconds kFirstRound{14'000};
constexpr milliseconds kRoundLength{13'000};
constexpr milliseconds kFirstCut{3100};
constexpr milliseconds kCrashAfter{300};
// Above `addr-reuse-s`, which is 2.
constexpr milliseconds kDownTime{2600};
constexpr milliseconds kBetweenCuts{2000};
constexpr milliseconds kSecondCut{5500};
constexpr milliseconds kSubmitInterval{500};
constexpr milliseconds kEnd = kFirstRound + kRounds * kRoundLength + milliseconds(4000);

void At(boost::asio::io_context& io, milliseconds time, std::function<void()> then) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, time);
  timer->async_wait([timer, then = std::move(then)](const boost::system::error_code& ec) {
    if (!ec) then();
  });
}

void PlanRound(boost::asio::io_context& io, Fleet* fleet, int round) {
  const milliseconds cut = kFirstRound + round * kRoundLength;
  const milliseconds second = cut + kFirstCut + kBetweenCuts;
  for (int i = 0; i < kCutWorkers; ++i) {
    const auto worker = static_cast<std::size_t>(round * kCutWorkers + i) % kWorkers;
    At(io, cut, [fleet, worker] { fleet->SetCut(worker, true); });
    At(io, cut + kCrashAfter, [fleet, worker] { fleet->Crash(worker); });
    At(io, cut + kCrashAfter + kDownTime, [fleet, worker] { fleet->Restart(worker); });
    At(io, cut + kFirstCut, [fleet, worker] { fleet->SetCut(worker, false); });
    At(io, second, [fleet, worker] { fleet->SetCut(worker, true); });
    At(io, second + kSecondCut, [fleet, worker] { fleet->SetCut(worker, false); });
  }
}

// Hands in a job of 8 tasks of 9 s each, and does so again after the interval.
void SubmitJobs(boost::asio::io_context& io, Client* client) {
  const nlohmann::json step{
      {"count", 8}, {"cpu", 18'000}, {"mem-mb", 19'000}, {"estimate-ms", 9000}};
  client->Submit(kPrefix, client->NewJobId(),
                 {{"spec", "9000"}, {"job-steps", nlohmann::json::array({step})}}, [](int) {});
  At(io, kSubmitInterval, [&io, client] { SubmitJobs(io, client); });
}

int Main(int argc, char** argv) {
  if (argc != 4) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(argv[3]);
  boost::asio::io_context io;
  CellSetup setup;
  setup.program = argv[1];
  setup.folder = argv[2];
  Cell cell(setup);
  cell.StartAll();
  FleetSetup fleet_setup;
  fleet_setup.workers = kWorkers;
  fleet_setup.subnet = cell.subnet();
  for (std::size_t i = 0; i < cell.cores(); ++i) {
    fleet_setup.control.emplace_back(cell.Ip(i), cell.control_port());
  }
  Fleet fleet(io, fleet_setup, record);
  Client client(io, cell, record);
  bool configured = false;
  At(io, milliseconds(500), [&] {
    client.PutConfig(OneRoute(1, kPrefix, 4), [&] {
      configured = true;
      fleet.Start();
      At(io, milliseconds(1000), [&] { SubmitJobs(io, &client); });
      for (int round = 0; with_trouble && round < kRounds; ++round) PlanRound(io, &fleet, round);
      At(io, kEnd, [&io] { io.stop(); });
    });
  });
  At(io, milliseconds(20'000), [&] {
    if (!configured) io.stop();
  });
  io.run();
  bool ended = false;
  for (std::size_t i = 0; i < cell.cores() + cell.entries(); ++i) ended |= cell.HasEnded(i);
  const std::string summary =
      std::to_string(fleet.starts()) + " starts, " + std::to_string(fleet.overlaps()) +
      " of them while another run of the task was active on a worker that was up, for " +
      std::to_string(fleet.longest_overlap().count()) + " ms at most";
  record.Write(summary);
  std::cout << summary << std::endl;
  if (!configured || ended || fleet.starts() == 0) return 2;
  return fleet.overlaps() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv); }
