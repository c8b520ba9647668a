#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <tuple>

namespace parsleyline {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Amount in one unit. Amounts with different tags are different types and cannot be mixed.
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

/// CPU capacity in thousandths of a core.
using MilliCpu = Quantity<struct MilliCpuTag>;
/// Memory in MiB (2^20 bytes).
using Mebibytes = Quantity<struct MebibytesTag>;
/// Number of accelerators; they are not divisible.
using Accelerators = Quantity<struct AcceleratorsTag>;
/// Number of tasks that a worker may run at once.
using Slots = Quantity<struct SlotsTag>;

/// Resource demand of a task, or resource capacity of a worker.
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

  /// Sets each resource to the larger of its own amount and that of `other`.
  void RaiseTo(const Resources& other) {
    cpu = std::max(cpu, other.cpu);
    memory = std::max(memory, other.memory);
    accelerators = std::max(accelerators, other.accelerators);
    slots = std::max(slots, other.slots);
  }

  /// Returns whether no resource exceeds that of `available`.
  bool FitsInto(const Resources& available) const {
    return cpu <= available.cpu && memory <= available.memory &&
           accelerators <= available.accelerators && slots <= available.slots;
  }
};

}  // namespace parsleyline
