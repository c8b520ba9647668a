#include "cell/cell_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "base/random_number.h"
#include "wire/codec.h"

namespace parsleyline::cell {
namespace {

// A leader that does not reply within this time may be partitioned; the call is then retried on
// another process.
constexpr Milliseconds kAttemptTimeout{900};
constexpr Milliseconds kRetryDelay{60};
// Without a reply of a leader for this long, the process counts as disconnected and its calls fail
// after kDisconnectedTimeLimit, so that callers can retry elsewhere before their own deadline.
// Longer than a leader election takes.
constexpr Milliseconds kDisconnectedAfter{2000};
constexpr Milliseconds kDisconnectedTimeLimit{400};
constexpr Milliseconds kHeartbeatInterval{500};
constexpr Milliseconds kHeartbeatRetryDelay{150};
constexpr Milliseconds kHeartbeatTimeout{800};

// Tells whether a process replied with this code before the call took effect, or did not get it.
bool HasNotRun(ResultCode code) {
  switch (code) {
    case ResultCode::kNotLeader:
    case ResultCode::kCallOutdated:
    case ResultCode::kConnectionFailed:
    case ResultCode::kShuttingDown:
    case ResultCode::kOverloaded:
    case ResultCode::kNoLeader:
      return true;
    default:
      return false;
  }
}

// Tells whether the reply shows that the process has recorded the epoch of the attempt.
bool HasRecordedEpoch(ResultCode code) {
  return code == ResultCode::kNotLeader || code == ResultCode::kCallOutdated ||
         code == ResultCode::kOutcomeUnknown;
}

}  // namespace

struct CellClient::Impl : std::enable_shared_from_this<CellClient::Impl> {
  struct PendingCall {
    std::string method;
    std::string body;
    TimePoint started;
    TimePoint deadline;
    CallDone done;
    /// Whether an attempt may have taken effect.
    bool may_have_run = false;
    /// Processes that have not replied to an attempt, and to none that was sent to them after it.
    /// They may still carry it out.
    std::set<NodeId> unanswered;
    std::size_t attempts = 0;
  };

  Impl(boost::asio::io_context& context, Peers& peer_table, std::vector<NodeId> first)
      : io(context), peers(peer_table), seeds(std::move(first)), heartbeat_timer(context) {}

  /// Returns the process to call next: the leader if known, else the seeds and members in turn.
  NodeId NextTarget() {
    if (!leader.value().empty()) return leader;
    std::set<NodeId> known(seeds.begin(), seeds.end());
    known.insert(members.begin(), members.end());
    if (known.empty()) return peers.self();
    auto it = known.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(next_target++ % known.size()));
    return *it;
  }

  void SendAttempt(const std::shared_ptr<PendingCall>& call) {
    const TimePoint now = clock.Now();
    // No process replies, or none of them knows a leader.
    const bool disconnected =
        last_leader_reply != TimePoint() && now - last_leader_reply > kDisconnectedAfter;
    if (disconnected) {
      call->deadline = std::min(call->deadline, call->started + kDisconnectedTimeLimit);
    }
    const auto remaining = std::chrono::duration_cast<Milliseconds>(call->deadline - now);
    if (remaining <= Milliseconds(0)) {
      const auto waited = std::chrono::duration_cast<Milliseconds>(now - call->started);
      return call->done({Fail(ResultCode::kNoLeader,
                              "no leader replied within " + std::to_string(waited.count()) + " ms"),
                         call->may_have_run});
    }
    const NodeId target = NextTarget();
    ++call->attempts;
    const LeaderCall message{{client_id, epoch}, call->may_have_run ? 1U : 0U, call->body};
    peers.ClientFor(target).Call(
        call->method, wire::Encode(message), std::min(remaining, kAttemptTimeout),
        [self = shared_from_this(), call, target](Result<std::string> result) {
          self->OnResult(call, target, std::move(result));
        });
  }

  void OnResult(const std::shared_ptr<PendingCall>& call, const NodeId& target,
                Result<std::string> result) {
    if (result) {
      leader = target;
      last_leader_reply = clock.Now();
      // The process drops the attempts that were sent before this one and arrive after it.
      call->unanswered.erase(target);
      return call->done({std::move(result), !call->unanswered.empty()});
    }
    const ResultCode code = result.error().code;
    if (!HasNotRun(code)) call->may_have_run = true;
    if (HasRecordedEpoch(code)) {
      call->unanswered.erase(target);
    } else if (!HasNotRun(code)) {
      call->unanswered.insert(target);
      ++epoch;
    }
    if (leader == target) leader = NodeId();
    // The message of kNotLeader is the id of the leader, if the replica knows it.
    const bool redirected = code == ResultCode::kNotLeader && !result.error().message.empty() &&
                            NodeId(result.error().message) != target;
    if (redirected) leader = NodeId(result.error().message);
    Retry(call, redirected && call->attempts <= 2 ? Milliseconds(0) : kRetryDelay);
  }

  void Retry(const std::shared_ptr<PendingCall>& call, Milliseconds delay) {
    if (delay == Milliseconds(0)) return SendAttempt(call);
    auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
    timer->async_wait([self = shared_from_this(), call, timer](const boost::system::error_code&) {
      self->SendAttempt(call);
    });
  }

  void SendHeartbeat() {
    StartCall(
        kHeartbeatMethod, wire::Encode(Heartbeat{peers.self()}), kHeartbeatTimeout,
        [self = shared_from_this()](const CallResult& result) { self->OnHeartbeatReply(result); });
  }

  void OnHeartbeatReply(const CallResult& result) {
    Milliseconds delay = kHeartbeatRetryDelay;
    const auto reply = result.body
                           ? wire::Decode<HeartbeatReply>(*result.body)
                           : Result<HeartbeatReply>(tl::make_unexpected(result.body.error()));
    const bool connected = reply.has_value();
    if (connected != was_connected) {
      Event(connected ? "cell_reached" : "cell_lost",
            connected ? Severity::kInfo : Severity::kWarning)
          .With("leader", leader)
          .With("reason", connected ? "answered" : reply.error().message);
      was_connected = connected;
    }
    if (connected) {
      members = reply->members;
      delay = kHeartbeatInterval;
    }
    heartbeat_timer.expires_after(delay);
    heartbeat_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
      if (!ec) self->SendHeartbeat();
    });
  }

  void StartCall(const std::string& method, std::string body, Milliseconds time_limit,
                 CallDone done) {
    auto call = std::make_shared<PendingCall>();
    call->method = method;
    call->body = std::move(body);
    call->started = clock.Now();
    call->deadline = call->started + time_limit;
    call->done = std::move(done);
    SendAttempt(call);
  }

  boost::asio::io_context& io;
  Peers& peers;
  std::vector<NodeId> seeds;
  std::vector<NodeId> members;
  NodeId leader;
  const std::uint64_t client_id = RandomNumber();
  std::uint64_t epoch = 1;
  std::size_t next_target = 0;
  /// Time of the leader's last reply.
  TimePoint last_leader_reply;
  bool was_connected = false;
  boost::asio::steady_timer heartbeat_timer;
  const SteadyClock clock;
};

CellClient::CellClient(boost::asio::io_context& io, Peers& peers, std::vector<NodeId> seeds)
    : impl_(std::make_shared<Impl>(io, peers, std::move(seeds))) {}

CellClient::~CellClient() = default;

void CellClient::Call(const std::string& method, std::string body, Milliseconds time_limit,
                      CallDone done) {
  impl_->StartCall(method, std::move(body), time_limit, std::move(done));
}

void CellClient::Start() { impl_->SendHeartbeat(); }

void CellClient::SetSeeds(std::vector<NodeId> seeds) { impl_->seeds = std::move(seeds); }

bool CellClient::IsConnected(Milliseconds within) const {
  return impl_->last_leader_reply != TimePoint() &&
         impl_->clock.Now() - impl_->last_leader_reply < within;
}

NodeId CellClient::Leader() const { return impl_->leader; }

}  // namespace parsleyline::cell
