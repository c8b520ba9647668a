#include "settings/option.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>

#include "settings/suggest.h"

namespace parsleyline::settings {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxFolderBytes = 1024;

bool IsIp(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return inet_pton(AF_INET, text.c_str(), address.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), address.data()) == 1;
}

bool IsFolder(std::string_view text) {
  return !text.empty() && text.size() <= kMaxFolderBytes &&
         text.find('\0') == std::string_view::npos;
}

bool MatchesRule(TextRule rule, const std::string& text) {
  switch (rule) {
    case TextRule::kName:
      return IsName(text);
    case TextRule::kGroup:
      return !text.empty() && text.size() <= 2 * kMaxNameBytes;
    case TextRule::kIp:
      // inet_pton() reads only up to a NUL character.
      return text.find('\0') == std::string::npos && IsIp(text);
    case TextRule::kFolder:
      return IsFolder(text);
  }
  return false;
}

}  // namespace

bool IsName(std::string_view text) {
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

std::string AllowedNumber(const NumberRule& rule) {
  std::string text = "integer from " + std::to_string(rule.min) + " to " + std::to_string(rule.max);
  if (!rule.unit.empty()) text.append(", in ").append(rule.unit);
  return text;
}

std::string_view AllowedText(TextRule rule) {
  switch (rule) {
    case TextRule::kName:
      return "1 to 64 characters of a-z 0-9 - _ .";
    case TextRule::kGroup:
      return "\"settings\" or \"domain:<domain>\"";
    case TextRule::kIp:
      return "IPv4 or IPv6 address";
    case TextRule::kFolder:
      return "path of a folder";
  }
  return "";
}

std::optional<std::int64_t> ReadNumber(const Json& value, const std::string& path,
                                       const NumberRule& rule, SettingsErrors* errors) {
  const bool fits =
      value.is_number_integer() &&
      (!value.is_number_unsigned() || value.get<std::uint64_t>() <= std::uint64_t{INT64_MAX});
  if (fits) {
    const auto number = value.get<std::int64_t>();
    if (number >= rule.min && number <= rule.max) return number;
  }
  errors->push_back({path, "is " + DescribeValue(value) + "; allowed: " + AllowedNumber(rule)});
  return std::nullopt;
}

std::optional<std::string> ReadText(const Json& value, const std::string& path, TextRule rule,
                                    SettingsErrors* errors) {
  if (value.is_string() && MatchesRule(rule, value.get_ref<const std::string&>())) {
    return value.get<std::string>();
  }
  errors->push_back(
      {path, "is " + DescribeValue(value) + "; allowed: " + std::string(AllowedText(rule))});
  return std::nullopt;
}

bool CheckList(const Json& value, const std::string& path, std::size_t min_size,
               SettingsErrors* errors) {
  if (value.is_array() && value.size() >= min_size) return true;
  const std::string found = value.is_array() ? "an empty array" : DescribeValue(value);
  errors->push_back(
      {path, "is " + found + "; allowed: an array of at least " + std::to_string(min_size)});
  return false;
}

void CheckKeys(const Json& object, const std::string& path,
               const std::vector<std::string_view>& known, SettingsErrors* errors) {
  for (const auto& item : object.items()) {
    if (std::find(known.begin(), known.end(), item.key()) != known.end()) continue;
    errors->push_back(
        {path + "/" + item.key(), "is not a known key" + DidYouMean(item.key(), known)});
  }
}

}  // namespace parsleyline::settings
