#include "raft/send_window.h"

#include <algorithm>

namespace parsleyline::raft {
namespace {

constexpr std::size_t kInitialBytes = std::size_t{256} << 10U;
constexpr std::size_t kMinBytes = std::size_t{64} << 10U;
// A message is a part of the window, so that acknowledgements arrive while the rest is under way.
constexpr std::size_t kMessagesPerWindow = 4;
constexpr int kHeartbeatsPerTimeout = 2;
constexpr std::uint32_t kMaxDoublings = 4;

}  // namespace

SendWindow::SendWindow(const RaftOptions& options)
    : max_bytes_(options.max_in_flight_bytes),
      max_message_bytes_(options.max_message_bytes),
      prompt_(options.election_timeout_min / 2),
      min_timeout_(options.heartbeat * kHeartbeatsPerTimeout),
      max_timeout_(options.election_timeout_max * 2),
      bytes_(std::min(kInitialBytes, max_bytes_)) {}

std::size_t SendWindow::message_bytes() const {
  return std::clamp<std::size_t>(bytes_ / kMessagesPerWindow, 1, max_message_bytes_);
}

Duration SendWindow::timeout() const {
  const Duration base = std::max(min_timeout_, round_trip_ + 4 * deviation_);
  return std::min(base * (1U << std::min(consecutive_losses_, kMaxDoublings)),
                  std::max(max_timeout_, min_timeout_));
}

void SendWindow::OnAcknowledged(const Acknowledgement& acknowledgement, TimePoint now) {
  consecutive_losses_ = 0;
  const Duration round_trip = acknowledgement.round_trip;
  if (round_trip_ == Duration(0)) {
    round_trip_ = round_trip;
    deviation_ = round_trip / 2;
  } else {
    deviation_ += (std::chrono::abs(round_trip - round_trip_) - deviation_) / 4;
    round_trip_ += (round_trip - round_trip_) / 8;
  }
  if (round_trip <= prompt_) {
    // A window that is not used says nothing about what the replica can receive.
    const bool used = acknowledgement.in_flight >= bytes_ / 2;
    if (used) bytes_ = std::min(bytes_ + acknowledgement.bytes, max_bytes_);
  } else if (now - last_shrink_ >= round_trip) {
    // The messages that were sent before the last shrink are slow for the same cause.
    last_shrink_ = now;
    Shrink();
  }
}

void SendWindow::OnLost() {
  ++consecutive_losses_;
  bytes_ = std::min(bytes_, kInitialBytes);
  Shrink();
}

void SendWindow::Shrink() { bytes_ = std::max(bytes_ / 2, std::min(kMinBytes, max_bytes_)); }

}  // namespace parsleyline::raft
