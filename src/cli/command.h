#pragma once

// Prevents cxxopts from splitting JSON arguments at commas. An argument cannot contain a NUL.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cli/entry_client.h"
#include "cli/run.h"

// Include it only in .cpp files of this folder, because cxxopts and nlohmann-json are slow to
// compile.
namespace parsleyline::cli {

using Json = nlohmann::json;

enum class OutputFormat : std::uint8_t { kTable, kJson };

/// Whether a command sends requests to entry daemons. Only such a command has the options --entry
/// and
/// --timeout.
enum class EntryAccess : std::uint8_t { kRequired, kNone };

/// One parsed command line, with the functions that all commands use.
class Invocation {
 public:
  Invocation(std::string command, const Surroundings& surroundings,
             const cxxopts::ParseResult& options, std::vector<std::string> args);

  const cxxopts::ParseResult& options() const { return options_; }
  const std::vector<std::string>& args() const { return args_; }
  std::istream& in() const { return surroundings_.in; }
  std::ostream& out() const { return surroundings_.out; }
  std::ostream& err() const { return surroundings_.err; }
  std::string NewOperation() const { return surroundings_.new_operation(); }

  /// Parses and checks --entry, --timeout and --output. Returns an error message, or "" if they are
  /// valid.
  std::string CheckCommonOptions(EntryAccess entry_access);

  bool Has(const char* option) const { return options_.count(option) > 0; }
  bool WantsJson() const { return format_ == OutputFormat::kJson; }

  /// Returns the time for each entry to answer: --timeout, or `default_timeout` without it.
  Milliseconds Timeout(Milliseconds default_timeout) const;

  Answer Send(const http::ClientRequest& request, RetrySafety retry_safety,
              Milliseconds timeout) const;

  /// Sends a GET request for `target` and parses the response. On failure prints the reason, sets
  /// `exit` and returns nothing.
  std::optional<Json> GetJson(const std::string& target, ExitCode* exit) const;

  /// Prints JSON with indentation.
  void PrintJson(const Json& document) const;

  /// Prints an error in the command line and returns kWrongUsage.
  ExitCode ReportUsageError(const std::string& message) const;

  /// Returns the exit status for `answer`. Prints the reason unless the request succeeded.
  ExitCode Report(const Answer& answer) const;

 private:
  std::string command_;
  const Surroundings& surroundings_;
  cxxopts::ParseResult options_;
  std::vector<std::string> args_;
  std::vector<EntryAddress> entries_;
  Milliseconds timeout_{0};
  OutputFormat format_ = OutputFormat::kTable;
};

/// One command of the program. Its name is a verb, or a noun and a verb.
struct Command {
  std::string_view name;
  /// Names of the positional arguments. Those in brackets are optional.
  std::vector<std::string_view> arguments;
  std::string_view summary;
  std::vector<std::string_view> examples;
  EntryAccess entry_access = EntryAccess::kRequired;
  std::function<void(cxxopts::OptionAdder add)> add_options;
  std::function<ExitCode(const Invocation& invocation)> run;
};

std::vector<Command> RequestCommands();
std::vector<Command> WorkerCommands();
std::vector<Command> SettingsCommands();
std::vector<Command> SettingsHistoryCommands();
std::vector<Command> SettingsFileCommands();

/// Returns all commands in the order of the help text.
const std::vector<Command>& AllCommands();

/// Returns the value at `key` as text: a string without quotes, any other value as JSON, and "" if
/// it is absent.
std::string Field(const Json& object, const char* key);

}  // namespace parsleyline::cli
