#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bench/load/job_mix.h"
#include "http/client.h"

namespace parsleyline::load {

/// Outcome of one job, and the result of checking its answer.
struct Verdict {
  /// "done", "rejected", "failed", "unknown", or "no_answer" if the connection failed.
  std::string outcome;
  /// Says what is wrong with the answer; empty if it is whole and belongs to the job.
  std::string fault;
  /// Name of the error code with outcomes other than "done".
  std::string error;
  std::optional<double> waited_ms;
  /// Worker and token of each task, which must be unique over the whole run.
  std::vector<std::string> tokens;
};

/// Checks that the answer is whole and belongs to the job.
Verdict CheckAnswer(const Job& job, const http::ClientResult& result, bool direct);

}  // namespace parsleyline::load
