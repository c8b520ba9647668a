#pragma once

#include <functional>

#include "dispatch/messages.h"

namespace parsleyline::cell {

/// Carries orders to workers, in the protocol that the workers speak.
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

/// Asks the advisor, in the protocol that it speaks. Calls are made one after the other.
class AdvisorPort {
 public:
  virtual ~AdvisorPort() = default;
  virtual void Ask(const dispatch::AdvisorQuery& query,
                   std::function<void(dispatch::AdvisorReply)> done) = 0;
};

}  // namespace parsleyline::cell
