#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "bench/placement/workload.h"

namespace parsleyline::bench {

/// Placement algorithm: that of parsleyline or a baseline.
class Placer {
 public:
  virtual ~Placer() = default;

  /// Returns a worker for each task of the demand, or none if it does not fit.
  virtual std::vector<WorkerId> Choose(const placement::Demand& demand, TimePoint now) = 0;
  virtual void Charge(FencingToken token, const WorkerId& worker, const Resources& resources,
                      TimePoint expected_end) = 0;
  virtual void Release(FencingToken token) = 0;

  /// Drops the reservation of a job that is not offered again.
  virtual void DropReservation(const RequestId& /*job*/) {}
};

enum class PlacerType { kParsleyline, kFirstFit, kRandomOfTwo };
inline constexpr std::array<PlacerType, 3> kAllPlacers = {
    PlacerType::kParsleyline, PlacerType::kFirstFit, PlacerType::kRandomOfTwo};

std::string_view PlacerName(PlacerType type);

/// Creates a placer for the workers of a fleet. `seed` determines its random choices.
std::unique_ptr<Placer> MakePlacer(PlacerType type, const Fleet& fleet, std::uint64_t seed);

placement::Demand DemandOf(const queue::QueuedRequest& request);

}  // namespace parsleyline::bench
