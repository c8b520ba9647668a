#pragma once

#include <functional>

#include "dispatch/messages.h"

namespace parsleyline::cell {

/// Sends orders to workers. Without a reply, `done` gets the outcome kUnknown or kNotSent.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;
  virtual void SendStart(const dispatch::StartOrder& order,
                         std::function<void(dispatch::OrderReply)> done) = 0;
  virtual void SendStop(const dispatch::StopOrder& order,
                        std::function<void(dispatch::OrderReply)> done) = 0;
  virtual void SendHold(const dispatch::HoldOrder& order,
                        std::function<void(dispatch::HoldReply)> done) = 0;
};

/// Queries the advisor, which approves workers for the tasks of a step. The caller makes one query
/// at a time.
class AdvisorClient {
 public:
  virtual ~AdvisorClient() = default;
  virtual void Query(const dispatch::AdvisorQuery& query,
                     std::function<void(dispatch::AdvisorReply)> done) = 0;
};

}  // namespace parsleyline::cell
