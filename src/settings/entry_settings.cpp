#include "settings/entry_settings.h"

#include "settings/cell_options.h"
#include "settings/describe.h"
#include "settings/load.h"

namespace parsleyline::settings {
namespace {

using S = EntrySettings;

constexpr std::int64_t kDayMs = 86'400'000;
constexpr std::int64_t kMebibyte = std::int64_t{1} << 20U;

OptionTable<S> MakeTable() {
  return {
      Text("node", &S::node, TextRule::kName, "Name of this process, unique in the cell."),
      Text("domain", &S::domain, TextRule::kName, "Failure domain of this process."),
      Object("http", &S::http, ListenerOptions(), Presence::kRequired),
      Object("rpc", &S::rpc, ListenerOptions(), Presence::kRequired),
      ObjectList("schedulers", &S::schedulers, SchedulerAddressOptions()),
      NameList("domains", &S::domains, "All failure domains of the cell."),
      Number("threads", &S::threads, {"", 1, 256}, "Threads that serve connections."),
      Number("max_header_bytes", &S::max_header_bytes, {"bytes", 256, kMebibyte},
             "Largest header of an HTTP request."),
      Number("max_body_bytes", &S::max_body_bytes, {"bytes", 1024, 64 * kMebibyte},
             "Largest body of an HTTP request."),
      Number("header_timeout_ms", &S::header_timeout, {"ms", 1, kDayMs},
             "Time for a header to arrive after its first byte."),
      Number("body_timeout_ms", &S::body_timeout, {"ms", 1, kDayMs}, "Time for a body to arrive."),
      Number("idle_timeout_ms", &S::idle_timeout, {"ms", 1, kDayMs},
             "Time that an HTTP connection may stay open without a request."),
      Number("max_connections", &S::max_connections, {"", 1, 1'000'000},
             "HTTP connections of callers, operators and workers."),
      Number("max_in_flight", &S::max_in_flight, {"", 1, 10'000'000},
             "Requests that wait or run at once; more are refused."),
      Number("connections_per_worker", &S::connections_per_worker, {"", 1, 65535},
             "Connections that all entries of the domain together hold to one worker."),
      Number("retry_budget_percent", &S::retry_budget_percent, {"%", 0, 100},
             "Retries of a team relative to its requests."),
      Number("retry_budget_min_per_second", &S::retry_budget_min_per_second,
             {"retries per second", 0, 1'000'000}, "Retries that every team has at least."),
      Number("call_timeout_ms", &S::call_timeout, {"ms", 1, kDayMs},
             "Time for a scheduler to answer a call."),
      Number("ping_interval_ms", &S::ping_interval, {"ms", 1, kDayMs},
             "Time between two pings on a connection."),
      Number("ping_timeout_ms", &S::ping_timeout, {"ms", 1, kDayMs},
             "Time without an answer after which a connection is replaced."),
      Number("stop_timeout_ms", &S::stop_timeout, {"ms", 0, kDayMs},
             "Time for requests in flight to end after SIGTERM."),
      Number("announce_batch_ms", &S::announce_batch, {"ms", 0, 1000},
             "Time during which announcements of workers are collected into one call."),
      Number("heartbeat_interval_ms", &S::heartbeat_interval, {"ms", 1, kDayMs},
             "Time between two registrations with the scheduler."),
  };
}

const OptionTable<S>& Table() {
  static const OptionTable<S> kTable = MakeTable();
  return kTable;
}

void CheckEntry(const S& settings, SettingsErrors* errors) {
  CheckCell(settings.domain, settings.schedulers, settings.domains, errors);
}

}  // namespace

Loaded<EntrySettings> ParseEntrySettings(std::string_view text) {
  return ParseSettings(text, Table(), &CheckEntry);
}

Loaded<EntrySettings> LoadEntrySettings(const std::string& file) {
  return ReadSettingsFile(file).and_then(&ParseEntrySettings);
}

std::vector<OptionRow> DescribeEntrySettings() {
  std::vector<OptionRow> rows;
  DocumentTable(Table(), "", &rows);
  return rows;
}

}  // namespace parsleyline::settings
