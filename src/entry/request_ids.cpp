#include "entry/request_ids.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace parsleyline::entry {
namespace {

// The mark keeps an id that is derived from a key from equalling a random one.
constexpr char kKeyMark = 'k';
constexpr char kRandomMark = 'r';

std::string Hex(std::uint64_t value) {
  constexpr int kDigits = 16;
  std::string text(kDigits, '0');
  for (int i = kDigits - 1; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = "0123456789abcdef"[value & 15U];
    value >>= 4U;
  }
  return text;
}

std::uint64_t RandomWord() {
  thread_local std::mt19937_64 random = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return random();
}

RequestId MakeId(const DomainId& home, char mark, std::uint64_t high, std::uint64_t low) {
  return RequestId(home.value() + "-" + mark + Hex(high) + Hex(low));
}

}  // namespace

RequestIds::RequestIds(std::vector<DomainId> domains) : domains_(std::move(domains)) {
  std::sort(domains_.begin(), domains_.end());
}

RequestId RequestIds::New(const DomainId& home) const {
  return MakeId(home, kRandomMark, RandomWord(), RandomWord());
}

RequestId RequestIds::ForKey(const TeamId& team, std::string_view key) const {
  std::string text = team.value();
  text.push_back('\0');
  text.append(key);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return MakeId(domains_[hash.low64 % domains_.size()], kKeyMark, hash.high64, hash.low64);
}

std::optional<DomainId> RequestIds::HomeOf(const RequestId& id) const {
  const std::size_t dash = id.value().rfind('-');
  if (dash == std::string::npos) return std::nullopt;
  const DomainId home(id.value().substr(0, dash));
  if (std::find(domains_.begin(), domains_.end(), home) == domains_.end()) return std::nullopt;
  return home;
}

}  // namespace parsleyline::entry
