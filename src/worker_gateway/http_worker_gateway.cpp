#include "worker_gateway/http_worker_gateway.h"

#include <mutex>
#include <unordered_map>
#include <utility>

#include "worker_gateway/worker_link.h"

namespace parsleyline::entry {

using internal::SentTasks;
using internal::TokenVerb;
using internal::WorkerLink;

struct HttpWorkerGateway::Impl {
  Impl(boost::asio::io_context& io_context, const GatewayOptions& gateway_options)
      : io(io_context), options(gateway_options) {}

  std::shared_ptr<WorkerLink> SessionFor(const std::string& address);

  boost::asio::io_context& io;
  mutable std::mutex mutex;
  GatewayOptions options;
  const std::shared_ptr<SentTasks> unresolved = std::make_shared<SentTasks>();
  std::unordered_map<std::string, std::shared_ptr<WorkerLink>> sessions;
};

std::shared_ptr<WorkerLink> HttpWorkerGateway::Impl::SessionFor(const std::string& address) {
  const std::lock_guard lock(mutex);
  auto& link = sessions[address];
  if (!link) {
    link = std::make_shared<WorkerLink>(io, address, options, unresolved);
    link->Open();
  }
  return link;
}

HttpWorkerGateway::HttpWorkerGateway(boost::asio::io_context& io, GatewayOptions options)
    : impl_(std::make_unique<Impl>(io, options)) {}

HttpWorkerGateway::~HttpWorkerGateway() = default;

void HttpWorkerGateway::Run(const TaskDispatch& dispatch, std::function<void(TaskResult)> done) {
  impl_->SessionFor(dispatch.address)->Run(dispatch, std::move(done));
}

void HttpWorkerGateway::Query(const std::string& address, FencingToken token, Milliseconds wait,
                              std::function<void(TokenReport)> done) {
  impl_->SessionFor(address)->Query(token, wait, std::move(done));
}

void HttpWorkerGateway::Fence(const std::string& address, FencingToken token,
                              std::function<void(TokenReport)> done) {
  impl_->SessionFor(address)->SendAction(TokenVerb::kFence, token, std::move(done));
}

void HttpWorkerGateway::Cancel(const std::string& address, FencingToken token,
                               std::function<void(TokenReport)> done) {
  impl_->SessionFor(address)->SendAction(TokenVerb::kCancel, token, std::move(done));
}

void HttpWorkerGateway::SetConnectionsPerWorker(std::size_t limit) {
  const std::lock_guard lock(impl_->mutex);
  impl_->options.connections_per_worker = limit;
  for (const auto& [address, link] : impl_->sessions) link->SetConnections(limit);
}

void HttpWorkerGateway::RemoveWorker(const std::string& address) {
  const std::lock_guard lock(impl_->mutex);
  const auto it = impl_->sessions.find(address);
  if (it == impl_->sessions.end()) return;
  it->second->Close();
  impl_->sessions.erase(it);
}

std::size_t HttpWorkerGateway::ConnectionCount(const std::string& address) const {
  const std::lock_guard lock(impl_->mutex);
  const auto it = impl_->sessions.find(address);
  return it == impl_->sessions.end() ? 0 : it->second->ConnectionCount();
}

}  // namespace parsleyline::entry
