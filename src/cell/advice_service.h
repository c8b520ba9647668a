#pragma once

#include "cell/worker_port.h"
#include "transport/rpc.h"

namespace parsleyline::cell {

/// Serves the leader's requests to ask the advisor from this process.
void RegisterAdvice(transport::RpcServer& server, AdvisorPort& advisor);

}  // namespace parsleyline::cell
