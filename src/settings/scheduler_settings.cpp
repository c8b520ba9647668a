#include "settings/scheduler_settings.h"

#include <algorithm>

#include "settings/cell_options.h"
#include "settings/describe.h"
#include "settings/load.h"

namespace parsleyline::settings {
namespace {

using S = SchedulerSettings;
using P = placement::PlacementOptions;

constexpr std::int64_t kDayMs = 86'400'000;
// With an election timeout of at least two heartbeats, one lost heartbeat starts no election.
constexpr int kMinElectionHeartbeats = 2;

const OptionTable<RaftGroup>& GroupOptions() {
  static const OptionTable<RaftGroup> kTable = {
      Text("name", &RaftGroup::name, TextRule::kGroup, "Name of a Raft group."),
      Text("domain", &RaftGroup::domain, TextRule::kName,
           "Failure domain of the group; taken from its name if absent.", Presence::kOptional),
      NameList("voters", &RaftGroup::voters, "Schedulers that vote in the group."),
  };
  return kTable;
}

const OptionTable<P>& PlacementTable() {
  static const OptionTable<P> kTable = {
      Number("seed", &P::seed, {"", 0, INT64_MAX}, "Seed of random choices."),
      Number("service_headroom_permille", &P::service_headroom_permille, {"1/1000", 0, 1000},
             "Part of each worker's processors that batch work leaves to services."),
      Number("reservation_timeout_ms", &P::reservation_timeout, {"ms", 1, kDayMs},
             "How long a gang may hold its reservation."),
      Number("probation_failures", &P::probation_failures, {"", 1, 1000},
             "Distinct failed jobs in a row that put a worker on probation."),
      Number("job_failure_workers", &P::job_failure_workers, {"", 1, 1000},
             "Distinct workers on which a job must fail for its failures to be its own."),
      Number("probation_limit_permille", &P::probation_limit_permille, {"1/1000", 0, 1000},
             "Largest part of all workers that may be on probation at once."),
      Number("probe_interval_ms", &P::probe_interval, {"ms", 1, kDayMs},
             "Time until the first probe of a worker on probation."),
      Number("probe_interval_max_ms", &P::probe_interval_max, {"ms", 1, kDayMs},
             "Longest time between two probes."),
  };
  return kTable;
}

OptionTable<S> CellTable() {
  return {
      Text("node", &S::node, TextRule::kName, "Name of this process; listed in schedulers."),
      Text("domain", &S::domain, TextRule::kName, "Failure domain of this process."),
      Object("rpc", &S::rpc, ListenerOptions(), Presence::kRequired),
      Object("http", &S::http, ListenerOptions(), Presence::kRequired),
      Text("data_folder", &S::data_folder, TextRule::kFolder, "Folder of all durable files."),
      ObjectList("schedulers", &S::schedulers, SchedulerAddressOptions()),
      NameList("domains", &S::domains, "All failure domains of the cell."),
      ObjectList("groups", &S::groups, GroupOptions()),
      Number("threads", &S::threads, {"", 1, 256}, "Threads that serve connections."),
  };
}

OptionTable<S> TimingTable() {
  return {
      Number("heartbeat_ms", &S::heartbeat, {"ms", 1, 60'000}, "Time between Raft heartbeats."),
      Number("election_min_ms", &S::election_min, {"ms", 2, 600'000},
             "Shortest time without a heartbeat before an election."),
      Number("election_max_ms", &S::election_max, {"ms", 3, 600'000},
             "Longest time without a heartbeat before an election."),
      Number("compaction_bytes", &S::compaction_bytes, {"bytes", 65536, 1'073'741'824},
             "Size of applied records after which a log is replaced by a snapshot."),
      Number("worker_ttl_ms", &S::worker_ttl, {"ms", 1, kDayMs},
             "Time without an announcement after which a worker gets no new tasks."),
      Number("lease_service_ms", &S::lease_service, {"ms", 1, kDayMs}, "Lease of service tasks."),
      Number("lease_batch_ms", &S::lease_batch, {"ms", 1, kDayMs}, "Lease of batch tasks."),
      Number("lease_gang_ms", &S::lease_gang, {"ms", 1, kDayMs}, "Lease of gang tasks."),
      Number("clock_margin_ms", &S::clock_margin, {"ms", 0, kDayMs},
             "Time added to a lease before its capacity is released."),
      Number("ledger_retention_ms", &S::ledger_retention, {"ms", 1, 365 * kDayMs},
             "How long the outcome of a request is kept."),
      Number("ledger_max_entries", &S::ledger_max_entries, {"", 1, 100'000'000},
             "Requests whose outcome is kept."),
      Number("entry_ttl_ms", &S::entry_ttl, {"ms", 1, kDayMs},
             "Time without a heartbeat after which an entry is no longer registered."),
      Object("placement", &S::placement, PlacementTable(), Presence::kOptional),
      Number("stop_timeout_ms", &S::stop_timeout, {"ms", 0, kDayMs},
             "Time to hand over leadership and end calls after SIGTERM."),
      Number("ping_interval_ms", &S::ping_interval, {"ms", 1, kDayMs},
             "Time between two pings on a connection."),
      Number("ping_timeout_ms", &S::ping_timeout, {"ms", 1, kDayMs},
             "Time without an answer after which a connection is replaced."),
      Number("call_timeout_ms", &S::call_timeout, {"ms", 1, kDayMs},
             "Time for another scheduler to answer a call."),
  };
}

const OptionTable<S>& Table() {
  static const OptionTable<S> kTable = [] {
    OptionTable<S> table = CellTable();
    for (Option<S>& option : TimingTable()) table.push_back(std::move(option));
    return table;
  }();
  return kTable;
}

std::string GroupNameOf(const DomainId& domain) {
  return std::string(kDomainGroupPrefix) + domain.value();
}

/// Returns the domain in the name of a domain's group; empty for any other group.
DomainId DomainOfGroup(const RaftGroup& group) {
  if (group.name.rfind(kDomainGroupPrefix, 0) != 0) return {};
  return DomainId(group.name.substr(kDomainGroupPrefix.size()));
}

void CheckGroupName(const RaftGroup& group, const S& settings, const std::string& path,
                    SettingsErrors* errors) {
  if (group.name.empty()) return;
  const DomainId domain = DomainOfGroup(group);
  if (domain.value().empty()) {
    if (group.name == kSettingsGroup) return;
    errors->push_back({path + "/name", "is " + Quoted(group.name) +
                                           "; allowed: \"settings\" or \"domain:<domain>\""});
    return;
  }
  CheckKnown(domain, settings.domains, path + "/name", "/domains", errors);
}

void CheckGroup(const RaftGroup& group, const S& settings, const std::vector<NodeId>& nodes,
                const std::string& path, SettingsErrors* errors) {
  CheckGroupName(group, settings, path, errors);
  if (group.domain != DomainOfGroup(group) && !group.domain.value().empty()) {
    errors->push_back({path + "/domain", "is " + Quoted(group.domain.value()) +
                                             "; allowed: the domain in the name of the group"});
  }
  CheckUnique(group.voters, path + "/voters", errors);
  for (std::size_t i = 0; i < group.voters.size(); ++i) {
    CheckKnown(group.voters[i], nodes, path + "/voters/" + std::to_string(i), "/schedulers",
               errors);
  }
}

/// Checks that each domain and the settings tree have exactly one group.
void CheckGroupSet(const S& settings, SettingsErrors* errors) {
  if (settings.groups.empty()) return;
  std::vector<std::string> required = {std::string(kSettingsGroup)};
  for (const DomainId& domain : settings.domains) required.push_back(GroupNameOf(domain));
  for (const std::string& name : required) {
    const auto n = std::count_if(settings.groups.begin(), settings.groups.end(),
                                 [&name](const RaftGroup& group) { return group.name == name; });
    if (n == 1) continue;
    errors->push_back({"/groups", "has " + std::to_string(n) + " groups called " + Quoted(name) +
                                      "; allowed: one for each domain and one called "
                                      "\"settings\""});
  }
}

void CheckSelf(const S& settings, SettingsErrors* errors) {
  if (settings.node.value().empty() || settings.schedulers.empty()) return;
  const auto it = std::find_if(
      settings.schedulers.begin(), settings.schedulers.end(),
      [&settings](const SchedulerAddress& peer) { return peer.node == settings.node; });
  if (it == settings.schedulers.end()) {
    errors->push_back({"/node", "is " + Quoted(settings.node.value()) +
                                    "; allowed: a node listed in /schedulers"});
  } else if (it->domain != settings.domain) {
    errors->push_back({"/domain", "is " + Quoted(settings.domain.value()) + "; allowed: " +
                                      Quoted(it->domain.value()) + ", as listed in /schedulers"});
  }
}

void CheckTimings(const S& settings, SettingsErrors* errors) {
  const auto heartbeat = settings.heartbeat.count();
  if (settings.election_min < kMinElectionHeartbeats * settings.heartbeat) {
    errors->push_back({"/election_min_ms", "is " + std::to_string(settings.election_min.count()) +
                                               "; allowed: at least twice heartbeat_ms, " +
                                               std::to_string(2 * heartbeat)});
  }
  if (settings.election_max <= settings.election_min) {
    errors->push_back({"/election_max_ms", "is " + std::to_string(settings.election_max.count()) +
                                               "; allowed: more than election_min_ms, " +
                                               std::to_string(settings.election_min.count())});
  }
  const P& placement = settings.placement;
  if (placement.probe_interval_max < placement.probe_interval) {
    errors->push_back({"/placement/probe_interval_max_ms",
                       "is " + std::to_string(placement.probe_interval_max.count()) +
                           "; allowed: at least probe_interval_ms, " +
                           std::to_string(placement.probe_interval.count())});
  }
}

void CheckScheduler(const S& settings, SettingsErrors* errors) {
  CheckCell(settings.domain, settings.schedulers, settings.domains, errors);
  CheckSelf(settings, errors);
  CheckTimings(settings, errors);
  std::vector<NodeId> nodes;
  nodes.reserve(settings.schedulers.size());
  for (const SchedulerAddress& peer : settings.schedulers) nodes.push_back(peer.node);
  for (std::size_t i = 0; i < settings.groups.size(); ++i) {
    CheckGroup(settings.groups[i], settings, nodes, "/groups/" + std::to_string(i), errors);
  }
  CheckGroupSet(settings, errors);
}

}  // namespace

Loaded<SchedulerSettings> ParseSchedulerSettings(std::string_view text) {
  auto settings = ParseSettings(text, Table(), &CheckScheduler);
  if (!settings) return settings;
  for (RaftGroup& group : settings->groups) group.domain = DomainOfGroup(group);
  return settings;
}

Loaded<SchedulerSettings> LoadSchedulerSettings(const std::string& file) {
  return ReadSettingsFile(file).and_then(&ParseSchedulerSettings);
}

std::vector<OptionRow> DescribeSchedulerSettings() {
  std::vector<OptionRow> rows;
  DocumentTable(Table(), "", &rows);
  return rows;
}

}  // namespace parsleyline::settings
