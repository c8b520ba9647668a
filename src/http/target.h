#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/server.h"

namespace parsleyline::http::internal {

/// Decodes the %XX sequences of `text`. Returns nothing if a sequence is invalid or if the result
/// contains control characters.
std::optional<std::string> PercentDecode(std::string_view text);

/// Parses a request target and sets `request.path` and `request.query`. Returns false if the target
/// is not an absolute path with an optional query.
bool ParseTarget(std::string_view target, Request& request);

}  // namespace parsleyline::http::internal
