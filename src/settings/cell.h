#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace parsleyline::settings {

/// Address on which a daemon listens. Port 0 picks a free port.
struct Listener {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const Listener&) const = default;
};

/// RPC address of one scheduler of the cell.
struct SchedulerAddress {
  NodeId node;
  DomainId domain;
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const SchedulerAddress&) const = default;
};

}  // namespace parsleyline::settings
