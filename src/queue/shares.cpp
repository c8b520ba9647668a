#include "queue/shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace parsleyline::queue {

namespace {
// Time constant of the moving average of the demand. It is longer than the pauses between bursts of
// service requests, and short enough that batch work gets the capacity soon after service work has
// ended.
constexpr Milliseconds kDemandTimeConstant{10000};

template <typename Op>
Resources Combine(const Resources& a, const Resources& b, Op op) {
  Resources out;
  out.cpu = MilliCpu(op(a.cpu.count(), b.cpu.count()));
  out.memory = Mebibytes(op(a.memory.count(), b.memory.count()));
  out.accelerators = Accelerators(op(a.accelerators.count(), b.accelerators.count()));
  out.slots = Slots(op(a.slots.count(), b.slots.count()));
  return out;
}

double Fraction(std::int64_t used, std::int64_t total) {
  return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
}
}  // namespace

double DominantShare(const Resources& used, const Resources& fleet) {
  return std::max({Fraction(used.cpu.count(), fleet.cpu.count()),
                   Fraction(used.memory.count(), fleet.memory.count()),
                   Fraction(used.accelerators.count(), fleet.accelerators.count()),
                   Fraction(used.slots.count(), fleet.slots.count())});
}

Resources Multiply(const Resources& one, std::uint32_t n) {
  return Combine(one, one, [n](std::int64_t x, std::int64_t) { return x * n; });
}

Resources SubtractClamped(const Resources& a, const Resources& b) {
  return Combine(a, b,
                 [](std::int64_t x, std::int64_t y) { return std::max<std::int64_t>(x - y, 0); });
}

void ServiceReserve::Observe(TimePoint now, const Resources& demand) {
  if (now > last_) {
    const double elapsed = std::chrono::duration<double>(now - last_).count();
    const double time_constant = std::chrono::duration<double>(kDemandTimeConstant).count();
    const double weight = elapsed / (time_constant + elapsed);
    Update(&moments_[0], static_cast<double>(demand_.cpu.count()), weight);
    Update(&moments_[1], static_cast<double>(demand_.memory.count()), weight);
    Update(&moments_[2], static_cast<double>(demand_.accelerators.count()), weight);
    Update(&moments_[3], static_cast<double>(demand_.slots.count()), weight);
    last_ = now;
  }
  demand_ = demand;
}

void ServiceReserve::Update(Moments* moments, double value, double weight) const {
  const double difference = value - moments->mean;
  moments->mean += weight * difference;
  moments->variance = (1 - weight) * (moments->variance + weight * difference * difference);
}

Resources ServiceReserve::ReservedCapacity(const Resources& used, const Resources& fleet,
                                           std::uint32_t floor_permille, double deviations) const {
  const auto keep = [floor_permille, deviations](const Moments& moments, std::int64_t total) {
    const double wanted = moments.mean + deviations * std::sqrt(moments.variance);
    return std::min<std::int64_t>(std::llround(wanted), total * floor_permille / 1000);
  };
  Resources target;
  target.cpu = MilliCpu(keep(moments_[0], fleet.cpu.count()));
  target.memory = Mebibytes(keep(moments_[1], fleet.memory.count()));
  target.accelerators = Accelerators(keep(moments_[2], fleet.accelerators.count()));
  target.slots = Slots(keep(moments_[3], fleet.slots.count()));
  return SubtractClamped(target, used);
}

}  // namespace parsleyline::queue
