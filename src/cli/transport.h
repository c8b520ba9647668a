#pragma once

#include <cstdint>
#include <string>

#include "base/units.h"
#include "http/client.h"

namespace parsleyline::cli {

/// Address of the HTTP listener of an entry daemon.
struct EntryAddress {
  std::string ip;
  std::uint16_t port = 0;
};

/// Interface that sends one HTTP request and waits for its response.
class Transport {
 public:
  virtual ~Transport() = default;

  virtual http::ClientResult Send(const EntryAddress& entry, http::ClientRequest request,
                                  Milliseconds timeout) = 0;
};

}  // namespace parsleyline::cli
