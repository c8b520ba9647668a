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

/// A DomainScheduler that leads an InMemoryLog, with short ways to call it. Answers of calls are
/// kept in the order in which they arrive.
class SchedulerFixture {
 public:
  using Status = Result<wire::RequestStatus>;
  using Answers = std::shared_ptr<std::vector<Status>>;

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

  /// Submits, places what can be placed, and returns the answers so far and later.
  Answers Submit(const wire::Submit& submit) {
    auto answers = std::make_shared<std::vector<Status>>();
    scheduler.Submit(submit, [answers](Status status) { answers->push_back(std::move(status)); });
    scheduler.RunSchedulingPass();
    return answers;
  }

  /// Submits a request that is placed at once and returns its grant.
  wire::TaskGrant Grant(const wire::Submit& submit) {
    const Answers answers = Submit(submit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers->size());
    CPPUNIT_ASSERT(answers->front().has_value());
    CPPUNIT_ASSERT(answers->front()->state == wire::RequestState::kRunning);
    return answers->front()->grants.at(0);
  }

  Answers Finish(const std::string& id, FencingToken token, wire::TaskOutcome outcome) {
    auto answers = std::make_shared<std::vector<Status>>();
    wire::FinishTask finish;
    finish.id = RequestId(id);
    finish.token = token;
    finish.outcome = outcome;
    scheduler.Finish(finish, [answers](Status status) { answers->push_back(std::move(status)); });
    return answers;
  }

  Answers Cancel(const std::string& id) {
    auto answers = std::make_shared<std::vector<Status>>();
    scheduler.Cancel({RequestId(id)},
                     [answers](Status status) { answers->push_back(std::move(status)); });
    return answers;
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
    const auto list = scheduler.Workers();
    if (list) {
      for (const wire::WorkerRow& row : list->workers) {
        if (row.worker.value() == id) return row;
      }
    }
    return {};
  }

  /// Advances the clock and runs timers.
  void Wait(Milliseconds time) {
    clock.Advance(time);
    scheduler.Tick();
    scheduler.RunSchedulingPass();
  }

  /// Another replica, or the same after a restart: a new scheduler with the same commands.
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
