#include "entry/json_fields.h"

#include <algorithm>
#include <utility>

#include "base/json_document.h"

namespace parsleyline::entry {
namespace {

constexpr std::size_t kMaxValueInMessage = 40;

const nlohmann::json& EmptyObject() {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  return kEmpty;
}

const nlohmann::json& EmptyArray() {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  return kEmpty;
}

std::string Shorten(const nlohmann::json& value) {
  std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxValueInMessage) text = text.substr(0, kMaxValueInMessage) + "...";
  return text;
}

}  // namespace

Result<nlohmann::json> ParseObject(std::string_view body) {
  nlohmann::json document = ParseJson(body);
  if (document.is_discarded()) {
    return Fail(ResultCode::kMalformedJson, "the body is not valid JSON or is nested deeper than " +
                                                std::to_string(kMaxJsonNesting) +
                                                " levels; send one JSON object");
  }
  if (!document.is_object()) {
    return Fail(ResultCode::kWrongType,
                std::string("the body is a JSON ") + document.type_name() + "; send an object");
  }
  return document;
}

FieldReader::FieldReader(const nlohmann::json& object, std::string path)
    : object_(object), path_(std::move(path)) {}

std::string FieldReader::PathOf(const char* name) const { return path_ + "/" + name; }

void FieldReader::RecordError(ResultCode code, const std::string& message) {
  if (has_error_) return;
  has_error_ = true;
  error_ = {code, message};
}

void FieldReader::MergeError(const FieldReader& nested) {
  if (nested.has_error_) RecordError(nested.error_.code, nested.error_.message);
}

const nlohmann::json* FieldReader::Find(const char* name) {
  known_.emplace_back(name);
  const auto it = object_.find(name);
  return it != object_.end() ? &*it : nullptr;
}

const nlohmann::json* FieldReader::Require(const char* name) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) RecordError(ResultCode::kMissingField, PathOf(name) + " is required");
  return value;
}

std::string FieldReader::CheckString(const char* name, const nlohmann::json& value,
                                     std::size_t max_length) {
  if (!value.is_string()) {
    RecordError(ResultCode::kWrongType, PathOf(name) + " is " + Shorten(value) + "; send a string");
    return {};
  }
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > max_length) {
    RecordError(ResultCode::kOutOfRange, PathOf(name) + " has " + std::to_string(text.size()) +
                                             " bytes; allowed are 1 to " +
                                             std::to_string(max_length));
    return {};
  }
  return text;
}

std::string FieldReader::RequiredString(const char* name, std::size_t max_length) {
  const nlohmann::json* value = Require(name);
  return value != nullptr ? CheckString(name, *value, max_length) : std::string();
}

std::string FieldReader::OptionalString(const char* name, std::size_t max_length) {
  const nlohmann::json* value = Find(name);
  return value != nullptr ? CheckString(name, *value, max_length) : std::string();
}

std::int64_t FieldReader::CheckInteger(const char* name, const nlohmann::json& value,
                                       std::int64_t min, std::int64_t max) {
  if (!value.is_number_integer()) {
    RecordError(ResultCode::kWrongType,
                PathOf(name) + " is " + Shorten(value) + "; send a whole number");
    return min;
  }
  const bool too_large =
      value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(max);
  const std::int64_t number = too_large ? max : value.get<std::int64_t>();
  if (too_large || number < min || number > max) {
    RecordError(ResultCode::kOutOfRange, PathOf(name) + " is " + Shorten(value) + "; allowed are " +
                                             std::to_string(min) + " to " + std::to_string(max));
    return min;
  }
  return number;
}

std::int64_t FieldReader::RequiredInteger(const char* name, std::int64_t min, std::int64_t max) {
  const nlohmann::json* value = Require(name);
  return value != nullptr ? CheckInteger(name, *value, min, max) : min;
}

std::int64_t FieldReader::OptionalInteger(const char* name, std::int64_t min, std::int64_t max,
                                          std::int64_t fallback) {
  const nlohmann::json* value = Find(name);
  return value != nullptr ? CheckInteger(name, *value, min, max) : fallback;
}

bool FieldReader::OptionalBoolean(const char* name, bool fallback) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) return fallback;
  if (value->is_boolean()) return value->get<bool>();
  RecordError(ResultCode::kWrongType,
              PathOf(name) + " is " + Shorten(*value) + "; send true or false");
  return fallback;
}

const nlohmann::json& FieldReader::RequiredObject(const char* name) {
  const nlohmann::json* value = Require(name);
  if (value == nullptr) return EmptyObject();
  if (value->is_object()) return *value;
  RecordError(ResultCode::kWrongType, PathOf(name) + " is " + Shorten(*value) + "; send an object");
  return EmptyObject();
}

const nlohmann::json& FieldReader::OptionalArray(const char* name) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) return EmptyArray();
  if (value->is_array()) return *value;
  RecordError(ResultCode::kWrongType, PathOf(name) + " is " + Shorten(*value) + "; send an array");
  return EmptyArray();
}

const nlohmann::json& FieldReader::OptionalValue(const char* name) {
  static const nlohmann::json kNull;
  const nlohmann::json* value = Find(name);
  return value != nullptr ? *value : kNull;
}

Result<void> FieldReader::Finish() {
  for (const auto& [name, value] : object_.items()) {
    if (std::find(known_.begin(), known_.end(), name) != known_.end()) continue;
    std::string allowed;
    for (const std::string& it : known_) allowed += (allowed.empty() ? "" : ", ") + it;
    RecordError(ResultCode::kUnknownField,
                PathOf(name.c_str()) + " is not a known field; known are " + allowed);
  }
  if (has_error_) return tl::make_unexpected(error_);
  return {};
}

}  // namespace parsleyline::entry
