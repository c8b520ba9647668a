#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace parsleyline::settings {

/// One error in a settings file.
struct SettingsError {
  /// JSON pointer to the invalid node, for example "/http/port"; empty for the file as a whole.
  std::string path;
  /// The invalid value and the allowed values.
  std::string message;

  bool operator==(const SettingsError&) const = default;
};

using SettingsErrors = std::vector<SettingsError>;

/// Valid settings, or all errors that were found.
template <typename T>
using Loaded = tl::expected<T, SettingsErrors>;

/// Formats each error as one line "path: message".
std::string FaultLines(const SettingsErrors& errors);

}  // namespace parsleyline::settings
