#include <string>
#include <utility>

#include "cli/command.h"
#include "cli/text_table.h"

namespace parsleyline::cli {
namespace {

constexpr Milliseconds kChangeTimeout{10000};

/// Column of a list: its title, and the path of the value in the JSON object of a row.
struct Column {
  const char* title;
  std::vector<const char*> path;
};

std::string ColumnText(const Json& row, const Column& column) {
  const Json* node = &row;
  for (std::size_t i = 0; i + 1 < column.path.size(); ++i) {
    if (!node->is_object() || !node->contains(column.path[i])) return "";
    node = &(*node)[column.path[i]];
  }
  return Field(*node, column.path.back());
}

/// Gets the list at `key` of the response from `target` and prints it as a table.
ExitCode PrintList(const Invocation& invocation, const std::string& target, const char* key,
                   const std::vector<Column>& columns) {
  ExitCode exit = ExitCode::kDone;
  const auto document = invocation.GetJson(target, &exit);
  if (!document) return exit;
  if (invocation.WantsJson()) {
    invocation.PrintJson(*document);
    return exit;
  }
  std::vector<std::string> header;
  header.reserve(columns.size());
  for (const Column& column : columns) header.emplace_back(column.title);
  TextTable table(std::move(header));
  for (const Json& row : document->value(key, Json::array())) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const Column& column : columns) cells.push_back(ColumnText(row, column));
    table.AddRow(std::move(cells));
  }
  table.Print(invocation.out());
  return exit;
}

ExitCode ListWorkers(const Invocation& invocation) {
  return PrintList(invocation, "/v1/workers", "workers",
                   {{"WORKER", {"worker"}},
                    {"STATE", {"state"}},
                    {"RACK", {"rack"}},
                    {"ADDRESS", {"address"}},
                    {"RUNNING", {"running"}},
                    {"SLOTS", {"capacity", "slots"}},
                    {"CPU_USED", {"charged", "cpu_millis"}},
                    {"CPU", {"capacity", "cpu_millis"}},
                    {"MIB_USED", {"charged", "memory_mib"}},
                    {"MIB", {"capacity", "memory_mib"}}});
}

ExitCode ListQueues(const Invocation& invocation) {
  return PrintList(invocation, "/v1/queues", "queues",
                   {{"TEAM", {"team"}},
                    {"KIND", {"kind"}},
                    {"QUEUED", {"queued"}},
                    {"RUNNING", {"running"}},
                    {"REJECTED", {"rejected_total"}},
                    {"OLDEST_WAIT_MS", {"oldest_wait_ms"}}});
}

ExitCode ShowStatus(const Invocation& invocation) {
  ExitCode exit = ExitCode::kDone;
  const auto document = invocation.GetJson("/v1/status", &exit);
  if (!document) return exit;
  if (invocation.WantsJson()) {
    invocation.PrintJson(*document);
    return exit;
  }
  TextTable table({"KEY", "VALUE"});
  for (const auto& item : document->items()) {
    if (item.value().is_object()) {
      for (const auto& inner : item.value().items()) {
        table.AddRow({item.key() + "." + inner.key(), Field(item.value(), inner.key().c_str())});
      }
    } else {
      table.AddRow({item.key(), Field(*document, item.key().c_str())});
    }
  }
  table.Print(invocation.out());
  return exit;
}

ExitCode ChangeWorker(const Invocation& invocation, const char* verb) {
  http::ClientRequest request;
  request.method = "POST";
  request.target = "/v1/workers/" + EncodePath(invocation.args()[0]) + "/" + verb;
  // Setting the state of a worker is idempotent.
  const Answer answer =
      invocation.Send(request, RetrySafety::kSafe, invocation.Timeout(kChangeTimeout));
  const ExitCode exit = invocation.Report(answer);
  if (exit != ExitCode::kDone) return exit;
  const Json body = Json::parse(answer.response.body, nullptr, false);
  if (invocation.WantsJson()) {
    invocation.PrintJson(body);
  } else {
    invocation.out() << "worker " << Field(body, "worker") << " is " << Field(body, "state")
                     << "\n";
  }
  return exit;
}

}  // namespace

std::vector<Command> WorkerCommands() {
  const auto no_options = [](const cxxopts::OptionAdder&) {};
  return {
      {"workers",
       {},
       "Lists the workers of the entry's domain",
       {"parsleyline workers --entry 10.0.0.1:8080", "parsleyline workers --output json"},
       EntryAccess::kRequired,
       no_options,
       &ListWorkers},
      {"drain",
       {"WORKER"},
       "Gives a worker no new tasks",
       {"parsleyline drain suva-w3"},
       EntryAccess::kRequired,
       no_options,
       [](const Invocation& invocation) { return ChangeWorker(invocation, "drain"); }},
      {"ready",
       {"WORKER"},
       "Gives a drained worker tasks again",
       {"parsleyline ready suva-w3"},
       EntryAccess::kRequired,
       no_options,
       [](const Invocation& invocation) { return ChangeWorker(invocation, "ready"); }},
      {"queues",
       {},
       "Lists the queues by team and kind",
       {"parsleyline queues", "parsleyline queues --output json"},
       EntryAccess::kRequired,
       no_options,
       &ListQueues},
      {"status",
       {},
       "Shows the entry, its scheduler and the age of the settings",
       {"parsleyline status --entry 10.0.0.1:8080"},
       EntryAccess::kRequired,
       no_options,
       &ShowStatus},
  };
}

}  // namespace parsleyline::cli
