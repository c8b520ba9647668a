#include "entry/response_writer.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace parsleyline::entry {
namespace {

using nlohmann::json;
using wire::RequestState;

std::string_view OutcomeName(RequestState state) {
  constexpr std::array<std::string_view, 7> kNames = {"unknown",  "queued", "running", "done",
                                                      "rejected", "failed", "unknown"};
  return kNames.at(static_cast<std::size_t>(state));
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json ResourcesJson(const Resources& resources) {
  return {{"cpu_millis", resources.cpu.count()},
          {"memory_mib", resources.memory.count()},
          {"accelerators", resources.accelerators.count()},
          {"slots", resources.slots.count()}};
}

// The answers are JSON texts that the gateway has checked, so they are copied without parsing.
std::string JoinAnswers(const std::vector<std::string>& answers) {
  std::string text = "[";
  for (std::size_t i = 0; i < answers.size(); ++i) {
    if (i > 0) text += ',';
    text += answers[i].empty() ? "null" : answers[i];
  }
  return text + "]";
}

json WorkerNames(const wire::RequestStatus& status) {
  json names = json::array();
  for (const wire::TaskGrant& grant : status.grants) names.push_back(grant.worker.value());
  return names;
}

bool HasError(RequestState state) {
  return state == RequestState::kRejected || state == RequestState::kFailed ||
         state == RequestState::kUnknown;
}

int HttpStatusOf(const wire::RequestStatus& status) {
  if (status.state == RequestState::kNone) return Describe(ResultCode::kNotFound).http_status;
  return HasError(status.state) ? Describe(status.code).http_status : 200;
}

}  // namespace

http::Response WriteStatus(const wire::RequestStatus& status) {
  if (status.state == RequestState::kNone) {
    return http::ErrorResponse(
        {ResultCode::kNotFound, "request " + status.id.value() +
                                    " is not known, or its record is older than the retention"});
  }
  json body = {{"request_id", status.id.value()},
               {"outcome", OutcomeName(status.state)},
               {"waited_ms", status.queue_time.count()},
               {"workers", WorkerNames(status)}};
  http::Response response;
  response.status = HttpStatusOf(status);
  if (HasError(status.state)) {
    const ResultCodeInfo& info = Describe(status.code);
    body["error"] = {
        {"code", static_cast<int>(status.code)}, {"name", info.name}, {"message", status.message}};
  }
  if (status.retry_after > Milliseconds(0)) {
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    body["retry_after_ms"] = status.retry_after.count();
    const std::int64_t seconds =
        (status.retry_after.count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    response.headers["Retry-After"] = std::to_string(seconds);
  }
  response.body = Dump(body);
  if (status.state == RequestState::kDone) {
    response.body.pop_back();
    response.body += ",\"answers\":" + JoinAnswers(status.answers) + "}";
  }
  return response;
}

http::Response WriteWorkers(const wire::WorkerList& list) {
  json rows = json::array();
  for (const wire::WorkerRow& row : list.workers) {
    rows.push_back({{"worker", row.worker.value()},
                    {"rack", row.rack.value()},
                    {"address", row.address},
                    {"state", row.state},
                    {"capacity", ResourcesJson(row.capacity)},
                    {"charged", ResourcesJson(row.charged)},
                    {"running", row.running}});
  }
  http::Response response;
  response.body = Dump({{"workers", std::move(rows)}});
  return response;
}

http::Response WriteQueues(const wire::QueueList& list) {
  json rows = json::array();
  for (const wire::QueueRow& row : list.queues) {
    rows.push_back({{"team", row.team.value()},
                    {"kind", KindName(row.kind)},
                    {"queued", row.queued},
                    {"running", row.running},
                    {"rejected_total", row.rejected_total},
                    {"oldest_wait_ms", row.oldest_wait.count()}});
  }
  http::Response response;
  response.body = Dump({{"queues", std::move(rows)}});
  return response;
}

http::Response WriteHistory(const wire::SettingsHistory& history) {
  const auto value_or_null = [](const std::string& text) {
    json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json() : value;
  };
  json rows = json::array();
  for (const wire::SettingsHistoryRow& row : history.rows) {
    rows.push_back({{"revision", row.revision.value()},
                    {"operation", row.edit.operation.value()},
                    {"author", row.edit.author.value()},
                    {"when_seconds", row.edit.edit_time_seconds},
                    {"path", row.edit.path},
                    {"value", value_or_null(row.edit.value)},
                    {"previous", value_or_null(row.previous_value)}});
  }
  http::Response response;
  response.body = Dump({{"rows", std::move(rows)}});
  return response;
}

}  // namespace parsleyline::entry
