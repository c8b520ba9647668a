#include "entry/settings_watcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "wire/codec.h"
#include "wire/methods.h"

namespace parsleyline::entry {
namespace {

constexpr Milliseconds kMaxWatchWait{2000};
constexpr Milliseconds kWatchTimeout{4000};
constexpr Milliseconds kRetryDelay{200};

}  // namespace

void SettingsWatcher::Start() {
  QueryAllSchedulers();
  Watch();
}

void SettingsWatcher::QueryAllSchedulers() {
  const std::string body = wire::Encode(wire::SettingsWatch{Revision(), Milliseconds(0)});
  for (const SchedulerAddress& scheduler : context_.schedulers.schedulers()) {
    auto self = shared_from_this();
    context_.schedulers.CallNode(
        scheduler.node, wire::kSettingsWatchMethod, body, context_.options.call_timeout,
        [self](const Result<std::string>& reply) { self->HandleReply(reply); });
  }
}

void SettingsWatcher::HandleReply(const Result<std::string>& reply) {
  const auto snapshot = reply.and_then(
      [](const std::string& bytes) { return wire::Decode<wire::SettingsSnapshot>(bytes); });
  if (!snapshot) return;
  cache_.Update(*snapshot);
  has_reply_ = true;
}

void SettingsWatcher::Watch() {
  if (stopped_) return;
  auto self = shared_from_this();
  const auto body = [self](std::uint32_t) {
    return wire::Encode(wire::SettingsWatch{self->cache_.revision(), kMaxWatchWait});
  };
  context_.schedulers.CallSettings(
      context_.options.domain, wire::kSettingsWatchMethod, body, kWatchTimeout,
      [self](const Result<std::string>& reply) {
        self->HandleReply(reply);
        if (reply) return self->Watch();
        auto timer = std::make_shared<boost::asio::steady_timer>(self->context_.io, kRetryDelay);
        timer->async_wait([self, timer](const boost::system::error_code&) { self->Watch(); });
      });
}

}  // namespace parsleyline::entry
