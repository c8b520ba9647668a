#include "worker_gateway/task_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_document.h"

namespace parsleyline::entry::internal {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
// The longest time limit of a request.
constexpr std::uint64_t kMaxRunTimeMs = 86'400'000;

/// Parses a JSON text. The result of invalid input is discarded; it need not be an object.
Json Parse(const std::string& body) { return ParseJson<Json>(body); }

std::string StringAt(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<std::uint64_t> NumberAt(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<std::uint64_t>();
}

std::string JsonTextAt(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() ? "null" : it->dump();
}

TaskResult ResultOfFailure(const http::ClientFailure& failure) {
  TaskResult task_result;
  task_result.outcome =
      failure.sent == http::Sent::kNo ? DispatchOutcome::kNotStarted : DispatchOutcome::kUnknown;
  task_result.message = failure.error.message;
  return task_result;
}

}  // namespace

std::string DispatchBody(const TaskDispatch& dispatch) {
  Json body;
  body["token"] = dispatch.token.value();
  body["request"] = dispatch.request.value();
  body["attempt"] = dispatch.attempt;
  body["team"] = dispatch.team.value();
  body["kind"] = KindName(dispatch.kind);
  body["resources"] = {{"cpu_millis", dispatch.resources.cpu.count()},
                       {"memory_mib", dispatch.resources.memory.count()},
                       {"accelerators", dispatch.resources.accelerators.count()}};
  body["lease_ms"] = dispatch.lease.count();
  body["timeout_ms"] = dispatch.timeout.count();
  body["incarnation"] = dispatch.incarnation.value();
  std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  // The payload was parsed when the request was accepted, so its text is inserted as it is.
  text.pop_back();
  return text + ",\"payload\":" + (dispatch.payload.empty() ? "null" : dispatch.payload) + "}";
}

bool IsResponseToDispatch(const http::ClientResponse& response, const TaskDispatch& dispatch) {
  const Json body = Parse(response.body);
  if (!body.is_object() || NumberAt(body, "token") != dispatch.token.value()) return false;
  // A rejection has no members "request" and "attempt".
  if (response.status == kStatusConflict) return StringAt(body, "outcome") == "not_started";
  return response.status == kStatusOk && StringAt(body, "request") == dispatch.request.value() &&
         NumberAt(body, "attempt") == dispatch.attempt;
}

TaskResult ToTaskResult(const http::ClientResult& result) {
  if (!result) return ResultOfFailure(result.error());
  const Json body = Parse(result->body);
  TaskResult task_result;
  task_result.message = StringAt(body, "message");
  task_result.run_time =
      Milliseconds(std::min(NumberAt(body, "run_ms").value_or(0), kMaxRunTimeMs));
  const std::string outcome = StringAt(body, "outcome");
  if (result->status == kStatusConflict) {
    task_result.outcome = DispatchOutcome::kNotStarted;
  } else if (outcome == "done") {
    task_result.outcome = DispatchOutcome::kDone;
    task_result.answer = JsonTextAt(body, "answer");
  } else if (outcome == "failed") {
    task_result.outcome = DispatchOutcome::kFailed;
  } else {
    task_result.message = "the worker answered with the unknown outcome \"" + outcome + "\"";
  }
  return task_result;
}

TokenReport ToTokenReport(const http::ClientResult& result, FencingToken token) {
  TokenReport report;
  if (!result) {
    report.message = result.error().error.message;
    return report;
  }
  const Json body = Parse(result->body);
  if (result->status != kStatusOk || !body.is_object() ||
      NumberAt(body, "token") != token.value()) {
    report.message = "the worker's report about token " + std::to_string(token.value()) +
                     " is invalid or about another token";
    return report;
  }
  report.message = StringAt(body, "message");
  report.incarnation = Incarnation(NumberAt(body, "incarnation").value_or(0));
  const std::string state = StringAt(body, "state");
  if (state == "never_started") report.state = TokenState::kNeverStarted;
  if (state == "running") report.state = TokenState::kRunning;
  if (state == "failed") report.state = TokenState::kFailed;
  if (state == "done") {
    report.state = TokenState::kDone;
    report.answer = JsonTextAt(body, "answer");
  }
  return report;
}

std::optional<std::uint64_t> ToIncarnation(const http::ClientResult& result) {
  if (!result || result->status != kStatusOk) return std::nullopt;
  const Json body = Parse(result->body);
  return body.is_object() ? NumberAt(body, "incarnation") : std::nullopt;
}

}  // namespace parsleyline::entry::internal
