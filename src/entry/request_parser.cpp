#include "entry/request_parser.h"

#include <xxhash.h>

#include <algorithm>

#include "entry/json_fields.h"

namespace parsleyline::entry {
namespace {

constexpr std::size_t kMaxTeamLength = 64;
constexpr std::size_t kMaxKeyLength = 128;
constexpr std::int64_t kMaxTasks = 1024;
constexpr std::int64_t kMaxMilliCpu = 1000000;
constexpr std::int64_t kMaxMemoryMib = 16777216;
constexpr std::int64_t kMaxAccelerators = 1024;
constexpr std::int64_t kMaxTimeMs = 86400000;
constexpr std::int64_t kDefaultTimeoutMs = 30000;

bool IsTeamCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

Resources ReadResources(FieldReader* fields) {
  const nlohmann::json& object = fields->RequiredObject("resources");
  FieldReader nested(object, "/resources");
  Resources resources;
  resources.cpu = MilliCpu(nested.RequiredInteger("cpu_millis", 1, kMaxMilliCpu));
  resources.memory = Mebibytes(nested.RequiredInteger("memory_mib", 1, kMaxMemoryMib));
  resources.accelerators =
      Accelerators(nested.OptionalInteger("accelerators", 0, kMaxAccelerators, 0));
  resources.slots = Slots(1);
  if (auto finished = nested.Finish(); !finished) fields->MergeError(nested);
  return resources;
}

std::string ReadTeam(FieldReader* fields) {
  std::string team = fields->RequiredString("team", kMaxTeamLength);
  if (!std::all_of(team.begin(), team.end(), IsTeamCharacter)) {
    fields->RecordError(ResultCode::kOutOfRange,
                        "/team has characters other than a-z, 0-9, '-', '_' and '.'");
  }
  return team;
}

Kind ReadKind(FieldReader* fields) {
  const std::string name = fields->RequiredString("kind", kMaxTeamLength);
  const auto kind = ParseKind(name);
  if (!kind && !name.empty()) {
    fields->RecordError(ResultCode::kUnknownKind,
                        "/kind is \"" + name + "\"; allowed are service, batch and gang");
  }
  return kind.value_or(Kind::kBatch);
}

}  // namespace

Result<ParsedRequest> ParseRequest(std::string_view body) {
  const auto document = ParseObject(body);
  if (!document) return tl::make_unexpected(document.error());

  FieldReader fields(*document, "");
  ParsedRequest request;
  request.spec.team = TeamId(ReadTeam(&fields));
  request.spec.kind = ReadKind(&fields);
  request.spec.tasks = static_cast<std::uint32_t>(fields.OptionalInteger("tasks", 1, kMaxTasks, 1));
  if (request.spec.tasks > 1 && request.spec.kind != Kind::kGang) {
    fields.RecordError(ResultCode::kOutOfRange,
                       "/tasks is more than 1; only requests of kind gang have several tasks");
  }
  request.spec.resources = ReadResources(&fields);
  request.spec.idempotency = fields.OptionalBoolean("idempotent", false)
                                 ? wire::Idempotency::kIdempotent
                                 : wire::Idempotency::kNotIdempotent;
  request.timeout =
      Milliseconds(fields.OptionalInteger("timeout_ms", 1, kMaxTimeMs, kDefaultTimeoutMs));
  request.spec.expected_run_time =
      Milliseconds(fields.OptionalInteger("expected_ms", 0, kMaxTimeMs, 0));
  request.payload = fields.OptionalValue("payload").dump(-1, ' ', false,
                                                         nlohmann::json::error_handler_t::replace);
  if (auto finished = fields.Finish(); !finished) return tl::make_unexpected(finished.error());

  const std::string canonical =
      document->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  request.digest = XXH3_64bits(canonical.data(), canonical.size());
  return request;
}

Result<void> CheckIdempotencyKey(std::string_view key) {
  const bool printable =
      std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (!key.empty() && key.size() <= kMaxKeyLength && printable) return {};
  return Fail(ResultCode::kOutOfRange,
              "the header Idempotency-Key must have 1 to 128 printable ASCII characters without "
              "spaces");
}

}  // namespace parsleyline::entry
