#include <cstddef>
#include <cstdint>
#include <string>

#include "platform/node_file.h"
#include "platform/wire_json.h"

namespace parsleyline::platform {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

void DecodeAll(const std::string& text) {
  (void)DecodeJobSpec(text);
  (void)DecodeConfig(text);
  (void)DecodeReport("worker", text);
  (void)DecodeReport(text, "{}");
  (void)DecodeNodeFile(text);
  (void)ParseAddress(text);
  (void)ParseTaskName(text);
  DecodeOrderReply(kConflict, text);
  DecodeHoldReply(kOk, text);
  DecodeAdvisorReply(kOk, text);
}

}  // namespace
}  // namespace parsleyline::platform

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  parsleyline::platform::DecodeAll({reinterpret_cast<const char*>(data), size});
  return 0;
}
