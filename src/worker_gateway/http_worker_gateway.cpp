#include "worker_gateway/http_worker_gateway.h"

#include <mutex>
#include <unordered_map>
#include <utility>

#include "worker_gateway/worker_session.h"

namespace parsleyline::entry {

using internal::TokenAction;
using internal::UnresolvedTasks;
using internal::WorkerSession;

struct HttpWorkerGateway::Impl {
  Impl(boost::asio::io_context& io_context, const GatewayOptions& gateway_options)
      : io(io_context), options(gateway_options) {}

  std::shared_ptr<WorkerSession> SessionFor(const std::string& address);

  boost::asio::io_context& io;
  mutable std::mutex mutex;
  GatewayOptions options;
  const std::shared_ptr<UnresolvedTasks> unresolved = std::make_shared<UnresolvedTasks>();
  std::unordered_map<std::string, std::shared_ptr<WorkerSession>> sessions;
};

std::shared_ptr<WorkerSession> HttpWorkerGateway::Impl::SessionFor(const std::string& address) {
  const std::lock_guard lock(mutex);
  auto& session = sessions[address];
  if (!session) {
    session = std::make_shared<WorkerSession>(io, address, options, unresolved);
    session->Open();
  }
  return session;
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
  impl_->SessionFor(address)->SendAction(TokenAction::kFence, token, std::move(done));
}

void HttpWorkerGateway::Cancel(const std::string& address, FencingToken token,
                               std::function<void(TokenReport)> done) {
  impl_->SessionFor(address)->SendAction(TokenAction::kCancel, token, std::move(done));
}

void HttpWorkerGateway::SetConnectionsPerWorker(std::size_t limit) {
  const std::lock_guard lock(impl_->mutex);
  impl_->options.connections_per_worker = limit;
  for (const auto& [address, session] : impl_->sessions) session->SetConnections(limit);
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
