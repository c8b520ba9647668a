#include "raft/in_memory_log.h"

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

#include "base/event_log.h"

namespace parsleyline::raft {

struct InMemoryLog::Impl {
  explicit Impl(NodeId id) : node(std::move(id)) {}

  /// Makes the queued calls to the state machine one at a time, without holding the lock.
  void RunCalls(std::unique_lock<std::mutex>& lock);

  const NodeId node;
  mutable std::mutex mutex;
  StateMachine* machine = nullptr;
  NodeId leader;
  Term term;
  std::vector<std::string> commands;
  LogIndex applied_index;
  std::deque<std::function<void()>> calls;
  bool running_calls = false;
};

void InMemoryLog::Impl::RunCalls(std::unique_lock<std::mutex>& lock) {
  if (running_calls) return;
  running_calls = true;
  while (!calls.empty()) {
    const auto call = std::move(calls.front());
    calls.pop_front();
    lock.unlock();
    call();
    lock.lock();
  }
  running_calls = false;
}

InMemoryLog::InMemoryLog(NodeId node) : impl_(std::make_unique<Impl>(std::move(node))) {}

InMemoryLog::~InMemoryLog() = default;

void InMemoryLog::Start(StateMachine* machine) {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->machine = machine;
  }
  BecomeLeader();
}

Result<LogIndex> InMemoryLog::Propose(std::string command) {
  std::unique_lock lock(impl_->mutex);
  if (impl_->machine == nullptr || impl_->leader != impl_->node) {
    return Fail(ResultCode::kNotLeader, "this replica is not the leader of the group");
  }
  impl_->commands.push_back(std::move(command));
  const LogIndex index(impl_->commands.size());
  impl_->calls.emplace_back([impl = impl_.get(), index] {
    std::string bytes;
    {
      const std::lock_guard guard(impl->mutex);
      bytes = impl->commands[index.value() - 1];
      impl->applied_index = index;
    }
    impl->machine->Apply(index, bytes);
  });
  impl_->RunCalls(lock);
  return index;
}

NodeId InMemoryLog::Leader() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->leader;
}

Term InMemoryLog::CurrentTerm() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->term;
}

LogIndex InMemoryLog::CommitIndex() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->applied_index;
}

void InMemoryLog::StepDown(NodeId leader) {
  std::unique_lock lock(impl_->mutex);
  if (!PARSLEYLINE_CHECK(impl_->machine != nullptr)) return;
  impl_->leader = std::move(leader);
  impl_->term = Term(impl_->term.value() + 1);
  impl_->calls.emplace_back([machine = impl_->machine, term = impl_->term] {
    machine->OnRoleChange(Role::kFollower, term);
  });
  impl_->RunCalls(lock);
}

void InMemoryLog::BecomeLeader() {
  std::unique_lock lock(impl_->mutex);
  if (!PARSLEYLINE_CHECK(impl_->machine != nullptr)) return;
  impl_->leader = impl_->node;
  impl_->term = Term(impl_->term.value() + 1);
  impl_->calls.emplace_back([machine = impl_->machine, term = impl_->term] {
    machine->OnRoleChange(Role::kLeader, term);
  });
  impl_->RunCalls(lock);
}

std::vector<std::string> InMemoryLog::Commands() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->commands;
}

}  // namespace parsleyline::raft
