#include "cli/run.h"

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

#include "cli/command.h"
#include "settings/suggest.h"

namespace parsleyline::cli {
namespace {

constexpr std::string_view kProgram = "parsleyline";

std::string Usage(const Command& command) {
  std::string text = std::string(kProgram) + " " + std::string(command.name);
  for (const std::string_view argument : command.arguments) text.append(" ").append(argument);
  return text;
}

void PrintCommandList(std::ostream& out) {
  constexpr int kNameWidth = 28;
  out << "Submits and inspects work and edits the settings of a Parsleyline cell.\n\n"
         "Usage: parsleyline VERB [ARGUMENTS] [OPTIONS]\n\n";
  for (const Command& command : AllCommands()) {
    const std::string usage = Usage(command).substr(kProgram.size() + 1);
    out << "  " << std::left << std::setw(kNameWidth) << usage << command.summary << "\n";
  }
  out << "\nExit status: 0 done, 1 failed or refused, 2 wrong usage, 3 no entry reachable,\n"
         "4 outcome unknown. 'parsleyline VERB --help' shows options and examples.\n";
}

cxxopts::Options MakeOptions(const Command& command) {
  cxxopts::Options options(Usage(command), std::string(command.summary));
  options.custom_help("[OPTIONS]");
  cxxopts::OptionAdder add = options.add_options();
  if (command.add_options) command.add_options(add);
  add("output", "table or json", cxxopts::value<std::string>()->default_value("table"), "FORMAT");
  add("h,help", "Shows this text");
  if (command.entry_access == EntryAccess::kRequired) {
    add("entry", "Entry daemon; repeat it for others to fall back to",
        cxxopts::value<std::vector<std::string>>(), "IP:PORT");
    add("timeout", "Time for each entry to answer, in ms", cxxopts::value<std::int64_t>(), "MS");
  }
  options.add_options("arguments")("args", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("args");
  options.positional_help("");
  options.allow_unrecognised_options();
  return options;
}

ExitCode PrintHelp(const Command& command, const cxxopts::Options& options, std::ostream& out) {
  out << options.help({""}) << "\nExamples:\n";
  for (const std::string_view example : command.examples) out << "  " << example << "\n";
  return ExitCode::kDone;
}

/// Returns the command that the first one or two words of `args` name, and the number of these
/// words.
std::pair<const Command*, std::size_t> FindCommand(const std::vector<std::string>& args) {
  const std::string& one = args[0];
  const std::string two = args.size() > 1 ? one + " " + args[1] : one;
  for (const Command& command : AllCommands()) {
    if (command.name == two && args.size() > 1) return {&command, 2};
    if (command.name == one) return {&command, 1};
  }
  return {nullptr, 0};
}

ExitCode ReportUnknownCommand(const std::vector<std::string>& args, std::ostream& err) {
  std::vector<std::string_view> names;
  bool is_noun = false;
  const std::string prefix = args[0] + " ";
  for (const Command& command : AllCommands()) {
    names.push_back(command.name);
    is_noun = is_noun || command.name.substr(0, prefix.size()) == prefix;
  }
  const bool has_verb = args.size() > 1 && args[1].rfind('-', 0) != 0;
  const std::string name = has_verb ? prefix + args[1] : args[0];
  if (is_noun && !has_verb) {
    err << "\"" << args[0] << "\" needs a verb, such as \"" << args[0] << " get\"\n";
  } else {
    std::string suggestion = settings::DidYouMean(name, names);
    if (suggestion.empty()) suggestion = settings::DidYouMean(args[0], names);
    err << "\"" << (is_noun ? name : args[0]) << "\" is not a command" << suggestion << "\n";
  }
  err << "see 'parsleyline --help'\n";
  return ExitCode::kWrongUsage;
}

/// Returns the message for an unknown option, with the closest existing option as a suggestion.
std::string UnknownOptionMessage(const std::string& text, const Command& command) {
  cxxopts::Options options = MakeOptions(command);
  std::vector<std::string> known;
  for (const auto& group : options.groups()) {
    for (const auto& detail : options.group_help(group).options) {
      for (const std::string& name : detail.l) {
        if (name != "args") known.push_back("--" + name);
      }
    }
  }
  const std::string name = text.substr(0, text.find('='));
  return "\"" + name + "\" is not an option of \"" + std::string(command.name) + "\"" +
         settings::DidYouMean(name, {known.begin(), known.end()});
}

std::string CheckArguments(const Command& command, const std::vector<std::string>& args) {
  const auto required = std::count_if(command.arguments.begin(), command.arguments.end(),
                                      [](std::string_view name) { return name.front() != '['; });
  if (args.size() < static_cast<std::size_t>(required)) {
    return std::string(command.arguments[args.size()]) + " is missing";
  }
  if (args.size() > command.arguments.size()) {
    return "\"" + args[command.arguments.size()] + "\" is an unexpected argument";
  }
  return "";
}

ExitCode RunCommand(const Command& command, const std::vector<std::string>& args,
                    const Surroundings& surroundings) {
  std::vector<const char*> argv = {kProgram.data()};
  argv.reserve(args.size() + 1);
  for (const std::string& arg : args) argv.push_back(arg.c_str());
  cxxopts::Options options = MakeOptions(command);
  const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
  if (parsed.count("help") > 0) return PrintHelp(command, options, surroundings.out);
  std::vector<std::string> words;
  if (parsed.count("args") > 0) words = parsed["args"].as<std::vector<std::string>>();
  Invocation invocation(std::string(command.name), surroundings, parsed, words);
  if (!parsed.unmatched().empty()) {
    return invocation.ReportUsageError(UnknownOptionMessage(parsed.unmatched().front(), command));
  }
  std::string error = CheckArguments(command, words);
  if (error.empty()) error = invocation.CheckCommonOptions(command.entry_access);
  return error.empty() ? command.run(invocation) : invocation.ReportUsageError(error);
}

}  // namespace

std::string RandomOperation() {
  std::random_device device;
  std::ostringstream text;
  text << "cli-" << std::hex << std::setfill('0');
  constexpr int kWords = 4;
  constexpr int kHexDigits = 8;
  for (int i = 0; i < kWords; ++i) text << std::setw(kHexDigits) << device();
  return text.str();
}

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> kCommands = [] {
    std::vector<Command> all;
    for (auto part : {RequestCommands(), WorkerCommands(), SettingsCommands(),
                      SettingsHistoryCommands(), SettingsFileCommands()}) {
      std::move(part.begin(), part.end(), std::back_inserter(all));
    }
    return all;
  }();
  return kCommands;
}

ExitCode Run(const std::vector<std::string>& args, const Surroundings& surroundings) {
  if (args.empty() || args[0] == "--help" || args[0] == "-h" || args[0] == "help") {
    PrintCommandList(args.empty() ? surroundings.err : surroundings.out);
    return args.empty() ? ExitCode::kWrongUsage : ExitCode::kDone;
  }
  const auto [command, words] = FindCommand(args);
  if (command == nullptr) return ReportUnknownCommand(args, surroundings.err);
  const std::vector<std::string> rest(args.begin() + static_cast<std::ptrdiff_t>(words),
                                      args.end());
  try {
    return RunCommand(*command, rest, surroundings);
  } catch (const cxxopts::exceptions::exception& error) {
    surroundings.err << error.what() << "\nsee 'parsleyline " << command->name << " --help'\n";
    return ExitCode::kWrongUsage;
  } catch (const Json::exception& error) {
    surroundings.err << "the entry's response has an unexpected format: " << error.what() << "\n";
    return ExitCode::kFailed;
  }
}

}  // namespace parsleyline::cli
