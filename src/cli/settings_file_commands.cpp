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

using settings::SettingsErrors;

/// Returns the errors in a file that contains a whole settings tree.
SettingsErrors CheckTreeFile(const std::string& name) {
  std::ifstream file(name);
  if (!file) return {{"", "file \"" + name + "\" cannot be read"}};
  std::ostringstream text;
  text << file.rdbuf();
  SettingsErrors errors;
  for (const config_tree::SchemaError& error : config_tree::CheckTree(text.str())) {
    errors.push_back({error.path, error.message});
  }
  return errors;
}

SettingsErrors CheckFile(const Invocation& invocation, const std::string& name) {
  if (invocation.Has("entry")) {
    const auto loaded = settings::LoadEntrySettings(name);
    return loaded ? SettingsErrors() : loaded.error();
  }
  if (invocation.Has("scheduler")) {
    const auto loaded = settings::LoadSchedulerSettings(name);
    return loaded ? SettingsErrors() : loaded.error();
  }
  return CheckTreeFile(name);
}

ExitCode CheckSettings(const Invocation& invocation) {
  if (invocation.Has("entry") && invocation.Has("scheduler")) {
    return invocation.ReportUsageError("--entry and --scheduler are mutually exclusive");
  }
  const SettingsErrors errors = CheckFile(invocation, invocation.args()[0]);
  if (invocation.WantsJson()) {
    Json rows = Json::array();
    for (const settings::SettingsError& error : errors) {
      rows.push_back({{"path", error.path}, {"message", error.message}});
    }
    invocation.PrintJson({{"faults", rows}});
  } else {
    invocation.out() << (errors.empty() ? "valid\n" : FaultLines(errors));
  }
  return errors.empty() ? ExitCode::kDone : ExitCode::kFailed;
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
       EntryAccess::kNone,
       [](cxxopts::OptionAdder add) {
         add("entry", "FILE is the settings file of an entry daemon");
         add("scheduler", "FILE is the settings file of a scheduler daemon");
       },
       &CheckSettings},
      {"settings keys",
       {},
       "Prints every key of the daemons' files as Markdown",
       {"parsleyline settings keys"},
       EntryAccess::kNone,
       [](const cxxopts::OptionAdder&) {},
       &ShowKeys},
  };
}

}  // namespace parsleyline::cli
