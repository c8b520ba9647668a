#pragma once

#include <rapidcheck.h>

#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "base/strong_id.h"
#include "base/units.h"
#include "wire/messages.h"

// Random values and comparison of all messages of src/wire, by means of their Fields().
namespace parsleyline::wire {

template <typename T>
concept HasFields = requires(T& value) {
  value.Fields();
};

template <typename T>
void Fill(T& value);
template <typename Tag, typename Rep>
void Fill(StrongId<Tag, Rep>& value);
template <typename Tag>
void Fill(Quantity<Tag>& value);
inline void Fill(Milliseconds& value);
template <typename T>
void Fill(std::vector<T>& values);

template <typename T>
void Fill(T& value) {
  if constexpr (HasFields<T>) {
    std::apply([](auto&... member) { (Fill(member), ...); }, value.Fields());
  } else if constexpr (std::is_enum_v<T>) {
    auto number = *rc::gen::arbitrary<std::underlying_type_t<T>>();
    // The codec rejects numbers without an enumerator.
    if constexpr (requires { MaxValue(T{}); }) {
      number = static_cast<std::underlying_type_t<T>>(number % (MaxValue(T{}) + 1));
    }
    value = static_cast<T>(number);
  } else {
    value = *rc::gen::arbitrary<T>();
  }
}

template <typename Tag, typename Rep>
void Fill(StrongId<Tag, Rep>& value) {
  value = StrongId<Tag, Rep>(*rc::gen::arbitrary<Rep>());
}

template <typename Tag>
void Fill(Quantity<Tag>& value) {
  value = Quantity<Tag>(*rc::gen::arbitrary<std::int64_t>());
}

inline void Fill(Milliseconds& value) { value = Milliseconds(*rc::gen::arbitrary<std::int64_t>()); }

template <typename T>
void Fill(std::vector<T>& values) {
  values.resize(*rc::gen::inRange<std::size_t>(0, 5));
  for (T& value : values) Fill(value);
}

/// Returns a random message. To be called inside a rapidcheck property.
template <typename Message>
Message Arbitrary() {
  Message message;
  Fill(message);
  return message;
}

template <typename T>
bool Same(std::vector<T>& a, std::vector<T>& b);

template <typename T>
bool Same(T& a, T& b) {
  if constexpr (HasFields<T>) {
    const auto fields_a = a.Fields();
    const auto fields_b = b.Fields();
    return [&]<std::size_t... I>(std::index_sequence<I...>) {
      return (Same(std::get<I>(fields_a), std::get<I>(fields_b)) && ...);
    }
    (std::make_index_sequence<std::tuple_size_v<decltype(fields_a)>>());
  } else {
    return a == b;
  }
}

template <typename T>
bool Same(std::vector<T>& a, std::vector<T>& b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (!Same(a[i], b[i])) return false;
  }
  return true;
}

}  // namespace parsleyline::wire
