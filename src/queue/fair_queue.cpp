#include "queue/fair_queue.h"

#include <algorithm>
#include <set>
#include <string>
#include <unordered_map>

#include "queue/ordering.h"
#include "queue/shares.h"
#include "queue/team_queue.h"

namespace parsleyline::queue {

namespace {

// The head of a queue that did not fit is offered again after this time even if no task has ended,
// because capacity is also freed by events that the queue is not told of: workers join and
// reservations expire.
constexpr Milliseconds kRetryInterval{50};

// Limit of heads that do not fit in one pass. The next pass continues with the other queues, so
// that the length of a pass does not grow with the number of teams.
constexpr std::size_t kMaxFailedPlacementsPerPass = 16;

// Time for which other batch and gang work waits for one gang before another gang that does not fit
// may take its place. Without such a gang, the reserve lasts until the gang is placed or removed.
constexpr Milliseconds kGangReserveTimeout{10000};

// A queue counts as flooding if its team is above this multiple of its even share, or its kind
// above this multiple of its floor. The factor for kinds is lower because floors are set close to
// the usual need of a kind.
constexpr double kTeamFloodFactor = 4;
constexpr double kKindFloodFactor = 1.5;
// Number of standard deviations of the service demand that are kept free in addition to its mean,
// against a flooding queue and against any other. With 3 against both, 4% of the fleet was idle at
// 95% load, and batch work waited ten times longer.
constexpr double kReserveDeviationsInFlood = 3;
constexpr double kReserveDeviations = 0;

constexpr Milliseconds kMinRetryAfter{100};
constexpr Milliseconds kMaxRetryAfter{60000};
// The caller of a full queue is told to retry when 1/10 of the queue has drained.
constexpr std::uint64_t kRetryQueueDivisor = 10;

std::size_t Index(Kind kind) { return static_cast<std::size_t>(kind); }

// Returns the number of tasks that use `total`, which may be that of a request or of one task. Each
// task uses one slot.
std::uint64_t TaskCount(const Resources& total) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(total.slots.count(), 1));
}

/// Position of a queued request.
struct Location {
  TeamQueue* queue = nullptr;
  EntryKey key;
};

/// A queue whose head is a candidate of the current pass, with the rank as last computed.
struct Candidate {
  Rank rank;
  std::uint64_t sequence = 0;
  TeamQueue* queue = nullptr;

  // Reversed, so that the heap has the lowest rank on top.
  bool operator<(const Candidate& other) const {
    return std::tie(other.rank, other.sequence) < std::tie(rank, sequence);
  }
};

/// Capacity that is kept free for a gang that would violate the service reserve if it were placed
/// now. Otherwise smaller requests would take all capacity that becomes free.
struct GangReserve {
  RequestId id;
  Resources total;
  TimePoint until;
};

}  // namespace

struct FairQueue::Impl {
  Impl(QueuePolicy p, std::unique_ptr<Ordering> o)
      : policy(std::move(p)), ordering(o ? std::move(o) : MakeWeightedShares()) {}

  Team& TeamOf(const TeamId& id);
  TeamQueue& QueueOf(const TeamId& id, Kind kind) { return TeamOf(id).queues.at(Index(kind)); }

  std::optional<Rejection> CheckAdmission(const TeamQueue& queue,
                                          const QueuedRequest& request) const;
  bool AloneExceedsQuota(const Team& team, const QueuedRequest& request) const;
  void Erase(const Location& location);

  bool IsWithinQuota(const Team& team, const Resources& total) const;
  bool IsFlooding(const TeamQueue& queue) const;
  bool LeavesServiceReserve(const TeamQueue& queue, const QueuedRequest& head) const;
  bool MayPlace(const TeamQueue& queue, const QueuedRequest& head, TimePoint now);
  void RecordPlacementFailure(const TeamQueue& queue, const QueuedRequest& head, TimePoint now);
  void ReserveForGang(const QueuedRequest& gang, TimePoint now);
  void DropGangReserve(const RequestId& id);
  Milliseconds EstimateFor(const TeamQueue& queue, Milliseconds declared) const;
  Rank RankOf(const TeamQueue& queue) const;

  void AddRunning(TeamQueue* queue, const Resources& total, std::uint64_t tasks);
  void UpdateShare(Team* team);
  void UpdateKindShare(Kind kind);
  void UpdateActiveWeight(Team* team);
  void ObserveServiceDemand(TimePoint now);

  void MakeReady(TeamQueue* queue);
  void Block(TeamQueue* queue);
  void RetryBlockedIfDue(TimePoint now);
  std::vector<Candidate> CollectCandidates();
  void MarkPlaced(TeamQueue* queue, TimePoint now);

  QueuePolicy policy;
  std::unique_ptr<Ordering> ordering;
  Resources fleet;
  std::map<TeamId, Team> teams;
  std::unordered_map<RequestId, Location> location_by_id;
  std::set<std::pair<TimePoint, RequestId>> deadlines;
  std::uint64_t next_sequence = 0;

  /// Resources of running work, indexed by Kind.
  std::array<Resources, 3> running_by_kind;
  /// Dominant shares of `running_by_kind`.
  std::array<double, 3> kind_shares{};
  Resources running_total;
  /// Resources of queued service work.
  Resources queued_service;
  /// Sum of the weights of the teams that have work.
  double active_weight = 0;
  ServiceReserve service_reserve;
  std::optional<GangReserve> gang_reserve;
  /// The first gang that did not fit, for which placement therefore reserves workers. It is offered
  /// whenever capacity is freed, even if a gang of the same size has just not fitted.
  std::optional<RequestId> reserving_gang;
  TimePoint reserving_gang_until;

  /// Queues whose head is to be offered, and queues whose head could not be placed.
  std::vector<TeamQueue*> ready;
  std::vector<TeamQueue*> blocked;
  UnplaceableDemands unplaceable;
  bool capacity_was_freed = false;
  TimePoint last_unblock;
};

Team& FairQueue::Impl::TeamOf(const TeamId& id) {
  const auto [it, added] = teams.try_emplace(id);
  Team& team = it->second;
  if (!added) return team;
  team.id = id;
  const auto known = policy.teams.find(id);
  if (known != policy.teams.end()) team.policy = known->second;
  for (const Kind kind : kAllKinds) {
    team.queues.at(Index(kind)).team = &team;
    team.queues.at(Index(kind)).kind = kind;
  }
  return team;
}

bool FairQueue::Impl::AloneExceedsQuota(const Team& team, const QueuedRequest& request) const {
  const Resources total = Multiply(request.per_task, request.tasks);
  const TeamPolicy& limits = team.policy;
  return (limits.cpu_quota.count() > 0 && total.cpu > limits.cpu_quota) ||
         (limits.accelerator_quota.count() > 0 && total.accelerators > limits.accelerator_quota);
}

std::optional<Rejection> FairQueue::Impl::CheckAdmission(const TeamQueue& queue,
                                                         const QueuedRequest& request) const {
  if (AloneExceedsQuota(*queue.team, request)) {
    return Rejection{
        {ResultCode::kQuotaExceeded,
         "the request by itself exceeds the quota of team \"" + request.team.value() + "\""},
        Milliseconds(0)};
  }
  const KindPolicy& bounds = policy.kinds.at(Index(request.kind));
  const auto clamp = [](Milliseconds wait) {
    return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  };
  if (queue.requests.size() >= bounds.max_queued) {
    const auto wait = queue.drain_rate.TimeToDrain(queue.queued_tasks / kRetryQueueDivisor + 1);
    return Rejection{
        {ResultCode::kQueueFull, std::to_string(queue.requests.size()) + " requests of team \"" +
                                     request.team.value() + "\" and kind " +
                                     std::string(KindName(request.kind)) + " are queued"},
        clamp(wait.value_or(Milliseconds(1000)))};
  }
  const auto wait = queue.drain_rate.TimeToDrain(queue.queued_tasks + request.tasks);
  if (!queue.requests.empty() && wait && *wait > bounds.max_expected_wait) {
    return Rejection{{ResultCode::kWaitTooLong,
                      "the expected wait is " + std::to_string(wait->count()) + " ms, more than " +
                          std::to_string(bounds.max_expected_wait.count()) + " ms"},
                     clamp(*wait - bounds.max_expected_wait)};
  }
  return std::nullopt;
}

void FairQueue::Impl::Erase(const Location& location) {
  TeamQueue& queue = *location.queue;
  const auto it = queue.requests.find(location.key);
  const QueuedRequest& request = it->second;
  // The next request becomes the head and has not been offered yet.
  if (it == queue.requests.begin() && queue.is_blocked) {
    queue.is_blocked = false;
    std::erase(blocked, &queue);
    MakeReady(&queue);
  }
  queue.queued_tasks -= request.tasks;
  if (queue.kind == Kind::kService) queued_service -= Multiply(request.per_task, request.tasks);
  DropGangReserve(request.id);
  if (reserving_gang == request.id) reserving_gang.reset();
  deadlines.erase({request.deadline, request.id});
  location_by_id.erase(request.id);
  queue.requests.erase(it);
  queue.UpdateHead();
  UpdateActiveWeight(queue.team);
}

bool FairQueue::Impl::IsWithinQuota(const Team& team, const Resources& total) const {
  const TeamPolicy& limits = team.policy;
  const Resources after = team.running + total;
  return (limits.cpu_quota.count() == 0 || after.cpu <= limits.cpu_quota) &&
         (limits.accelerator_quota.count() == 0 || after.accelerators <= limits.accelerator_quota);
}

bool FairQueue::Impl::IsFlooding(const TeamQueue& queue) const {
  const double even_share = active_weight > 0 ? 1 / active_weight : 1;
  const double floor = policy.kinds.at(Index(queue.kind)).floor_permille / 1000.0;
  const double kind_share = kind_shares.at(Index(queue.kind));
  return queue.team->weighted_share > kTeamFloodFactor * even_share ||
         kind_share > kKindFloodFactor * floor;
}

// Returns whether placing `head` leaves the service reserve free. Only resources that service work
// needs are compared.
bool FairQueue::Impl::LeavesServiceReserve(const TeamQueue& queue,
                                           const QueuedRequest& head) const {
  if (queue.kind == Kind::kService || fleet == Resources{}) return true;
  const Resources withheld = service_reserve.ReservedCapacity(
      running_by_kind[Index(Kind::kService)], fleet,
      policy.kinds[Index(Kind::kService)].floor_permille,
      IsFlooding(queue) ? kReserveDeviationsInFlood : kReserveDeviations);
  Resources left = fleet - running_total - Multiply(head.per_task, head.tasks);
  if (gang_reserve && gang_reserve->id != head.id) left -= gang_reserve->total;
  const auto leaves = [](auto reserve, auto rest) {
    return reserve.count() == 0 || rest >= reserve;
  };
  return leaves(withheld.cpu, left.cpu) && leaves(withheld.memory, left.memory) &&
         leaves(withheld.accelerators, left.accelerators) && leaves(withheld.slots, left.slots);
}

bool FairQueue::Impl::MayPlace(const TeamQueue& queue, const QueuedRequest& head, TimePoint now) {
  if (!IsWithinQuota(*queue.team, Multiply(head.per_task, head.tasks))) return false;
  if (!LeavesServiceReserve(queue, head)) {
    if (queue.kind == Kind::kGang) ReserveForGang(head, now);
    return false;
  }
  if (reserving_gang == head.id) return true;
  return !unplaceable.KnownNotToFit(queue.kind, head, EstimateFor(queue, head.estimate));
}

void FairQueue::Impl::RecordPlacementFailure(const TeamQueue& queue, const QueuedRequest& head,
                                             TimePoint now) {
  unplaceable.Add(queue.kind, head, EstimateFor(queue, head.estimate));
  if (queue.kind != Kind::kGang || (reserving_gang && now < reserving_gang_until)) return;
  reserving_gang = head.id;
  reserving_gang_until = now + kGangReserveTimeout;
}

void FairQueue::Impl::ReserveForGang(const QueuedRequest& gang, TimePoint now) {
  if (gang_reserve && now < gang_reserve->until) return;
  gang_reserve =
      GangReserve{gang.id, Multiply(gang.per_task, gang.tasks), now + kGangReserveTimeout};
}

void FairQueue::Impl::DropGangReserve(const RequestId& id) {
  if (!gang_reserve || gang_reserve->id != id) return;
  gang_reserve.reset();
  capacity_was_freed = true;
}

Milliseconds FairQueue::Impl::EstimateFor(const TeamQueue& queue, Milliseconds declared) const {
  return queue.run_time_estimator.Estimate().value_or(declared);
}

Rank FairQueue::Impl::RankOf(const TeamQueue& queue) const {
  HeadView view;
  view.head = queue.head;
  view.kind = queue.kind;
  view.team_share = queue.team->weighted_share;
  view.even_share = active_weight > 0 ? 1 / active_weight : 1;
  view.kind_share = kind_shares.at(Index(queue.kind));
  view.kind_floor = policy.kinds.at(Index(queue.kind)).floor_permille / 1000.0;
  return ordering->RankHead(view);
}

void FairQueue::Impl::AddRunning(TeamQueue* queue, const Resources& total, std::uint64_t tasks) {
  queue->running_tasks += tasks;
  queue->team->running += total;
  running_by_kind.at(Index(queue->kind)) += total;
  running_total += total;
  UpdateShare(queue->team);
  UpdateKindShare(queue->kind);
  UpdateActiveWeight(queue->team);
}

void FairQueue::Impl::UpdateShare(Team* team) {
  const double weight = std::max<std::uint32_t>(team->policy.weight, 1);
  team->weighted_share = DominantShare(team->running, fleet) / weight;
}

void FairQueue::Impl::UpdateKindShare(Kind kind) {
  kind_shares.at(Index(kind)) = DominantShare(running_by_kind.at(Index(kind)), fleet);
}

void FairQueue::Impl::UpdateActiveWeight(Team* team) {
  const bool active = team->HasWork();
  if (active == team->is_active) return;
  const double weight = std::max<std::uint32_t>(team->policy.weight, 1);
  active_weight += active ? weight : -weight;
  team->is_active = active;
}

void FairQueue::Impl::ObserveServiceDemand(TimePoint now) {
  service_reserve.Observe(now, running_by_kind[Index(Kind::kService)] + queued_service);
}

void FairQueue::Impl::MakeReady(TeamQueue* queue) {
  if (queue->is_ready || queue->is_blocked) return;
  queue->is_ready = true;
  ready.push_back(queue);
}

void FairQueue::Impl::Block(TeamQueue* queue) {
  queue->is_blocked = true;
  blocked.push_back(queue);
}

// Makes the blocked queues ready again if capacity was freed or the retry interval has passed. Does
// nothing while many queues are blocked and others have not been offered yet: with many teams, the
// latter would otherwise never be reached.
void FairQueue::Impl::RetryBlockedIfDue(TimePoint now) {
  if (!capacity_was_freed && now - last_unblock < kRetryInterval) return;
  unplaceable.Clear();
  if (!ready.empty() && blocked.size() >= kMaxFailedPlacementsPerPass) return;
  capacity_was_freed = false;
  last_unblock = now;
  for (TeamQueue* queue : blocked) {
    queue->is_blocked = false;
    MakeReady(queue);
  }
  blocked.clear();
}

std::vector<Candidate> FairQueue::Impl::CollectCandidates() {
  std::vector<Candidate> heap;
  heap.reserve(ready.size());
  for (TeamQueue* queue : ready) {
    queue->is_ready = false;
    if (queue->head == nullptr) continue;
    heap.push_back({RankOf(*queue), queue->head_sequence, queue});
  }
  ready.clear();
  std::make_heap(heap.begin(), heap.end());
  return heap;
}

void FairQueue::Impl::MarkPlaced(TeamQueue* queue, TimePoint now) {
  const auto& [key, head] = *queue->requests.begin();
  const Resources total = Multiply(head.per_task, head.tasks);
  queue->drain_rate.Advance(now, true);
  queue->drain_rate.RecordDrained(head.tasks);
  Erase({queue, key});
  AddRunning(queue, total, TaskCount(total));
}

FairQueue::FairQueue(QueuePolicy policy) : FairQueue(std::move(policy), nullptr) {}
FairQueue::FairQueue(QueuePolicy policy, std::unique_ptr<Ordering> ordering)
    : impl_(std::make_unique<Impl>(std::move(policy), std::move(ordering))) {}
FairQueue::~FairQueue() = default;

void FairQueue::SetPolicy(QueuePolicy policy) {
  impl_->policy = std::move(policy);
  impl_->active_weight = 0;
  for (auto& [id, team] : impl_->teams) {
    const auto it = impl_->policy.teams.find(id);
    team.policy = it == impl_->policy.teams.end() ? TeamPolicy{} : it->second;
    team.is_active = false;
    impl_->UpdateShare(&team);
    impl_->UpdateActiveWeight(&team);
  }
  impl_->capacity_was_freed = true;
}

void FairQueue::SetFleetCapacity(const Resources& capacity) {
  if (impl_->fleet == capacity) return;
  impl_->fleet = capacity;
  for (auto& [id, team] : impl_->teams) impl_->UpdateShare(&team);
  for (const Kind kind : kAllKinds) impl_->UpdateKindShare(kind);
  impl_->capacity_was_freed = true;
}

tl::expected<void, Rejection> FairQueue::Push(const QueuedRequest& request, TimePoint now) {
  if (Contains(request.id)) return {};
  TeamQueue& queue = impl_->QueueOf(request.team, request.kind);
  queue.drain_rate.Advance(now, !queue.requests.empty());
  if (auto rejection = impl_->CheckAdmission(queue, request)) {
    ++queue.rejected_total;
    return tl::make_unexpected(std::move(*rejection));
  }
  const EntryKey key{impl_->ordering->KeyInQueue(request), impl_->next_sequence++};
  const auto it = queue.requests.emplace(key, request).first;
  queue.UpdateHead();
  // The request becomes the head of a blocked queue and has not been offered yet.
  if (it == queue.requests.begin() && queue.is_blocked) {
    queue.is_blocked = false;
    std::erase(impl_->blocked, &queue);
  }
  queue.queued_tasks += request.tasks;
  if (request.kind == Kind::kService) {
    impl_->queued_service += Multiply(request.per_task, request.tasks);
    impl_->ObserveServiceDemand(now);
  }
  impl_->location_by_id.emplace(request.id, Location{&queue, key});
  if (request.deadline != TimePoint{}) impl_->deadlines.emplace(request.deadline, request.id);
  impl_->UpdateActiveWeight(queue.team);
  impl_->MakeReady(&queue);
  return {};
}

bool FairQueue::Remove(const RequestId& id) {
  const auto it = impl_->location_by_id.find(id);
  if (it == impl_->location_by_id.end()) return false;
  impl_->Erase(Location(it->second));
  return true;
}

std::size_t FairQueue::Dispatch(TimePoint now, std::size_t limit,
                                const std::function<bool(const QueuedRequest&)>& try_place) {
  impl_->RetryBlockedIfDue(now);
  impl_->ObserveServiceDemand(now);
  std::vector<Candidate> heap = impl_->CollectCandidates();
  std::size_t placed = 0;
  std::size_t failed_placements = 0;
  while (!heap.empty() && placed < limit && failed_placements < kMaxFailedPlacementsPerPass) {
    std::pop_heap(heap.begin(), heap.end());
    Candidate candidate = heap.back();
    heap.pop_back();
    TeamQueue* queue = candidate.queue;
    // The rank has grown if other requests of the team or kind were placed since it was computed.
    const Rank rank = impl_->RankOf(*queue);
    if (rank > candidate.rank) {
      candidate.rank = rank;
      heap.push_back(candidate);
      std::push_heap(heap.begin(), heap.end());
      continue;
    }
    const QueuedRequest& head = *queue->head;
    if (!impl_->MayPlace(*queue, head, now)) {
      impl_->Block(queue);
      continue;
    }
    if (!try_place(head)) {
      ++failed_placements;
      impl_->RecordPlacementFailure(*queue, head, now);
      impl_->Block(queue);
      continue;
    }
    ++placed;
    impl_->MarkPlaced(queue, now);
    if (queue->requests.empty()) continue;
    heap.push_back({impl_->RankOf(*queue), queue->head_sequence, queue});
    std::push_heap(heap.begin(), heap.end());
  }
  for (const Candidate& candidate : heap) impl_->MakeReady(candidate.queue);
  return placed;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  while (!impl_->deadlines.empty() && impl_->deadlines.begin()->first <= now) {
    const Location location = impl_->location_by_id.at(impl_->deadlines.begin()->second);
    location.queue->drain_rate.Advance(now, true);
    expired.push_back(location.queue->requests.at(location.key));
    impl_->Erase(location);
  }
  return expired;
}

void FairQueue::AddRunning(const TeamId& team, Kind kind, const Resources& total) {
  impl_->AddRunning(&impl_->QueueOf(team, kind), total, TaskCount(total));
}

void FairQueue::RemoveRunning(const TeamId& team, Kind kind, const Resources& total,
                              Milliseconds run_time) {
  TeamQueue& queue = impl_->QueueOf(team, kind);
  if (run_time.count() > 0) queue.run_time_estimator.Observe(run_time);
  queue.running_tasks -= std::min(queue.running_tasks, TaskCount(total));
  queue.team->running = SubtractClamped(queue.team->running, total);
  Resources& of_kind = impl_->running_by_kind.at(Index(kind));
  of_kind = SubtractClamped(of_kind, total);
  impl_->running_total = SubtractClamped(impl_->running_total, total);
  impl_->UpdateShare(queue.team);
  impl_->UpdateKindShare(kind);
  impl_->UpdateActiveWeight(queue.team);
  impl_->capacity_was_freed = true;
}

Milliseconds FairQueue::Estimate(const TeamId& team, Kind kind, Milliseconds declared) const {
  const auto it = impl_->teams.find(team);
  if (it == impl_->teams.end()) return declared;
  return impl_->EstimateFor(it->second.queues.at(Index(kind)), declared);
}

bool FairQueue::Contains(const RequestId& id) const { return impl_->location_by_id.contains(id); }
std::size_t FairQueue::size() const { return impl_->location_by_id.size(); }

std::vector<FairQueue::Row> FairQueue::Rows(TimePoint now) const {
  std::vector<Row> rows;
  for (const auto& [id, team] : impl_->teams) {
    for (const TeamQueue& queue : team.queues) {
      if (queue.requests.empty() && queue.running_tasks == 0) continue;
      Row row{id, queue.kind, queue.requests.size(), queue.running_tasks, queue.rejected_total, {}};
      if (!queue.requests.empty()) {
        const auto waited = now - queue.requests.begin()->second.enqueued;
        row.oldest_wait = std::chrono::duration_cast<Milliseconds>(waited);
      }
      rows.push_back(row);
    }
  }
  return rows;
}

}  // namespace parsleyline::queue
