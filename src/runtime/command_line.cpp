#include "runtime/command_line.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace parsleyline::runtime {
namespace {

constexpr int kUsageError = 2;

}  // namespace

std::optional<DaemonArguments> ParseDaemonArguments(int argc, const char* const* argv,
                                                    const std::string& program, int* exit_status) {
  cxxopts::Options options(program, "Runs one daemon of parsleyline from its settings file.");
  options.add_options()("settings", "JSON settings file; docs/settings.md lists the keys",
                        cxxopts::value<std::string>())("check", "check the settings file and exit")(
      "h,help", "print this help");
  options.parse_positional({"settings"});
  options.positional_help("SETTINGS_FILE");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\nExample:\n  " << program << " /etc/parsleyline/" << program
                << ".json\n";
      *exit_status = EXIT_SUCCESS;
      return std::nullopt;
    }
    if (parsed.count("settings") == 0) {
      std::cerr << program << ": a settings file is required; see --help\n";
      *exit_status = kUsageError;
      return std::nullopt;
    }
    return DaemonArguments{parsed["settings"].as<std::string>(), parsed.count("check") > 0};
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << program << ": " << error.what() << "; see --help\n";
    *exit_status = kUsageError;
    return std::nullopt;
  }
}

}  // namespace parsleyline::runtime
