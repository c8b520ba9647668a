#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"
#include "base/units.h"
#include "cli/transport.h"

namespace parsleyline::cli {

/// Whether a request that may have reached an entry can be retried safely.
enum class RetrySafety : std::uint8_t { kSafe, kUnsafe };

/// Result of sending a request to the entries.
enum class SendStatus : std::uint8_t {
  /// An entry sent a response.
  kAnswered,
  /// No entry received the request.
  kUnreachable,
  /// An entry may have received the request, but no response says whether it took effect.
  kUnknown,
};

/// Result of a request, and the response if an entry sent one.
struct Answer {
  SendStatus status = SendStatus::kUnreachable;
  http::ClientResponse response;
};

/// Sends each request to a list of entries in turn until one of them answers.
class EntryClient {
 public:
  EntryClient(Transport& transport, std::vector<EntryAddress> entries, Milliseconds timeout,
              std::ostream& err);

  /// Sends the request to the entries in order until one answers. If an entry may have received the
  /// request without answering, tries the next one only with RetrySafety::kSafe. Writes each
  /// failure to the error stream.
  Answer Send(const http::ClientRequest& request, RetrySafety retry_safety);

 private:
  Transport& transport_;
  std::vector<EntryAddress> entries_;
  Milliseconds timeout_;
  std::ostream& err_;
};

/// Parses "ip:port" or "[ipv6]:port".
Result<EntryAddress> ParseEntry(std::string_view text);

/// Percent-encodes a path for a request target, except for unreserved characters and "/".
std::string EncodePath(std::string_view path);

}  // namespace parsleyline::cli
