#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "daemons/hosted_schedulers.h"
#include "http/server.h"
#include "runtime/daemon_loop.h"
#include "runtime/daemon_main.h"
#include "runtime/metrics_page.h"
#include "runtime/raft_host.h"
#include "scheduler/settings_service.h"
#include "settings/scheduler_settings.h"
#include "transport/rpc.h"

namespace parsleyline {
namespace {

/// Interval of the periodic work of schedulers and settings.
constexpr Milliseconds kTickInterval{50};

http::Response HandleStatusRequest(const http::Request& request,
                                   const runtime::MetricsPage& metrics,
                                   const HostedSchedulers& schedulers) {
  constexpr int kServiceUnavailable = 503;
  http::Response response;
  if (request.path == "/healthz") {
    response.body = R"({"status":"ok"})";
  } else if (request.path == "/readyz") {
    const bool ready = schedulers.IsReady();
    response.status = ready ? 200 : kServiceUnavailable;
    response.body = ready ? R"({"status":"ready"})" : R"({"status":"no leader"})";
  } else if (request.path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics.Render();
  } else {
    return http::ErrorResponse({ResultCode::kNotFound, "there is no path " + request.path});
  }
  return response;
}

int RunDaemon(const settings::SchedulerSettings& settings) {
  runtime::DaemonLoop loop(settings.threads, settings.stop_timeout);
  const SteadyClock clock;
  transport::RpcServer rpc_server(loop.io());
  runtime::RaftHost host(loop.io(), settings, [&loop] { loop.Abort(); });
  HostedSchedulers schedulers(loop, settings, clock);
  scheduler::SettingsService settings_service(clock);
  for (const settings::RaftGroup& group : settings.groups) {
    const auto& voters = group.voters;
    if (std::find(voters.begin(), voters.end(), settings.node) == voters.end()) continue;
    if (group.name == settings::kSettingsGroup) {
      settings_service.SetLog(&host.AddGroup(group, settings_service, rpc_server));
      settings_service.RegisterMethods(rpc_server);
    } else {
      schedulers.Add(group, host, rpc_server);
    }
  }
  settings_service.Subscribe([&schedulers](Revision revision, const std::string& tree) {
    schedulers.SetPolicy(revision, tree);
  });

  runtime::MetricsPage metrics;
  schedulers.AddMetrics(&metrics);
  host.AddMetrics(&metrics);
  metrics.AddGauge("parsleyline_settings_revision", "Revision of the settings in force.",
                   [&] { return static_cast<double>(settings_service.CurrentRevision().value()); });
  runtime::AddProcessMetrics(&metrics);
  http::Server http_server(
      loop.io(), [&](const http::Request& request, const http::ResponseCallback& respond) {
        respond(HandleStatusRequest(request, metrics, schedulers));
      });

  const auto started = host.Start();
  const auto rpc_port = rpc_server.Listen(settings.rpc.ip, settings.rpc.port);
  const auto http_port = http_server.Listen(settings.http.ip, settings.http.port);
  if (!started || !rpc_port || !http_port) {
    const Error& error = !started    ? started.error()
                         : !rpc_port ? rpc_port.error()
                                     : http_port.error();
    std::cerr << "parsleyline-schedd: cannot start: " << error.message << "\n";
    return EXIT_FAILURE;
  }
  Event("listening")
      .With("node", settings.node)
      .With("domain", settings.domain)
      .With("http_port", *http_port)
      .With("rpc_port", *rpc_port);
  loop.RunPeriodically(kTickInterval, [&] {
    schedulers.Tick();
    settings_service.Tick();
  });
  loop.SetStopHandler([&](const std::function<void()>& done) {
    host.Stop([&rpc_server, done] { rpc_server.Shutdown(done); });
  });
  return loop.Run();
}

}  // namespace
}  // namespace parsleyline

int main(int argc, char** argv) {
  return parsleyline::runtime::DaemonMain(argc, argv, "parsleyline-schedd",
                                          &parsleyline::settings::LoadSchedulerSettings,
                                          &parsleyline::RunDaemon);
}
