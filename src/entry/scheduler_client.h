#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result_code.h"
#include "base/units.h"
#include "transport/rpc.h"
#include "wire/codec.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::entry {

/// RPC address of one scheduler daemon.
struct SchedulerAddress {
  NodeId node;
  DomainId domain;
  std::string ip;
  std::uint16_t port = 0;
};

/// RPC client of the leaders of the Raft groups. Finds a new leader after a failover.
///
/// A call is tried on one scheduler after the other until one answers as leader or the timeout
/// expires, so the methods must be idempotent.
class SchedulerClient {
 public:
  /// Builds the body for a try. `resent` is the number of earlier tries that a scheduler may have
  /// received.
  using BodyBuilder = std::function<std::string(std::uint32_t resent)>;
  using Done = std::function<void(Result<std::string>)>;

  SchedulerClient(boost::asio::io_context& io, std::vector<SchedulerAddress> schedulers,
                  transport::RpcOptions options);
  ~SchedulerClient();

  /// Calls `method` on the leader of `domain`'s group. Fails with kNoLeader if no scheduler has
  /// answered as leader in time; `maybe_sent` is then true if one may have received the call.
  void CallDomain(const DomainId& domain, std::string_view method, BodyBuilder body,
                  Milliseconds timeout,
                  std::function<void(Result<std::string>, bool maybe_sent)> done);

  /// Calls a method of the settings log on any scheduler, preferring those of `domain`, until one
  /// answers. After kNotLeader, the leader that the reply names is tried next.
  void CallSettings(const DomainId& domain, std::string_view method, BodyBuilder body,
                    Milliseconds timeout, Done done);

  /// Calls `method` on one scheduler without retries.
  void CallNode(const NodeId& node, std::string_view method, std::string body, Milliseconds timeout,
                Done done);

  const std::vector<SchedulerAddress>& schedulers() const;

  /// Fails calls in flight and closes all connections.
  void Close();

  /// Calls a domain's leader with a message and decodes the reply.
  template <typename Response, typename Request>
  void CallDomain(const DomainId& domain, std::string_view method, const Request& request,
                  Milliseconds timeout, std::function<void(Result<Response>)> done) {
    CallDomain(
        domain, method, [body = wire::Encode(request)](std::uint32_t) { return body; }, timeout,
        [done = std::move(done)](Result<std::string> reply, bool) {
          done(reply.and_then(
              [](const std::string& bytes) { return wire::Decode<Response>(bytes); }));
        });
  }

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::entry
