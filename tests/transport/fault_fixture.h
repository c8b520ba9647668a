#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "tests/fault_proxy/fault_proxy.h"
#include "tests/transport/rpc_fixture.h"

namespace parsleyline::transport {

using testing::Direction;
using testing::FaultProxy;

/// Options with short ping timeouts, so that silent connections are detected quickly.
inline RpcOptions FastPingOptions() {
  RpcOptions options;
  options.ping_interval = Milliseconds(50);
  options.ping_timeout = Milliseconds(300);
  return options;
}

/// Options of a side that doesn't detect silent connections during a test.
inline RpcOptions SlowPingOptions() {
  RpcOptions options;
  options.ping_timeout = Milliseconds(60000);
  return options;
}

/// A server and a client that are connected through a fault-injecting proxy. Methods of the server:
/// echo returns the body, blob returns as many bytes as the body says, and keep responds in
/// RespondToHeldCalls() only.
class FaultFixture {
 public:
  explicit FaultFixture(const RpcOptions& client_options = FastPingOptions(),
                        const RpcOptions& server_options = FastPingOptions())
      : server_(std::make_unique<RpcServer>(threads_.io(), server_options)) {
    server_->RegisterHandler("echo",
                             [this](const RpcRequest& request, const RpcResponseCallback& reply) {
                               CountHandled(request.body);
                               reply(request.body);
                             });
    server_->RegisterHandler("keep",
                             [this](const RpcRequest& request, const RpcResponseCallback& reply) {
                               const std::lock_guard lock(mutex_);
                               held_calls_.emplace_back(request.body, reply);
                             });
    server_->RegisterHandler("blob",
                             [this](const RpcRequest& request, const RpcResponseCallback& reply) {
                               CountHandled(request.body);
                               reply(std::string(std::stoul(request.body), 'b'));
                             });
    port_ = server_->Listen(kLoopback, 0).value();
    proxy_ = std::make_unique<FaultProxy>(threads_.io(), kLoopback, port_);
    const auto proxy_port = proxy_->Listen(kLoopback, 0).value();
    client_ = std::make_unique<RpcClient>(threads_.io(), kLoopback, proxy_port, client_options);
  }
  ~FaultFixture() {
    client_.reset();
    proxy_.reset();
    server_.reset();
  }

  /// Port of the server, which bypasses the proxy.
  std::uint16_t port() const { return port_; }
  RpcServer& server() { return *server_; }
  FaultProxy& proxy() { return *proxy_; }
  RpcClient& client() { return *client_; }

  /// Returns how often the handlers of echo and blob received `body`.
  int Handled(const std::string& body) {
    const std::lock_guard lock(mutex_);
    const auto it = handled_.find(body);
    return it == handled_.end() ? 0 : it->second;
  }
  /// Waits until `calls` calls of keep are pending.
  bool WaitForHeldCalls(std::size_t calls) {
    return WaitUntil([this, calls] {
      const std::lock_guard lock(mutex_);
      return held_calls_.size() >= calls;
    });
  }
  /// Responds to each pending call of keep with its own body.
  void RespondToHeldCalls() {
    std::vector<std::pair<std::string, RpcResponseCallback>> kept;
    {
      const std::lock_guard lock(mutex_);
      kept.swap(held_calls_);
    }
    for (auto& [body, reply] : kept) reply(std::move(body));
  }

 private:
  void CountHandled(const std::string& body) {
    const std::lock_guard lock(mutex_);
    ++handled_[body];
  }

  std::mutex mutex_;
  std::map<std::string, int> handled_;
  std::vector<std::pair<std::string, RpcResponseCallback>> held_calls_;
  // Declared after the members that handlers use, so that the threads are joined before those are
  // destroyed.
  IoThreads threads_;
  std::uint16_t port_ = 0;
  std::unique_ptr<RpcServer> server_;
  std::unique_ptr<FaultProxy> proxy_;
  std::unique_ptr<RpcClient> client_;
};

}  // namespace parsleyline::transport
