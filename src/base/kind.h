#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace parsleyline {

/// Kind of work. Each kind has its own placement strategy and its own guaranteed share (floor).
enum class Kind : std::uint8_t {
  /// Short or long-running service work. Optimized for a short wait and spread over racks.
  kService = 0,
  /// Independent tasks, packed onto as few workers as possible.
  kBatch = 1,
  /// All-at-once job, whose tasks must all run at the same time.
  kGang = 2,
};

inline constexpr std::array<Kind, 3> kAllKinds = {Kind::kService, Kind::kBatch, Kind::kGang};

/// Returns the largest value of Kind that is valid in a message.
constexpr std::uint8_t MaxValue(Kind) { return static_cast<std::uint8_t>(Kind::kGang); }

/// Returns the name used in JSON, logs and metrics.
constexpr std::string_view KindName(Kind kind) {
  constexpr std::array<std::string_view, 3> kNames = {"service", "batch", "gang"};
  return kNames.at(static_cast<std::size_t>(kind));
}

/// Returns the kind called `name`, if there is one.
constexpr std::optional<Kind> ParseKind(std::string_view name) {
  for (const Kind kind : kAllKinds) {
    if (KindName(kind) == name) return kind;
  }
  return std::nullopt;
}

}  // namespace parsleyline
