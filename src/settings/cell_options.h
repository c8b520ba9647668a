#pragma once

#include <vector>

#include "settings/cell.h"
#include "settings/option.h"

// Options and checks that the settings files of all daemons have in common. Include it only in .cpp
// files of this folder.
namespace parsleyline::settings {

/// Options of a listener.
const OptionTable<Listener>& ListenerOptions();
/// Options of one item of "schedulers".
const OptionTable<SchedulerAddress>& SchedulerAddressOptions();

/// Checks that node names and domain names are unique, and that `domains` contains the daemon's own
/// domain and the domain of each scheduler.
void CheckCell(const DomainId& own_domain, const std::vector<SchedulerAddress>& schedulers,
               const std::vector<DomainId>& domains, SettingsErrors* errors);

/// Reports every repeated name in the array at `path`.
template <typename Id>
void CheckUnique(const std::vector<Id>& names, const std::string& path, SettingsErrors* errors) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (names[i] != names[j]) continue;
      errors->push_back({path + "/" + std::to_string(i),
                         "is " + Quoted(names[i].value()) + " a second time; allowed: once"});
      break;
    }
  }
}

/// Reports `name` if `known`, the list at `known_path`, does not contain it. Accepts an empty name
/// or an empty list, which are reported elsewhere.
template <typename Id>
void CheckKnown(const Id& name, const std::vector<Id>& known, const std::string& path,
                std::string_view known_path, SettingsErrors* errors);

}  // namespace parsleyline::settings
