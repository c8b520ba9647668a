#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "cli/run.h"
#include "config_tree/config_tree.h"

namespace parsleyline::cli {

/// How an entry treats requests.
enum class EntryState {
  kUp,
  kRefusesConnections,
  kLosesAnswers,
  kLosesRequests,
  kStopping,
  kLeaderless
};

/// Entries in memory that share one settings tree. Other requests get the answer that is set.
class FakeCell : public Transport {
 public:
  using Json = nlohmann::json;

  http::ClientResult Send(const EntryAddress& entry, http::ClientRequest request,
                          Milliseconds) override {
    const EntryState state = entries[entry.port];
    if (state == EntryState::kRefusesConnections) return Failure(http::Sent::kNo);
    if (state == EntryState::kLosesRequests) return Failure(http::Sent::kMaybe);
    if (state == EntryState::kStopping) return Refuse(ResultCode::kShuttingDown, "stopping");
    if (state == EntryState::kLeaderless) return Refuse(ResultCode::kNoLeader, "no leader");
    requests.push_back(request);
    auto response = Respond(request);
    if (state == EntryState::kLosesAnswers) return Failure(http::Sent::kMaybe);
    return response;
  }

  /// Runs a command line with both entries and returns its exit status.
  int Run(std::vector<std::string> args, const std::string& stdin_text = "") {
    std::istringstream in(stdin_text);
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    Surroundings surroundings{*this, in, out_stream, err_stream, "127.0.0.1:1,127.0.0.1:2"};
    surroundings.new_operation = [this] { return "cli-" + std::to_string(++operations); };
    const ExitCode exit = cli::Run(args, surroundings);
    out = out_stream.str();
    err = err_stream.str();
    return static_cast<int>(exit);
  }

  std::map<std::uint16_t, EntryState> entries;
  config_tree::ConfigTree tree;
  /// Answer to everything but settings.
  http::ClientResponse answer{200, {}, "{}"};
  std::vector<http::ClientRequest> requests;
  std::string out;
  std::string err;
  int operations = 0;

 private:
  static http::ClientResult Failure(http::Sent sent) {
    return tl::make_unexpected(
        http::ClientFailure{{ResultCode::kConnectionFailed, "test failure"}, sent});
  }

  static http::ClientResponse Refuse(ResultCode code, const std::string& message) {
    const ResultCodeInfo& info = Describe(code);
    const Json error = {
        {"code", static_cast<int>(code)}, {"name", info.name}, {"message", message}};
    return {info.http_status, {}, Json{{"error", error}}.dump()};
  }

  http::ClientResponse Respond(const http::ClientRequest& request) {
    const std::string prefix = "/v1/settings";
    if (request.target.rfind(prefix + "-history?from=", 0) == 0) return History(request.target);
    if (request.target.rfind(prefix, 0) != 0) return answer;
    const std::string path = request.target.substr(prefix.size());
    if (request.method != "GET") return Edit(request, path);
    const auto value = tree.Get(path);
    if (!value) return Refuse(value.error().code, value.error().message);
    const Json body = {{"revision", tree.revision().value()},
                       {"path", path},
                       {"value", Json::parse(*value)},
                       {"age_ms", 12}};
    return {200, {}, body.dump()};
  }

  http::ClientResponse Edit(const http::ClientRequest& request, const std::string& path) {
    const Json body = Json::parse(request.body);
    const auto reply =
        tree.Apply({OperationId(body["operation"]), TeamId(body["author"]),
                    Revision(body["expected_revision"].get<std::uint64_t>()), path,
                    request.method == "PUT" ? body["value"].dump() : "", 1764838800});
    if (reply.code != ResultCode::kOk) return Refuse(reply.code, reply.message);
    return {200, {}, Json{{"revision", reply.revision.value()}}.dump()};
  }

  http::ClientResponse History(const std::string& target) const {
    Json rows = Json::array();
    const std::uint64_t from = std::stoull(target.substr(target.find('=') + 1));
    const auto json = [](const std::string& text) {
      return text.empty() ? Json() : Json::parse(text);
    };
    for (const auto& row : tree.History(Revision(from)).rows) {
      rows.push_back({{"revision", row.revision.value()},
                      {"operation", row.edit.operation.value()},
                      {"author", row.edit.author.value()},
                      {"when_seconds", row.edit.edit_time_seconds},
                      {"path", row.edit.path},
                      {"value", json(row.edit.value)},
                      {"previous", json(row.previous_value)}});
    }
    return {200, {}, Json{{"rows", rows}}.dump()};
  }
};

}  // namespace parsleyline::cli
