#pragma once

#include "cell/worker_client.h"
#include "transport/rpc.h"

namespace parsleyline::cell {

/// Registers the RPC method by which the leader queries the advisor through this process.
void RegisterAdvisorMethod(transport::RpcServer& server, AdvisorClient& advisor);

}  // namespace parsleyline::cell
