#include "raft/raft_group.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <mutex>
#include <random>
#include <utility>

#include "base/event_log.h"
#include "raft/log_storage.h"
#include "raft/storage_worker.h"
#include "wire/codec.h"

namespace parsleyline::raft {
namespace {

namespace asio = boost::asio;

// Calls to the state machine that one handler makes before it lets other handlers of the io_context
// run.
constexpr int kMaxCallsPerHandler = 256;

std::uint64_t RandomSeed() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32U) | device();
}

}  // namespace

// Timers, messages and completed writes are handled on `strand`, calls to the state machine are
// made on `apply_strand`. Public methods such as Propose() access the node from any thread,
// therefore `mutex` guards it.
struct RaftGroup::Impl : std::enable_shared_from_this<RaftGroup::Impl> {
  Impl(asio::io_context& io, ReplicaOptions replica_options, StateMachine& state_machine,
       PeerSender& peer_sender)
      : options(std::move(replica_options)),
        machine(state_machine),
        sender(peer_sender),
        strand(asio::make_strand(io)),
        apply_strand(asio::make_strand(io)),
        timer(strand) {}

  Result<void> Start();
  void StartStorageWorker(std::unique_ptr<LogStorage> storage);
  template <typename Function>
  void Post(Function function);
  /// Lets the node do what is due, carries out its actions and sets the timer.
  void AdvanceNode();
  /// Posts a call to AdvanceNode(), unless one is already pending.
  void ScheduleAdvance();
  /// Carries out the actions of the node.
  void ExecuteActions(Actions actions);
  void SendAll(const std::vector<Message>& messages);
  void ArmTimer(TimePoint deadline);
  void OnSynced(const Actions& batch);
  void OnFailure(const Error& error);
  void QueueStateMachineCalls(std::vector<StateMachineCall> calls);
  void RunStateMachineCalls();
  void RunStateMachineCall(const StateMachineCall& call);
  void TakeSnapshot(const Snapshot& request);
  void ContinueStop(TimePoint deadline, std::function<void()> done);
  void ShutDown();

  const ReplicaOptions options;
  StateMachine& machine;
  PeerSender& sender;
  asio::strand<asio::io_context::executor_type> strand;
  asio::strand<asio::io_context::executor_type> apply_strand;
  asio::steady_timer timer;
  TimePoint timer_deadline = TimePoint::max();
  SteadyClock clock;
  PosixFileSystem posix_files;
  std::atomic<bool> stopped{false};
  std::atomic<bool> advance_scheduled{false};

  mutable std::mutex mutex;
  std::unique_ptr<RaftNode> node;

  std::mutex storage_mutex;
  std::unique_ptr<StorageWorker> storage_worker;

  std::mutex calls_mutex;
  std::deque<StateMachineCall> calls;
  bool calls_running = false;
};

template <typename Function>
void RaftGroup::Impl::Post(Function function) {
  asio::post(strand, [self = shared_from_this(), work = std::move(function)]() mutable {
    if (!self->stopped) work(*self);
  });
}

Result<void> RaftGroup::Impl::Start() {
  if (auto valid = options.node_options.raft.Validate(); !valid) return valid;
  FileSystem* files = options.file_system != nullptr ? options.file_system : &posix_files;
  auto storage = LogStorage::Open(
      {.folder = options.folder, .node = options.node, .segment_bytes = options.segment_bytes},
      files);
  if (!storage) return tl::make_unexpected(storage.error());
  DurableState state = (*storage)->TakeState();
  Event("raft_start")
      .With("group", options.group_name)
      .With("replica", state.self)
      .With("term", state.hard_state.term)
      .With("snapshot", state.snapshot != nullptr ? state.snapshot->index : LogIndex())
      .With("entries", state.entries.size());
  StartStorageWorker(std::move(*storage));
  {
    const std::lock_guard lock(mutex);
    node = std::make_unique<RaftNode>(options.node_options, std::move(state), RandomSeed(),
                                      clock.Now());
  }
  ScheduleAdvance();
  return {};
}

void RaftGroup::Impl::StartStorageWorker(std::unique_ptr<LogStorage> storage) {
  const std::weak_ptr<Impl> weak = weak_from_this();
  StorageWorker::Callbacks callbacks;
  callbacks.on_synced = [weak](Actions batch) {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->Post([synced = std::move(batch)](Impl& impl) { impl.OnSynced(synced); });
  };
  callbacks.on_snapshot_saved = [weak](const SnapshotPtr& snapshot) {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->Post([snapshot](Impl& impl) {
      {
        const std::lock_guard lock(impl.mutex);
        impl.node->OnSnapshotSaved(snapshot);
      }
      impl.ScheduleAdvance();
    });
  };
  callbacks.on_failed = [weak](const Error& error) {
    const auto self = weak.lock();
    if (self != nullptr) self->OnFailure(error);
  };
  storage_worker = std::make_unique<StorageWorker>(std::move(storage), std::move(callbacks));
}

void RaftGroup::Impl::ScheduleAdvance() {
  if (!advance_scheduled.exchange(true)) Post([](Impl& impl) { impl.AdvanceNode(); });
}

// Takes the actions of all events since the last call together, so that several proposals share
// messages and syncs.
void RaftGroup::Impl::AdvanceNode() {
  advance_scheduled = false;
  Actions actions;
  TimePoint deadline;
  {
    const std::lock_guard lock(mutex);
    const TimePoint now = clock.Now();
    node->Tick(now);
    actions = node->TakeActions(now);
    deadline = node->NextDeadline();
  }
  ExecuteActions(std::move(actions));
  ArmTimer(deadline);
}

void RaftGroup::Impl::ExecuteActions(Actions actions) {
  SendAll(actions.messages);
  QueueStateMachineCalls(std::exchange(actions.calls, {}));
  if (actions.batch_number == 0) return;
  actions.messages.clear();
  const std::lock_guard lock(storage_mutex);
  if (storage_worker != nullptr) storage_worker->Write(std::move(actions));
}

void RaftGroup::Impl::SendAll(const std::vector<Message>& messages) {
  for (const Message& m : messages) sender.Send(m.to.node, wire::Encode(m));
}

void RaftGroup::Impl::ArmTimer(TimePoint deadline) {
  if (deadline >= timer_deadline) return;
  timer_deadline = deadline;
  timer.expires_at(deadline);
  timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
    if (ec || self->stopped) return;
    self->timer_deadline = TimePoint::max();
    self->AdvanceNode();
  });
}

void RaftGroup::Impl::OnSynced(const Actions& batch) {
  SendAll(batch.messages_after_sync);
  {
    const std::lock_guard lock(mutex);
    node->OnPersisted(batch.batch_number);
  }
  AdvanceNode();
}

void RaftGroup::Impl::OnFailure(const Error& error) {
  Event("raft_storage_failed", Severity::kError)
      .With("group", options.group_name)
      .With("node", options.node)
      .With("code", static_cast<int>(error.code))
      .With("error", error.message);
  stopped = true;
  asio::post(strand, [self = shared_from_this(), error] {
    self->timer.cancel();
    if (self->options.on_failure) self->options.on_failure(error);
  });
}

void RaftGroup::Impl::QueueStateMachineCalls(std::vector<StateMachineCall> new_calls) {
  if (new_calls.empty()) return;
  const std::lock_guard lock(calls_mutex);
  for (StateMachineCall& call : new_calls) calls.push_back(std::move(call));
  if (calls_running) return;
  calls_running = true;
  asio::post(apply_strand, [self = shared_from_this()] { self->RunStateMachineCalls(); });
}

void RaftGroup::Impl::RunStateMachineCalls() {
  for (int n = 0; n < kMaxCallsPerHandler; ++n) {
    StateMachineCall call;
    {
      const std::lock_guard lock(calls_mutex);
      if (calls.empty() || stopped) {
        calls_running = false;
        return;
      }
      call = std::move(calls.front());
      calls.pop_front();
    }
    RunStateMachineCall(call);
  }
  asio::post(apply_strand, [self = shared_from_this()] { self->RunStateMachineCalls(); });
}

void RaftGroup::Impl::RunStateMachineCall(const StateMachineCall& call) {
  switch (call.kind) {
    case StateMachineCall::Kind::kApply:
      return machine.Apply(call.entry.index, call.entry.data);
    case StateMachineCall::Kind::kRoleChange:
      return machine.OnRoleChange(call.role, call.term);
    case StateMachineCall::Kind::kRestore:
      if (auto restored = machine.Restore(call.snapshot->data); !restored) {
        OnFailure(restored.error());
      }
      return;
    case StateMachineCall::Kind::kTakeSnapshot:
      return TakeSnapshot(*call.snapshot);
  }
}

void RaftGroup::Impl::TakeSnapshot(const Snapshot& request) {
  auto taken = std::make_shared<Snapshot>(request);
  taken->data = machine.TakeSnapshot();
  Event("raft_snapshot_taken")
      .With("group", options.group_name)
      .With("index", taken->index)
      .With("bytes", taken->data.size());
  const std::lock_guard lock(storage_mutex);
  if (storage_worker != nullptr) storage_worker->SaveSnapshot(std::move(taken));
}

// Checks repeatedly until this replica is no longer the leader or the deadline has passed, then
// shuts down.
void RaftGroup::Impl::ContinueStop(TimePoint deadline, std::function<void()> done) {
  Role role = Role::kFollower;
  if (!stopped) {
    const std::lock_guard lock(mutex);
    if (node != nullptr) role = node->CurrentRole();
  }
  if (role != Role::kLeader || clock.Now() >= deadline) {
    ShutDown();
    return done();
  }
  auto wait = std::make_shared<asio::steady_timer>(strand, options.node_options.raft.heartbeat / 5);
  wait->async_wait([self = shared_from_this(), wait, deadline, after = std::move(done)](auto) {
    self->ContinueStop(deadline, after);
  });
}

void RaftGroup::Impl::ShutDown() {
  stopped = true;
  timer.cancel();
  std::unique_ptr<StorageWorker> stopped_worker;
  {
    const std::lock_guard lock(storage_mutex);
    stopped_worker = std::move(storage_worker);
  }
  stopped_worker.reset();
  Event("raft_stopped").With("group", options.group_name).With("node", options.node);
}

RaftGroup::RaftGroup(asio::io_context& io, ReplicaOptions options, StateMachine& machine,
                     PeerSender& sender)
    : impl_(std::make_shared<Impl>(io, std::move(options), machine, sender)) {}

RaftGroup::~RaftGroup() {
  impl_->stopped = true;
  const std::lock_guard lock(impl_->storage_mutex);
  impl_->storage_worker.reset();
}

Result<void> RaftGroup::Start() { return impl_->Start(); }

void RaftGroup::Stop(std::function<void()> done) {
  asio::post(impl_->strand, [self = impl_, after = std::move(done)] {
    const TimePoint now = self->clock.Now();
    if (!self->stopped && self->node != nullptr) {
      const std::lock_guard lock(self->mutex);
      // Fails if this replica is not the leader or no other voter is reachable.
      self->node->TransferLeadership(NodeId(), now);
    }
    if (!self->stopped && self->node != nullptr) self->AdvanceNode();
    self->ContinueStop(now + self->options.node_options.raft.election_timeout_max * 2,
                       [self, after] {
                         // Runs after a call to the state machine that is in progress.
                         asio::post(self->apply_strand, after);
                       });
  });
}

void RaftGroup::Receive(const NodeId& from, std::string bytes) {
  impl_->Post([from, data = std::move(bytes)](Impl& impl) {
    const auto message = wire::Decode<Message>(data);
    if (!message || message->from.node != from) {
      Event("raft_bad_message", Severity::kWarning)
          .With("group", impl.options.group_name)
          .With("from", from)
          .With("reason", message ? "the message names another sender" : message.error().message);
      return;
    }
    {
      const std::lock_guard lock(impl.mutex);
      if (impl.node == nullptr) return;  // Start() has not finished.
      impl.node->Receive(*message, impl.clock.Now());
    }
    impl.ScheduleAdvance();
  });
}

Result<LogIndex> RaftGroup::Propose(std::string command) {
  Result<LogIndex> index;
  {
    const std::lock_guard lock(impl_->mutex);
    if (impl_->node == nullptr || impl_->stopped) {
      return Fail(ResultCode::kNotLeader, "the replica is not running");
    }
    index = impl_->node->Propose(std::move(command));
  }
  if (index) impl_->ScheduleAdvance();
  return index;
}

NodeId RaftGroup::Leader() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->node != nullptr ? impl_->node->Leader().node : NodeId();
}

Term RaftGroup::CurrentTerm() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->node != nullptr ? impl_->node->CurrentTerm() : Term();
}

LogIndex RaftGroup::CommitIndex() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->node != nullptr ? impl_->node->CommitIndex() : LogIndex();
}

Result<LogIndex> RaftGroup::ChangeMembership(const MembershipChange& change) {
  Result<LogIndex> index;
  {
    const std::lock_guard lock(impl_->mutex);
    if (impl_->node == nullptr) return Fail(ResultCode::kNotLeader, "the replica is not running");
    index = impl_->node->ChangeMembership(change);
  }
  if (index) impl_->ScheduleAdvance();
  return index;
}

Result<void> RaftGroup::TransferLeadership(const NodeId& target) {
  Result<void> accepted;
  {
    const std::lock_guard lock(impl_->mutex);
    if (impl_->node == nullptr) return Fail(ResultCode::kNotLeader, "the replica is not running");
    accepted = impl_->node->TransferLeadership(target, impl_->clock.Now());
  }
  if (accepted) impl_->ScheduleAdvance();
  return accepted;
}

NodeStatus RaftGroup::Status() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->node != nullptr ? impl_->node->Status() : NodeStatus();
}

}  // namespace parsleyline::raft
