#pragma once

#include "scheduler/domain_scheduler.h"
#include "transport/rpc.h"

namespace parsleyline::scheduler {

/// Registers the RPC methods of the scheduler of one failure domain, named "<domain>/<method>". The
/// scheduler must outlive the server.
void RegisterSchedulerMethods(transport::RpcServer& server, const DomainId& domain,
                              DomainScheduler& scheduler);

}  // namespace parsleyline::scheduler
