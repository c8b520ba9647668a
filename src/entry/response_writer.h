#pragma once

#include "http/server.h"
#include "wire/messages.h"

namespace parsleyline::entry {

/// Builds the response to a caller from the state of its request.
http::Response WriteStatus(const wire::RequestStatus& status);

http::Response WriteWorkers(const wire::WorkerList& list);
http::Response WriteQueues(const wire::QueueList& list);
http::Response WriteHistory(const wire::SettingsHistory& history);

}  // namespace parsleyline::entry
