#include "entry/operator_api.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "config_tree/tree_schema.h"
#include "entry/json_fields.h"
#include "entry/response_writer.h"
#include "wire/codec.h"
#include "wire/methods.h"

namespace parsleyline::entry {
namespace {

using nlohmann::json;

constexpr std::string_view kWorkersPrefix = "/v1/workers/";
constexpr std::string_view kSettingsPrefix = "/v1/settings";
constexpr std::size_t kMaxNameLength = 128;

http::Response JsonResponse(const json& body) {
  http::Response response;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

// Path of a settings node as in the tree: "/teams/suva", or "" for the whole tree.
std::string SettingsPath(const http::Request& request) {
  std::string path = request.path.substr(kSettingsPrefix.size());
  if (path == "/") path.clear();
  return path;
}

http::Response EditResponse(const wire::SettingsEditReply& reply) {
  if (reply.code == ResultCode::kOk) return JsonResponse({{"revision", reply.revision.value()}});
  http::Response response = http::ErrorResponse({reply.code, reply.message});
  json body = json::parse(response.body);
  body["revision"] = reply.revision.value();
  response.body = body.dump();
  return response;
}

Result<wire::SettingsEdit> ParseEdit(const http::Request& request) {
  const auto document = ParseObject(request.body);
  if (!document) return tl::make_unexpected(document.error());
  FieldReader fields(*document, "");
  wire::SettingsEdit edit;
  edit.operation = OperationId(fields.RequiredString("operation", kMaxNameLength));
  edit.author = TeamId(fields.RequiredString("author", kMaxNameLength));
  edit.expected_revision = Revision(static_cast<std::uint64_t>(
      fields.RequiredInteger("expected_revision", 0, std::numeric_limits<std::int64_t>::max())));
  edit.path = SettingsPath(request);
  if (request.method == "PUT") {
    if (!document->contains("value")) {
      fields.RecordError(ResultCode::kMissingField, "/value is required");
    }
    edit.value = fields.OptionalValue("value").dump(-1, ' ', false, json::error_handler_t::replace);
  }
  if (auto finished = fields.Finish(); !finished) return tl::make_unexpected(finished.error());
  edit.edit_time_seconds = static_cast<std::uint64_t>(
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now()));
  return edit;
}

json SchedulerJson(const wire::SchedulerStatus& status) {
  return {{"node", status.node.value()},
          {"domain", status.domain.value()},
          {"leader", status.leader.value()},
          {"term", status.term.value()},
          {"committed", status.commit_index.value()},
          {"settings_revision", status.settings_revision.value()},
          {"workers", status.workers},
          {"running", status.running},
          {"queued", status.queued},
          {"packed_permille", status.packed_permille}};
}

}  // namespace

void OperatorApi::ListWorkers(const http::Request&, http::ResponseCallback respond) {
  context_.schedulers.CallDomain<wire::WorkerList>(
      context_.options.domain, wire::kWorkersMethod, wire::Empty{}, context_.options.call_timeout,
      [respond = std::move(respond)](const Result<wire::WorkerList>& list) {
        respond(list ? WriteWorkers(*list) : http::ErrorResponse(list.error()));
      });
}

void OperatorApi::ChangeWorker(const http::Request& request, http::ResponseCallback respond) {
  const std::string rest = request.path.substr(kWorkersPrefix.size());
  const std::size_t slash = rest.rfind('/');
  const std::string verb = slash != std::string::npos ? rest.substr(slash + 1) : std::string();
  if (verb != "drain" && verb != "ready") {
    return respond(http::ErrorResponse(
        {ResultCode::kNotFound, "use /v1/workers/{id}/drain or /v1/workers/{id}/ready"}));
  }
  const WorkerId worker(rest.substr(0, slash));
  const bool drain = verb == "drain";
  const wire::SetWorkerState change{
      worker, drain ? wire::WorkerState::kDraining : wire::WorkerState::kReady};
  Event("worker_change_requested").With("worker", worker).With("state", verb);
  context_.schedulers.CallDomain<wire::Empty>(
      context_.options.domain, wire::kWorkerStateMethod, change, context_.options.call_timeout,
      [respond = std::move(respond), worker, drain](const Result<wire::Empty>& reply) {
        if (!reply) return respond(http::ErrorResponse(reply.error()));
        respond(
            JsonResponse({{"worker", worker.value()}, {"state", drain ? "draining" : "ready"}}));
      });
}

void OperatorApi::ListQueues(const http::Request&, http::ResponseCallback respond) {
  context_.schedulers.CallDomain<wire::QueueList>(
      context_.options.domain, wire::kQueuesMethod, wire::Empty{}, context_.options.call_timeout,
      [respond = std::move(respond)](const Result<wire::QueueList>& list) {
        respond(list ? WriteQueues(*list) : http::ErrorResponse(list.error()));
      });
}

void OperatorApi::ShowStatus(const http::Request&, http::ResponseCallback respond) {
  context_.schedulers.CallDomain<wire::SchedulerStatus>(
      context_.options.domain, wire::kStatusMethod, wire::Empty{}, context_.options.call_timeout,
      [this, respond = std::move(respond)](const Result<wire::SchedulerStatus>& status) {
        json body = {{"entry", context_.options.node.value()},
                     {"domain", context_.options.domain.value()},
                     {"settings_revision", cache_.revision().value()},
                     {"settings_age_ms", cache_.Age().count()},
                     {"scheduler", nullptr}};
        if (status) body["scheduler"] = SchedulerJson(*status);
        respond(JsonResponse(body));
      });
}

void OperatorApi::GetSettings(const http::Request& request, http::ResponseCallback respond) {
  const std::string path = SettingsPath(request);
  const auto settings = cache_.Current();
  const json tree = json::parse(*settings.tree, nullptr, false);
  json value;
  try {
    value = tree.at(json::json_pointer(path));
  } catch (const json::exception&) {
    return respond(
        http::ErrorResponse({ResultCode::kNotFound, "the settings have no node \"" + path + "\""}));
  }
  respond(JsonResponse({{"revision", settings.revision.value()},
                        {"path", path},
                        {"value", std::move(value)},
                        {"age_ms", cache_.Age().count()}}));
}

void OperatorApi::EditSettings(const http::Request& request, http::ResponseCallback respond) {
  const auto edit = ParseEdit(request);
  if (!edit) return respond(http::ErrorResponse(edit.error()));
  const auto body = [bytes = wire::Encode(*edit)](std::uint32_t) { return bytes; };
  constexpr int kCallsPerEdit = 5;
  context_.schedulers.CallSettings(
      context_.options.domain, wire::kSettingsEditMethod, body,
      context_.options.call_timeout * kCallsPerEdit,
      [respond = std::move(respond)](const Result<std::string>& reply) {
        const auto result = reply.and_then(
            [](const std::string& bytes) { return wire::Decode<wire::SettingsEditReply>(bytes); });
        respond(result ? EditResponse(*result) : http::ErrorResponse(result.error()));
      });
}

void OperatorApi::CheckSettings(const http::Request& request, http::ResponseCallback respond) {
  json faults = json::array();
  for (const config_tree::SchemaError& fault : config_tree::CheckTree(request.body)) {
    faults.push_back({{"path", fault.path}, {"message", fault.message}});
  }
  respond(JsonResponse({{"faults", std::move(faults)}}));
}

void OperatorApi::ListHistory(const http::Request& request, http::ResponseCallback respond) {
  const auto it = request.query.find("from");
  const std::string text = it != request.query.end() ? it->second : "0";
  if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos ||
      text.size() > static_cast<std::size_t>(std::numeric_limits<std::uint64_t>::digits10)) {
    return respond(
        http::ErrorResponse({ResultCode::kOutOfRange, "from must be a revision, such as 7"}));
  }
  const wire::SettingsHistoryQuery query{Revision(std::stoull(text))};
  const auto body = [bytes = wire::Encode(query)](std::uint32_t) { return bytes; };
  context_.schedulers.CallSettings(
      context_.options.domain, wire::kSettingsHistoryMethod, body, context_.options.call_timeout,
      [respond = std::move(respond)](const Result<std::string>& reply) {
        const auto history = reply.and_then(
            [](const std::string& bytes) { return wire::Decode<wire::SettingsHistory>(bytes); });
        respond(history ? WriteHistory(*history) : http::ErrorResponse(history.error()));
      });
}

}  // namespace parsleyline::entry
