#include "placement/placement.h"

#include <array>

#include "placement/fit.h"
#include "placement/strategy.h"

namespace parsleyline::placement {

struct Placement::Impl {
  explicit Impl(PlacementOptions options) : state(options) {
    strategies = {MakeServiceStrategy(), MakeBatchStrategy(), MakeGangStrategy()};
  }

  Choice Probe(const Demand& demand, TimePoint now);

  PlacementState state;
  /// Indexed by Kind.
  std::array<std::unique_ptr<Strategy>, 3> strategies;
};

namespace {

struct NamedResource {
  std::string_view name;
  std::int64_t (*count)(const Resources&);
};

constexpr std::array<NamedResource, 4> kResources = {{
    {"cpu_millis", [](const Resources& r) { return r.cpu.count(); }},
    {"memory_mib", [](const Resources& r) { return r.memory.count(); }},
    {"accelerators", [](const Resources& r) { return r.accelerators.count(); }},
    {"slots", [](const Resources& r) { return r.slots.count(); }},
}};

std::string DescribeShortResource(const NamedResource& resource, std::int64_t need,
                                  std::int64_t have) {
  return "a task needs " + std::to_string(need) + " " + std::string(resource.name) +
         ", but the largest suitable worker has " + std::to_string(have);
}

// Names the insufficient resource. If some worker has enough of each resource, but no worker has
// enough of all, the text names the smallest relative shortage of any worker.
std::string DescribeShortage(const Resources& need, const std::vector<Resources>& capacities) {
  for (const auto& resource : kResources) {
    std::int64_t largest = 0;
    for (const auto& c : capacities) largest = std::max(largest, resource.count(c));
    if (resource.count(need) <= largest) continue;
    return DescribeShortResource(resource, resource.count(need), largest);
  }
  std::string text = "no worker is registered";
  double smallest_shortage = 2.0;
  for (const auto& c : capacities) {
    for (const auto& resource : kResources) {
      const auto wanted = resource.count(need);
      const double shortage =
          wanted <= 0 ? 0
                      : 1.0 - static_cast<double>(resource.count(c)) / static_cast<double>(wanted);
      if (shortage <= 0 || shortage >= smallest_shortage) continue;
      smallest_shortage = shortage;
      text = DescribeShortResource(resource, wanted, resource.count(c));
    }
  }
  return text;
}

}  // namespace

// Chooses a worker on probation whose probe is due. Only a request of a single task is used as a
// probe, and never a gang.
Choice Placement::Impl::Probe(const Demand& demand, TimePoint now) {
  if (demand.kind == Kind::kGang || demand.tasks != 1) return {};
  for (const WorkerIndex index : state.health.OnProbation()) {
    const Worker& worker = state.table.at(index);
    const bool is_due = state.health.IsProbeDue(index, now);
    if (worker.availability != Availability::kReady || !is_due) continue;
    const Resources usable =
        WithoutHeadroom(worker.free, worker.spec.capacity, demand.kind, state.options);
    if (!demand.per_task.FitsInto(usable)) continue;
    state.health.RecordProbe(index, now);
    return Choice{{index}, 1, "probe"};
  }
  return {};
}

Placement::Placement(PlacementOptions options) : impl_(std::make_unique<Impl>(options)) {}
Placement::~Placement() = default;

void Placement::UpsertWorker(const WorkerSpec& worker) {
  if (impl_->state.table.Upsert(worker)) impl_->state.reservation.Invalidate();
}

void Placement::RemoveWorker(const WorkerId& worker) {
  const auto index = impl_->state.table.Find(worker);
  if (!index) return;
  impl_->state.health.RemoveWorker(*index);
  impl_->state.table.Remove(*index);
  impl_->state.reservation.Invalidate();
}

void Placement::SetAvailability(const WorkerId& worker, Availability availability) {
  const auto index = impl_->state.table.Find(worker);
  if (!index || impl_->state.table.at(*index).availability == availability) return;
  impl_->state.table.SetAvailability(*index, availability);
  impl_->state.reservation.Invalidate();
}

Result<void> Placement::CheckCanEverFit(const Demand& demand) const {
  std::vector<Resources> capacities;
  std::int64_t fitting_tasks = 0;
  for (const auto& [capacity, n] : impl_->state.table.WorkersByCapacity()) {
    capacities.push_back(WithoutHeadroom(capacity, capacity, demand.kind, impl_->state.options));
    fitting_tasks += static_cast<std::int64_t>(n) *
                     CountFittingTasks(demand.per_task, capacities.back(), demand.tasks);
  }
  if (fitting_tasks == 0) {
    return Fail(ResultCode::kCanNeverFit, DescribeShortage(demand.per_task, capacities));
  }
  if (fitting_tasks < demand.tasks) {
    return Fail(ResultCode::kCanNeverFit,
                "all workers together can run only " + std::to_string(fitting_tasks) + " of the " +
                    std::to_string(demand.tasks) + " tasks at the same time");
  }
  return {};
}

Decision Placement::Choose(const Demand& demand, TimePoint now) {
  Choice choice = impl_->Probe(demand, now);
  if (choice.workers.empty()) {
    choice = impl_->strategies[static_cast<std::size_t>(demand.kind)]->Choose(demand, &impl_->state,
                                                                              now);
  }
  Decision decision;
  decision.candidates = choice.candidates;
  decision.reason = choice.reason;
  decision.workers.reserve(choice.workers.size());
  for (const WorkerIndex index : choice.workers) {
    decision.workers.push_back(impl_->state.table.at(index).spec.id);
  }
  return decision;
}

void Placement::Charge(FencingToken token, const WorkerId& worker, const Resources& resources) {
  Charge(token, worker, resources, TimePoint::max());
}

void Placement::Charge(FencingToken token, const WorkerId& worker, const Resources& resources,
                       TimePoint expected_end) {
  const auto index = impl_->state.table.Find(worker);
  if (index) impl_->state.table.Charge(token, *index, resources, expected_end);
}

void Placement::Release(FencingToken token) { impl_->state.table.Release(token); }

void Placement::RecordSuccess(const WorkerId& worker, const RequestId& /*job*/, TimePoint /*now*/) {
  const auto index = impl_->state.table.Find(worker);
  if (index) impl_->state.health.RecordSuccess(*index);
}

void Placement::RecordFailure(const WorkerId& worker, const RequestId& job, TimePoint now) {
  const auto index = impl_->state.table.Find(worker);
  if (index) impl_->state.health.RecordFailure(*index, job, now);
}

void Placement::DropReservation(const RequestId& job) { impl_->state.reservation.Release(job); }

void Placement::Tick(TimePoint now) { impl_->state.reservation.Expire(now); }

std::vector<Placement::WorkerView> Placement::Workers() const {
  std::vector<WorkerView> views;
  const WorkerTable& table = impl_->state.table;
  for (WorkerIndex i = 0; i < table.capacity(); ++i) {
    const Worker& worker = table.at(i);
    if (!worker.present) continue;
    views.push_back({worker.spec, worker.availability, worker.on_probation, worker.charged,
                     static_cast<std::uint32_t>(worker.charges.size())});
  }
  return views;
}

Resources Placement::TotalCapacity() const { return impl_->state.table.total_capacity(); }
Resources Placement::TotalCharged() const { return impl_->state.table.total_charged(); }

}  // namespace parsleyline::placement
