#include "settings/load.h"

#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace parsleyline::settings {

Loaded<std::string> ReadSettingsFile(const std::string& file) {
  errno = 0;
  std::ifstream in(file);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  // A folder can be opened, but reading it sets badbit on the output stream.
  if (!in.is_open() || in.bad() || text.fail()) {
    const std::string reason =
        errno != 0 ? std::generic_category().message(errno) : "it is empty or not a regular file";
    return tl::make_unexpected(
        SettingsErrors{{"", "file " + Quoted(file) + " cannot be read: " + reason}});
  }
  return text.str();
}

}  // namespace parsleyline::settings
