#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "settings/fault.h"

// Include it only in .cpp files, because nlohmann-json is slow to compile.
namespace parsleyline::settings {

using Json = nlohmann::json;

/// Largest nesting depth of arrays and objects. nlohmann-json copies, compares and prints
/// recursively, so 256 KiB of opening brackets would overflow the stack.
inline constexpr int kMaxJsonDepth = 32;

/// Parses JSON text. Reports invalid syntax, duplicate keys in an object and nesting deeper than
/// kMaxJsonDepth as errors.
Loaded<Json> ParseJson(std::string_view text);

/// Returns `text` in quotes for a message. Control and non-ASCII bytes are escaped, and long text
/// is truncated.
std::string Quoted(std::string_view text);

/// Describes a value for a message: a scalar by its value, an array or object by its type.
std::string DescribeValue(const Json& value);

/// Returns the keys of an object.
std::vector<std::string_view> Keys(const Json& object);

}  // namespace parsleyline::settings
