#include "settings/json_text.h"

#include <set>
#include <utility>

namespace parsleyline::settings {
namespace {

constexpr std::size_t kMaxQuotedBytes = 80;

/// Finds duplicate keys and deep nesting in the events of the parser. The parsed document no longer
/// shows duplicate keys.
class StructureCheck {
 public:
  /// Handles one event. Returns whether the parser keeps the value.
  bool OnEvent(int depth, Json::parse_event_t event, const Json& value) {
    // The parser does not report all events inside a discarded value.
    if (too_deep_) return false;
    switch (event) {
      case Json::parse_event_t::object_start:
      case Json::parse_event_t::array_start:
        return Open(depth, event == Json::parse_event_t::array_start);
      case Json::parse_event_t::object_end:
      case Json::parse_event_t::array_end:
        if (!levels_.empty()) levels_.pop_back();
        CountItem();
        return true;
      case Json::parse_event_t::key:
        OnKey(value.get_ref<const std::string&>());
        return true;
      case Json::parse_event_t::value:
        CountItem();
        return true;
    }
    return true;
  }

  SettingsErrors TakeErrors() { return std::move(errors_); }

 private:
  struct Level {
    bool is_array = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  bool Open(int depth, bool is_array) {
    if (depth >= kMaxJsonDepth) {
      errors_.push_back(
          {Path(), "is nested too deeply; allowed: " + std::to_string(kMaxJsonDepth) + " levels"});
      too_deep_ = true;
      return false;
    }
    levels_.push_back(Level{is_array});
    return true;
  }

  void CountItem() {
    if (!levels_.empty() && levels_.back().is_array) ++levels_.back().index;
  }

  void OnKey(const std::string& key) {
    if (levels_.empty()) return;
    levels_.back().key = key;
    if (!levels_.back().keys.insert(key).second) {
      errors_.push_back({Path(), "appears twice; allowed: once in an object"});
    }
  }

  std::string Path() const {
    std::string path;
    for (const Level& level : levels_) {
      path += "/" + (level.is_array ? std::to_string(level.index) : level.key);
    }
    return path;
  }

  std::vector<Level> levels_;
  SettingsErrors errors_;
  bool too_deep_ = false;
};

}  // namespace

Loaded<Json> ParseJson(std::string_view text) {
  StructureCheck check;
  const auto on_event = [&check](int depth, Json::parse_event_t event, Json& value) {
    return check.OnEvent(depth, event, value);
  };
  Json document;
  try {
    document = Json::parse(text, on_event);
  } catch (const Json::exception& error) {
    return tl::make_unexpected(
        SettingsErrors{{"", std::string("is not valid JSON: ") + error.what()}});
  }
  SettingsErrors errors = check.TakeErrors();
  if (!errors.empty()) return tl::make_unexpected(std::move(errors));
  return document;
}

std::string Quoted(std::string_view text) {
  constexpr char kHex[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaxQuotedBytes)) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < ' ' || byte >= 0x7f) {
      quoted.append("\\x").append(1, kHex[byte >> 4U]).append(1, kHex[byte & 15U]);
      continue;
    }
    if (c == '"' || c == '\\') quoted.push_back('\\');
    quoted.push_back(c);
  }
  quoted += text.size() > kMaxQuotedBytes ? "...\"" : "\"";
  return quoted;
}

std::string DescribeValue(const Json& value) {
  if (value.is_string()) return Quoted(value.get_ref<const std::string&>());
  if (value.is_object()) return "an object";
  if (value.is_array()) return "an array";
  return value.dump();
}

std::vector<std::string_view> Keys(const Json& object) {
  std::vector<std::string_view> keys;
  keys.reserve(object.size());
  for (const auto& item : object.items()) keys.emplace_back(item.key());
  return keys;
}

}  // namespace parsleyline::settings
