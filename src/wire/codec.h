#pragma once

#include <string>
#include <string_view>

#include "base/result_code.h"

namespace parsleyline::wire {

/// Encodes a message as a MessagePack array of its Fields().
template <typename Message>
std::string Encode(const Message& message);

/// Decodes a message. Fails with kMalformedMessage if the input is malformed, truncated or of
/// another type. Members missing at the end keep their defaults, and extra values at the end are
/// ignored, so that processes of different versions understand each other.
template <typename Message>
Result<Message> Decode(std::string_view bytes);

}  // namespace parsleyline::wire
