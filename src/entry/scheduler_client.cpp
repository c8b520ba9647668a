#include "entry/scheduler_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <random>
#include <unordered_map>
#include <utility>

#include "base/event_log.h"
#include "wire/methods.h"

namespace parsleyline::entry {
namespace {

namespace asio = boost::asio;

// Pause between two rounds over all schedulers. Doubles up to the maximum; a jitter of up to half
// of it is added.
constexpr Milliseconds kMinBackoff{10};
constexpr Milliseconds kMaxBackoff{160};

bool MayHaveBeenReceived(ResultCode code) {
  return code == ResultCode::kConnectionClosed || code == ResultCode::kConnectionSilent ||
         code == ResultCode::kCallTimeout;
}

bool ShouldTryNextScheduler(ResultCode code) {
  return MayHaveBeenReceived(code) || code == ResultCode::kConnectionFailed ||
         code == ResultCode::kNotLeader || code == ResultCode::kNotFound ||
         code == ResultCode::kShuttingDown;
}

}  // namespace

struct SchedulerClient::Impl : std::enable_shared_from_this<Impl> {
  struct Peer {
    SchedulerAddress address;
    std::unique_ptr<transport::RpcClient> client;
  };

  /// A call that is tried on one scheduler after the other.
  struct PendingCall {
    /// Key of the leader in `leaders`.
    std::string group;
    std::string method;
    BodyBuilder body;
    TimePoint deadline;
    std::function<void(Result<std::string>, bool)> done;
    /// Indexes of the schedulers in the order of the tries, the likely leader first.
    std::vector<std::size_t> order;
    std::size_t next = 0;
    std::uint32_t resent = 0;
    Milliseconds backoff = kMinBackoff;
    Error last_error{ResultCode::kNoLeader, "no scheduler has answered"};
  };
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  Impl(asio::io_context& context, std::vector<SchedulerAddress> addresses,
       const transport::RpcOptions& rpc_options)
      : io(context), schedulers(std::move(addresses)) {
    for (const SchedulerAddress& it : schedulers) {
      peers.push_back(
          {it, std::make_unique<transport::RpcClient>(io, it.ip, it.port, rpc_options)});
    }
  }

  std::size_t IndexOf(const NodeId& node) const {
    const auto it = std::find_if(schedulers.begin(), schedulers.end(),
                                 [&node](const SchedulerAddress& a) { return a.node == node; });
    return static_cast<std::size_t>(it - schedulers.begin());
  }

  // The last known leader first, then the schedulers of the domain, then all others, any of which
  // may hold a remote replica.
  std::vector<std::size_t> OrderSchedulers(const std::string& group, const DomainId& domain) {
    std::vector<std::size_t> order(peers.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    const std::lock_guard lock(mutex);
    const auto known = leaders.find(group);
    const std::size_t leader = known != leaders.end() ? known->second : peers.size();
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      const auto rank = [&](std::size_t i) {
        if (i == leader) return 0;
        return schedulers[i].domain == domain ? 1 : 2;
      };
      return rank(a) < rank(b);
    });
    return order;
  }

  void RecordLeader(const std::string& group, std::size_t peer) {
    const std::lock_guard lock(mutex);
    leaders[group] = peer;
  }

  static Milliseconds Remaining(const PendingCall& call) {
    return std::chrono::duration_cast<Milliseconds>(call.deadline -
                                                    std::chrono::steady_clock::now());
  }

  void TryNext(const PendingCallPtr& call) {
    const Milliseconds remaining = Remaining(*call);
    if (remaining <= Milliseconds(0) || closed) {
      call->done(Fail(ResultCode::kNoLeader, "no leader of " + call->group + " has answered: " +
                                                 std::string(Describe(call->last_error.code).name)),
                 call->resent > 0);
      return;
    }
    if (call->next >= call->order.size()) return RetryAfterBackoff(call);
    const std::size_t peer = call->order[call->next];
    auto self = shared_from_this();
    peers[peer].client->Call(call->method, call->body(call->resent), remaining,
                             [self, call, peer](Result<std::string> reply) {
                               self->OnReply(call, peer, std::move(reply));
                             });
  }

  void OnReply(const PendingCallPtr& call, std::size_t peer, Result<std::string> reply) {
    if (reply) {
      RecordLeader(call->group, peer);
      return call->done(std::move(reply), true);
    }
    if (!ShouldTryNextScheduler(reply.error().code)) return call->done(std::move(reply), true);
    call->last_error = reply.error();
    if (MayHaveBeenReceived(reply.error().code)) ++call->resent;
    ++call->next;
    if (reply.error().code == ResultCode::kNotLeader) TryNamedLeaderNext(call, peer);
    TryNext(call);
  }

  // Makes the scheduler that a replica names as leader the next to be tried.
  void TryNamedLeaderNext(const PendingCallPtr& call, std::size_t from) {
    const std::size_t leader = IndexOf(NodeId(call->last_error.message));
    if (leader >= peers.size() || leader == from) return;
    auto& order = call->order;
    const auto it =
        std::find(order.begin() + static_cast<std::ptrdiff_t>(call->next), order.end(), leader);
    if (it == order.end()) return;
    std::rotate(order.begin() + static_cast<std::ptrdiff_t>(call->next), it, it + 1);
  }

  void RetryAfterBackoff(const PendingCallPtr& call) {
    call->next = 0;
    const auto jitter = Milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, call->backoff.count() / 2)(Random()));
    auto timer = std::make_shared<asio::steady_timer>(io, call->backoff + jitter);
    call->backoff = std::min(call->backoff * 2, kMaxBackoff);
    auto self = shared_from_this();
    timer->async_wait(
        [self, call, timer](const boost::system::error_code&) { self->TryNext(call); });
  }

  static std::minstd_rand& Random() {
    thread_local std::minstd_rand random{std::random_device()()};
    return random;
  }

  asio::io_context& io;
  const std::vector<SchedulerAddress> schedulers;
  std::vector<Peer> peers;
  std::atomic<bool> closed{false};
  std::mutex mutex;
  /// Peer that last answered as leader, by group.
  std::unordered_map<std::string, std::size_t> leaders;
};

SchedulerClient::SchedulerClient(asio::io_context& io, std::vector<SchedulerAddress> schedulers,
                                 transport::RpcOptions options)
    : impl_(std::make_shared<Impl>(io, std::move(schedulers), options)) {}

SchedulerClient::~SchedulerClient() { Close(); }

void SchedulerClient::CallDomain(const DomainId& domain, std::string_view method, BodyBuilder body,
                                 Milliseconds timeout,
                                 std::function<void(Result<std::string>, bool)> done) {
  auto call = std::make_shared<Impl::PendingCall>();
  call->group = "domain " + domain.value();
  call->method = wire::ScopedMethod(domain.value(), method);
  call->body = std::move(body);
  call->deadline = std::chrono::steady_clock::now() + timeout;
  call->done = std::move(done);
  call->order = impl_->OrderSchedulers(call->group, domain);
  impl_->TryNext(call);
}

void SchedulerClient::CallSettings(const DomainId& domain, std::string_view method,
                                   BodyBuilder body, Milliseconds timeout, Done done) {
  auto call = std::make_shared<Impl::PendingCall>();
  call->group = std::string(method);
  call->method = std::string(method);
  call->body = std::move(body);
  call->deadline = std::chrono::steady_clock::now() + timeout;
  call->done = [done = std::move(done)](Result<std::string> reply, bool) {
    done(std::move(reply));
  };
  call->order = impl_->OrderSchedulers(call->group, domain);
  impl_->TryNext(call);
}

void SchedulerClient::CallNode(const NodeId& node, std::string_view method, std::string body,
                               Milliseconds timeout, Done done) {
  const std::size_t peer = impl_->IndexOf(node);
  if (peer >= impl_->peers.size()) {
    return done(Fail(ResultCode::kNotFound, "scheduler " + node.value() + " is not known"));
  }
  impl_->peers[peer].client->Call(std::string(method), std::move(body), timeout, std::move(done));
}

const std::vector<SchedulerAddress>& SchedulerClient::schedulers() const {
  return impl_->schedulers;
}

void SchedulerClient::Close() {
  if (impl_->closed.exchange(true)) return;
  for (auto& peer : impl_->peers) peer.client->Close();
}

}  // namespace parsleyline::entry
