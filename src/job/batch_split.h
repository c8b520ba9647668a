#pragma once

#include "job/job_records.h"

namespace parsleyline::job {

/// Moves about the second half of the records, in the order in which they are applied, to a new
/// batch and returns it. Returns an empty batch if `batch` has fewer than two records.
CommandBatch SplitOff(CommandBatch* batch);

/// Appends the records of `later`, which were split off from `batch`.
void Append(CommandBatch* batch, CommandBatch later);

}  // namespace parsleyline::job
