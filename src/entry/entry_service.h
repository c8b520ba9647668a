#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "entry/announcements.h"
#include "entry/entry_context.h"
#include "entry/flow_table.h"
#include "entry/forwarder.h"
#include "entry/operator_api.h"
#include "entry/settings_cache.h"
#include "entry/settings_watcher.h"
#include "http/server.h"
#include "transport/rpc.h"

namespace parsleyline::entry {

/// An entry daemon without its listeners: routes HTTP requests to the request pipeline, the
/// operator API and the announcement batcher, and keeps the daemon registered with the leader of
/// its domain.
class EntryService {
 public:
  EntryService(boost::asio::io_context& io, EntryOptions options, const Clock& clock,
               SchedulerClient& schedulers, WorkerGateway& gateway, RetryBudget& retries,
               const transport::RpcOptions& rpc_options);
  ~EntryService();

  /// Starts to follow the settings and to send heartbeats.
  void Start();

  /// Handles one HTTP request of the daemon's http::Server.
  void Handle(const http::Request& request, http::ResponseCallback respond);

  /// Registers the RPC method by which entry daemons forward requests to each other.
  void RegisterMethods(transport::RpcServer& server);

  /// Sets the function that renders the response of GET /metrics.
  void SetMetricsRenderer(std::function<std::string()> render) {
    render_metrics_ = std::move(render);
  }

  /// Turns readiness off, rejects new requests, and calls `done` when none is in flight.
  void Stop(std::function<void()> done);

  bool IsReady() const;
  std::size_t InFlightCount() const { return flows_.size(); }
  const EntryCounters& counters() const { return counters_; }
  const SettingsCache& settings() const { return cache_; }

 private:
  using RouteHandler = void (EntryService::*)(const http::Request&, http::ResponseCallback);
  using OperatorHandler = void (OperatorApi::*)(const http::Request&, http::ResponseCallback);
  struct Route;
  static const std::vector<Route>& Routes();

  void PostRequest(const http::Request& request, http::ResponseCallback respond);
  void GetRequest(const http::Request& request, http::ResponseCallback respond);
  void DeleteRequest(const http::Request& request, http::ResponseCallback respond);
  void PostAnnouncement(const http::Request& request, http::ResponseCallback respond);
  void GetHealth(const http::Request& request, http::ResponseCallback respond);
  void GetReadiness(const http::Request& request, http::ResponseCallback respond);
  void GetMetrics(const http::Request& request, http::ResponseCallback respond);

  /// Admission control: fails if the team is unknown, or the daemon is stopping or at a limit.
  Result<void> Admit(const ParsedRequest& request, std::size_t body_bytes) const;
  void StartFlow(const RequestId& id, const std::string& key, ParsedRequest request,
                 http::ResponseCallback respond);
  void CancelRunning(const wire::RequestStatus& status, http::ResponseCallback respond);
  void SendHeartbeat();
  void CheckStopped();

  const EntryOptions options_;
  EntryCounters counters_;
  EntryContext context_;
  SettingsCache cache_;
  const RequestIds ids_;
  FlowTable flows_;
  OperatorApi operators_;
  std::shared_ptr<AnnouncementBatcher> announcements_;
  std::shared_ptr<SettingsWatcher> watcher_;
  std::function<std::string()> render_metrics_;
  Forwarder forwarder_;

  std::atomic<std::size_t> payload_bytes_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> registered_{false};
  std::mutex mutex_;
  std::function<void()> on_stopped_;
};

}  // namespace parsleyline::entry
