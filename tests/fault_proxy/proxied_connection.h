#pragma once

#include <array>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/clock.h"
#include "base/units.h"

namespace parsleyline::testing {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;
using Timer =
    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>, Strand>;

inline constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max();

/// Faults of one direction, shared by all connections of a proxy.
struct DirectionFaults {
  Milliseconds delay{0};
  Milliseconds jitter{0};
  /// 0 means no limit.
  std::uint64_t bytes_per_second = 0;
  bool dropped = false;
  std::uint64_t truncate_after = kUnlimited;
  std::optional<std::size_t> cut_min_bytes;
  std::uint64_t forwarded_bytes = 0;
};

enum class EndMode { kClose, kReset };

/// Two sockets with bytes forwarded between them. All members run on one strand.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
 public:
  using EndedCallback = std::function<void(const std::shared_ptr<ProxiedConnection>&)>;

  ProxiedConnection(const Strand& strand, DirectionFaults* to_target, DirectionFaults* to_client,
                    std::mt19937* random, EndedCallback on_ended);

  Socket& client() { return client_; }
  void Start(const boost::asio::ip::tcp::endpoint& target);
  void Silence() { silent_ = true; }
  /// Starts to count bytes for a new limit.
  void RestartCounts();
  /// Goes on forwarding after a fault has ended.
  void Resume();
  void End(EndMode mode);

 private:
  struct Chunk {
    TimePoint due;
    std::string bytes;
  };
  struct Pipe {
    Pipe(Socket* source, Socket* sink, const Strand& strand, DirectionFaults* direction_faults)
        : from(source), to(sink), timer(strand), faults(direction_faults) {}
    Socket* from;
    Socket* to;
    Timer timer;
    DirectionFaults* faults;
    std::array<char, std::size_t{64} << 10U> buf{};
    std::deque<Chunk> queue;
    std::size_t queued_bytes = 0;
    std::uint64_t counted_bytes = 0;
    bool reading = false;
    bool writing = false;
    bool source_ended = false;
    bool source_reset = false;
    bool end_after_queue = false;
  };

  void Read(Pipe& pipe);
  void OnRead(Pipe& pipe, const boost::system::error_code& ec, std::size_t size);
  TimePoint DueTime(const Pipe& pipe, std::size_t size);
  std::size_t ApplyCuts(Pipe& pipe, std::size_t size);
  void Forward(Pipe& pipe);
  void Write(Pipe& pipe);
  void OnQueueEmpty(Pipe& pipe);

  Socket client_;
  Socket target_;
  Pipe to_target_;
  Pipe to_client_;
  std::mt19937* random_;
  EndedCallback on_ended_;
  bool silent_ = false;
  bool ended_ = false;
};

}  // namespace parsleyline::testing
