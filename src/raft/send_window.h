#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "raft/raft_options.h"

namespace parsleyline::raft {

/// Decides how much a leader sends to one replica ahead of its acknowledgements, and after which
/// time without one it has to assume that a message was lost. Like the congestion control of a
/// transport protocol: a replica that is slow to receive, or busy, gets less at a time instead of
/// the same entries again while the first copy is still under way.
class SendWindow {
 public:
  explicit SendWindow(const RaftOptions& options);

  /// Largest number of bytes that may be unacknowledged.
  std::size_t bytes() const { return bytes_; }
  /// Largest number of bytes for one message.
  std::size_t message_bytes() const;
  /// Time without an acknowledgement after which a message counts as lost.
  Duration timeout() const;

  struct Acknowledgement {
    /// Size of the acknowledged messages, each of which was sent only once.
    std::size_t bytes = 0;
    /// Bytes that were unacknowledged before.
    std::size_t in_flight = 0;
    /// Time since the newest of the acknowledged messages was sent.
    Duration round_trip{0};
  };

  /// Grows the window if it was used and the acknowledgement was prompt, and shrinks it if the
  /// acknowledgement was late.
  void OnAcknowledged(const Acknowledgement& acknowledgement, TimePoint now);
  /// Records a lost message: shrinks the window, and doubles the timeout until the next
  /// acknowledgement.
  void OnLost();
  /// Records an acknowledgement that does not tell the round trip, because the message was sent
  /// again.
  void OnProgress() { consecutive_losses_ = 0; }

 private:
  void Shrink();

  std::size_t max_bytes_;
  std::size_t max_message_bytes_;
  // An acknowledgement that takes longer shows that messages queue up.
  Duration prompt_;
  Duration min_timeout_;
  Duration max_timeout_;
  std::size_t bytes_;
  // Smoothed round trip and its mean deviation; zero before the first acknowledgement.
  Duration round_trip_{0};
  Duration deviation_{0};
  std::uint32_t consecutive_losses_ = 0;
  TimePoint last_shrink_;
};

}  // namespace parsleyline::raft
