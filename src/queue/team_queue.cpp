#include "queue/team_queue.h"

#include <algorithm>

namespace parsleyline::queue {

namespace {
// With more demands than this, the comparisons take longer than the attempts that they save.
constexpr std::size_t kMaxDemands = 24;
}  // namespace

void TeamQueue::UpdateHead() {
  head = requests.empty() ? nullptr : &requests.begin()->second;
  head_sequence = requests.empty() ? 0 : requests.begin()->first.second;
}

bool Team::HasWork() const {
  return std::any_of(queues.begin(), queues.end(), [](const TeamQueue& queue) {
    return !queue.requests.empty() || queue.running_tasks > 0;
  });
}

void UnplaceableDemands::Add(Kind kind, const QueuedRequest& request, Milliseconds estimate) {
  if (demands_.size() >= kMaxDemands) return;
  demands_.push_back({kind, request.per_task, request.tasks, estimate});
}

bool UnplaceableDemands::KnownNotToFit(Kind kind, const QueuedRequest& request,
                                       Milliseconds estimate) const {
  return std::any_of(demands_.begin(), demands_.end(), [&](const FailedDemand& m) {
    // An estimate of zero means that the run time is unknown. It counts as the longest.
    const bool as_long =
        estimate.count() == 0 || (m.estimate.count() > 0 && estimate >= m.estimate);
    return m.kind == kind && as_long && m.tasks <= request.tasks &&
           m.per_task.FitsInto(request.per_task);
  });
}

}  // namespace parsleyline::queue
