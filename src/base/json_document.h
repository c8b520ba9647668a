#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

// Include it in .cpp files only, since the JSON headers are slow to compile.
namespace parsleyline {

/// Arrays and objects of a document that another process has sent may be nested this deep.
inline constexpr int kMaxJsonNesting = 64;

/// Returns whether the brackets of a JSON text are nested deeper than kMaxJsonNesting. Only an
/// upper bound for a text that is not valid JSON.
inline bool IsNestedTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonNesting) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

/// Parses a text of another process. The result of invalid input and of deep nesting is discarded:
/// copying and writing a document are recursive and would exhaust the stack, and an array of one
/// byte takes far more memory.
template <typename Json = nlohmann::json>
Json ParseJson(std::string_view text) {
  if (IsNestedTooDeep(text)) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

}  // namespace parsleyline
