#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "raft/in_memory_log.h"
#include "scheduler/domain_scheduler.h"

namespace parsleyline::scheduler {

/// A DomainScheduler that is the leader of an InMemoryLog, with helpers to call it. The replies to
/// a call are collected in the order in which they arrive.
class SchedulerFixture {
 public:
  using Status = Result<wire::RequestStatus>;
  using Replies = std::shared_ptr<std::vector<Status>>;

  explicit SchedulerFixture(SchedulerOptions options = {})
      : scheduler(std::move(options), clock, [] {}) {
    scheduler.SetLog(&log);
    log.Start(&scheduler);
  }

  static wire::Submit Request(const std::string& id) {
    wire::Submit submit;
    submit.id = RequestId(id);
    submit.body_digest = 1;
    submit.spec.team = TeamId("team");
    submit.spec.resources = Small();
    submit.entry = NodeId("e#1");
    submit.remaining = Milliseconds(30000);
    return submit;
  }

  static Resources Small() { return {MilliCpu(1000), Mebibytes(1024), Accelerators(0), Slots(1)}; }

  static wire::Announcement Worker(const std::string& id, std::uint64_t incarnation = 1) {
    wire::Announcement announcement;
    announcement.worker = WorkerId(id);
    announcement.incarnation = Incarnation(incarnation);
    announcement.address = "127.0.0.1:1";
    announcement.rack = RackId("r");
    announcement.capacity = {MilliCpu(2000), Mebibytes(4096), Accelerators(0), Slots(2)};
    return announcement;
  }

  /// Submits a request and runs a scheduling pass. Returns the replies, including later ones.
  Replies Submit(const wire::Submit& submit) {
    auto replies = std::make_shared<std::vector<Status>>();
    scheduler.Submit(submit, [replies](Status status) { replies->push_back(std::move(status)); });
    scheduler.RunSchedulingPass();
    return replies;
  }

  /// Submits a request that is expected to be granted in the first pass. Returns its grant.
  wire::TaskGrant Grant(const wire::Submit& submit) {
    const Replies replies = Submit(submit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies->size());
    CPPUNIT_ASSERT(replies->front().has_value());
    CPPUNIT_ASSERT(replies->front()->state == wire::RequestState::kRunning);
    return replies->front()->grants.at(0);
  }

  Replies Finish(const std::string& id, FencingToken token, wire::TaskOutcome outcome) {
    auto replies = std::make_shared<std::vector<Status>>();
    wire::FinishTask finish;
    finish.id = RequestId(id);
    finish.token = token;
    finish.outcome = outcome;
    scheduler.Finish(finish, [replies](Status status) { replies->push_back(std::move(status)); });
    return replies;
  }

  Replies Cancel(const std::string& id) {
    auto replies = std::make_shared<std::vector<Status>>();
    scheduler.Cancel({RequestId(id)},
                     [replies](Status status) { replies->push_back(std::move(status)); });
    return replies;
  }

  wire::AnnounceResult Announce(const wire::Announcement& announcement) {
    auto reply = scheduler.Announce({{announcement}});
    CPPUNIT_ASSERT(reply.has_value() && reply->results.size() == 1);
    return reply->results[0];
  }

  wire::RequestState State(const std::string& id) {
    const auto status = scheduler.Query({RequestId(id)});
    return status ? status->state : wire::RequestState::kNone;
  }

  wire::WorkerRow Row(const std::string& id) {
    const auto list = scheduler.ListWorkers();
    if (list) {
      for (const wire::WorkerRow& row : list->workers) {
        if (row.worker.value() == id) return row;
      }
    }
    return {};
  }

  /// Advances the clock, handles timeouts, and runs a scheduling pass.
  void Wait(Milliseconds time) {
    clock.Advance(time);
    scheduler.Tick();
    scheduler.RunSchedulingPass();
  }

  /// Returns a new scheduler that has applied the same records, as another replica or this one
  /// after a restart.
  std::unique_ptr<DomainScheduler> Replay() {
    auto replica = std::make_unique<DomainScheduler>(SchedulerOptions(), clock, [] {});
    std::uint64_t index = 0;
    for (const std::string& command : log.Commands()) replica->Apply(LogIndex(++index), command);
    return replica;
  }

  ManualClock clock;
  raft::InMemoryLog log;
  DomainScheduler scheduler;
};

}  // namespace parsleyline::scheduler
