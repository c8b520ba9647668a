#pragma once

#include <string>

#include "entry/entry_context.h"
#include "entry/settings_cache.h"
#include "http/server.h"

namespace parsleyline::entry {

/// HTTP API of the operators: workers, queues, status and settings.
class OperatorApi {
 public:
  OperatorApi(EntryContext& context, SettingsCache& cache) : context_(context), cache_(cache) {}

  void ListWorkers(const http::Request& request, http::ResponseCallback respond);
  /// POST /v1/workers/{id}/drain and POST /v1/workers/{id}/ready.
  void ChangeWorker(const http::Request& request, http::ResponseCallback respond);
  void ListQueues(const http::Request& request, http::ResponseCallback respond);
  void ShowStatus(const http::Request& request, http::ResponseCallback respond);
  void GetSettings(const http::Request& request, http::ResponseCallback respond);
  void EditSettings(const http::Request& request, http::ResponseCallback respond);
  void CheckSettings(const http::Request& request, http::ResponseCallback respond);
  void ListHistory(const http::Request& request, http::ResponseCallback respond);

 private:
  EntryContext& context_;
  SettingsCache& cache_;
};

}  // namespace parsleyline::entry
