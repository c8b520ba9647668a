// Another writer sends one entry of a service that isn't in the configuration. It names the
// address of a worker that is at work.
#include <chrono>
#include <memory>
#include <vector>

#include "review/standin/cell.h"

namespace parsleyline::review {
namespace {

constexpr char kJob[] = "00000000000000b1";

int Run(Record& record) {
  Cell cell(record, {});
  RunLog log(record);
  Client client(cell, record);
  if (!cell.Start() || !cell.PutConfig(SimpleConfig(1, 4))) return kCouldNotRun;
  // The first worker is the smallest one on which the task fits, so that it is chosen.
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < 4; ++i) {
    workers.push_back(
        std::make_unique<Worker>(SimpleWorker(cell, i, i == 0 ? 10'000 : 16'000), log, record));
    if (!workers.back()->Start()) return kCouldNotRun;
  }
  Sleep(Ms(3000));
  const Worker& worker = *workers.front();
  const int status = client.Submit(0, kJob, Ms(8000), {.tasks = 1, .cpu = 9000});
  if (status != 200 || !WaitUntil(Ms(2000), [&] { return worker.ActiveCount() == 1; })) {
    return kCouldNotRun;
  }
  Sleep(Ms(1000));

  if (!IsCalm()) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const nlohmann::json entry{{"service", "svc-not-configured"},
                               {"addr", worker.settings().address.Text()},
                               {"zone", worker.settings().zone},
                               {"version", "v1"},
                               {"slots", 8},
                               {"state", "ready"},
                               {"capacity", {{"cpu", 16'000}, {"mem-mb", 32'768}, {"gpu", 0}}},
                               {"labels", {"a", "r1-0"}},
                               {"clock-ms", 1000},
                               {"seq", 1},
                               {"born", std::chrono::duration_cast<Ms>(now).count()}};
    const int answer = Call(cell.Control(0),
                            {"PUT",
                             "/parsleyline/instances/i-odd",
                             {{"Content-Type", "application/json"}},
                             entry.dump()},
                            Ms(1000))
                           .status;
    record.Add("other writer: PUT i-odd " + entry.dump() + ": " + std::to_string(answer));
  }

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
