#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "transport/http2_session.h"

namespace parsleyline::transport {
namespace {

constexpr Http2Limits kLimits = {4096, 16384, 100};
constexpr std::string_view kClientMagic = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

class EchoEvents : public Http2Session::Events {
 public:
  void OnMessage(std::int32_t stream, Http2Message message) override {
    if (message.body.size() > kLimits.max_body_bytes) std::abort();
    ready.emplace_back(stream, std::move(message.body));
  }
  void OnBodyRejected(std::int32_t /*stream*/, ResultCode /*code*/) override {}
  void OnStreamClosed(std::int32_t /*stream*/, std::uint32_t /*http2_error*/) override {}
  void OnPingAck() override {}
  void OnSettings() override {}
  void OnGoAway(std::uint32_t /*http2_error*/) override {}

  std::vector<std::pair<std::int32_t, std::string>> ready;
};

// Feeds a server session with the connection preface and `input`, and answers every request.
void RunSession(std::string_view input) {
  EchoEvents events;
  Http2Session session(Http2Role::kServer, kLimits, &events);
  if (!session.Receive(kClientMagic)) std::abort();
  while (!input.empty()) {
    const std::string_view part = input.substr(0, 64);
    input.remove_prefix(part.size());
    if (!session.Receive(part)) return;
    for (auto& [stream, body] : std::exchange(events.ready, {})) {
      session.SubmitResponse(stream, std::move(body));
    }
    std::string out;
    if (!session.TakeOutput(&out, std::size_t{1} << 20U)) return;
  }
}

}  // namespace
}  // namespace parsleyline::transport

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  parsleyline::transport::RunSession({reinterpret_cast<const char*>(data), size});
  return 0;
}
