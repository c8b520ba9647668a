#pragma once

#include "cell/worker_port.h"
#include "transport/rpc.h"

namespace parsleyline::cell {

/// Registers the RPC method by which the leader queries the advisor through this process.
void RegisterAdvice(transport::RpcServer& server, AdvisorPort& advisor);

}  // namespace parsleyline::cell
