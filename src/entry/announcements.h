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

/// Parses and checks the body of POST /v1/announcements.
Result<wire::Announcement> ParseAnnouncement(std::string_view body);

/// Collects announcements of workers for EntryOptions::announce_batch_delay, sends them to the
/// domain's leader as one batch, and responds to each worker. Thread-safe.
class AnnouncementBatcher : public std::enable_shared_from_this<AnnouncementBatcher> {
 public:
  explicit AnnouncementBatcher(EntryContext& context) : context_(context) {}

  /// Rejects an announcement of a worker of another domain.
  void Add(wire::Announcement announcement, http::ResponseCallback respond);

 private:
  struct PendingAnnouncement {
    wire::Announcement announcement;
    http::ResponseCallback respond;
  };

  void SendBatch();
  static void RespondToAll(const std::vector<PendingAnnouncement>& batch,
                           const Result<wire::AnnounceReply>& reply);

  EntryContext& context_;
  std::mutex mutex_;
  std::vector<PendingAnnouncement> pending_;
};

}  // namespace parsleyline::entry
