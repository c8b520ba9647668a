#pragma once

#include <functional>

#include "dispatch/messages.h"

namespace parsleyline::cell {

/// Sends orders to workers. Without a reply, `done` gets the outcome kUnknown or kNotSent.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  virtual void Start(const dispatch::StartOrder& order,
                     std::function<void(dispatch::OrderReply)> done) = 0;
  virtual void Stop(const dispatch::StopOrder& order,
                    std::function<void(dispatch::OrderReply)> done) = 0;
  virtual void Hold(const dispatch::HoldOrder& order,
                    std::function<void(dispatch::HoldReply)> done) = 0;
};

/// Queries the advisor, which approves workers for the tasks of a step. The caller makes one query
/// at a time.
class AdvisorPort {
 public:
  virtual ~AdvisorPort() = default;
  virtual void Ask(const dispatch::AdvisorQuery& query,
                   std::function<void(dispatch::AdvisorReply)> done) = 0;
};

}  // namespace parsleyline::cell
