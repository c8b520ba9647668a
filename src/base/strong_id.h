#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace parsleyline {

/// Identifier of type Rep. Identifiers with different tags cannot be mixed up, because each Tag
/// makes a type of its own; Tag is never instantiated.
template <typename Tag, typename Rep>
class StrongId {
 public:
  using RepType = Rep;

  StrongId() = default;
  explicit StrongId(Rep value) : value_(std::move(value)) {}

  const Rep& value() const { return value_; }
  auto operator<=>(const StrongId&) const = default;

 private:
  Rep value_{};
};

template <typename Tag, typename Rep>
std::ostream& operator<<(std::ostream& out, const StrongId<Tag, Rep>& id) {
  return out << id.value();
}

}  // namespace parsleyline

template <typename Tag, typename Rep>
struct std::hash<parsleyline::StrongId<Tag, Rep>> {
  std::size_t operator()(const parsleyline::StrongId<Tag, Rep>& id) const {
    return std::hash<Rep>{}(id.value());
  }
};
