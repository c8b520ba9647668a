#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "base/result_code.h"

namespace parsleyline {

class ErrorCodesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ErrorCodesTest);
  CPPUNIT_TEST(Table_ComparedWithDocument_IsEqual);
  CPPUNIT_TEST(Numbers_OverWholeTable_AreUnique);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a result code that is added or changed without its row in docs/error-codes.md.
  void Table_ComparedWithDocument_IsEqual() {
    std::ifstream file(std::string(PARSLEYLINE_SOURCE_DIR) + "/docs/error-codes.md");
    CPPUNIT_ASSERT(file.is_open());
    std::string document;
    for (std::string line; std::getline(file, line);) {
      if (line.size() > 2 && line[0] == '|' && std::isdigit(line[2]) != 0) {
        document += line + "\n";
      }
    }
    std::ostringstream table;
    for (const auto& info : AllResultCodes()) {
      table << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | "
            << info.http_status << " | " << info.meaning << " |\n";
    }
    CPPUNIT_ASSERT_EQUAL(table.str(), document);
  }

  // Guards against two codes that share a number or a name.
  void Numbers_OverWholeTable_AreUnique() {
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const auto& info : AllResultCodes()) {
      CPPUNIT_ASSERT(numbers.insert(static_cast<int>(info.code)).second);
      CPPUNIT_ASSERT(names.insert(info.name).second);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorCodesTest);

}  // namespace parsleyline
