// A worker says that it leaves while the core machine that it calls is frozen. It says so to
// another one, ends, and starts again under its id. Then the frozen machine wakes.
#include <signal.h>

#include <memory>
#include <vector>

#include "review/standin/cell.h"

namespace parsleyline::review {
namespace {

// node_freeze of one core machine: up to 7.2 s on vgda-draws.
constexpr Ms kFreeze{5000};
// addr-reuse-s is 2.
constexpr Ms kDownTime{2200};
constexpr std::size_t kFrozenCore = 1;
constexpr char kJob[] = "00000000000000a1";

int Run(Record& record) {
  Cell cell(record, {});
  RunLog log(record);
  Client client(cell, record);
  if (!cell.Start() || !cell.PutConfig(SimpleConfig(1, 4))) return kCouldNotRun;
  // The first worker is the smallest one on which the task fits, so that it is chosen.
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < 4; ++i) {
    WorkerSettings settings = SimpleWorker(cell, i, i == 0 ? 10'000 : 16'000);
    if (i == 0) settings.control = {cell.Control(0), cell.Control(2)};
    workers.push_back(std::make_unique<Worker>(settings, log, record));
    if (!workers.back()->Start()) return kCouldNotRun;
  }
  Sleep(Ms(3000));
  Worker& leaving = *workers.front();
  if (!leaving.Drain()) return kCouldNotRun;
  Sleep(Ms(2100));  // drain-ms

  const Time frozen = Clock::now();
  if (!IsCalm()) cell.SignalCore(kFrozenCore, SIGSTOP);
  leaving.Leave({cell.Control(kFrozenCore), cell.Control(0), cell.Control(2)});
  Sleep(kDownTime);
  if (!leaving.Start()) return kCouldNotRun;
  Sleep(Ms(400));
  const int status = client.Submit(0, kJob, Ms(8000), {.tasks = 1, .cpu = 9000});
  const bool runs = WaitUntil(Ms(1000), [&] { return leaving.ActiveCount() == 1; });
  if (status != 200 || !runs || Clock::now() > frozen + kFreeze) return kCouldNotRun;
  std::this_thread::sleep_until(frozen + kFreeze);
  if (!IsCalm()) cell.SignalCore(kFrozenCore, SIGCONT);

  client.WaitForState(0, kJob, "complete", Ms(20'000));
  const std::vector<std::string> overlaps = log.Overlaps();
  for (const std::string& it : overlaps) record.Add("TWICE: " + it);
  return overlaps.empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace parsleyline::review

int main(int /*argc*/, char** argv) {
  parsleyline::review::Record record(argv[1]);
  return parsleyline::review::Run(record);
}
