#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "cli/transport.h"

namespace parsleyline::cli {

/// Exit status of the program. Scripts rely on the numbers.
enum class ExitCode : std::uint8_t {
  kDone = 0,
  /// The request failed or was rejected.
  kFailed = 1,
  kWrongUsage = 2,
  kNoEntryReachable = 3,
  /// The request may have taken effect.
  kOutcomeUnknown = 4,
};

/// Returns a random operation id, such as "cli-5f0c...".
std::string RandomOperation();

/// Environment of a command: transport, streams and defaults. Tests replace them.
struct Surroundings {
  Transport& transport;
  std::istream& in;
  /// Receives only results, so that JSON output can be piped.
  std::ostream& out;
  /// Receives errors and hints.
  std::ostream& err;
  /// Comma-separated addresses of the entries to use without --entry.
  std::string default_entries;
  std::function<std::string()> new_operation = &RandomOperation;
};

/// Runs the command line `args`, which does not include the program name.
ExitCode Run(const std::vector<std::string>& args, const Surroundings& surroundings);

}  // namespace parsleyline::cli
