// Case 7: a worker starts again under its id while one core machine stands still. The scheduler
// starts tasks there, takes them for lost when it hears of the new lifetime, and starts them
// elsewhere at once.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
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
// 0.125 of the workers. The site file lets 0.14 crash.
constexpr std::size_t kCrashingWorkers = 6;
constexpr int kRounds = 7;
constexpr milliseconds kFirstRound{6000};
constexpr milliseconds kRoundLength{7000};
// One core machine of three stands still; the site file lets machines do so for 3.5 s.
constexpr milliseconds kFreeze{3000};
constexpr milliseconds kCrashAfter{300};
constexpr milliseconds kDownTime{300};
// A wave of jobs of 8 tasks, in all as many as the workers hold at once.
constexpr milliseconds kWaveAfter{900};
constexpr milliseconds kSubmitInterval{10};
constexpr int kJobsInWave = 24;
constexpr milliseconds kEnd = kFirstRound + kRounds * kRoundLength;

void At(boost::asio::io_context& io, milliseconds time, std::function<void()> then) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, time);
  timer->async_wait([timer, then = std::move(then)](const boost::system::error_code& ec) {
    if (!ec) then();
  });
}

// Crashes workers and starts them again.
void CrashWorkers(boost::asio::io_context& io, Fleet* fleet, int round) {
  for (std::size_t i = 0; i < kCrashingWorkers; ++i) {
    const auto worker = (static_cast<std::size_t>(round) * kCrashingWorkers + i) % kWorkers;
    fleet->Crash(worker);
    At(io, kDownTime, [fleet, worker] { fleet->Restart(worker); });
  }
}

// Hands in jobs of 8 tasks.
void SubmitJobs(boost::asio::io_context& io, Client* client, int jobs) {
  if (jobs == 0) return;
  const nlohmann::json step{{"count", 8}, {"cpu", 16'000}, {"mem-mb", 4000}, {"estimate-ms", 3000}};
  client->Submit(kPrefix, client->NewJobId(),
                 {{"spec", "3000"}, {"job-steps", nlohmann::json::array({step})}}, [](int) {});
  At(io, kSubmitInterval, [=, &io] { SubmitJobs(io, client, jobs - 1); });
}

void PlanRound(boost::asio::io_context& io, Cell* cell, Fleet* fleet, Record* record, int round) {
  const milliseconds start = kFirstRound + round * kRoundLength;
  const auto core = static_cast<std::size_t>(round) % cell->cores();
  At(io, start, [=] {
    record->Write("core " + std::to_string(core) + " stands still");
    cell->Signal(core, SIGSTOP);
  });
  At(io, start + kCrashAfter, [=, &io] { CrashWorkers(io, fleet, round); });
  At(io, start + kFreeze, [=] {
    record->Write("core " + std::to_string(core) + " goes on");
    cell->Signal(core, SIGCONT);
  });
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
      for (int round = 0; round < kRounds; ++round) {
        if (with_trouble) PlanRound(io, &cell, &fleet, &record, round);
        At(io, kFirstRound + round * kRoundLength + kWaveAfter,
           [&] { SubmitJobs(io, &client, kJobsInWave); });
      }
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
