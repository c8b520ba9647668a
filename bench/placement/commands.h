#pragma once

#include <cstdint>

namespace parsleyline::bench {

/// Each function runs one measurement with the seed and prints its results as a table.
void MeasureDecisions(std::uint64_t seed);
void MeasurePacking(std::uint64_t seed);
void MeasureWaits(std::uint64_t seed);
void MeasureFloods(std::uint64_t seed);
void MeasureGangs(std::uint64_t seed);
void MeasureOrderings(std::uint64_t seed);
void MeasureQueue(std::uint64_t seed);

}  // namespace parsleyline::bench
