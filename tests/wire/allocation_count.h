#pragma once

#include <cstddef>

namespace parsleyline::wire {

/// Returns the number of bytes that this program requested from malloc() and new since the last
/// reset.
std::size_t AllocatedBytes();
/// Resets the number to 0.
void ResetAllocatedBytes();

}  // namespace parsleyline::wire
