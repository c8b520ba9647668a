#pragma once

#include <optional>
#include <string>

#include "tests/dispatch/load_simulation.h"

namespace parsleyline::dispatch {

/// Queue "checks": short lookups that must start within a fraction of a second.
LoadClass ShortJobs(double rate);
/// Queue "draws": wide gangs of large tasks.
LoadClass WideGangs(double rate);
/// Queue "pairs": batch jobs of many small tasks.
LoadClass BatchJobs(double rate);

/// Returns the load of an ordinary day.
LoadSetup OrdinaryDay();

/// Returns the load with a name: draws, lookups, draws-grown or lookups-grown. The load `draws` is
/// the ordinary day. Returns nothing for other names.
std::optional<LoadSetup> FindLoadProfile(const std::string& name);

}  // namespace parsleyline::dispatch
