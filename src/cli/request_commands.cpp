#include <fstream>
#include <sstream>
#include <string>
#include <utility>

#include "base/kind.h"
#include "cli/command.h"
#include "cli/text_table.h"
#include "settings/suggest.h"

namespace parsleyline::cli {
namespace {

constexpr Milliseconds kDefaultTimeout{10000};
// Timeout of a request without the field timeout_ms, as documented in docs/api.md.
constexpr std::int64_t kRequestTimeoutMs = 30000;
// Time added to the deadline of a request for the response to arrive, because the entry also
// answers a request whose deadline has passed.
constexpr Milliseconds kAnswerMargin{5000};

/// Option of "submit" that sets one field of the request.
struct SubmitFlag {
  const char* name;
  const char* help;
  const char* placeholder;
  /// JSON pointer to the field.
  const char* field;
  enum class Type : std::uint8_t { kText, kInteger, kTrue, kJson } type;
};

using Type = SubmitFlag::Type;

constexpr SubmitFlag kSubmitFlags[] = {
    {"team", "Team that the work belongs to", "NAME", "/team", Type::kText},
    {"kind", "service, batch or gang", "KIND", "/kind", Type::kText},
    {"tasks", "Number of tasks, more than 1 only for a gang", "N", "/tasks", Type::kInteger},
    {"cpu-millis", "Processors of each task in 1/1000 cores", "N", "/resources/cpu_millis",
     Type::kInteger},
    {"memory-mib", "Memory of each task in MiB", "N", "/resources/memory_mib", Type::kInteger},
    {"accelerators", "Accelerators of each task", "N", "/resources/accelerators", Type::kInteger},
    {"idempotent", "The work may be run again after a failure", "", "/idempotent", Type::kTrue},
    {"timeout-ms", "Deadline of the request, in ms", "MS", "/timeout_ms", Type::kInteger},
    {"expected-ms", "Expected run time of a task, in ms", "MS", "/expected_ms", Type::kInteger},
    {"payload", "JSON that the tasks receive", "JSON", "/payload", Type::kJson},
};

void AddSubmitOptions(cxxopts::OptionAdder add) {
  add("file", "JSON file with the request, - for standard input; flags override its fields",
      cxxopts::value<std::string>(), "FILE");
  add("key", "Idempotency key: a resend with the same key gets the same outcome",
      cxxopts::value<std::string>(), "KEY");
  for (const SubmitFlag& flag : kSubmitFlags) {
    std::shared_ptr<cxxopts::Value> value = cxxopts::value<std::string>();
    if (flag.type == Type::kInteger) value = cxxopts::value<std::int64_t>();
    if (flag.type == Type::kTrue) value = cxxopts::value<bool>();
    add(flag.name, flag.help, value, flag.placeholder);
  }
}

/// Returns the JSON object in the file of --file, or an empty object without that option.
Result<Json> ReadRequestFile(const Invocation& invocation) {
  if (!invocation.Has("file")) return Json::object();
  const auto name = invocation.options()["file"].as<std::string>();
  std::ostringstream text;
  if (name == "-") {
    text << invocation.in().rdbuf();
  } else {
    std::ifstream file(name);
    if (!file) return Fail(ResultCode::kNotFound, "file \"" + name + "\" cannot be read");
    text << file.rdbuf();
  }
  Json request = Json::parse(text.str(), nullptr, false);
  if (request.is_object()) return request;
  return Fail(ResultCode::kMalformedJson, "file \"" + name + "\" does not contain a JSON object");
}

Result<void> SetField(const Invocation& invocation, const SubmitFlag& flag, Json* request) {
  if (!invocation.Has(flag.name)) return {};
  const cxxopts::OptionValue& given = invocation.options()[flag.name];
  Json value = true;
  if (flag.type == Type::kText) value = given.as<std::string>();
  if (flag.type == Type::kInteger) value = given.as<std::int64_t>();
  if (flag.type == Type::kJson) {
    value = Json::parse(given.as<std::string>(), nullptr, false);
    if (value.is_discarded()) {
      return Fail(ResultCode::kMalformedJson, "--" + std::string(flag.name) + " is not valid JSON");
    }
  }
  const Json::json_pointer pointer(flag.field);
  const Json::json_pointer parent = pointer.parent_pointer();
  if (!parent.empty() && request->contains(parent) && !request->at(parent).is_object()) {
    return Fail(ResultCode::kWrongType, parent.to_string() + " in the file is not an object");
  }
  (*request)[pointer] = std::move(value);
  return {};
}

/// Checks the required fields and the kind, and returns an error message or "". The entry checks
/// the rest.
std::string CheckRequest(const Json& request) {
  for (const SubmitFlag& flag : kSubmitFlags) {
    const std::string name = flag.name;
    const bool is_required =
        name == "team" || name == "kind" || name == "cpu-millis" || name == "memory-mib";
    if (is_required && !request.contains(Json::json_pointer(flag.field))) {
      return "--" + name + " is missing, or " + std::string(flag.field) + " in --file";
    }
  }
  const std::string kind = Field(request, "kind");
  if (ParseKind(kind)) return "";
  return "kind is \"" + kind + "\"; allowed: service, batch, gang" +
         settings::DidYouMean(kind, {"service", "batch", "gang"});
}

void PrintOutcome(const Invocation& invocation, const Json& body) {
  if (invocation.WantsJson()) return invocation.PrintJson(body);
  TextTable table({"KEY", "VALUE"});
  for (const char* key : {"request_id", "outcome", "waited_ms", "workers", "retry_after_ms"}) {
    if (body.contains(key)) table.AddRow({key, Field(body, key)});
  }
  if (body.contains("answers") && body["answers"].is_array()) {
    const Json& answers = body["answers"];
    for (std::size_t i = 0; i < answers.size(); ++i) {
      table.AddRow({"answer." + std::to_string(i), answers[i].dump()});
    }
  }
  table.Print(invocation.out());
}

ExitCode ExitCodeOf(const std::string& outcome) {
  if (outcome == "rejected" || outcome == "failed") return ExitCode::kFailed;
  return outcome == "unknown" ? ExitCode::kOutcomeUnknown : ExitCode::kDone;
}

/// Prints the state of a request and sets `exit`. Returns the outcome, or "" if the response has
/// none.
std::string PrintAnswer(const Invocation& invocation, const Answer& answer, ExitCode* exit) {
  const Json body = answer.status == SendStatus::kAnswered
                        ? Json::parse(answer.response.body, nullptr, false)
                        : Json();
  std::string outcome = body.is_object() ? Field(body, "outcome") : "";
  if (!outcome.empty()) PrintOutcome(invocation, body);
  *exit = invocation.Report(answer);
  if (!outcome.empty()) {
    *exit = ExitCodeOf(outcome);
  } else if (*exit == ExitCode::kDone) {
    invocation.err() << "the entry's response has no outcome\n";
    *exit = ExitCode::kOutcomeUnknown;
  }
  return outcome;
}

ExitCode Submit(const Invocation& invocation) {
  auto request = ReadRequestFile(invocation);
  if (!request) return invocation.ReportUsageError(request.error().message);
  for (const SubmitFlag& flag : kSubmitFlags) {
    const auto set = SetField(invocation, flag, &*request);
    if (!set) return invocation.ReportUsageError(set.error().message);
  }
  const std::string error = CheckRequest(*request);
  if (!error.empty()) return invocation.ReportUsageError(error);

  http::ClientRequest call{"POST", "/v1/requests", {{"content-type", "application/json"}}};
  call.body = request->dump();
  const bool has_key = invocation.Has("key");
  if (has_key) call.headers["idempotency-key"] = invocation.options()["key"].as<std::string>();
  std::int64_t deadline_ms = kRequestTimeoutMs;
  if (request->contains("timeout_ms") && request->at("timeout_ms").is_number_integer()) {
    deadline_ms = request->at("timeout_ms").get<std::int64_t>();
  }
  const Milliseconds timeout = invocation.Timeout(Milliseconds(deadline_ms) + kAnswerMargin);
  const Answer answer =
      invocation.Send(call, has_key ? RetrySafety::kSafe : RetrySafety::kUnsafe, timeout);
  ExitCode exit = ExitCode::kDone;
  PrintAnswer(invocation, answer, &exit);
  if (answer.status == SendStatus::kUnknown && has_key) {
    invocation.err() << "run the same command with the same --key to get the outcome\n";
  }
  return exit;
}

ExitCode Get(const Invocation& invocation) {
  http::ClientRequest call;
  call.target = "/v1/requests/" + EncodePath(invocation.args()[0]);
  Answer answer = invocation.Send(call, RetrySafety::kSafe, invocation.Timeout(kDefaultTimeout));
  if (answer.status == SendStatus::kUnknown) answer.status = SendStatus::kUnreachable;
  ExitCode exit = ExitCode::kDone;
  PrintAnswer(invocation, answer, &exit);
  return exit;
}

ExitCode Cancel(const Invocation& invocation) {
  http::ClientRequest call;
  call.method = "DELETE";
  call.target = "/v1/requests/" + EncodePath(invocation.args()[0]);
  // Canceling is idempotent.
  const Answer answer =
      invocation.Send(call, RetrySafety::kSafe, invocation.Timeout(kDefaultTimeout));
  ExitCode exit = ExitCode::kDone;
  const std::string outcome = PrintAnswer(invocation, answer, &exit);
  // The cancellation succeeded if it made the request rejected or failed. A request that is done
  // was not canceled.
  if (outcome == "rejected" || outcome == "failed") return ExitCode::kDone;
  return outcome == "done" ? ExitCode::kFailed : exit;
}

}  // namespace

std::vector<Command> RequestCommands() {
  const auto no_options = [](const cxxopts::OptionAdder&) {};
  return {
      {"submit",
       {},
       "Runs work and waits for its outcome",
       {"parsleyline submit --team suva-schools --kind service --cpu-millis 500 \\",
        "    --memory-mib 256 --idempotent --payload '{\"op\": \"lookup\", \"n\": 7}'",
        "parsleyline submit --file draw.json --key draw-2026-12 --timeout-ms 60000"},
       EntryAccess::kRequired,
       &AddSubmitOptions,
       &Submit},
      {"get",
       {"ID"},
       "Shows the state or outcome of a request",
       {"parsleyline get suva-5f0c2a", "parsleyline get suva-5f0c2a --output json"},
       EntryAccess::kRequired,
       no_options,
       &Get},
      {"cancel",
       {"ID"},
       "Cancels a request; status 1 if it was done already",
       {"parsleyline cancel suva-5f0c2a"},
       EntryAccess::kRequired,
       no_options,
       &Cancel},
  };
}

}  // namespace parsleyline::cli
