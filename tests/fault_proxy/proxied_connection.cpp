#include "tests/fault_proxy/proxied_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <ratio>
#include <utility>

namespace parsleyline::testing {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Reading stops while this much waits, so that the sender feels a slow or dropped direction.
constexpr std::size_t kMaxQueuedBytes = std::size_t{4} << 20U;

}  // namespace

ProxiedConnection::ProxiedConnection(const Strand& strand, DirectionFaults* to_target,
                                     DirectionFaults* to_client, std::mt19937* random,
                                     EndedCallback on_ended)
    : client_(strand),
      target_(strand),
      to_target_(&client_, &target_, strand, to_target),
      to_client_(&target_, &client_, strand, to_client),
      random_(random),
      on_ended_(std::move(on_ended)) {}

void ProxiedConnection::Start(const asio::ip::tcp::endpoint& target) {
  target_.async_connect(target, [self = shared_from_this()](const error_code& ec) {
    if (self->ended_) return;
    if (ec) {
      self->End(EndMode::kReset);
      return;
    }
    error_code ignored;
    self->client_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->target_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->Read(self->to_target_);
    self->Read(self->to_client_);
  });
}

void ProxiedConnection::Read(Pipe& pipe) {
  if (ended_ || pipe.reading || pipe.source_ended || pipe.queued_bytes >= kMaxQueuedBytes) return;
  pipe.reading = true;
  pipe.from->async_read_some(asio::buffer(pipe.buf), [self = shared_from_this(), &pipe](
                                                         const error_code& ec, std::size_t size) {
    pipe.reading = false;
    if (!self->ended_) self->OnRead(pipe, ec, size);
  });
}

void ProxiedConnection::OnRead(Pipe& pipe, const error_code& ec, std::size_t size) {
  if (ec) {
    pipe.source_ended = true;
    pipe.source_reset = ec != asio::error::eof;
    Forward(pipe);
    return;
  }
  const std::size_t kept = ApplyCuts(pipe, size);
  pipe.queue.push_back({DueTime(pipe, kept), std::string(pipe.buf.data(), kept)});
  pipe.queued_bytes += kept;
  Forward(pipe);
  if (!pipe.end_after_queue) Read(pipe);
}

TimePoint ProxiedConnection::DueTime(const Pipe& pipe, std::size_t size) {
  const DirectionFaults& faults = *pipe.faults;
  std::uniform_int_distribution<std::int64_t> jitter(0, faults.jitter.count());
  TimePoint due = std::chrono::steady_clock::now() + faults.delay + Milliseconds(jitter(*random_));
  if (!pipe.queue.empty()) due = std::max(due, pipe.queue.back().due);
  if (faults.bytes_per_second != 0) {
    due += std::chrono::microseconds(size * std::micro::den / faults.bytes_per_second);
  }
  return due;
}

// Returns how many of `size` bytes are forwarded before the connection is closed.
std::size_t ProxiedConnection::ApplyCuts(Pipe& pipe, std::size_t size) {
  DirectionFaults& faults = *pipe.faults;
  if (faults.cut_min_bytes && size >= *faults.cut_min_bytes) {
    faults.cut_min_bytes.reset();
    pipe.end_after_queue = true;
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(*random_);
  }
  if (faults.truncate_after == kUnlimited) return size;
  const std::uint64_t left =
      faults.truncate_after - std::min(faults.truncate_after, pipe.counted_bytes);
  pipe.counted_bytes += size;
  if (size < left) return size;
  pipe.end_after_queue = true;
  return left;
}

void ProxiedConnection::RestartCounts() {
  to_target_.counted_bytes = 0;
  to_client_.counted_bytes = 0;
}

void ProxiedConnection::Resume() {
  Forward(to_target_);
  Forward(to_client_);
}

void ProxiedConnection::Forward(Pipe& pipe) {
  if (ended_ || silent_ || pipe.writing || pipe.faults->dropped) return;
  if (pipe.queue.empty()) {
    OnQueueEmpty(pipe);
    return;
  }
  if (pipe.queue.front().due <= std::chrono::steady_clock::now()) {
    Write(pipe);
    return;
  }
  pipe.timer.expires_at(pipe.queue.front().due);
  pipe.timer.async_wait([self = shared_from_this(), &pipe](const error_code& ec) {
    if (!ec) self->Forward(pipe);
  });
}

void ProxiedConnection::Write(Pipe& pipe) {
  pipe.writing = true;
  asio::async_write(*pipe.to, asio::buffer(pipe.queue.front().bytes),
                    [self = shared_from_this(), &pipe](const error_code& ec, std::size_t size) {
                      pipe.writing = false;
                      pipe.faults->forwarded_bytes += size;
                      if (self->ended_) return;
                      if (ec) {
                        self->End(EndMode::kReset);
                        return;
                      }
                      pipe.queued_bytes -= size;
                      pipe.queue.pop_front();
                      self->Forward(pipe);
                      if (!pipe.end_after_queue) self->Read(pipe);
                    });
}

void ProxiedConnection::OnQueueEmpty(Pipe& pipe) {
  if (pipe.end_after_queue) {
    End(EndMode::kClose);
  } else if (pipe.source_reset) {
    End(EndMode::kReset);
  } else if (pipe.source_ended) {
    error_code ignored;
    pipe.to->shutdown(Socket::shutdown_send, ignored);
    if (to_target_.source_ended && to_client_.source_ended) End(EndMode::kClose);
  }
}

void ProxiedConnection::End(EndMode mode) {
  if (std::exchange(ended_, true)) return;
  error_code ignored;
  for (Socket* socket : {&client_, &target_}) {
    // Closing with a linger time of zero sends a reset.
    if (mode == EndMode::kReset) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    } else {
      socket->shutdown(Socket::shutdown_send, ignored);
    }
    socket->close(ignored);
  }
  to_target_.timer.cancel();
  to_client_.timer.cancel();
  on_ended_(shared_from_this());
}

}  // namespace parsleyline::testing
