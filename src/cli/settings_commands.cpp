#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include "cli/command.h"

namespace parsleyline::cli {
namespace {

// An entry waits up to five call timeouts of one second for an edit.
constexpr Milliseconds kEditTimeout{10000};

std::string TargetOf(const std::string& path) {
  return "/v1/settings" + (path == "/" ? std::string() : EncodePath(path));
}

/// Returns an error message if the path is invalid, or "".
std::string CheckPath(const std::string& path) {
  if (!path.empty() && path.front() == '/') return "";
  return "path \"" + path + "\" is invalid; allowed: a path that starts with \"/\", such as " +
         "/teams/suva";
}

ExitCode GetSettings(const Invocation& invocation) {
  const std::string path = invocation.args().empty() ? "/" : invocation.args()[0];
  const std::string error = CheckPath(path);
  if (!error.empty()) return invocation.ReportUsageError(error);
  ExitCode exit = ExitCode::kDone;
  const auto document = invocation.GetJson(TargetOf(path), &exit);
  if (!document) return exit;
  if (invocation.WantsJson()) {
    invocation.PrintJson(*document);
  } else {
    invocation.PrintJson(document->value("value", Json()));
    invocation.err() << "revision " << Field(*document, "revision") << ", age "
                     << Field(*document, "age_ms") << " ms\n";
  }
  return exit;
}

void AddEditOptions(cxxopts::OptionAdder add) {
  add("author", "Team that edits its subtree, or operator",
      cxxopts::value<std::string>()->default_value("operator"), "NAME");
  add("expected-revision", "Revision that the edit expects; the current one if absent",
      cxxopts::value<std::uint64_t>(), "N");
  add("operation", "Id of the edit; a resend with the same id gets the first answer",
      cxxopts::value<std::string>(), "ID");
}

/// Method, path and body of an edit request.
struct Edit {
  std::string method;
  std::string path;
  Json body;
};

/// Prints the options to repeat this edit: the same operation id and expected revision.
void PrintRetryOptions(const Invocation& invocation, const Edit& edit) {
  invocation.err() << "to send the same edit again, add --operation "
                   << Field(edit.body, "operation") << " --expected-revision "
                   << Field(edit.body, "expected_revision") << "\n";
}

ExitCode SendEdit(const Invocation& invocation, const Edit& edit) {
  http::ClientRequest call{edit.method, TargetOf(edit.path)};
  call.headers["content-type"] = "application/json";
  call.body = edit.body.dump();
  PrintRetryOptions(invocation, edit);
  const Answer answer = invocation.Send(call, RetrySafety::kSafe, invocation.Timeout(kEditTimeout));
  const ExitCode exit = invocation.Report(answer);
  if (exit != ExitCode::kDone) return exit;
  Json result = Json::parse(answer.response.body, nullptr, false);
  if (!result.is_object()) result = Json::object();
  if (invocation.WantsJson()) {
    result["operation"] = edit.body["operation"];
    invocation.PrintJson(result);
  } else {
    invocation.out() << edit.path << (edit.method == "PUT" ? " is set" : " is removed")
                     << " at revision " << Field(result, "revision") << "\n";
  }
  return exit;
}

/// Adds author, operation and expected revision to an edit and sends it. Without
/// --expected-revision the edit expects the current revision.
ExitCode RunEdit(const Invocation& invocation, Edit edit) {
  const std::string error = CheckPath(edit.path);
  if (!error.empty()) return invocation.ReportUsageError(error);
  const cxxopts::ParseResult& options = invocation.options();
  edit.body["author"] = options["author"].as<std::string>();
  edit.body["operation"] = invocation.Has("operation") ? options["operation"].as<std::string>()
                                                       : invocation.NewOperation();
  if (invocation.Has("expected-revision")) {
    edit.body["expected_revision"] = options["expected-revision"].as<std::uint64_t>();
    return SendEdit(invocation, edit);
  }
  ExitCode exit = ExitCode::kDone;
  const auto current = invocation.GetJson(TargetOf("/"), &exit);
  if (!current) return exit;
  edit.body["expected_revision"] = current->value("revision", Json());
  return SendEdit(invocation, edit);
}

ExitCode SetSettings(const Invocation& invocation) {
  Json value = Json::parse(invocation.args()[1], nullptr, false);
  if (value.is_discarded()) {
    return invocation.ReportUsageError(
        "VALUE is not valid JSON; a string needs quotes: '\"text\"'");
  }
  return RunEdit(invocation, {"PUT", invocation.args()[0], {{"value", std::move(value)}}});
}

ExitCode UnsetSettings(const Invocation& invocation) {
  return RunEdit(invocation, {"DELETE", invocation.args()[0], Json::object()});
}

}  // namespace

std::vector<Command> SettingsCommands() {
  return {
      {"settings get",
       {"[PATH]"},
       "Shows the settings, or the node at PATH",
       {"parsleyline settings get", "parsleyline settings get /teams/suva --output json"},
       EntryAccess::kRequired,
       [](const cxxopts::OptionAdder&) {},
       &GetSettings},
      {"settings set",
       {"PATH", "VALUE"},
       "Sets the node at PATH to a JSON value",
       {"parsleyline settings set /teams/suva '{\"weight\": 3}'",
        "parsleyline settings set /teams/suva/weight 3 --author suva --expected-revision 7"},
       EntryAccess::kRequired,
       &AddEditOptions,
       &SetSettings},
      {"settings unset",
       {"PATH"},
       "Removes the node at PATH",
       {"parsleyline settings unset /kinds/gang/floor_permille"},
       EntryAccess::kRequired,
       &AddEditOptions,
       &UnsetSettings},
  };
}

}  // namespace parsleyline::cli
