#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "base/strong_id.h"
#include "base/units.h"
#include "wire/codec.h"

// Definitions of Encode and Decode. To be included only by the .cpp file that instantiates them for
// a set of messages, because the MessagePack headers are slow to compile.
namespace parsleyline::wire {
namespace codec {

template <typename T>
concept Message = requires(T& value) {
  value.Fields();
};

template <typename T>
concept Integral = std::is_integral_v<T> || std::is_enum_v<T>;

using Packer = msgpack::packer<msgpack::sbuffer>;

template <Integral T>
void Pack(Packer& out, T value);
inline void Pack(Packer& out, const std::string& value);
template <typename Tag, typename Rep>
void Pack(Packer& out, const StrongId<Tag, Rep>& value);
template <typename Tag>
void Pack(Packer& out, const Quantity<Tag>& value);
inline void Pack(Packer& out, Milliseconds value);
template <typename T>
void Pack(Packer& out, const std::vector<T>& values);
template <Message T>
void Pack(Packer& out, const T& value);

template <Integral T>
void Pack(Packer& out, T value) {
  if constexpr (std::is_enum_v<T>) {
    Pack(out, static_cast<std::underlying_type_t<T>>(value));
  } else if constexpr (std::is_signed_v<T>) {
    out.pack_int64(static_cast<std::int64_t>(value));
  } else {
    out.pack_uint64(static_cast<std::uint64_t>(value));
  }
}

inline void Pack(Packer& out, const std::string& value) {
  out.pack_bin(static_cast<std::uint32_t>(value.size()));
  out.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
}

template <typename Tag, typename Rep>
void Pack(Packer& out, const StrongId<Tag, Rep>& value) {
  Pack(out, value.value());
}

template <typename Tag>
void Pack(Packer& out, const Quantity<Tag>& value) {
  Pack(out, value.count());
}

inline void Pack(Packer& out, Milliseconds value) {
  Pack(out, static_cast<std::int64_t>(value.count()));
}

template <typename T>
void Pack(Packer& out, const std::vector<T>& values) {
  out.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const T& value : values) Pack(out, value);
}

template <Message T>
void Pack(Packer& out, const T& value) {
  // Fields() is not const because decoding uses it too. Packing only reads the members.
  auto fields = const_cast<T&>(value).Fields();
  out.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<decltype(fields)>));
  std::apply([&out](const auto&... member) { (Pack(out, member), ...); }, fields);
}

template <Integral T>
void Unpack(const msgpack::object& in, T& value);
inline void Unpack(const msgpack::object& in, std::string& value);
template <typename Tag, typename Rep>
void Unpack(const msgpack::object& in, StrongId<Tag, Rep>& value);
template <typename Tag>
void Unpack(const msgpack::object& in, Quantity<Tag>& value);
inline void Unpack(const msgpack::object& in, Milliseconds& value);
template <typename T>
void Unpack(const msgpack::object& in, std::vector<T>& values);
template <Message T>
void Unpack(const msgpack::object& in, T& value);

template <Integral T>
void Unpack(const msgpack::object& in, T& value) {
  if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> number{};
    Unpack(in, number);
    if constexpr (requires { MaxValue(T{}); }) {
      if (number > MaxValue(T{})) throw msgpack::type_error();
    }
    value = static_cast<T>(number);
  } else {
    value = in.as<T>();
  }
}

inline void Unpack(const msgpack::object& in, std::string& value) {
  if (in.type != msgpack::type::BIN) throw msgpack::type_error();
  value.assign(in.via.bin.ptr, in.via.bin.size);
}

template <typename Tag, typename Rep>
void Unpack(const msgpack::object& in, StrongId<Tag, Rep>& value) {
  Rep rep{};
  Unpack(in, rep);
  value = StrongId<Tag, Rep>(std::move(rep));
}

template <typename Tag>
void Unpack(const msgpack::object& in, Quantity<Tag>& value) {
  value = Quantity<Tag>(in.as<std::int64_t>());
}

inline void Unpack(const msgpack::object& in, Milliseconds& value) {
  value = Milliseconds(in.as<std::int64_t>());
}

template <typename T>
void Unpack(const msgpack::object& in, std::vector<T>& values) {
  if (in.type != msgpack::type::ARRAY) throw msgpack::type_error();
  values.clear();
  values.reserve(in.via.array.size);
  for (std::uint32_t i = 0; i < in.via.array.size; ++i) {
    Unpack(in.via.array.ptr[i], values.emplace_back());
  }
}

template <Message T>
void Unpack(const msgpack::object& in, T& value) {
  if (in.type != msgpack::type::ARRAY) throw msgpack::type_error();
  std::uint32_t next = 0;
  const auto unpack_next = [&in, &next](auto& member) {
    if (next < in.via.array.size) Unpack(in.via.array.ptr[next], member);
    ++next;
  };
  std::apply([&unpack_next](auto&... member) { (unpack_next(member), ...); }, value.Fields());
}

// Checks the structure of a message without allocating memory. Rejects maps, which no message
// contains, and deep nesting.
class StructureVisitor : public msgpack::null_visitor {
 public:
  bool start_array(std::uint32_t /*size*/) { return ++depth_ <= kMaxDepth; }  // NOLINT
  bool end_array() {                                                          // NOLINT
    --depth_;
    return true;
  }
  bool start_map(std::uint32_t /*size*/) { return false; }  // NOLINT

 private:
  static constexpr int kMaxDepth = 32;
  int depth_ = 0;
};

// Rejects input that is not exactly one complete value. Unpacking allocates memory for an array
// when it reads the length, so without this check 5 bytes of input could allocate megabytes.
inline Result<void> CheckStructure(std::string_view bytes) {
  StructureVisitor visitor;
  std::size_t offset = 0;
  if (!msgpack::parse(bytes.data(), bytes.size(), offset, visitor)) {
    return Fail(ResultCode::kMalformedMessage, "the message is malformed or truncated");
  }
  if (offset != bytes.size()) {
    return Fail(ResultCode::kMalformedMessage,
                std::to_string(bytes.size() - offset) + " bytes follow the end of the message");
  }
  return {};
}

}  // namespace codec

template <typename Message>
std::string Encode(const Message& message) {
  msgpack::sbuffer buf;
  codec::Packer packer(buf);
  codec::Pack(packer, message);
  return {buf.data(), buf.size()};
}

template <typename Message>
Result<Message> Decode(std::string_view bytes) {
  if (auto checked = codec::CheckStructure(bytes); !checked) {
    return tl::make_unexpected(std::move(checked).error());
  }
  try {
    msgpack::zone zone;
    const msgpack::object object = msgpack::unpack(zone, bytes.data(), bytes.size());
    Message message;
    codec::Unpack(object, message);
    return message;
  } catch (const msgpack::unpack_error& error) {
    return Fail(ResultCode::kMalformedMessage,
                std::string("the message cannot be unpacked: ") + error.what());
  } catch (const msgpack::type_error&) {
    return Fail(ResultCode::kMalformedMessage, "a member of the message has the wrong type");
  }
}

}  // namespace parsleyline::wire

/// Instantiates the codec for one message type.
#define PARSLEYLINE_INSTANTIATE_CODEC(Type)                                  \
  template std::string parsleyline::wire::Encode<Type>(const Type& message); \
  template parsleyline::Result<Type> parsleyline::wire::Decode<Type>(std::string_view bytes)
