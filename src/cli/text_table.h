#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace parsleyline::cli {

/// Text table that is printed in columns, each as wide as its longest text.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  void AddRow(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace parsleyline::cli
