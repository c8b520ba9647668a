#include "settings/cell_options.h"

#include <algorithm>

#include "settings/suggest.h"

namespace parsleyline::settings {

const OptionTable<Listener>& ListenerOptions() {
  static const OptionTable<Listener> kTable = {
      Text("ip", &Listener::ip, TextRule::kIp, "Address to listen on."),
      Number("port", &Listener::port, {"", 0, 65535}, "Port to listen on; 0 picks a free one.",
             Presence::kRequired),
  };
  return kTable;
}

const OptionTable<SchedulerAddress>& SchedulerAddressOptions() {
  static const OptionTable<SchedulerAddress> kTable = {
      Text("node", &SchedulerAddress::node, TextRule::kName, "Name of a scheduler of the cell."),
      Text("domain", &SchedulerAddress::domain, TextRule::kName, "Its failure domain."),
      Text("ip", &SchedulerAddress::ip, TextRule::kIp, "Address of its RPC listener."),
      Number("port", &SchedulerAddress::port, {"", 1, 65535}, "Port of its RPC listener.",
             Presence::kRequired),
  };
  return kTable;
}

template <typename Id>
void CheckKnown(const Id& name, const std::vector<Id>& known, const std::string& path,
                std::string_view known_path, SettingsErrors* errors) {
  // An empty name or list has already been reported as missing or malformed.
  if (name.value().empty() || known.empty()) return;
  if (std::find(known.begin(), known.end(), name) != known.end()) return;
  std::vector<std::string_view> names;
  names.reserve(known.size());
  for (const Id& id : known) names.emplace_back(id.value());
  errors->push_back({path, "is " + Quoted(name.value()) + "; allowed: a name listed in " +
                               std::string(known_path) + DidYouMean(name.value(), names)});
}

template void CheckKnown(const NodeId& name, const std::vector<NodeId>& known,
                         const std::string& path, std::string_view known_path,
                         SettingsErrors* errors);
template void CheckKnown(const DomainId& name, const std::vector<DomainId>& known,
                         const std::string& path, std::string_view known_path,
                         SettingsErrors* errors);

void CheckCell(const DomainId& own_domain, const std::vector<SchedulerAddress>& schedulers,
               const std::vector<DomainId>& domains, SettingsErrors* errors) {
  CheckUnique(domains, "/domains", errors);
  CheckKnown(own_domain, domains, "/domain", "/domains", errors);
  for (std::size_t i = 0; i < schedulers.size(); ++i) {
    const std::string path = "/schedulers/" + std::to_string(i);
    CheckKnown(schedulers[i].domain, domains, path + "/domain", "/domains", errors);
    for (std::size_t j = 0; j < i; ++j) {
      if (schedulers[i].node != schedulers[j].node || schedulers[i].node.value().empty()) continue;
      errors->push_back({path + "/node", "is " + Quoted(schedulers[i].node.value()) +
                                             " a second time; allowed: once"});
      break;
    }
  }
}

}  // namespace parsleyline::settings
