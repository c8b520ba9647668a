#include "transport/http2_session.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace parsleyline::transport {
namespace {

constexpr std::string_view kPathPrefix = "/rpc/";
constexpr std::string_view kTimeoutHeader = "rpc-timeout-ms";
constexpr std::string_view kCodeHeader = "rpc-code";

// Flow-control windows in bytes. At the latency of 1.5 ms between failure domains they
// allow more than 1 GB/s. A larger connection window delays pings on slow links: 16 MiB in flight
// at 16 MB/s delayed them by a second.
constexpr std::int32_t kStreamWindow = 4 << 20;
constexpr std::int32_t kConnectionWindow = 4 << 20;

// Rate limit of stream resets by the peer. With the defaults of nghttp2 (1000 resets, then 33 per
// second), a connection would be closed when many calls reach their deadlines at the same time.
constexpr std::uint64_t kResetBurst = 200000;
constexpr std::uint64_t kResetsPerSecond = 20000;

std::uint8_t* ToBytes(std::string_view text) {
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

nghttp2_nv MakeHeader(std::string_view name, std::string_view value,
                      std::uint8_t flags = NGHTTP2_NV_FLAG_NONE) {
  return {ToBytes(name), ToBytes(value), name.size(), value.size(), flags};
}

std::string_view ToStringView(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

template <typename Number>
Number ParseNumberOrZero(std::string_view text) {
  Number number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return valid && number >= 0 ? number : 0;
}

tl::unexpected<Error> FailWithNghttp2Error(int error) {
  return Fail(ResultCode::kMalformedMessage, nghttp2_strerror(error));
}

}  // namespace

// C callbacks of nghttp2, which forward to the session in `user`.
struct Http2Session::Callbacks {
  static Http2Session& Session(void* user) { return *static_cast<Http2Session*>(user); }

  static int BeginHeaders(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      Session(user).streams_.try_emplace(frame->hd.stream_id);
    }
    return 0;
  }
  static int Header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                    const std::uint8_t* name, std::size_t name_size, const std::uint8_t* value,
                    std::size_t value_size, std::uint8_t /*flags*/, void* user) {
    Session(user).HandleHeader(frame->hd.stream_id, ToStringView(name, name_size),
                               ToStringView(value, value_size));
    return 0;
  }
  static int Data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                  const std::uint8_t* data, std::size_t size, void* user) {
    Session(user).HandleData(stream, ToStringView(data, size));
    return 0;
  }
  static int FrameReceived(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    Session(user).HandleReceivedFrame(*frame);
    return 0;
  }
  static int FrameSent(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    Session(user).HandleSentFrame(*frame);
    return 0;
  }
  static int StreamClosed(nghttp2_session* /*session*/, std::int32_t stream, std::uint32_t error,
                          void* user) {
    Session(user).HandleStreamClosed(stream, error);
    return 0;
  }
  static ssize_t ReadBody(nghttp2_session* /*session*/, std::int32_t stream, std::uint8_t* buf,
                          std::size_t length, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                          void* user) {
    return Session(user).ReadBody(stream, buf, length, flags);
  }
};

Http2Session::Http2Session(Http2Role role, const Http2Limits& limits, Events* events)
    : role_(role), limits_(limits), events_(events) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::BeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::Header);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::Data);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::FrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Callbacks::FrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::StreamClosed);

  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, limits_.max_streams);
  nghttp2_option_set_stream_reset_rate_limit(option, kResetBurst, kResetsPerSecond);
  if (role_ == Http2Role::kServer) {
    nghttp2_session_server_new2(&session_, callbacks, this, option);
  } else {
    nghttp2_session_client_new2(&session_, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  SubmitSettings();
}

Http2Session::~Http2Session() { nghttp2_session_del(session_); }

void Http2Session::SubmitSettings() {
  const std::array<nghttp2_settings_entry, 3> entries = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // A server must not send ENABLE_PUSH, whatever its value.
  const std::size_t count = role_ == Http2Role::kClient ? entries.size() : entries.size() - 1;
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(), count);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindow);
}

Result<void> Http2Session::Receive(std::string_view bytes) {
  const ssize_t used = nghttp2_session_mem_recv(session_, ToBytes(bytes), bytes.size());
  if (used < 0) {
    protocol_error_ = true;
    return FailWithNghttp2Error(static_cast<int>(used));
  }
  return {};
}

Result<void> Http2Session::TakeOutput(std::string* out, std::size_t limit) {
  while (out->size() < limit) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) return FailWithNghttp2Error(static_cast<int>(size));
    if (size == 0) break;
    out->append(ToStringView(data, static_cast<std::size_t>(size)));
  }
  return {};
}

Result<std::int32_t> Http2Session::SubmitRequest(const std::string& method, std::string body,
                                                 Milliseconds timeout) {
  const std::string path = std::string(kPathPrefix).append(method);
  const std::string timeout_text = std::to_string(timeout.count());
  const std::array<nghttp2_nv, 5> headers = {
      MakeHeader(":method", "POST"), MakeHeader(":scheme", "http"),
      // nghttp2 rejects requests without an authority.
      MakeHeader(":authority", "parsleyline"), MakeHeader(":path", path),
      // Not indexed: its values differ from call to call and would evict useful entries from the
      // header table.
      MakeHeader(kTimeoutHeader, timeout_text, NGHTTP2_NV_FLAG_NO_INDEX)};
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::ReadBody;
  const std::int32_t stream =
      nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(),
                             body.empty() ? nullptr : &provider, nullptr);
  if (stream < 0) return FailWithNghttp2Error(stream);
  unsent_bytes_ += body.size();
  streams_[stream].outgoing_body = std::move(body);
  return stream;
}

void Http2Session::SubmitResponse(std::int32_t stream, Result<std::string> response) {
  Stream* state = Find(stream);
  if (state == nullptr) return;
  const bool ok = response.has_value();
  const std::string code = ok ? "" : std::to_string(static_cast<int>(response.error().code));
  state->outgoing_body = ok ? std::move(*response) : std::move(response.error().message);
  unsent_bytes_ += state->outgoing_body.size();
  const std::array<nghttp2_nv, 2> headers = {MakeHeader(":status", ok ? "200" : "500"),
                                             MakeHeader(kCodeHeader, code)};
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::ReadBody;
  nghttp2_submit_response(session_, stream, headers.data(), ok ? 1 : 2,
                          state->outgoing_body.empty() ? nullptr : &provider);
}

void Http2Session::Reset(std::int32_t stream, std::uint32_t http2_error) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, http2_error);
}

void Http2Session::SubmitPing() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

void Http2Session::SubmitGoAway() {
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                        nullptr, 0);
}

bool Http2Session::Finished() const {
  return nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
}

std::uint32_t Http2Session::PeerMaxStreams() const {
  return nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
}

Http2Session::Stream* Http2Session::Find(std::int32_t stream) {
  const auto it = streams_.find(stream);
  return it == streams_.end() ? nullptr : &it->second;
}

void Http2Session::HandleHeader(std::int32_t stream, std::string_view name,
                                std::string_view value) {
  Stream* state = Find(stream);
  if (state == nullptr) return;
  if (name == ":path" && value.substr(0, kPathPrefix.size()) == kPathPrefix) {
    state->incoming.method = value.substr(kPathPrefix.size());
  } else if (name == ":status") {
    state->incoming.status = ParseNumberOrZero<int>(value);
  } else if (name == kTimeoutHeader) {
    state->incoming.timeout = Milliseconds(ParseNumberOrZero<std::int64_t>(value));
  } else if (name == kCodeHeader) {
    state->incoming.code = ParseNumberOrZero<int>(value);
  }
}

void Http2Session::HandleData(std::int32_t stream, std::string_view data) {
  events_->OnProgress();
  Stream* state = Find(stream);
  if (state == nullptr || state->body_rejected) return;
  const bool too_large = state->incoming.body.size() + data.size() > limits_.max_body_bytes;
  const bool overloaded = incomplete_bytes_ + data.size() > limits_.max_incomplete_bytes;
  if (!too_large && !overloaded) {
    incomplete_bytes_ += data.size();
    state->incoming.body.append(data);
    return;
  }
  state->body_rejected = true;
  incomplete_bytes_ -= state->incoming.body.size();
  state->incoming.body = std::string();
  events_->OnBodyRejected(stream, too_large ? ResultCode::kBodyTooLarge : ResultCode::kOverloaded);
}

void Http2Session::HandleReceivedFrame(const nghttp2_frame& frame) {
  switch (frame.hd.type) {
    case NGHTTP2_PING:
      if ((frame.hd.flags & NGHTTP2_FLAG_ACK) != 0) events_->OnPingAck();
      return;
    case NGHTTP2_SETTINGS:
      if ((frame.hd.flags & NGHTTP2_FLAG_ACK) == 0) events_->OnSettings();
      return;
    case NGHTTP2_WINDOW_UPDATE:
      events_->OnProgress();
      return;
    case NGHTTP2_GOAWAY:
      events_->OnGoAway(frame.goaway.error_code);
      return;
    case NGHTTP2_DATA:
    case NGHTTP2_HEADERS:
      break;
    default:
      return;
  }
  if ((frame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) return;
  Stream* state = Find(frame.hd.stream_id);
  if (state == nullptr || state->body_rejected) return;
  incomplete_bytes_ -= state->incoming.body.size();
  events_->OnMessage(frame.hd.stream_id, std::exchange(state->incoming, {}));
}

void Http2Session::HandleSentFrame(const nghttp2_frame& frame) {
  if (frame.hd.type == NGHTTP2_GOAWAY) {
    protocol_error_ = protocol_error_ || frame.goaway.error_code != NGHTTP2_NO_ERROR;
    return;
  }
  if (role_ != Http2Role::kClient) return;
  const bool headers = frame.hd.type == NGHTTP2_HEADERS;
  if (!headers && frame.hd.type != NGHTTP2_DATA) return;
  if (headers) events_->OnRequestStarted(frame.hd.stream_id);
  if ((frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) events_->OnRequestEnded(frame.hd.stream_id);
}

void Http2Session::HandleStreamClosed(std::int32_t stream, std::uint32_t http2_error) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) return;
  incomplete_bytes_ -= it->second.incoming.body.size();
  unsent_bytes_ -= it->second.outgoing_body.size() - it->second.outgoing_offset;
  streams_.erase(it);
  events_->OnStreamClosed(stream, http2_error);
}

ssize_t Http2Session::ReadBody(std::int32_t stream, std::uint8_t* buf, std::size_t length,
                               std::uint32_t* flags) {
  Stream* state = Find(stream);
  if (state == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t size = std::min(length, state->outgoing_body.size() - state->outgoing_offset);
  std::copy_n(state->outgoing_body.data() + state->outgoing_offset, size, buf);
  state->outgoing_offset += size;
  unsent_bytes_ -= size;
  if (state->outgoing_offset == state->outgoing_body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(size);
}

}  // namespace parsleyline::transport
