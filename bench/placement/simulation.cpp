#include "bench/placement/simulation.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <unordered_map>

#include "queue/ordering.h"

namespace parsleyline::bench {

namespace {

using queue::QueuedRequest;
using TryPlace = std::function<bool(const QueuedRequest&)>;

// Queue discipline: decides which request is offered next.
class QueueDiscipline {
 public:
  virtual ~QueueDiscipline() = default;
  virtual bool Push(const QueuedRequest& request, TimePoint now) = 0;
  virtual void Dispatch(TimePoint now, const TryPlace& try_place) = 0;
  virtual void OnJobEnd(const Job& job) = 0;
  virtual std::vector<QueuedRequest> TakeExpired(TimePoint now) = 0;
  virtual Milliseconds Estimate(const QueuedRequest& request) const = 0;
};

class FairQueueDiscipline : public QueueDiscipline {
 public:
  FairQueueDiscipline(const System& system, const Resources& fleet)
      : queue_(system.policy, system.ordering()) {
    queue_.SetFleetCapacity(fleet);
  }
  bool Push(const QueuedRequest& request, TimePoint now) override {
    return queue_.Push(request, now).has_value();
  }
  void Dispatch(TimePoint now, const TryPlace& try_place) override {
    queue_.Dispatch(now, 1000, try_place);
  }
  void OnJobEnd(const Job& job) override {
    const QueuedRequest& request = job.request;
    Resources total;
    for (std::uint32_t i = 0; i < request.tasks; ++i) total += request.per_task;
    queue_.RemoveRunning(request.team, request.kind, total,
                         std::chrono::duration_cast<Milliseconds>(job.run_time));
  }
  std::vector<QueuedRequest> TakeExpired(TimePoint now) override { return queue_.TakeExpired(now); }
  Milliseconds Estimate(const QueuedRequest& request) const override {
    return queue_.Estimate(request.team, request.kind, request.estimate);
  }

 private:
  queue::FairQueue queue_;
};

class FifoDiscipline : public QueueDiscipline {
 public:
  bool Push(const QueuedRequest& request, TimePoint /*now*/) override {
    queue_.push_back(request);
    return true;
  }
  void Dispatch(TimePoint /*now*/, const TryPlace& try_place) override {
    while (!queue_.empty() && try_place(queue_.front())) queue_.pop_front();
  }
  void OnJobEnd(const Job& /*job*/) override {}
  std::vector<QueuedRequest> TakeExpired(TimePoint now) override {
    std::vector<QueuedRequest> expired;
    while (!queue_.empty() && queue_.front().deadline <= now) {
      expired.push_back(queue_.front());
      queue_.pop_front();
    }
    return expired;
  }
  Milliseconds Estimate(const QueuedRequest& request) const override { return request.estimate; }

 private:
  std::deque<QueuedRequest> queue_;
};

// Serves the queues of all teams and kinds in order of arrival.
class ArrivalOrdering : public queue::Ordering {
 public:
  queue::Rank RankHead(const queue::HeadView& view) const override {
    return {0, static_cast<double>(view.head->enqueued.time_since_epoch().count())};
  }
};

// End of a running job.
struct JobEnd {
  TimePoint at;
  std::size_t job = 0;
  std::vector<FencingToken> tokens;

  // Reversed, so that std::priority_queue has the earliest end on top.
  bool operator<(const JobEnd& other) const { return at > other.at; }
};

class Simulation {
 public:
  Simulation(const Fleet& fleet, const System& system, const std::vector<Job>& jobs,
             std::uint64_t seed)
      : jobs_(jobs), placer_(MakePlacer(system.placer, fleet, seed)) {
    if (system.ordering) {
      discipline_ = std::make_unique<FairQueueDiscipline>(system, fleet.Total());
    } else {
      discipline_ = std::make_unique<FifoDiscipline>();
    }
    for (const Job& job : jobs) {
      index_.emplace(job.request.id, result_.records.size());
      result_.records.push_back({&job, std::nullopt, false});
    }
  }

  SimulationResult Run() {
    std::size_t next = 0;
    TimePoint next_tick = Origin();
    while (next < jobs_.size() || !job_ends_.empty()) {
      now_ = next_tick;
      if (next < jobs_.size()) now_ = std::min(now_, jobs_[next].request.enqueued);
      if (!job_ends_.empty()) now_ = std::min(now_, job_ends_.top().at);
      if (now_ == next_tick) {
        next_tick += kTick;
        for (const auto& request : discipline_->TakeExpired(now_))
          placer_->DropReservation(request.id);
      }
      while (!job_ends_.empty() && job_ends_.top().at <= now_) End();
      while (next < jobs_.size() && jobs_[next].request.enqueued <= now_) Arrive(next++);
      Dispatch();
    }
    return std::move(result_);
  }

 private:
  static constexpr Milliseconds kTick{50};

  void Arrive(std::size_t job) {
    result_.records[job].rejected = !discipline_->Push(jobs_[job].request, now_);
  }

  void End() {
    const JobEnd job_end = job_ends_.top();
    job_ends_.pop();
    for (const FencingToken token : job_end.tokens) placer_->Release(token);
    discipline_->OnJobEnd(jobs_[job_end.job]);
  }

  void Dispatch() {
    const auto start = std::chrono::steady_clock::now();
    discipline_->Dispatch(now_, [this](const QueuedRequest& request) { return Start(request); });
    result_.longest_dispatch = std::max<std::chrono::nanoseconds>(
        result_.longest_dispatch, std::chrono::steady_clock::now() - start);
  }

  bool Start(const QueuedRequest& request) {
    placement::Demand demand = DemandOf(request);
    demand.estimate = discipline_->Estimate(request);
    const auto workers = placer_->Choose(demand, now_);
    if (workers.empty()) return false;
    const std::size_t job = index_.at(request.id);
    JobEnd job_end{now_ + jobs_[job].run_time, job, {}};
    for (const WorkerId& worker : workers) {
      job_end.tokens.emplace_back(++last_token_);
      placer_->Charge(job_end.tokens.back(), worker, request.per_task, now_ + demand.estimate);
    }
    job_ends_.push(std::move(job_end));
    result_.records[job].started = now_;
    return true;
  }

  const std::vector<Job>& jobs_;
  std::unique_ptr<Placer> placer_;
  std::unique_ptr<QueueDiscipline> discipline_;
  std::unordered_map<RequestId, std::size_t> index_;
  std::priority_queue<JobEnd> job_ends_;
  SimulationResult result_;
  TimePoint now_;
  std::uint64_t last_token_ = 0;
};

queue::QueuePolicy PolicyWithFloors(std::array<std::uint32_t, 3> floors_permille) {
  queue::QueuePolicy policy;
  for (std::size_t i = 0; i < 3; ++i) policy.kinds.at(i).floor_permille = floors_permille.at(i);
  return policy;
}

}  // namespace

System ParsleylineSystem(std::array<std::uint32_t, 3> floors_permille) {
  return {"parsleyline", PlacerType::kParsleyline, queue::MakeWeightedShares,
          PolicyWithFloors(floors_permille)};
}

std::vector<System> BaselineSystems() {
  const auto arrival = [] { return std::make_unique<ArrivalOrdering>(); };
  const queue::QueuePolicy policy = PolicyWithFloors({0, 0, 0});
  return {{"fifo", PlacerType::kFirstFit, nullptr, policy},
          {"first_fit", PlacerType::kFirstFit, arrival, policy},
          {"random_of_two", PlacerType::kRandomOfTwo, arrival, policy}};
}

double JobRecord::WaitMs() const {
  // A job that never started waited until its deadline, unless it was rejected on arrival.
  const TimePoint until = started    ? *started
                          : rejected ? job->request.enqueued
                                     : job->request.deadline;
  return std::chrono::duration<double, std::milli>(until - job->request.enqueued).count();
}

SimulationResult Simulate(const Fleet& fleet, const System& system, const std::vector<Job>& jobs,
                          std::uint64_t seed) {
  return Simulation(fleet, system, jobs, seed).Run();
}

TimePoint Origin() { return TimePoint(std::chrono::hours(1)); }

std::vector<double> Waits(const SimulationResult& result, Duration from, Duration to,
                          const std::function<bool(const Job&)>& filter) {
  std::vector<double> waits;
  for (const JobRecord& record : result.records) {
    const Duration at = record.job->request.enqueued - Origin();
    if (at < from || at >= to || record.rejected || !filter(*record.job)) continue;
    waits.push_back(record.WaitMs());
  }
  return waits;
}

double UsedShare(const SimulationResult& result, const Resources& fleet, Duration from, Duration to,
                 const std::function<bool(const Job&)>& filter) {
  double cpu = 0;
  double memory = 0;
  double slots = 0;
  for (const JobRecord& record : result.records) {
    if (!record.started || !filter(*record.job)) continue;
    const TimePoint begin = std::max(*record.started, Origin() + from);
    const TimePoint end = std::min(*record.started + record.job->run_time, Origin() + to);
    if (end <= begin) continue;
    const Resources& size = record.job->request.per_task;
    const double seconds =
        std::chrono::duration<double>(end - begin).count() * record.job->request.tasks;
    cpu += static_cast<double>(size.cpu.count()) * seconds;
    memory += static_cast<double>(size.memory.count()) * seconds;
    slots += seconds;
  }
  const double length = std::chrono::duration<double>(to - from).count();
  return std::max({cpu / static_cast<double>(fleet.cpu.count()),
                   memory / static_cast<double>(fleet.memory.count()),
                   slots / static_cast<double>(fleet.slots.count())}) /
         length;
}

}  // namespace parsleyline::bench
