#include "settings/describe.h"

namespace parsleyline::settings {
namespace {

constexpr std::string_view kIntroduction =
    "# Settings files of the daemons\n\n"
    "Each daemon takes one JSON file. A daemon starts only if the whole file is valid; otherwise "
    "it "
    "prints every fault\nwith its JSON path, the value and what is allowed. Unknown keys are "
    "faults. "
    "`parsleyline settings check --entry FILE`\nand `--scheduler FILE` check a file without "
    "starting "
    "anything. `parsleyline settings keys` prints this page, which is\ngenerated from the tables "
    "of "
    "options in `src/settings`.\n";

std::string Section(std::string_view title, const std::vector<OptionRow>& rows) {
  return "\n## " + std::string(title) + "\n\n" + MarkdownTable(rows);
}

}  // namespace

std::string MarkdownTable(const std::vector<OptionRow>& rows) {
  std::string text = "| key | default | allowed | meaning |\n|---|---|---|---|\n";
  for (const OptionRow& row : rows) {
    text.append("| `").append(row.key).append("` | ").append(row.default_value);
    text.append(" | ").append(row.allowed).append(" | ").append(row.help).append(" |\n");
  }
  return text;
}

std::string SettingsPage() {
  return std::string(kIntroduction) + Section("parsleyline-entryd", DescribeEntrySettings()) +
         Section("parsleyline-schedd", DescribeSchedulerSettings());
}

}  // namespace parsleyline::settings
