#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace parsleyline::settings {

/// One error in a settings file.
struct Fault {
  /// JSON pointer to the invalid node, for example "/http/port"; empty for the file as a whole.
  std::string path;
  /// The invalid value and the allowed values.
  std::string message;

  bool operator==(const Fault&) const = default;
};

using Faults = std::vector<Fault>;

/// Valid settings, or all errors that were found.
template <typename T>
using Loaded = tl::expected<T, Faults>;

/// Formats each error as one line "path: message".
std::string FaultLines(const Faults& faults);

}  // namespace parsleyline::settings
