// Workers crash under a job and come back. No run of the job ends `failed`.
#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

#include "review/standin/cell.h"

namespace parsleyline::review {
namespace {

constexpr char kJob[] = "00000000000000c1";
// One of eight workers at a time: 0.125. The largest share of srv_crash on the sites is 0.14, for
// 4.5 s.
constexpr std::size_t kWorkers = 8;
constexpr Ms kAgeAtCrash{250};
constexpr Ms kDownTime{1000};
constexpr int kCrashes = 3;
constexpr int kAttempts = 4;

int Run(Record& record) {
  Cell cell(record, {});
  RunLog log(record);
  Client client(cell, record);
  if (!cell.Start() || !cell.PutConfig(SimpleConfig(1, kAttempts))) return kCouldNotRun;
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(SimpleWorker(cell, i, 16'000), log, record));
    if (!workers.back()->Start()) return kCouldNotRun;
  }
  Sleep(Ms(3000));
  if (client.Submit(0, kJob, Ms(3000), {.tasks = 1, .cpu = 9000}) != 200) return kCouldNotRun;
  for (int i = 0; i < kCrashes && !IsCalm(); ++i) {
    const auto find = [&] {
      return std::find_if(workers.begin(), workers.end(),
                          [](const auto& it) { return it->ActiveCount() > 0; });
    };
    if (!WaitUntil(Ms(20'000), [&] { return find() != workers.end(); })) break;
    Worker& worker = **find();
    Sleep(kAgeAtCrash);
    worker.Crash();
    Sleep(kDownTime);
    if (!worker.Start()) return kCouldNotRun;
  }

  bool is_complete = false;
  bool is_failed = false;
  std::string last;
  WaitUntil(Ms(20'000), [&] {
    const std::string state = client.State(0, kJob);
    if (state != last) record.Add(std::string("client: GET ") + kJob + ": " + state);
    last = state;
    is_complete = state == "complete";
    is_failed = state == "failed";
    return is_complete || is_failed;
  });
  const std::vector<SeenRun> runs = log.RunsOf(kJob);
  const auto failed =
      std::count_if(runs.begin(), runs.end(), [](const SeenRun& it) { return it.how == "failed"; });
  if (is_complete) return kHeld;
  if (!is_failed || failed >= kAttempts) return kCouldNotRun;
  record.Add("LOST: the job is shown as failed after " + std::to_string(failed) +
             " ends `failed`; its queue has " + std::to_string(kAttempts) + " attempts");
  return kBroken;
}

}  // namespace
}  // namespace parsleyline::review

int main(int /*argc*/, char** argv) {
  parsleyline::review::Record record(argv[1]);
  return parsleyline::review::Run(record);
}
