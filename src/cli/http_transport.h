#pragma once

#include "cli/transport.h"

namespace parsleyline::cli {

/// Transport that uses http::Client and opens a new connection for each request.
class HttpTransport : public Transport {
 public:
  http::ClientResult Send(const EntryAddress& entry, http::ClientRequest request,
                          Milliseconds timeout) override;
};

}  // namespace parsleyline::cli
