#include "entry/announcements.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <utility>

#include "entry/json_fields.h"
#include "wire/methods.h"

namespace parsleyline::entry {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::int64_t kMaxMilliCpu = 10000000;
constexpr std::int64_t kMaxMemoryMib = std::int64_t{1} << 30U;
constexpr std::int64_t kMaxAccelerators = 4096;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxConnections = 65536;
constexpr std::size_t kMaxRunning = 4096;
constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

Resources ReadCapacity(FieldReader* fields) {
  const nlohmann::json& object = fields->RequiredObject("capacity");
  FieldReader nested(object, "/capacity");
  Resources capacity;
  capacity.cpu = MilliCpu(nested.RequiredInteger("cpu_millis", 1, kMaxMilliCpu));
  capacity.memory = Mebibytes(nested.RequiredInteger("memory_mib", 1, kMaxMemoryMib));
  capacity.accelerators =
      Accelerators(nested.OptionalInteger("accelerators", 0, kMaxAccelerators, 0));
  capacity.slots = Slots(nested.RequiredInteger("slots", 1, kMaxSlots));
  if (auto finished = nested.Finish(); !finished) fields->MergeError(nested);
  return capacity;
}

wire::TaskUsage ReadUsage(const nlohmann::json& object, FieldReader* fields) {
  FieldReader nested(object, "/running");
  wire::TaskUsage usage;
  usage.token =
      FencingToken(static_cast<std::uint64_t>(nested.RequiredInteger("token", 0, kMaxNumber)));
  usage.cpu = MilliCpu(nested.OptionalInteger("cpu_millis", 0, kMaxMilliCpu, 0));
  usage.memory = Mebibytes(nested.OptionalInteger("memory_mib", 0, kMaxMemoryMib, 0));
  if (auto finished = nested.Finish(); !finished) fields->MergeError(nested);
  return usage;
}

wire::WorkerState ReadState(FieldReader* fields) {
  const std::string state = fields->RequiredString("state", kMaxNameLength);
  if (state == "draining") return wire::WorkerState::kDraining;
  if (state != "ready") {
    fields->RecordError(ResultCode::kOutOfRange, "/state must be \"ready\" or \"draining\"");
  }
  return wire::WorkerState::kReady;
}

http::Response ToResponse(const wire::AnnounceResult& result) {
  if (result.code != ResultCode::kOk) {
    return http::ErrorResponse(
        {result.code, "a later incarnation of the worker has announced itself"});
  }
  const auto tokens = [](const std::vector<FencingToken>& list) {
    nlohmann::json array = nlohmann::json::array();
    for (const FencingToken token : list) array.push_back(token.value());
    return array;
  };
  http::Response response;
  response.body = nlohmann::json{{"renewed", tokens(result.renewed)},
                                 {"stop", tokens(result.stop)},
                                 {"number", result.response_number}}
                      .dump();
  return response;
}

}  // namespace

Result<wire::Announcement> ParseAnnouncement(std::string_view body) {
  const auto document = ParseObject(body);
  if (!document) return tl::make_unexpected(document.error());
  FieldReader fields(*document, "");
  wire::Announcement announcement;
  announcement.worker = WorkerId(fields.RequiredString("worker", kMaxNameLength));
  announcement.incarnation =
      Incarnation(static_cast<std::uint64_t>(fields.RequiredInteger("incarnation", 1, kMaxNumber)));
  announcement.address = fields.RequiredString("address", kMaxNameLength);
  announcement.domain = DomainId(fields.RequiredString("domain", kMaxNameLength));
  announcement.rack = RackId(fields.RequiredString("rack", kMaxNameLength));
  announcement.capacity = ReadCapacity(&fields);
  announcement.connections =
      static_cast<std::uint32_t>(fields.RequiredInteger("connections", 1, kMaxConnections));
  announcement.state = ReadState(&fields);
  announcement.acknowledged_response =
      static_cast<std::uint64_t>(fields.OptionalInteger("seen", 0, kMaxNumber, 0));
  const nlohmann::json& running = fields.OptionalArray("running");
  if (running.size() > kMaxRunning) {
    fields.RecordError(ResultCode::kOutOfRange, "/running has " + std::to_string(running.size()) +
                                                    " tasks; at most 4096 are allowed");
  } else {
    for (const nlohmann::json& it : running) {
      if (!it.is_object()) {
        fields.RecordError(ResultCode::kWrongType, "/running must hold objects");
        break;
      }
      announcement.running.push_back(ReadUsage(it, &fields));
    }
  }
  if (auto finished = fields.Finish(); !finished) return tl::make_unexpected(finished.error());
  return announcement;
}

void AnnouncementBatcher::Add(wire::Announcement announcement, http::ResponseCallback respond) {
  if (announcement.domain != context_.options.domain) {
    return respond(
        http::ErrorResponse({ResultCode::kOutOfRange, "/domain is " + announcement.domain.value() +
                                                          ", but this entry daemon serves " +
                                                          context_.options.domain.value()}));
  }
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    first = pending_.empty();
    pending_.push_back({std::move(announcement), std::move(respond)});
  }
  if (!first) return;
  auto self = shared_from_this();
  auto timer = std::make_shared<boost::asio::steady_timer>(context_.io,
                                                           context_.options.announce_batch_delay);
  timer->async_wait([self, timer](const boost::system::error_code&) { self->SendBatch(); });
}

void AnnouncementBatcher::SendBatch() {
  auto batch = std::make_shared<std::vector<PendingAnnouncement>>();
  {
    const std::lock_guard lock(mutex_);
    batch->swap(pending_);
  }
  wire::AnnounceBatch message;
  for (const PendingAnnouncement& it : *batch) message.announcements.push_back(it.announcement);
  context_.schedulers.CallDomain<wire::AnnounceReply>(
      context_.options.domain, wire::kAnnounceMethod, message, context_.options.call_timeout,
      [batch](const Result<wire::AnnounceReply>& reply) { RespondToAll(*batch, reply); });
}

void AnnouncementBatcher::RespondToAll(const std::vector<PendingAnnouncement>& batch,
                                       const Result<wire::AnnounceReply>& reply) {
  for (std::size_t i = 0; i < batch.size(); ++i) {
    if (!reply) {
      batch[i].respond(http::ErrorResponse(reply.error()));
    } else if (i >= reply->results.size()) {
      batch[i].respond(
          http::ErrorResponse({ResultCode::kMalformedMessage,
                               "the scheduler answered " + std::to_string(reply->results.size()) +
                                   " of " + std::to_string(batch.size()) + " announcements"}));
    } else {
      batch[i].respond(ToResponse(reply->results[i]));
    }
  }
}

}  // namespace parsleyline::entry
