#include "settings/fault.h"

namespace parsleyline::settings {

std::string FaultLines(const SettingsErrors& errors) {
  std::string lines;
  for (const SettingsError& error : errors) {
    lines.append(error.path.empty() ? "(file)" : error.path).append(": ").append(error.message);
    lines.push_back('\n');
  }
  return lines;
}

}  // namespace parsleyline::settings
