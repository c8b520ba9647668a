#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <tuple>

namespace parsleyline {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// A count in one unit that cannot be mixed with a count in another unit.
template <typename Tag>
class Quantity {
 public:
  using RepType = std::int64_t;

  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t count) : count_(count) {}

  constexpr std::int64_t count() const { return count_; }
  constexpr auto operator<=>(const Quantity&) const = default;
  constexpr Quantity& operator+=(Quantity other) {
    count_ += other.count_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    count_ -= other.count_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
  friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }

 private:
  std::int64_t count_ = 0;
};

/// Processor time in thousandths of a core.
using MilliCpu = Quantity<struct MilliCpuTag>;
/// Memory in units of 2^20 bytes.
using Mebibytes = Quantity<struct MebibytesTag>;
/// Whole accelerators.
using Accelerators = Quantity<struct AcceleratorsTag>;
/// Places for running tasks on one worker.
using Slots = Quantity<struct SlotsTag>;

/// What one task needs, or what one worker has.
struct Resources {
  MilliCpu cpu;
  Mebibytes memory;
  Accelerators accelerators;
  Slots slots;

  auto operator<=>(const Resources&) const = default;
  auto Fields() { return std::tie(cpu, memory, accelerators, slots); }

  Resources& operator+=(const Resources& other) {
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }

  /// Raises each resource to that of `other` where that is more.
  void RaiseTo(const Resources& other) {
    cpu = std::max(cpu, other.cpu);
    memory = std::max(memory, other.memory);
    accelerators = std::max(accelerators, other.accelerators);
    slots = std::max(slots, other.slots);
  }

  /// Tells whether a task with this demand fits into `available` in every resource.
  bool FitsInto(const Resources& available) const {
    return cpu <= available.cpu && memory <= available.memory &&
           accelerators <= available.accelerators && slots <= available.slots;
  }
};

}  // namespace parsleyline
