#include "http/target.h"

#include <charconv>
#include <utility>

namespace parsleyline::http::internal {
namespace {

constexpr std::size_t kEscapeLength = 3;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

std::optional<char> DecodeEscape(std::string_view escape) {
  if (escape.size() < kEscapeLength) return std::nullopt;
  unsigned value = 0;
  const char* end = escape.data() + kEscapeLength;
  const auto parsed = std::from_chars(escape.data() + 1, end, value, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return static_cast<char>(value);
}

bool IsControl(char c) {
  const auto value = static_cast<unsigned char>(c);
  return value < kFirstPrintable || value == kDelete;
}

bool ParseQuery(std::string_view text, Request& request) {
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    auto name = PercentDecode(pair.substr(0, equals));
    auto value = PercentDecode(pair.substr(std::min(pair.size(), equals + 1)));
    if (!name || !value) return false;
    request.query[std::move(*name)] = std::move(*value);
  }
  return true;
}

}  // namespace

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  while (!text.empty()) {
    char c = text.front();
    std::size_t used = 1;
    if (c == '%') {
      const auto value = DecodeEscape(text);
      if (!value) return std::nullopt;
      c = *value;
      used = kEscapeLength;
    }
    if (IsControl(c)) return std::nullopt;
    decoded.push_back(c);
    text.remove_prefix(used);
  }
  return decoded;
}

bool ParseTarget(std::string_view target, Request& request) {
  if (target.empty() || target.front() != '/') return false;
  const std::size_t question = std::min(target.find('?'), target.size());
  auto path = PercentDecode(target.substr(0, question));
  if (!path) return false;
  request.path = std::move(*path);
  return ParseQuery(target.substr(std::min(target.size(), question + 1)), request);
}

}  // namespace parsleyline::http::internal
