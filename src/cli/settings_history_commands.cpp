#include <array>
#include <charconv>
#include <cstdint>
#include <ctime>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cli/command.h"
#include "cli/text_table.h"

namespace parsleyline::cli {
namespace {

std::string FormatTime(const Json& row) {
  const auto seconds = static_cast<std::time_t>(row.value("when_seconds", std::int64_t{0}));
  std::tm utc{};
  std::array<char, sizeof("2026-12-04T09:00:00Z") + 16> text{};
  if (gmtime_r(&seconds, &utc) == nullptr) return "";
  const std::size_t n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return {text.data(), n};
}

std::optional<std::uint64_t> ParseRevision(const std::string& text) {
  std::uint64_t revision = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, revision);
  if (error != std::errc() || end != last) return std::nullopt;
  return revision;
}

/// Returns the value at `key` of a history row. A row holds it as JSON or as JSON text; null, "" or
/// a missing key mean that there is no value.
std::optional<Json> ValueOf(const Json& row, const char* key) {
  if (!row.contains(key) || row[key].is_null() || row[key] == "") return std::nullopt;
  if (!row[key].is_string()) return row[key];
  Json value = Json::parse(row[key].get_ref<const std::string&>(), nullptr, false);
  return value.is_discarded() ? row[key] : value;
}

std::string FormatValue(const std::optional<Json>& value) { return value ? value->dump() : "-"; }

ExitCode ShowHistory(const Invocation& invocation) {
  const auto from = invocation.options()["from"].as<std::uint64_t>();
  ExitCode exit = ExitCode::kDone;
  const auto document =
      invocation.GetJson("/v1/settings-history?from=" + std::to_string(from), &exit);
  if (!document) return exit;
  if (invocation.WantsJson()) {
    invocation.PrintJson(*document);
    return exit;
  }
  TextTable table({"REVISION", "WHEN", "AUTHOR", "OPERATION", "PATH", "PREVIOUS", "VALUE"});
  for (const Json& row : document->value("rows", Json::array())) {
    table.AddRow({Field(row, "revision"), FormatTime(row), Field(row, "author"),
                  Field(row, "operation"), Field(row, "path"),
                  FormatValue(ValueOf(row, "previous")), FormatValue(ValueOf(row, "value"))});
  }
  table.Print(invocation.out());
  return exit;
}

/// Reverts the edit of a history row in the tree.
void RevertEdit(const Json& row, Json* tree) {
  std::string path = Field(row, "path");
  if (path == "/") path.clear();
  const Json::json_pointer pointer(path);
  if (auto previous = ValueOf(row, "previous")) {
    (*tree)[pointer] = std::move(*previous);
  } else if (!pointer.empty() && tree->contains(pointer)) {
    tree->at(pointer.parent_pointer()).erase(pointer.back());
  }
}

/// Settings trees at two revisions.
struct TreePair {
  Json from;
  Json to;
};

/// Rebuilds the trees at revisions `from` and `to` by reverting edits, newest first, from the
/// current tree.
Result<TreePair> RebuildTrees(const Json& current, const Json& rows, std::uint64_t from,
                              std::uint64_t to) {
  std::uint64_t revision = current.value("revision", std::uint64_t{0});
  if (to > revision) {
    return Fail(ResultCode::kNotFound, "revision " + std::to_string(to) +
                                           " does not exist; the current one is " +
                                           std::to_string(revision));
  }
  Json tree = current.value("value", Json::object());
  TreePair versions{{}, tree};
  for (auto row = rows.rbegin(); row != rows.rend() && revision > from; ++row) {
    // The history is read after the tree, so it may contain edits that the tree does not.
    if (row->value("revision", std::uint64_t{0}) > revision) continue;
    if (row->value("revision", std::uint64_t{0}) < revision) break;
    RevertEdit(*row, &tree);
    if (--revision == to) versions.to = tree;
  }
  if (revision > from) {
    return Fail(ResultCode::kNotFound,
                "the history goes back only to revision " + std::to_string(revision));
  }
  versions.from = std::move(tree);
  return versions;
}

/// Compares the leaves of both trees. An empty object counts as a leaf.
Json DiffTrees(const TreePair& versions) {
  const Json from = versions.from.flatten();
  const Json to = versions.to.flatten();
  std::set<std::string> paths;
  for (const auto& item : from.items()) paths.insert(item.key());
  for (const auto& item : to.items()) paths.insert(item.key());
  Json rows = Json::array();
  for (const std::string& path : paths) {
    const Json before = from.value(path, Json());
    const Json after = to.value(path, Json());
    if (from.contains(path) == to.contains(path) && before == after) continue;
    Json row = {{"path", path}};
    // flatten() shows empty objects as null.
    if (from.contains(path)) row["from"] = before.is_null() ? Json::object() : before;
    if (to.contains(path)) row["to"] = after.is_null() ? Json::object() : after;
    rows.push_back(std::move(row));
  }
  return rows;
}

ExitCode ShowDifferences(const Invocation& invocation) {
  const auto from = ParseRevision(invocation.args()[0]);
  const auto to = ParseRevision(invocation.args()[1]);
  if (!from || !to || *from > *to) {
    return invocation.ReportUsageError(
        "FROM and TO are revisions in ascending order, such as 7 and 9");
  }
  ExitCode exit = ExitCode::kDone;
  const auto current = invocation.GetJson("/v1/settings", &exit);
  if (!current) return exit;
  const auto history =
      invocation.GetJson("/v1/settings-history?from=" + std::to_string(*from), &exit);
  if (!history) return exit;
  const auto versions = RebuildTrees(*current, history->value("rows", Json::array()), *from, *to);
  if (!versions) {
    invocation.err() << versions.error().message << "\n";
    return ExitCode::kFailed;
  }
  const Json rows = DiffTrees(*versions);
  if (invocation.WantsJson()) {
    invocation.PrintJson({{"from", *from}, {"to", *to}, {"differences", rows}});
    return exit;
  }
  TextTable table({"PATH", "AT " + std::to_string(*from), "AT " + std::to_string(*to)});
  for (const Json& row : rows) {
    table.AddRow(
        {Field(row, "path"), FormatValue(ValueOf(row, "from")), FormatValue(ValueOf(row, "to"))});
  }
  table.Print(invocation.out());
  return exit;
}

}  // namespace

std::vector<Command> SettingsHistoryCommands() {
  return {
      {"settings history",
       {},
       "Lists accepted edits",
       {"parsleyline settings history", "parsleyline settings history --from 120"},
       EntryAccess::kRequired,
       [](cxxopts::OptionAdder add) {
         add("from", "Lists the edits that made revisions above this one",
             cxxopts::value<std::uint64_t>()->default_value("0"), "N");
       },
       &ShowHistory},
      {"settings diff",
       {"FROM", "TO"},
       "Shows what changed between two revisions",
       {"parsleyline settings diff 118 121"},
       EntryAccess::kRequired,
       [](const cxxopts::OptionAdder&) {},
       &ShowDifferences},
  };
}

}  // namespace parsleyline::cli
