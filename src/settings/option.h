#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "base/strong_id.h"
#include "base/units.h"
#include "settings/describe.h"
#include "settings/json_text.h"

// Tables of the options of settings structs. Each row has the key, unit, range, help text and
// member pointer of one option; the default is the initial value of the member. Include it only in
// .cpp files, because nlohmann-json is slow to compile.
namespace parsleyline::settings {

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Format of a text option.
enum class TextRule : std::uint8_t { kName, kGroup, kIp, kFolder };

/// One option of the settings struct S. `read` stores the value in the struct or reports errors;
/// `document` adds the option's documentation rows.
template <typename S>
struct Option {
  std::string_view key;
  Presence presence = Presence::kOptional;
  std::function<void(const Json& value, const std::string& path, S* out, SettingsErrors* errors)>
      read;
  std::function<void(const std::string& key, std::vector<OptionRow>* rows)> document;
};

template <typename S>
using OptionTable = std::vector<Option<S>>;

/// Unit and range (both ends included) of a number option.
struct NumberRule {
  std::string_view unit;
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Describe the allowed values for messages and documentation.
std::string AllowedNumber(const NumberRule& rule);
std::string_view AllowedText(TextRule rule);
/// Returns whether `text` is valid as the name of a node, domain or team.
bool IsName(std::string_view text);
/// Return the value, or report an error and return nothing.
std::optional<std::int64_t> ReadNumber(const Json& value, const std::string& path,
                                       const NumberRule& rule, SettingsErrors* errors);
std::optional<std::string> ReadText(const Json& value, const std::string& path, TextRule rule,
                                    SettingsErrors* errors);
/// Returns whether `value` is an array of at least `min_size` items; reports an error otherwise.
bool CheckList(const Json& value, const std::string& path, std::size_t min_size,
               SettingsErrors* errors);
/// Reports each key of `object` that is not in `known`.
void CheckKeys(const Json& object, const std::string& path,
               const std::vector<std::string_view>& known, SettingsErrors* errors);

template <typename T>
void Assign(std::int64_t number, T* out) {
  *out = static_cast<T>(number);
}
inline void Assign(std::int64_t number, Milliseconds* out) { *out = Milliseconds(number); }
template <typename Tag>
void Assign(std::int64_t number, Quantity<Tag>* out) {
  *out = Quantity<Tag>(number);
}
inline void Assign(std::string text, std::string* out) { *out = std::move(text); }
template <typename Tag>
void Assign(std::string text, StrongId<Tag, std::string>* out) {
  *out = StrongId<Tag, std::string>(std::move(text));
}

template <typename T>
std::string ShowNumber(const T& value) {
  if constexpr (!std::is_arithmetic_v<T>) {
    return std::to_string(value.count());
  } else {
    return std::to_string(value);
  }
}

template <typename S>
void ReadObject(const Json& value, const std::string& path, const OptionTable<S>& table, S* out,
                SettingsErrors* errors) {
  if (!value.is_object()) {
    errors->push_back({path, "is " + DescribeValue(value) + "; allowed: an object"});
    return;
  }
  std::vector<std::string_view> known;
  known.reserve(table.size());
  for (const Option<S>& option : table) known.push_back(option.key);
  CheckKeys(value, path, known, errors);
  for (const Option<S>& option : table) {
    const auto it = value.find(std::string(option.key));
    const std::string option_path = path + "/" + std::string(option.key);
    if (it != value.end()) {
      option.read(*it, option_path, out, errors);
    } else if (option.presence == Presence::kRequired) {
      errors->push_back({option_path, "is missing; it is required"});
    }
  }
}

template <typename S>
void DocumentTable(const OptionTable<S>& table, const std::string& prefix,
                   std::vector<OptionRow>* rows) {
  for (const Option<S>& option : table) option.document(prefix + std::string(option.key), rows);
}

template <typename S, typename T>
Option<S> Number(std::string_view key, T S::*member, NumberRule rule, std::string_view help,
                 Presence presence = Presence::kOptional) {
  return {key, presence,
          [=](const Json& value, const std::string& path, S* out, SettingsErrors* errors) {
            const auto number = ReadNumber(value, path, rule, errors);
            if (number) Assign(*number, &(out->*member));
          },
          [=](const std::string& name, std::vector<OptionRow>* rows) {
            const std::string shown =
                presence == Presence::kRequired ? "required" : ShowNumber(S{}.*member);
            rows->push_back({name, shown, AllowedNumber(rule), help});
          }};
}

template <typename S, typename T>
Option<S> Text(std::string_view key, T S::*member, TextRule rule, std::string_view help,
               Presence presence = Presence::kRequired) {
  return {key, presence,
          [=](const Json& value, const std::string& path, S* out, SettingsErrors* errors) {
            auto text = ReadText(value, path, rule, errors);
            if (text) Assign(std::move(*text), &(out->*member));
          },
          [=](const std::string& name, std::vector<OptionRow>* rows) {
            const std::string shown = presence == Presence::kRequired ? "required" : "none";
            rows->push_back({name, shown, std::string(AllowedText(rule)), help});
          }};
}

template <typename S, typename T>
Option<S> Object(std::string_view key, T S::*member, const OptionTable<T>& table,
                 Presence presence) {
  return {key, presence,
          [=](const Json& value, const std::string& path, S* out, SettingsErrors* errors) {
            ReadObject(value, path, table, &(out->*member), errors);
          },
          [=](const std::string& name, std::vector<OptionRow>* rows) {
            DocumentTable(table, name + ".", rows);
          }};
}

template <typename S, typename T>
Option<S> ObjectList(std::string_view key, std::vector<T> S::*member, const OptionTable<T>& table) {
  return {key, Presence::kRequired,
          [=](const Json& value, const std::string& path, S* out, SettingsErrors* errors) {
            if (!CheckList(value, path, 1, errors)) return;
            for (std::size_t i = 0; i < value.size(); ++i) {
              T& item = (out->*member).emplace_back();
              ReadObject(value[i], path + "/" + std::to_string(i), table, &item, errors);
            }
          },
          [=](const std::string& name, std::vector<OptionRow>* rows) {
            DocumentTable(table, name + "[].", rows);
          }};
}

template <typename S, typename T>
Option<S> NameList(std::string_view key, std::vector<T> S::*member, std::string_view help) {
  return {key, Presence::kRequired,
          [=](const Json& value, const std::string& path, S* out, SettingsErrors* errors) {
            if (!CheckList(value, path, 1, errors)) return;
            for (std::size_t i = 0; i < value.size(); ++i) {
              auto name =
                  ReadText(value[i], path + "/" + std::to_string(i), TextRule::kName, errors);
              if (name) (out->*member).emplace_back(std::move(*name));
            }
          },
          [=](const std::string& name, std::vector<OptionRow>* rows) {
            rows->push_back({name + "[]", "required",
                             "at least one; " + std::string(AllowedText(TextRule::kName)), help});
          }};
}

}  // namespace parsleyline::settings
