#pragma once

#include <cstdlib>
#include <iostream>
#include <string>

#include "base/event_log.h"
#include "runtime/command_line.h"
#include "settings/fault.h"

namespace parsleyline::runtime {

/// Main function of a daemon. Parses the command line, loads the settings file with `load` and
/// calls `run`, unless the settings are invalid or only to be checked. Returns the exit status.
template <typename Settings>
int DaemonMain(int argc, char** argv, const std::string& program,
               settings::Loaded<Settings> (*load)(const std::string& file),
               int (*run)(const Settings& settings)) {
  constexpr int kBadSettings = 2;
  int exit_status = EXIT_SUCCESS;
  const auto arguments = ParseDaemonArguments(argc, argv, program, &exit_status);
  if (!arguments) return exit_status;
  const auto settings = load(arguments->settings_file);
  if (!settings) {
    std::cerr << settings::FaultLines(settings.error());
    return kBadSettings;
  }
  if (arguments->check_only) return EXIT_SUCCESS;
  StartDaemonLog(argv[0]);
  return run(*settings);
}

}  // namespace parsleyline::runtime
