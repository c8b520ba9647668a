#pragma once

#include <array>

#include "base/clock.h"
#include "base/units.h"

namespace parsleyline::queue {

/// Returns the dominant share (as in dominant resource fairness): the largest of the fractions of
/// the fleet's resources that `used` takes. Resources that the fleet does not have are ignored.
double DominantShare(const Resources& used, const Resources& fleet);

/// Returns `one` times `n` in each resource.
Resources Multiply(const Resources& one, std::uint32_t n);

/// Returns `a` minus `b` in each resource, but at least zero.
Resources SubtractClamped(const Resources& a, const Resources& b);

/// Capacity that other kinds leave free for service work, because service work cannot wait for a
/// long task to end. It follows the mean and the variance of recent demand, up to the floor of the
/// kind.
class ServiceReserve {
 public:
  /// Records the demand of running and queued service work from `now` on.
  void Observe(TimePoint now, const Resources& demand);

  /// Returns the capacity to leave free, given that service work already uses `used`: the mean
  /// demand plus `deviations` standard deviations, at most the floor, minus `used`.
  Resources ReservedCapacity(const Resources& used, const Resources& fleet,
                             std::uint32_t floor_permille, double deviations) const;

 private:
  /// Moving average and variance of the demand for one resource.
  struct Moments {
    double mean = 0;
    double variance = 0;
  };
  void Update(Moments* moments, double value, double weight) const;

  TimePoint last_;
  /// Demand since `last_`.
  Resources demand_;
  std::array<Moments, 4> moments_;
};

}  // namespace parsleyline::queue
