#include "raft/log_record.h"

#include <xxhash.h>

#include <bit>
#include <cstring>

namespace parsleyline::raft {
namespace {

static_assert(std::endian::native == std::endian::little, "records are stored as little-endian");

constexpr std::uint32_t kMagic = 0x31524c50;  // "PLR1"

struct Header {
  std::uint32_t magic = kMagic;
  std::uint32_t length = 0;
  std::uint64_t checksum = 0;
  std::uint64_t synced = 0;
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint8_t kind = 0;
  std::uint8_t entry_kind = 0;
  std::uint8_t unused[6] = {};
};
static_assert(sizeof(Header) == kRecordHeaderBytes);

// Returns the checksum of the header, with its checksum field set to 0, and the payload.
std::uint64_t Checksum(Header header, std::string_view payload) {
  header.checksum = 0;
  return XXH64(payload.data(), payload.size(), XXH64(&header, sizeof(header), 0));
}

}  // namespace

void AppendRecord(const Record& record, std::string* out) {
  Header header;
  header.length = static_cast<std::uint32_t>(record.payload.size());
  header.synced = record.synced;
  header.index = record.index.value();
  header.term = record.term.value();
  header.kind = static_cast<std::uint8_t>(record.kind);
  header.entry_kind = static_cast<std::uint8_t>(record.entry_kind);
  header.checksum = Checksum(header, record.payload);
  out->append(reinterpret_cast<const char*>(&header), sizeof(header));
  out->append(record.payload);
}

std::optional<Record> ReadRecord(std::string_view bytes, ChecksumPolicy policy) {
  Header header;
  if (bytes.size() < sizeof(header)) return std::nullopt;
  std::memcpy(&header, bytes.data(), sizeof(header));
  if (header.magic != kMagic || header.length > bytes.size() - sizeof(header)) return std::nullopt;
  const std::string_view payload = bytes.substr(sizeof(header), header.length);
  if (policy == ChecksumPolicy::kVerify && Checksum(header, payload) != header.checksum) {
    return std::nullopt;
  }
  return Record{.kind = static_cast<Record::Kind>(header.kind),
                .entry_kind = static_cast<EntryKind>(header.entry_kind),
                .index = LogIndex(header.index),
                .term = Term(header.term),
                .synced = header.synced,
                .payload = payload};
}

}  // namespace parsleyline::raft
