#include "daemons/hosted_schedulers.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/event_log.h"
#include "config_tree/tree_schema.h"
#include "scheduler/scheduler_service.h"

namespace parsleyline {
namespace {

scheduler::SchedulerOptions MakeSchedulerOptions(const settings::SchedulerSettings& settings,
                                                 const DomainId& domain) {
  scheduler::SchedulerOptions options;
  options.node = settings.node;
  options.domain = domain;
  options.worker_ttl = settings.worker_ttl;
  options.lease = {settings.lease_service, settings.lease_batch, settings.lease_gang};
  options.clock_margin = settings.clock_margin;
  options.ledger_retention = settings.ledger_retention;
  options.ledger_max_entries = settings.ledger_max_entries;
  options.entry_ttl = settings.entry_ttl;
  options.placement = settings.placement;
  return options;
}

}  // namespace

void HostedSchedulers::Add(const settings::RaftGroup& group, runtime::RaftHost& host,
                           transport::RpcServer& server) {
  const std::size_t index = schedulers_.size();
  schedulers_.push_back(std::make_unique<scheduler::DomainScheduler>(
      MakeSchedulerOptions(settings_, group.domain), clock_, [this, index] {
        boost::asio::post(loop_.io(), [this, index] { schedulers_[index]->RunSchedulingPass(); });
      }));
  scheduler::DomainScheduler& added = *schedulers_.back();
  added.SetLog(&host.AddGroup(group, added, server));
  scheduler::RegisterSchedulerMethods(server, group.domain, added);
}

void HostedSchedulers::Tick() {
  for (const auto& it : schedulers_) it->Tick();
}

void HostedSchedulers::SetPolicy(Revision revision, const std::string& tree) {
  const auto policy = config_tree::ReadQueuePolicy(tree);
  if (!PARSLEYLINE_CHECK(policy.has_value())) return;
  for (const auto& it : schedulers_) it->SetPolicy(*policy, revision);
}

bool HostedSchedulers::IsReady() const {
  return std::all_of(schedulers_.begin(), schedulers_.end(),
                     [](const auto& it) { return !it->Status().leader.value().empty(); });
}

void HostedSchedulers::AddMetrics(runtime::MetricsPage* page) const {
  const auto gauge = [&](const char* name, const char* help, auto read) {
    for (const auto& it : schedulers_) {
      scheduler::DomainScheduler* scheduler = it.get();
      page->AddGauge(name, help, "domain", scheduler->Status().domain.value(),
                     [scheduler, read] { return read(scheduler->Status()); });
    }
  };
  using Status = wire::SchedulerStatus;
  gauge("parsleyline_workers", "Registered workers; 0 unless leading.",
        [](const Status& status) { return static_cast<double>(status.workers); });
  gauge("parsleyline_tasks_running", "Running tasks; 0 unless leading.",
        [](const Status& status) { return static_cast<double>(status.running); });
  gauge("parsleyline_requests_queued", "Queued requests; 0 unless leading.",
        [](const Status& status) { return static_cast<double>(status.queued); });
  gauge("parsleyline_packed_ratio", "Charged part of all processors; 0 unless leading.",
        [](const Status& status) { return static_cast<double>(status.packed_permille) / 1000; });
  gauge("parsleyline_raft_term", "Term of the domain's log.",
        [](const Status& status) { return static_cast<double>(status.term.value()); });
  gauge("parsleyline_raft_committed_index", "Last committed record of the domain's log.",
        [](const Status& status) { return static_cast<double>(status.commit_index.value()); });
  gauge("parsleyline_is_leader", "1 while this process leads the domain's log.",
        [](const Status& status) { return status.leader == status.node ? 1.0 : 0.0; });
}

}  // namespace parsleyline
