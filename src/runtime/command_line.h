#pragma once

#include <optional>
#include <string>

namespace parsleyline::runtime {

/// Parsed command line of a daemon.
struct DaemonArguments {
  std::string settings_file;
  /// Only validate the settings file.
  bool check_only = false;
};

/// Parses the command line of a daemon. If the process should exit, prints the help or an error,
/// sets `exit_status` and returns nothing.
std::optional<DaemonArguments> ParseDaemonArguments(int argc, const char* const* argv,
                                                    const std::string& program, int* exit_status);

}  // namespace parsleyline::runtime
