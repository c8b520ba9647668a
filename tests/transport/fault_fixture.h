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

/// Options with short timings, so that silent connections are found quickly.
inline RpcOptions QuickOptions() {
  RpcOptions options;
  options.ping_interval = Milliseconds(50);
  options.ping_timeout = Milliseconds(300);
  return options;
}

/// Options of a side that does not notice silence during a test.
inline RpcOptions PatientOptions() {
  RpcOptions options;
  options.ping_timeout = Milliseconds(60000);
  return options;
}

/// A server and a client with a fault-injecting proxy between them.
class FaultFixture {
 public:
  explicit FaultFixture(const RpcOptions& client_options = QuickOptions(),
                        const RpcOptions& server_options = QuickOptions())
      : server_(std::make_unique<RpcServer>(threads_.io(), server_options)) {
    server_->RegisterHandler("echo",
                             [this](const RpcRequest& request, const RpcResponseCallback& reply) {
                               CountHandled(request.body);
                               reply(request.body);
                             });
    server_->RegisterHandler("keep",
                             [this](const RpcRequest& request, const RpcResponseCallback& reply) {
                               const std::lock_guard lock(mutex_);
                               kept_.emplace_back(request.body, reply);
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

  /// Port of the server itself, behind the proxy.
  std::uint16_t port() const { return port_; }
  RpcServer& server() { return *server_; }
  FaultProxy& proxy() { return *proxy_; }
  RpcClient& client() { return *client_; }

  /// Returns how often the handlers of echo and blob got `body`.
  int Handled(const std::string& body) {
    const std::lock_guard lock(mutex_);
    const auto it = handled_.find(body);
    return it == handled_.end() ? 0 : it->second;
  }
  bool WaitForKept(std::size_t calls) {
    return WaitUntil([this, calls] {
      const std::lock_guard lock(mutex_);
      return kept_.size() >= calls;
    });
  }
  /// Answers each kept call with its own body.
  void ReplyToKept() {
    std::vector<std::pair<std::string, RpcResponseCallback>> kept;
    {
      const std::lock_guard lock(mutex_);
      kept.swap(kept_);
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
  std::vector<std::pair<std::string, RpcResponseCallback>> kept_;
  // Joined before the members above are destroyed, because handlers use them.
  IoThreads threads_;
  std::uint16_t port_ = 0;
  std::unique_ptr<RpcServer> server_;
  std::unique_ptr<FaultProxy> proxy_;
  std::unique_ptr<RpcClient> client_;
};

}  // namespace parsleyline::transport
