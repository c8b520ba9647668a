#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace parsleyline::platform::testing {

/// Makes odd documents out of valid ones: members that are missing, repeated or of another type,
/// numbers that no type holds, deep nesting, and bytes that are not text. The same seed makes the
/// same documents.
class OddDocumentGenerator {
 public:
  explicit OddDocumentGenerator(std::uint32_t seed) : random_(seed) {}

  std::string Mutate(const std::string& valid) {
    nlohmann::json document = nlohmann::json::parse(valid);
    for (std::uint32_t i = Below(3); i > 0; --i) MutateValue(&document);
    std::string text = document.dump();
    // The placeholders are written as JSON that no parsed document can hold.
    for (std::size_t at = text.find(kPlaceholder); at != std::string::npos;
         at = text.find(kPlaceholder, at)) {
      text.replace(at, sizeof(kPlaceholder) - 1, OddValue());
    }
    if (Below(4) == 0) MutateBytes(&text);
    return text;
  }

 private:
  static constexpr char kPlaceholder[] = R"("odd-value")";

  std::uint32_t Below(std::uint32_t limit) { return random_() % limit; }

  std::string OddValue() {
    static const std::vector<std::string> kValues = {"null",
                                                     "true",
                                                     "[]",
                                                     "{}",
                                                     "\"\"",
                                                     "\"x\"",
                                                     "-1",
                                                     "0",
                                                     "-0.0",
                                                     "1.5",
                                                     "1e300",
                                                     "-1e308",
                                                     "65536",
                                                     "4294967295",
                                                     "4294967296",
                                                     "9223372036854775807",
                                                     "9223372036854775808",
                                                     "-9223372036854775808",
                                                     "18446744073709551615",
                                                     "99999999999999999999",
                                                     "1e400",
                                                     "\"\\u0000\"",
                                                     "\"10.0.0.9:0\"",
                                                     "\"10.0.0.9:65536\"",
                                                     "\"a.1.2.3\"",
                                                     "\"a.1.2.4294967296\"",
                                                     "\"draining\"",
                                                     "\"done\"",
                                                     "[[[\"a.1.2.3\",1]]]",
                                                     R"({"a":1,"a":[2]})"};
    const std::uint32_t choice = Below(static_cast<std::uint32_t>(kValues.size()) + 2);
    if (choice < kValues.size()) return kValues[choice];
    const std::size_t depth = choice == kValues.size() ? Below(100) : 1000 + Below(200'000);
    return std::string(depth, '[') + std::string(depth, ']');
  }

  /// Replaces, removes or repeats a value somewhere in the document.
  void MutateValue(nlohmann::json* value) {
    while (value->is_structured() && !value->empty() && Below(5) != 0) {
      auto it = value->begin();
      std::advance(it, Below(static_cast<std::uint32_t>(value->size())));
      const std::uint32_t choice = Below(8);
      if (choice == 0) {
        value->erase(it);
        return;
      }
      if (choice == 1 && value->is_array()) {
        value->insert(value->end(), 1 + Below(50), nlohmann::json(*it));
        return;
      }
      value = &*it;
    }
    *value = "odd-value";
  }

  void MutateBytes(std::string* text) {
    for (std::uint32_t i = 1 + Below(4); i > 0 && !text->empty(); --i) {
      const std::size_t at = Below(static_cast<std::uint32_t>(text->size()));
      switch (Below(4)) {
        case 0:
          text->resize(at);
          break;
        case 1:
          (*text)[at] = static_cast<char>(random_());
          break;
        case 2:
          text->insert(at, 1, static_cast<char>(random_()));
          break;
        default:
          text->insert(at, text->substr(Below(static_cast<std::uint32_t>(text->size())), 20));
          break;
      }
    }
  }

  std::mt19937 random_;
};

}  // namespace parsleyline::platform::testing
