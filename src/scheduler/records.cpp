#include "scheduler/records.h"

#include <utility>

#include "wire/codec.h"
#include "wire/codec_impl.h"

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::RegisterWorker);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::SetOperatorState);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::RemoveWorker);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::GrantTasks);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::TrimLedger);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::StartTerm);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::scheduler::ConfirmStops);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::ledger::Rejection);

namespace parsleyline::scheduler {
namespace {

template <std::size_t kIndex = 0>
Result<Record> DecodeAlternative(std::size_t index, std::string_view body) {
  if constexpr (kIndex < std::variant_size_v<Record>) {
    if (index != kIndex) return DecodeAlternative<kIndex + 1>(index, body);
    return wire::Decode<std::variant_alternative_t<kIndex, Record>>(body).map(
        [](auto message) { return Record(std::move(message)); });
  } else {
    return Fail(ResultCode::kMalformedMessage, "record type " + std::to_string(index) +
                                                   " is unknown; the highest known type is " +
                                                   std::to_string(std::variant_size_v<Record> - 1));
  }
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  std::string bytes(1, static_cast<char>(record.index()));
  bytes += std::visit([](const auto& message) { return wire::Encode(message); }, record);
  return bytes;
}

Result<Record> DecodeRecord(std::string_view bytes) {
  if (bytes.empty()) return Fail(ResultCode::kMalformedMessage, "the record is empty");
  return DecodeAlternative(static_cast<unsigned char>(bytes.front()), bytes.substr(1));
}

}  // namespace parsleyline::scheduler
