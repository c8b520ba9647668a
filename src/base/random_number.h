#pragma once

#include <cstdint>
#include <random>

namespace parsleyline {

/// Returns a random number that no other process is expected to draw.
inline std::uint64_t RandomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace parsleyline
