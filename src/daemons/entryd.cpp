#include <cstdlib>
#include <iostream>
#include <utility>

#include "base/event_log.h"
#include "entry/entry_service.h"
#include "http/server.h"
#include "runtime/daemon_loop.h"
#include "runtime/daemon_main.h"
#include "runtime/metrics_page.h"
#include "settings/entry_settings.h"
#include "transport/rpc.h"
#include "worker_gateway/http_worker_gateway.h"

namespace parsleyline {
namespace {

transport::RpcOptions MakeRpcOptions(const settings::EntrySettings& settings) {
  transport::RpcOptions options;
  options.ping_interval = settings.ping_interval;
  options.ping_timeout = settings.ping_timeout;
  return options;
}

entry::EntryOptions MakeEntryOptions(const settings::EntrySettings& settings,
                                     std::uint16_t rpc_port) {
  entry::EntryOptions options;
  options.node = settings.node;
  options.domain = settings.domain;
  options.domains = settings.domains;
  options.rpc_address = settings.rpc.ip + ":" + std::to_string(rpc_port);
  options.max_in_flight = settings.max_in_flight;
  options.call_timeout = settings.call_timeout;
  options.announce_batch_delay = settings.announce_batch;
  options.heartbeat_interval = settings.heartbeat_interval;
  return options;
}

http::ServerOptions MakeHttpOptions(const settings::EntrySettings& settings) {
  http::ServerOptions options;
  options.max_header_bytes = settings.max_header_bytes;
  options.max_body_bytes = settings.max_body_bytes;
  options.header_timeout = settings.header_timeout;
  options.body_timeout = settings.body_timeout;
  options.idle_timeout = settings.idle_timeout;
  options.max_connections = settings.max_connections;
  return options;
}

std::vector<entry::SchedulerAddress> MakeSchedulerAddresses(
    const settings::EntrySettings& settings) {
  std::vector<entry::SchedulerAddress> schedulers;
  for (const auto& it : settings.schedulers) {
    schedulers.push_back({it.node, it.domain, it.ip, it.port});
  }
  return schedulers;
}

void AddMetrics(runtime::MetricsPage* page, const entry::EntryService& service) {
  const entry::EntryCounters& counters = service.counters();
  const auto counter = [page](const char* name, const char* help,
                              const std::atomic<std::uint64_t>& value) {
    page->AddCounter(name, help, [&value] { return static_cast<double>(value.load()); });
  };
  counter("parsleyline_requests_done_total", "Requests answered as done.", counters.done);
  counter("parsleyline_requests_rejected_total", "Requests refused, not run.", counters.rejected);
  counter("parsleyline_requests_failed_total", "Requests that ran and failed.", counters.failed);
  counter("parsleyline_requests_unknown_total", "Requests that may have run.", counters.unknown);
  counter("parsleyline_retries_total", "Further attempts of requests.", counters.retries);
  counter("parsleyline_late_answers_total", "Answers that came after the deadline.",
          counters.late_answers);
  page->AddGauge("parsleyline_requests_in_flight", "Requests in flight.",
                 [&service] { return static_cast<double>(service.InFlightCount()); });
  page->AddGauge("parsleyline_settings_revision", "Revision of the settings in force.",
                 [&service] { return static_cast<double>(service.settings().revision().value()); });
  constexpr double kMillisecondsPerSecond = 1000;
  page->AddGauge(
      "parsleyline_settings_age_seconds", "Time since the revision was confirmed.", [&service] {
        return static_cast<double>(service.settings().Age().count()) / kMillisecondsPerSecond;
      });
  runtime::AddProcessMetrics(page);
}

int RunDaemon(const settings::EntrySettings& settings) {
  runtime::DaemonLoop loop(settings.threads, settings.stop_timeout);
  const SteadyClock clock;
  const transport::RpcOptions rpc_options = MakeRpcOptions(settings);
  transport::RpcServer rpc_server(loop.io(), rpc_options);
  entry::SchedulerClient schedulers(loop.io(), MakeSchedulerAddresses(settings), rpc_options);
  entry::HttpWorkerGateway gateway(loop.io());
  entry::RetryBudget retries(settings.retry_budget_percent, settings.retry_budget_min_per_second);
  entry::EntryService service(loop.io(), MakeEntryOptions(settings, settings.rpc.port), clock,
                              schedulers, gateway, retries, rpc_options);
  service.RegisterMethods(rpc_server);
  runtime::MetricsPage metrics;
  AddMetrics(&metrics, service);
  service.SetMetricsRenderer([&metrics] { return metrics.Render(); });
  http::Server http_server(
      loop.io(),
      [&service](const http::Request& request, http::ResponseCallback respond) {
        service.Handle(request, std::move(respond));
      },
      MakeHttpOptions(settings));

  const auto rpc_port = rpc_server.Listen(settings.rpc.ip, settings.rpc.port);
  const auto http_port = http_server.Listen(settings.http.ip, settings.http.port);
  if (!rpc_port || !http_port) {
    const Error& error = !rpc_port ? rpc_port.error() : http_port.error();
    std::cerr << "parsleyline-entryd: cannot listen: " << error.message << "\n";
    return EXIT_FAILURE;
  }
  Event("listening")
      .With("node", settings.node)
      .With("domain", settings.domain)
      .With("http_port", *http_port)
      .With("rpc_port", *rpc_port);
  service.Start();
  loop.SetInFlightCounter([&service] { return service.InFlightCount(); });
  loop.SetStopHandler([&](const std::function<void()>& done) {
    service.Stop([&http_server, &rpc_server, done] {
      http_server.Shutdown([&rpc_server, done] { rpc_server.Shutdown(done); });
    });
  });
  return loop.Run();
}

}  // namespace
}  // namespace parsleyline

int main(int argc, char** argv) {
  return parsleyline::runtime::DaemonMain(argc, argv, "parsleyline-entryd",
                                          &parsleyline::settings::LoadEntrySettings,
                                          &parsleyline::RunDaemon);
}
