#include <sstream>
#include <utility>

#include "cli/command.h"
#include "settings/suggest.h"

namespace parsleyline::cli {
namespace {

constexpr Milliseconds kDefaultTimeout{10000};
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;
constexpr int kFirstErrorStatus = 400;

/// Returns whether a request that failed with `code` may have taken effect.
bool MayHaveRun(int code) {
  switch (static_cast<ResultCode>(code)) {
    case ResultCode::kOutcomeUnknown:
    case ResultCode::kConnectionClosed:
    case ResultCode::kConnectionSilent:
    case ResultCode::kCallTimeout:
      return true;
    default:
      return false;
  }
}

Result<std::vector<EntryAddress>> ParseEntries(const std::vector<std::string>& texts) {
  std::vector<EntryAddress> entries;
  for (const std::string& text : texts) {
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
      const auto entry = ParseEntry(part);
      if (!entry) return tl::make_unexpected(entry.error());
      entries.push_back(*entry);
    }
  }
  return entries;
}

}  // namespace

std::string Field(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key)) return "";
  const Json& value = object[key];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

Invocation::Invocation(std::string command, const Surroundings& surroundings,
                       const cxxopts::ParseResult& options, std::vector<std::string> args)
    : command_(std::move(command)),
      surroundings_(surroundings),
      options_(options),
      args_(std::move(args)) {}

std::string Invocation::CheckCommonOptions(EntryAccess entry_access) {
  const auto format = options_["output"].as<std::string>();
  if (format != "table" && format != "json") {
    return "--output is \"" + format + "\"; allowed: table, json" +
           settings::DidYouMean(format, {"table", "json"});
  }
  format_ = format == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  if (entry_access == EntryAccess::kNone) return "";

  std::vector<std::string> texts = {surroundings_.default_entries};
  if (Has("entry")) texts = options_["entry"].as<std::vector<std::string>>();
  auto entries = ParseEntries(texts);
  if (!entries) return entries.error().message;
  if (entries->empty()) return "no entry is given; use --entry ip:port or PARSLEYLINE_ENTRY";
  entries_ = std::move(*entries);
  if (!Has("timeout")) return "";
  const auto timeout = options_["timeout"].as<std::int64_t>();
  if (timeout < 1 || timeout > kMaxTimeoutMs) {
    return "--timeout is " + std::to_string(timeout) + "; allowed: 1 to 86400000, in ms";
  }
  timeout_ = Milliseconds(timeout);
  return "";
}

Milliseconds Invocation::Timeout(Milliseconds default_timeout) const {
  return timeout_.count() > 0 ? timeout_ : default_timeout;
}

Answer Invocation::Send(const http::ClientRequest& request, RetrySafety retry_safety,
                        Milliseconds timeout) const {
  EntryClient client(surroundings_.transport, entries_, timeout, err());
  return client.Send(request, retry_safety);
}

std::optional<Json> Invocation::GetJson(const std::string& target, ExitCode* exit) const {
  http::ClientRequest request;
  request.target = target;
  Answer answer = Send(request, RetrySafety::kSafe, Timeout(kDefaultTimeout));
  // A read has no effect, so an unknown outcome only means that no entry answered.
  if (answer.status == SendStatus::kUnknown) answer.status = SendStatus::kUnreachable;
  *exit = Report(answer);
  if (*exit == ExitCode::kOutcomeUnknown) *exit = ExitCode::kFailed;
  if (*exit != ExitCode::kDone) return std::nullopt;
  Json document = Json::parse(answer.response.body, nullptr, false);
  if (document.is_object()) return document;
  err() << "the entry's response is not a JSON object\n";
  *exit = ExitCode::kFailed;
  return std::nullopt;
}

void Invocation::PrintJson(const Json& document) const {
  constexpr int kIndent = 2;
  out() << document.dump(kIndent, ' ', false, Json::error_handler_t::replace) << "\n";
}

ExitCode Invocation::ReportUsageError(const std::string& message) const {
  err() << message << "\nsee 'parsleyline " << command_ << " --help'\n";
  return ExitCode::kWrongUsage;
}

ExitCode Invocation::Report(const Answer& answer) const {
  if (answer.status == SendStatus::kUnreachable) {
    err() << "no entry is reachable; the request was not sent or not answered\n";
    return ExitCode::kNoEntryReachable;
  }
  if (answer.status == SendStatus::kUnknown) {
    err() << "the outcome is unknown: the request was sent, but no response arrived\n";
    return ExitCode::kOutcomeUnknown;
  }
  if (answer.response.status < kFirstErrorStatus) return ExitCode::kDone;
  const Json body = Json::parse(answer.response.body, nullptr, false);
  const Json error = body.is_object() ? body.value("error", Json::object()) : Json::object();
  const int code = error.is_object() && error.contains("code") && error["code"].is_number_integer()
                       ? error["code"].get<int>()
                       : 0;
  err() << "error " << code << " " << Field(error, "name") << ": "
        << (error.contains("message") ? Field(error, "message")
                                      : "HTTP status " + std::to_string(answer.response.status))
        << "\n";
  return MayHaveRun(code) ? ExitCode::kOutcomeUnknown : ExitCode::kFailed;
}

}  // namespace parsleyline::cli
