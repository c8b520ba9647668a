#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result_code.h"
#include "base/units.h"
#include "wire/messages.h"

namespace parsleyline::entry {

/// A caller's request whose fields have been checked.
struct ParsedRequest {
  wire::RequestSpec spec;
  Milliseconds timeout{0};
  /// JSON text.
  std::string payload;
  /// Hash of the parsed body: equal for bodies that differ only in white space or field order.
  std::uint64_t digest = 0;
};

/// Parses and checks the body of POST /v1/requests. An error names the field and the allowed
/// values.
Result<ParsedRequest> ParseRequest(std::string_view body);

/// Checks the value of the header Idempotency-Key.
Result<void> CheckIdempotencyKey(std::string_view key);

}  // namespace parsleyline::entry
