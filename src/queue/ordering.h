#pragma once

#include <cstdint>
#include <memory>

#include "queue/fair_queue.h"

namespace parsleyline::queue {

/// The first request in the queue of one team and kind, with the shares that its rank depends on.
struct HeadView {
  const QueuedRequest* head = nullptr;
  Kind kind = Kind::kBatch;
  /// Dominant share of the team's running work, divided by the weight of the team.
  double team_share = 0;
  /// Weighted share of every team if the teams that have work divided the fleet by weight.
  double even_share = 1;
  /// Dominant share of the kind's running work.
  double kind_share = 0;
  /// Dominant share that the kind is guaranteed.
  double kind_floor = 0;
};

/// Priority of a queue's first request among those of all queues. The lowest tier goes first, then
/// the lowest key.
struct Rank {
  int tier = 0;
  double key = 0;

  auto operator<=>(const Rank&) const = default;
};

/// Order in which queued requests are offered for placement. The rank of a queue may only grow
/// while requests are placed.
class Ordering {
 public:
  virtual ~Ordering() = default;

  /// Sort key of a request within the queue of its team and kind; the lowest goes first. By default
  /// the time of arrival.
  virtual std::int64_t KeyInQueue(const QueuedRequest& request) const;

  /// Rank of a queue's first request.
  virtual Rank RankHead(const HeadView& view) const = 0;
};

/// Kinds below their floor go first, then service work of teams below their even share, then the
/// team with the lowest weighted dominant share.
std::unique_ptr<Ordering> MakeWeightedShares();

/// Service work goes before gangs and gangs before batch work, each in order of arrival.
std::unique_ptr<Ordering> MakeStrictTiers();

/// In order of arrival, as if service work and gangs had arrived earlier by a fixed time.
std::unique_ptr<Ordering> MakeArrivalBump();

/// In order of deadlines.
std::unique_ptr<Ordering> MakeEarliestDeadline();

}  // namespace parsleyline::queue
