#pragma once

#include <cstdlib>
#include <iostream>
#include <string>

#include "base/event_log.h"
#include "runtime/command_line.h"
#include "settings/fault.h"

namespace parsleyline::runtime {

/// The main function of a daemon: reads the command line and the settings file, and runs the daemon
/// unless only a check was asked for. Nothing starts on a bad file.
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
