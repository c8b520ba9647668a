#include "scheduler/scheduler_service.h"

#include <utility>

#include "scheduler/rpc_handlers.h"
#include "wire/methods.h"

namespace parsleyline::scheduler {

void RegisterSchedulerMethods(transport::RpcServer& server, const DomainId& domain,
                              DomainScheduler& scheduler) {
  using wire::RequestStatus;
  const auto name = [&domain](std::string_view method) {
    return wire::ScopedMethod(domain.value(), method);
  };
  RegisterAsyncHandler<wire::Submit, RequestStatus>(
      server, name(wire::kSubmitMethod), [&scheduler](const wire::Submit& submit, auto reply) {
        scheduler.Submit(submit, std::move(reply));
      });
  RegisterAsyncHandler<wire::FinishTask, RequestStatus>(
      server, name(wire::kFinishMethod), [&scheduler](const wire::FinishTask& finish, auto reply) {
        scheduler.Finish(finish, std::move(reply));
      });
  RegisterAsyncHandler<wire::RequestRef, RequestStatus>(
      server, name(wire::kCancelMethod), [&scheduler](const wire::RequestRef& request, auto reply) {
        scheduler.Cancel(request, std::move(reply));
      });
  RegisterSyncHandler<wire::RequestRef, RequestStatus>(
      server, name(wire::kQueryMethod),
      [&scheduler](const wire::RequestRef& request) { return scheduler.Query(request); });
  RegisterSyncHandler<wire::AnnounceBatch, wire::AnnounceReply>(
      server, name(wire::kAnnounceMethod),
      [&scheduler](const wire::AnnounceBatch& batch) { return scheduler.Announce(batch); });
  RegisterSyncHandler<wire::EntryHeartbeat, wire::EntryHeartbeatReply>(
      server, name(wire::kHeartbeatMethod),
      [&scheduler](const wire::EntryHeartbeat& beat) { return scheduler.Heartbeat(beat); });
  RegisterSyncHandler<wire::Empty, wire::EntryHeartbeatReply>(
      server, name(wire::kEntriesMethod),
      [&scheduler](const wire::Empty&) { return scheduler.ListEntryDaemons(); });
  RegisterSyncHandler<wire::SetWorkerState, wire::Empty>(
      server, name(wire::kWorkerStateMethod), [&scheduler](const wire::SetWorkerState& change) {
        return scheduler.SetWorkerState(change);
      });
  RegisterSyncHandler<wire::Empty, wire::WorkerList>(
      server, name(wire::kWorkersMethod),
      [&scheduler](const wire::Empty&) { return scheduler.ListWorkers(); });
  RegisterSyncHandler<wire::Empty, wire::QueueList>(
      server, name(wire::kQueuesMethod),
      [&scheduler](const wire::Empty&) { return scheduler.ListQueues(); });
  RegisterSyncHandler<wire::Empty, wire::SchedulerStatus>(
      server, name(wire::kStatusMethod),
      [&scheduler](const wire::Empty&) -> Result<wire::SchedulerStatus> {
        return scheduler.Status();
      });
}

}  // namespace parsleyline::scheduler
