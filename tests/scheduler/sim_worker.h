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

/// One task as an entry daemon sends it.
struct SimDispatch {
  RequestId request;
  std::uint64_t digest = 0;
  wire::RequestSpec spec;
  wire::TaskGrant grant;
  Milliseconds run_time{0};
  wire::TaskOutcome outcome = wire::TaskOutcome::kDone;
};

/// A worker that follows docs/api.md. Its process can die and come back.
class SimWorker {
 public:
  enum class Token { kNeverStarted, kRunning, kDone, kFailed, kUnreachable };
  struct Task {
    SimDispatch dispatch;
    TimePoint lease_end;
    TimePoint end;
  };
  /// Told of each start and end.
  std::function<void(const SimWorker&, const SimDispatch&)> on_start;
  std::function<void(const SimWorker&, const SimDispatch&, wire::TaskOutcome)> on_end;

  SimWorker(std::string name, Resources capacity) {
    self.worker = WorkerId(name);
    self.incarnation = Incarnation(1);
    self.address = name;
    self.rack = RackId("r" + name.substr(name.size() - 1));
    self.capacity = largest = capacity;
  }

  bool Run(const SimDispatch& dispatch, TimePoint now) {
    const FencingToken token = dispatch.grant.token;
    const bool silent = last_answered && *last_answered + dispatch.grant.lease < now;
    if (!alive || silent || dispatch.grant.incarnation != self.incarnation ||
        self.state == wire::WorkerState::kDraining || !known.insert(token).second) {
      return false;
    }
    running[token] = {dispatch, now + dispatch.grant.lease, now + dispatch.run_time};
    on_start(*this, dispatch);
    return true;
  }

  Token Ask(FencingToken token, bool fence) {
    if (!alive) return Token::kUnreachable;
    if (running.contains(token)) return Token::kRunning;
    if (const auto it = ended.find(token); it != ended.end()) {
      return it->second == wire::TaskOutcome::kDone ? Token::kDone : Token::kFailed;
    }
    if (fence) known.insert(token);
    return Token::kNeverStarted;
  }

  void Stop(FencingToken token) {
    known.insert(token);
    if (running.contains(token)) End(token, wire::TaskOutcome::kFailed);
  }

  /// Ends tasks; `lateness` is how late the worker notices the end of a lease.
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

  void OnAnswer(const wire::AnnounceResult& answer, Incarnation incarnation, TimePoint sent) {
    if (!alive || incarnation != self.incarnation || answer.code != ResultCode::kOk) return;
    last_answered = std::max(last_answered.value_or(sent), sent);
    for (const FencingToken token : answer.renewed) {
      const auto it = running.find(token);
      if (it == running.end()) continue;
      it->second.lease_end = std::max(it->second.lease_end, sent + it->second.dispatch.grant.lease);
    }
    for (const FencingToken token : answer.stop) Stop(token);
    self.acknowledged_response = answer.response_number;
  }

  void Die() {
    alive = false;
    while (!running.empty()) End(running.begin()->first, wire::TaskOutcome::kLost);
  }

  void Restart() {
    Die();
    alive = true;
    self.incarnation = Incarnation(self.incarnation.value() + 1);
    self.acknowledged_response = 0;
    self.state = wire::WorkerState::kReady;
    last_answered.reset();
    known.clear();
    ended.clear();
  }

  wire::Announcement self;
  /// Capacity that the worker had at any time.
  Resources largest;
  bool alive = true;
  std::map<FencingToken, Task> running;
  std::optional<TimePoint> last_answered;
  /// Until when announcements, or the answers to them, are lost.
  TimePoint mute_until;
  TimePoint deaf_until;

 private:
  void End(FencingToken token, wire::TaskOutcome outcome) {
    const auto node = running.extract(token);
    ended[token] = outcome;
    on_end(*this, node.mapped().dispatch, outcome);
  }

  std::set<FencingToken> known;
  std::map<FencingToken, wire::TaskOutcome> ended;
};

}  // namespace parsleyline::scheduler
