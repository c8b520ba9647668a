#include <fstream>
#include <sstream>
#include <string>

#include "cli/command.h"
#include "config_tree/tree_schema.h"
#include "settings/describe.h"
#include "settings/entry_settings.h"
#include "settings/scheduler_settings.h"

namespace parsleyline::cli {
namespace {

using settings::Faults;

/// Returns the faults of a file that holds a whole settings tree.
Faults CheckTreeFile(const std::string& name) {
  std::ifstream file(name);
  if (!file) return {{"", "file \"" + name + "\" cannot be read"}};
  std::ostringstream text;
  text << file.rdbuf();
  Faults faults;
  for (const config_tree::SchemaError& fault : config_tree::CheckTree(text.str())) {
    faults.push_back({fault.path, fault.message});
  }
  return faults;
}

Faults CheckFile(const Invocation& invocation, const std::string& name) {
  if (invocation.Has("entry")) {
    const auto loaded = settings::LoadEntrySettings(name);
    return loaded ? Faults() : loaded.error();
  }
  if (invocation.Has("scheduler")) {
    const auto loaded = settings::LoadSchedulerSettings(name);
    return loaded ? Faults() : loaded.error();
  }
  return CheckTreeFile(name);
}

ExitCode CheckSettings(const Invocation& invocation) {
  if (invocation.Has("entry") && invocation.Has("scheduler")) {
    return invocation.WrongUsage("--entry and --scheduler exclude each other");
  }
  const Faults faults = CheckFile(invocation, invocation.args()[0]);
  if (invocation.WantsJson()) {
    Json rows = Json::array();
    for (const settings::Fault& fault : faults) {
      rows.push_back({{"path", fault.path}, {"message", fault.message}});
    }
    invocation.PrintJson({{"faults", rows}});
  } else {
    invocation.out() << (faults.empty() ? "valid\n" : FaultLines(faults));
  }
  return faults.empty() ? ExitCode::kDone : ExitCode::kFailed;
}

ExitCode ShowKeys(const Invocation& invocation) {
  invocation.out() << settings::SettingsPage();
  return ExitCode::kDone;
}

}  // namespace

std::vector<Command> SettingsFileCommands() {
  return {
      {"settings check",
       {"FILE"},
       "Checks a settings tree or a daemon's file",
       {"parsleyline settings check tree.json", "parsleyline settings check --entry entryd.json",
        "parsleyline settings check --scheduler schedd.json"},
       Reach::kLocal,
       [](cxxopts::OptionAdder add) {
         add("entry", "FILE is the settings file of an entry daemon");
         add("scheduler", "FILE is the settings file of a scheduler daemon");
       },
       &CheckSettings},
      {"settings keys",
       {},
       "Prints every key of the daemons' files as Markdown",
       {"parsleyline settings keys"},
       Reach::kLocal,
       [](const cxxopts::OptionAdder&) {},
       &ShowKeys},
  };
}

}  // namespace parsleyline::cli
