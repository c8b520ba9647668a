#pragma once

#include <optional>
#include <string>

#include "tests/dispatch/load_simulation.h"

namespace parsleyline::dispatch {

/// Short lookups that must start within a fraction of a second.
LoadClass Checks(double rate);
/// Wide gangs of large tasks.
LoadClass Draws(double rate);
/// Batch jobs of many small tasks.
LoadClass Pairs(double rate);

/// An ordinary day of the Gift Draw Authority.
LoadSetup DayOfTheDraws();

/// Returns a load by name: draws, lookups, draws-grown, lookups-grown.
std::optional<LoadSetup> ProfileOf(const std::string& name);

}  // namespace parsleyline::dispatch
