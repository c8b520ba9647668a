#include "queue/ordering.h"

#include <array>

namespace parsleyline::queue {

namespace {

std::int64_t Ticks(TimePoint time) { return time.time_since_epoch().count(); }

double ArrivalKey(const HeadView& view) { return static_cast<double>(Ticks(view.head->enqueued)); }

class WeightedShares : public Ordering {
 public:
  Rank RankHead(const HeadView& view) const override {
    if (view.kind_share < view.kind_floor) {
      // The kind with the smallest part of its floor goes first, and within a kind the team with
      // the lowest share.
      return {0, view.kind_share / view.kind_floor + view.team_share * kTeamTieBreak};
    }
    const bool urgent = view.kind == Kind::kService && view.team_share < view.even_share;
    return {urgent ? 1 : 2, view.team_share};
  }

 private:
  // Weight of the team's share. A share of 1 changes the key by no more than a thousandth of the
  // kind's floor.
  static constexpr double kTeamTieBreak = 1e-3;
};

class StrictTiers : public Ordering {
 public:
  Rank RankHead(const HeadView& view) const override {
    // Indexed by Kind: service, batch, gang.
    constexpr std::array<int, 3> kTiers = {0, 2, 1};
    return {kTiers.at(static_cast<std::size_t>(view.kind)), ArrivalKey(view)};
  }
};

class ArrivalBump : public Ordering {
 public:
  Rank RankHead(const HeadView& view) const override {
    // Indexed by Kind: service, batch, gang.
    constexpr std::array<Milliseconds, 3> kHeadStarts = {Milliseconds(30000), Milliseconds(0),
                                                         Milliseconds(10000)};
    const Duration head_start = kHeadStarts.at(static_cast<std::size_t>(view.kind));
    return {0, ArrivalKey(view) - static_cast<double>(head_start.count())};
  }
};

class EarliestDeadline : public Ordering {
 public:
  std::int64_t KeyInQueue(const QueuedRequest& request) const override {
    return Ticks(request.deadline);
  }
  Rank RankHead(const HeadView& view) const override {
    return {0, static_cast<double>(Ticks(view.head->deadline))};
  }
};

}  // namespace

std::int64_t Ordering::KeyInQueue(const QueuedRequest& request) const {
  return Ticks(request.enqueued);
}

std::unique_ptr<Ordering> MakeWeightedShares() { return std::make_unique<WeightedShares>(); }
std::unique_ptr<Ordering> MakeStrictTiers() { return std::make_unique<StrictTiers>(); }
std::unique_ptr<Ordering> MakeArrivalBump() { return std::make_unique<ArrivalBump>(); }
std::unique_ptr<Ordering> MakeEarliestDeadline() { return std::make_unique<EarliestDeadline>(); }

}  // namespace parsleyline::queue
