#pragma once

#include <string>
#include <vector>

#include "base/units.h"

namespace parsleyline::bench {

/// Appends and syncs `count` blocks in each of `writers` files, in parallel on one thread per file.
/// Returns the duration of each append with its sync, in ascending order.
std::vector<Microseconds> MeasureSyncs(const std::string& folder, int writers, int count);

/// Returns the percentile of sorted values that `fraction` selects, for example the median for 0.5.
Microseconds Percentile(const std::vector<Microseconds>& sorted, double fraction);

}  // namespace parsleyline::bench
