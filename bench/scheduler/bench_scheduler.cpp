// Measures DomainScheduler with an InMemoryLog: decisions per second, time from submission to
// grant, and memory per worker, running task and ledger entry.

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "raft/in_memory_log.h"
#include "scheduler/domain_scheduler.h"

namespace parsleyline::bench {
namespace {

using scheduler::DomainScheduler;
using SteadyTime = std::chrono::steady_clock;

constexpr std::size_t kDecisions = 20000;
constexpr std::size_t kWarmUp = 2000;
constexpr std::size_t kSlots = 8;

/// Log that does not keep its commands, so that the memory measurement covers only the state.
class DiscardingLog : public raft::ReplicatedLog {
 public:
  void Start(raft::StateMachine* machine) {
    machine_ = machine;
    machine->OnRoleChange(raft::Role::kLeader, Term(1));
  }
  Result<LogIndex> Propose(std::string command) override {
    const LogIndex index(++index_);
    machine_->Apply(index, command);
    return index;
  }
  NodeId Leader() const override { return NodeId("local"); }
  Term CurrentTerm() const override { return Term(1); }
  LogIndex CommitIndex() const override { return LogIndex(index_); }

 private:
  raft::StateMachine* machine_ = nullptr;
  std::uint64_t index_ = 0;
};

template <typename Log>
class Domain {
 public:
  explicit Domain(std::size_t workers) : scheduler_(scheduler::SchedulerOptions(), clock_, [] {}) {
    scheduler_.SetLog(&log_);
    queue::QueuePolicy policy;
    for (queue::KindPolicy& kind : policy.kinds) kind.max_queued = 1000000;
    scheduler_.SetPolicy(policy, Revision(1));
    log_.Start(&scheduler_);
    wire::AnnounceBatch batch;
    for (std::size_t i = 0; i < workers; ++i) batch.announcements.push_back(Worker(i));
    (void)scheduler_.Announce(batch);
  }

  /// Submits one request and returns its token, or 0 if it was not granted.
  FencingToken Grant() {
    FencingToken token;
    wire::Submit submit;
    submit.id = RequestId("suva-r" + std::to_string(1000000000 + next_));
    submit.body_digest = next_;
    submit.spec.team = TeamId("team-" + std::to_string(next_ % 10));
    submit.spec.kind = next_ % 2 == 0 ? Kind::kService : Kind::kBatch;
    submit.spec.resources = {MilliCpu(1000), Mebibytes(1024), Accelerators(0), Slots(1)};
    submit.entry = NodeId("entry-1#" + std::to_string(next_));
    submit.remaining = Milliseconds(30000);
    ++next_;
    scheduler_.Submit(submit, [&token](const Result<wire::RequestStatus>& status) {
      if (status && !status->grants.empty()) token = status->grants[0].token;
    });
    scheduler_.RunSchedulingPass();
    last_id_ = submit.id;
    return token;
  }

  void Finish(const RequestId& id, FencingToken token) {
    wire::FinishTask finish;
    finish.id = id;
    finish.token = token;
    finish.answer = "{\"ok\":true}";
    finish.run_time = Milliseconds(20);
    scheduler_.Finish(finish, [](const Result<wire::RequestStatus>&) {});
  }

  const RequestId& last_id() const { return last_id_; }

 private:
  static wire::Announcement Worker(std::size_t i) {
    wire::Announcement worker;
    worker.worker = WorkerId("worker-" + std::to_string(i));
    worker.incarnation = Incarnation(1);
    worker.address = "10.0.0.1:" + std::to_string(i);
    worker.rack = RackId("rack-" + std::to_string(i / kSlots));
    worker.capacity = {MilliCpu(64000), Mebibytes(131072), Accelerators(0), Slots(kSlots)};
    return worker;
  }

  ManualClock clock_;
  Log log_;
  DomainScheduler scheduler_;
  std::uint64_t next_ = 0;
  RequestId last_id_;
};

double Micros(SteadyTime::duration time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

// Keeps half of the slots in use: each decision replaces the oldest running task.
void MeasureDecisions(std::size_t workers) {
  Domain<raft::InMemoryLog> domain(workers);
  std::vector<std::pair<RequestId, FencingToken>> running(workers * kSlots / 2);
  for (auto& [id, token] : running) {
    token = domain.Grant();
    id = domain.last_id();
  }
  std::vector<double> times;
  std::size_t failed = 0;
  SteadyTime::time_point begin;
  for (std::size_t i = 0; i < kWarmUp + kDecisions; ++i) {
    if (i == kWarmUp) begin = SteadyTime::now();
    auto& [id, token] = running[i % running.size()];
    domain.Finish(id, token);
    const auto start = SteadyTime::now();
    token = domain.Grant();
    if (i >= kWarmUp) times.push_back(Micros(SteadyTime::now() - start));
    id = domain.last_id();
    if (token == FencingToken()) ++failed;
  }
  const double seconds = Micros(SteadyTime::now() - begin) / 1e6;
  std::sort(times.begin(), times.end());
  std::printf("%7zu %12.0f %9.1f %9.1f %9.1f %7zu\n", workers, kDecisions / seconds,
              times[times.size() / 2], times[times.size() * 99 / 100], times.back(), failed);
}

struct Point {
  double count;
  double bytes;
};

// Prints the slope of the least-squares line with its standard error.
void PrintSlope(const char* name, const std::vector<Point>& points) {
  const double n = static_cast<double>(points.size());
  double x = 0;
  double y = 0;
  for (const Point& it : points) {
    x += it.count / n;
    y += it.bytes / n;
  }
  double xx = 0;
  double xy = 0;
  for (const Point& it : points) {
    xx += (it.count - x) * (it.count - x);
    xy += (it.count - x) * (it.bytes - y);
  }
  const double slope = xy / xx;
  double squares = 0;
  for (const Point& it : points) {
    const double rest = it.bytes - y - slope * (it.count - x);
    squares += rest * rest;
  }
  const double error = std::sqrt(squares / (n - 2) / xx);
  std::printf("%-14s %8.0f +- %-6.0f", name, slope, error);
  for (const Point& it : points) std::printf("  %.0f: %.0f KiB", it.count, it.bytes / 1024);
  std::printf("\n");
}

// Returns the heap memory, including blocks allocated by mmap, that the result of `build` uses.
double HeapOf(const std::function<std::shared_ptr<void>()>& build) {
  const auto used = [] {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
  };
  const double before = used();
  const auto kept = build();
  return used() - before;
}

void MeasureMemory() {
  using Built = std::shared_ptr<Domain<DiscardingLog>>;
  std::vector<Point> workers;
  for (const std::size_t n : {500U, 2000U, 8000U}) {
    workers.push_back({static_cast<double>(n), HeapOf([n]() -> Built {
                         return std::make_shared<Domain<DiscardingLog>>(n);
                       })});
  }
  std::vector<Point> tasks;
  std::vector<Point> entries;
  for (const std::size_t n : {2000U, 6000U, 12000U}) {
    const auto fill = [n](bool finish) -> Built {
      auto domain = std::make_shared<Domain<DiscardingLog>>(2000);
      for (std::size_t i = 0; i < n; ++i) {
        const FencingToken token = domain->Grant();
        if (finish) domain->Finish(domain->last_id(), token);
      }
      return domain;
    };
    tasks.push_back({static_cast<double>(n), HeapOf([&] { return fill(false); })});
    entries.push_back({static_cast<double>(n), HeapOf([&] { return fill(true); })});
  }
  PrintSlope("worker", workers);
  PrintSlope("running task", tasks);
  PrintSlope("ledger entry", entries);
}

void Run() {
  std::printf("decisions, half of the slots busy, one at a time; times in microseconds\n");
  std::printf("%7s %12s %9s %9s %9s %7s\n", "workers", "decisions/s", "p50", "p99", "max",
              "failed");
  for (const std::size_t workers : {48U, 500U, 2000U}) MeasureDecisions(workers);
  std::printf("\nbytes of heap, least squares over three sizes, with the standard error\n");
  MeasureMemory();
}

}  // namespace
}  // namespace parsleyline::bench

int main() {
  parsleyline::SetMinimumSeverity(parsleyline::Severity::kError);
  parsleyline::bench::Run();
  return 0;
}
