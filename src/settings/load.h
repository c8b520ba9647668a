#pragma once

#include <string>
#include <string_view>

#include "settings/option.h"

// Include it only in .cpp files of this folder.
namespace parsleyline::settings {

/// Returns the content of a settings file, or an error with the reason why it cannot be read.
Loaded<std::string> ReadSettingsFile(const std::string& file);

/// Parses `text` according to `table`. Runs `check` even after errors, so that all errors are
/// reported at once.
template <typename S>
Loaded<S> ParseSettings(std::string_view text, const OptionTable<S>& table,
                        void (*check)(const S& settings, SettingsErrors* errors)) {
  auto document = ParseJson(text);
  if (!document) return tl::make_unexpected(document.error());
  S settings;
  SettingsErrors errors;
  ReadObject(*document, "", table, &settings, &errors);
  check(settings, &errors);
  if (!errors.empty()) return tl::make_unexpected(std::move(errors));
  return settings;
}

}  // namespace parsleyline::settings
