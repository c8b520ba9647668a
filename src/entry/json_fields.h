#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"

// Parsing of JSON bodies. Include it in .cpp files only, since the JSON headers are slow to
// compile.
namespace parsleyline::entry {

/// Parses a body, which must be a JSON object.
Result<nlohmann::json> ParseObject(std::string_view body);

/// Reads the fields of one JSON object and records the first error.
class FieldReader {
 public:
  /// `path` is the JSON path of the object, "" for the whole body.
  FieldReader(const nlohmann::json& object, std::string path);

  std::string RequiredString(const char* name, std::size_t max_length);
  std::string OptionalString(const char* name, std::size_t max_length);
  std::int64_t RequiredInteger(const char* name, std::int64_t min, std::int64_t max);
  std::int64_t OptionalInteger(const char* name, std::int64_t min, std::int64_t max,
                               std::int64_t fallback);
  bool OptionalBoolean(const char* name, bool fallback);
  /// Returns the object called `name`, or an empty one after recording an error.
  const nlohmann::json& RequiredObject(const char* name);
  const nlohmann::json& OptionalArray(const char* name);
  /// Returns a field of any type, or null.
  const nlohmann::json& OptionalValue(const char* name);

  /// Records an error unless there is one already.
  void RecordError(ResultCode code, const std::string& message);
  /// Records the error of the reader of a nested object.
  void MergeError(const FieldReader& nested);

  /// Fails with the first error, or if the object has a field that was never read.
  Result<void> Finish();

 private:
  const nlohmann::json* Find(const char* name);
  const nlohmann::json* Require(const char* name);
  std::string PathOf(const char* name) const;
  std::int64_t CheckInteger(const char* name, const nlohmann::json& value, std::int64_t min,
                            std::int64_t max);
  std::string CheckString(const char* name, const nlohmann::json& value, std::size_t max_length);

  const nlohmann::json& object_;
  std::string path_;
  std::vector<std::string> known_;
  bool has_error_ = false;
  Error error_;
};

}  // namespace parsleyline::entry
