#pragma once

#include <optional>

#include "placement/strategy.h"

namespace parsleyline::placement {

/// Returns the worker whose free capacity is aligned best with one task of the demand. Compares
/// only a limited number of fitting workers, starting with the fullest; empty only if the task fits
/// on no worker. Adds the number of compared workers to `candidates`.
std::optional<WorkerIndex> ChooseBestAligned(const Demand& demand, PlacementState* state,
                                             TimePoint now, std::uint32_t* candidates);

}  // namespace parsleyline::placement
