#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/messages.h"

namespace parsleyline::scheduler {

/// A task as dispatched by an entry daemon, with its simulated run time and outcome.
struct SimDispatch {
  RequestId request;
  std::uint64_t digest = 0;
  wire::RequestSpec spec;
  wire::TaskGrant grant;
  Milliseconds run_time{0};
  wire::TaskOutcome outcome = wire::TaskOutcome::kDone;
};

/// Simulated worker that follows the protocol in docs/api.md. Its process can crash and restart.
class SimWorker {
 public:
  enum class TaskState { kNeverStarted, kRunning, kDone, kFailed, kUnreachable };
  struct Task {
    SimDispatch dispatch;
    TimePoint lease_end;
    TimePoint end;
  };
  /// Called at the start and at the end of each task.
  std::function<void(const SimWorker&, const SimDispatch&)> on_start;
  std::function<void(const SimWorker&, const SimDispatch&, wire::TaskOutcome)> on_end;

  SimWorker(std::string name, Resources capacity) {
    self.worker = WorkerId(name);
    self.incarnation = Incarnation(1);
    self.address = name;
    self.rack = RackId("r" + name.substr(name.size() - 1));
    self.capacity = max_capacity = capacity;
  }

  bool Run(const SimDispatch& dispatch, TimePoint now) {
    const FencingToken token = dispatch.grant.token;
    const bool silent = last_acknowledged && *last_acknowledged + dispatch.grant.lease < now;
    if (!alive || silent || dispatch.grant.incarnation != self.incarnation ||
        self.state == wire::WorkerState::kDraining || !known_tokens.insert(token).second) {
      return false;
    }
    running[token] = {dispatch, now + dispatch.grant.lease, now + dispatch.run_time};
    on_start(*this, dispatch);
    return true;
  }

  TaskState QueryTask(FencingToken token, bool fence) {
    if (!alive) return TaskState::kUnreachable;
    if (running.contains(token)) return TaskState::kRunning;
    if (const auto it = ended_tasks.find(token); it != ended_tasks.end()) {
      return it->second == wire::TaskOutcome::kDone ? TaskState::kDone : TaskState::kFailed;
    }
    if (fence) known_tokens.insert(token);
    return TaskState::kNeverStarted;
  }

  void Stop(FencingToken token) {
    known_tokens.insert(token);
    if (running.contains(token)) End(token, wire::TaskOutcome::kFailed);
  }

  /// Ends the tasks that are due. `lateness` is the delay with which the worker detects the end of
  /// a lease.
  void Tick(TimePoint now, Milliseconds lateness) {
    std::vector<std::pair<FencingToken, wire::TaskOutcome>> done;
    for (const auto& [token, task] : running) {
      if (task.lease_end + lateness <= now) {
        done.emplace_back(token, wire::TaskOutcome::kFailed);
      } else if (task.end <= now) {
        done.emplace_back(token, task.dispatch.outcome);
      }
    }
    for (const auto& [token, outcome] : done) End(token, outcome);
  }

  wire::Announcement Announcement() const {
    wire::Announcement announcement = self;
    for (const auto& [token, task] : running) {
      const Resources& used = task.dispatch.spec.resources;
      announcement.running.push_back({token, used.cpu, used.memory});
    }
    return announcement;
  }

  void OnAnnounceReply(const wire::AnnounceResult& reply, Incarnation incarnation, TimePoint sent) {
    if (!alive || incarnation != self.incarnation || reply.code != ResultCode::kOk) return;
    last_acknowledged = std::max(last_acknowledged.value_or(sent), sent);
    for (const FencingToken token : reply.renewed) {
      const auto it = running.find(token);
      if (it == running.end()) continue;
      it->second.lease_end = std::max(it->second.lease_end, sent + it->second.dispatch.grant.lease);
    }
    for (const FencingToken token : reply.stop) Stop(token);
    self.acknowledged_response = reply.response_number;
  }

  void Crash() {
    alive = false;
    while (!running.empty()) End(running.begin()->first, wire::TaskOutcome::kLost);
  }

  void Restart() {
    Crash();
    alive = true;
    self.incarnation = Incarnation(self.incarnation.value() + 1);
    self.acknowledged_response = 0;
    self.state = wire::WorkerState::kReady;
    last_acknowledged.reset();
    known_tokens.clear();
    ended_tasks.clear();
  }

  wire::Announcement self;
  /// Highest capacity that the worker has ever announced.
  Resources max_capacity;
  bool alive = true;
  std::map<FencingToken, Task> running;
  std::optional<TimePoint> last_acknowledged;
  /// Until when announcements, or the replies to them, are lost.
  TimePoint announcements_lost_until;
  TimePoint replies_lost_until;

 private:
  void End(FencingToken token, wire::TaskOutcome outcome) {
    const auto node = running.extract(token);
    ended_tasks[token] = outcome;
    on_end(*this, node.mapped().dispatch, outcome);
  }

  std::set<FencingToken> known_tokens;
  std::map<FencingToken, wire::TaskOutcome> ended_tasks;
};

}  // namespace parsleyline::scheduler
