#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "entry/entry_context.h"
#include "http/server.h"
#include "wire/messages.h"

namespace parsleyline::entry {

/// Checks the body of POST /v1/announcements.
Result<wire::Announcement> ParseAnnouncement(std::string_view body);

/// Collects announcements of workers for a short time, sends them to the domain's leader as one
/// batch, and answers each worker. Calls may come from any thread.
class AnnouncementBatcher : public std::enable_shared_from_this<AnnouncementBatcher> {
 public:
  explicit AnnouncementBatcher(EntryContext& context) : context_(context) {}

  void Add(wire::Announcement announcement, http::ResponseCallback respond);

 private:
  struct Waiting {
    wire::Announcement announcement;
    http::ResponseCallback respond;
  };

  void Send();
  static void Answer(const std::vector<Waiting>& batch, const Result<wire::AnnounceReply>& reply);

  EntryContext& context_;
  std::mutex mutex_;
  std::vector<Waiting> waiting_;
};

}  // namespace parsleyline::entry
