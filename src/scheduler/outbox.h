#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "base/result_code.h"
#include "scheduler/records.h"
#include "wire/messages.h"

namespace parsleyline::scheduler {

/// Called once with the reply to an RPC call.
template <typename Message>
using ReplyCallback = std::function<void(Result<Message>)>;
using StatusCallback = ReplyCallback<wire::RequestStatus>;

/// Collects the records that DomainLeader proposes and the replies that it sends, so that
/// DomainScheduler can process both after it has released its lock.
class Outbox {
 public:
  void Propose(Record record) { proposals_.push_back(std::move(record)); }

  template <typename Message>
  void Send(const ReplyCallback<Message>& reply, Result<Message> message) {
    replies_.push_back(
        [reply, message = std::move(message)]() mutable { reply(std::move(message)); });
  }

  std::vector<Record> TakeProposals() { return std::exchange(proposals_, {}); }
  std::vector<std::function<void()>> TakeReplies() { return std::exchange(replies_, {}); }

 private:
  std::vector<Record> proposals_;
  std::vector<std::function<void()>> replies_;
};

}  // namespace parsleyline::scheduler
