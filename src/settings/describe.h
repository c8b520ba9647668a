#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace parsleyline::settings {

/// Documentation of one option: one row of the tables in docs/settings.md.
struct OptionRow {
  std::string key;
  std::string default_value;
  std::string allowed;
  std::string_view help;
};

/// Returns the documentation of every key in the settings file of an entry daemon.
std::vector<OptionRow> DescribeEntrySettings();

/// Returns the documentation of every key in the settings file of a scheduler daemon.
std::vector<OptionRow> DescribeSchedulerSettings();

/// Formats the rows as a Markdown table.
std::string MarkdownTable(const std::vector<OptionRow>& rows);

/// Returns the text of docs/settings.md, which documents every key of every daemon.
std::string SettingsPage();

}  // namespace parsleyline::settings
