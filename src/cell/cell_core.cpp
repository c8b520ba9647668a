#include "cell/cell_core.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "base/random_number.h"
#include "wire/codec.h"

namespace parsleyline::cell {
namespace {

constexpr Milliseconds kTickInterval{20};
constexpr Milliseconds kFollowerTickInterval{200};
// Events that arrive within this time share one scheduling pass and one log entry.
constexpr Milliseconds kMinPassDelay{5};
// Under high load a pass takes long. Delaying the next one by this multiple of the last duration
// leaves most of the processor to RPC calls and lets more events share a pass; the upper bound
// keeps starts prompt.
constexpr int kPassDelayFactor = 3;
constexpr Milliseconds kMaxPassDelay{30};
// Time that another process has to query the advisor on behalf of the leader.
constexpr Milliseconds kAdvisorTimeout{4500};
// Delay before the log is opened again after a failed write; a full disk is freed within seconds.
constexpr Milliseconds kStorageRetryDelay{500};
constexpr Milliseconds kRaftHeartbeat{75};
constexpr Milliseconds kElectionMin{450};
constexpr Milliseconds kElectionMax{900};
// The disk of a small VM holds 128 MB, which must fit the log, the snapshot and the previous one.
constexpr std::size_t kCompactionBytes = std::size_t{6} << 20U;
constexpr std::uint64_t kSegmentBytes = std::uint64_t{4} << 20U;
// Leaves space for the other members of a message within the maximum size of an RPC body. A
// configuration, whose document may have 4 MiB, must fit.
constexpr std::size_t kMaxCommandBytes = (std::size_t{8} << 20U) - (std::size_t{64} << 10U);
// Leaves space for the other members of a batch.
constexpr std::size_t kMaxConfigBytes = kMaxCommandBytes - 1024;
constexpr std::size_t kJobIdLength = 16;

job::UnixMillis UnixNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return job::UnixMillis(std::chrono::duration_cast<Milliseconds>(now).count());
}

bool IsJobId(const std::string& text) {
  return text.size() == kJobIdLength &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

dispatch::Policy PolicyOf(const CoreSettings& settings) {
  dispatch::Policy policy;
  policy.max_lease = settings.max_worker_lease;
  return policy;
}

void ReplyWithCode(const transport::RpcResponseCallback& respond, ResultCode code) {
  if (code == ResultCode::kNotLeader || code == ResultCode::kOutcomeUnknown) {
    return respond(Fail(code, ""));
  }
  respond(wire::Encode(StatusReply{static_cast<std::int32_t>(code)}));
}

void ReplyToJobCall(const transport::RpcResponseCallback& respond, ResultCode code,
                    JobReply reply = {}) {
  if (code == ResultCode::kNotLeader || code == ResultCode::kOutcomeUnknown) {
    return respond(Fail(code, ""));
  }
  reply.code = static_cast<std::int32_t>(code);
  respond(wire::Encode(reply));
}

}  // namespace

struct CellCore::Timers {
  explicit Timers(boost::asio::io_context& io) : tick(io), pass(io), storage_retry(io) {}
  boost::asio::steady_timer tick;
  boost::asio::steady_timer pass;
  boost::asio::steady_timer storage_retry;
};

CellCore::CellCore(boost::asio::io_context& io, CoreSettings settings, Peers& peers,
                   WorkerClient& workers, AdvisorClient& advisor)
    : io_(io),
      settings_(std::move(settings)),
      peers_(peers),
      workers_(workers),
      advisor_(advisor),
      coordinator_(std::make_unique<dispatch::Coordinator>(state_, *this, clock_, &UnixNow,
                                                           RandomNumber(), PolicyOf(settings_))),
      group_(CreateRaftGroup()),
      timers_(std::make_unique<Timers>(io)) {}

std::unique_ptr<raft::RaftGroup> CellCore::CreateRaftGroup() {
  raft::ReplicaOptions options;
  options.group_name = "cell";
  options.node = settings_.node;
  options.folder = settings_.data_folder + "/cell";
  options.segment_bytes = kSegmentBytes;
  options.node_options.raft.heartbeat = kRaftHeartbeat;
  options.node_options.raft.election_timeout_min = kElectionMin;
  options.node_options.raft.election_timeout_max = kElectionMax;
  options.node_options.raft.compaction_threshold_bytes = kCompactionBytes;
  options.node_options.raft.max_command_bytes = kMaxCommandBytes;
  options.node_options.raft.lost_replicas = raft::LostReplicaPolicy::kAdmitNew;
  options.node_options.initial_voters = settings_.seeds;
  options.node_options.may_bootstrap = settings_.bootstrap;
  options.file_system = settings_.file_system;
  options.on_failure = [this](const Error& error) { OnStorageFailure(error); };
  return std::make_unique<raft::RaftGroup>(io_, std::move(options), *this, peers_);
}

// A replica that cannot write to its disk is treated as down; it reads its log again once the disk
// works. Meanwhile the process keeps forwarding calls to the leader.
void CellCore::OnStorageFailure(const Error& error) {
  Event("storage_failed", Severity::kError)
      .With("code", static_cast<int>(error.code))
      .With("reason", error.message)
      .With("retry_ms", kStorageRetryDelay.count());
  coordinator_->StepDown();
  timers_->storage_retry.expires_after(kStorageRetryDelay);
  timers_->storage_retry.async_wait([this](const boost::system::error_code& ec) {
    if (!ec && !stopping_) RestartRaftGroup();
  });
}

void CellCore::RestartRaftGroup() {
  group_.reset();
  state_ = job::CellState();
  group_ = CreateRaftGroup();
  if (const auto started = group_->Start(); !started) OnStorageFailure(started.error());
}

CellCore::~CellCore() = default;

template <typename Message>
void CellCore::RegisterLeaderMethod(transport::RpcServer& server, const char* method,
                                    void (CellCore::*handler)(const Message&, const Respond&)) {
  server.RegisterHandler(method, [this, method, handler](const transport::RpcRequest& request,
                                                         const Respond& respond) {
    const auto call = wire::Decode<LeaderCall>(request.body);
    if (!call) return respond(tl::make_unexpected(call.error()));
    if (!stale_calls_.Admit(call->origin, clock_.Now())) {
      Event("call_outdated").With("method", method).With("epoch", call->origin.epoch);
      return respond(Fail(ResultCode::kCallOutdated, "the client has made a later call"));
    }
    const auto message = wire::Decode<Message>(call->body);
    if (!message) return respond(tl::make_unexpected(message.error()));
    if (!coordinator_->IsLeader()) {
      // CellClient takes the id of the leader from the message.
      return respond(Fail(ResultCode::kNotLeader, group_->Leader().value()));
    }
    if (call->is_retry == 0) return (this->*handler)(*message, respond);
    coordinator_->ConfirmLeadership([this, handler, message = *message, respond](ResultCode code) {
      if (code != ResultCode::kOk) return respond(Fail(ResultCode::kNotLeader, ""));
      (this->*handler)(message, respond);
    });
  });
}

void CellCore::RegisterMethods(transport::RpcServer& server) {
  RegisterLeaderMethod(server, kJobMethod, &CellCore::OnJob);
  RegisterLeaderMethod(server, kHeartbeatMethod, &CellCore::OnHeartbeat);
  RegisterLeaderMethod(server, kReportMethod, &CellCore::OnReport);
  RegisterLeaderMethod(server, kDeregisterWorkerMethod, &CellCore::OnDeregisterWorker);
  RegisterLeaderMethod(server, kPutConfigMethod, &CellCore::OnPutConfig);
  RegisterLeaderMethod(server, kGetConfigMethod, &CellCore::OnGetConfig);
  server.RegisterHandler(kRaftMethod,
                         [this](const transport::RpcRequest& call, const Respond& respond) {
                           auto envelope = wire::Decode<RaftEnvelope>(call.body);
                           if (!envelope) return respond(tl::make_unexpected(envelope.error()));
                           group_->Receive(envelope->from, std::move(envelope->message));
                           respond(std::string());
                         });
}

Result<void> CellCore::Start() {
  auto started = group_->Start();
  if (started) ScheduleTick();
  return started;
}

void CellCore::Stop(std::function<void()> done) {
  stopping_ = true;
  timers_->storage_retry.cancel();
  timers_->tick.cancel();
  group_->Stop([this, done = std::move(done)] {
    coordinator_->StepDown();
    done();
  });
}

void CellCore::ScheduleTick() {
  timers_->tick.expires_after(coordinator_->IsLeader() ? kTickInterval : kFollowerTickInterval);
  timers_->tick.async_wait([this](const boost::system::error_code& ec) {
    if (ec) return;
    coordinator_->Tick();
    ScheduleTick();
  });
}

void CellCore::RequestSchedulingPass() {
  if (std::exchange(pass_requested_, true)) return;
  timers_->pass.expires_after(
      std::clamp<Duration>(kPassDelayFactor * last_pass_duration_, kMinPassDelay, kMaxPassDelay));
  timers_->pass.async_wait([this](const boost::system::error_code& ec) {
    pass_requested_ = false;
    if (ec) return;
    const auto begin = std::chrono::steady_clock::now();
    coordinator_->RunSchedulingPass();
    last_pass_duration_ = std::chrono::steady_clock::now() - begin;
  });
}

void CellCore::Apply(LogIndex index, std::string_view command) {
  const auto batch = wire::Decode<job::CommandBatch>(command);
  if (!batch) {
    Event("command_unreadable", Severity::kError)
        .With("index", index)
        .With("reason", batch.error().message);
    return;
  }
  const job::AppliedChanges changes = state_.Apply(*batch);
  coordinator_->OnApplied(*batch, changes);
}

std::string CellCore::TakeSnapshot() { return state_.TakeSnapshot(); }

Result<void> CellCore::Restore(std::string_view snapshot) { return state_.Restore(snapshot); }

void CellCore::OnRoleChange(raft::Role role, Term term) {
  Event("role").With("role", static_cast<int>(role)).With("term", term);
  if (role == raft::Role::kLeader) {
    coordinator_->BecomeLeader(dispatch::FirstFence(term.value()));
  } else {
    coordinator_->StepDown();
  }
}

dispatch::ProposalResult CellCore::Propose(const job::CommandBatch& batch) {
  const auto proposed = group_->Propose(wire::Encode(batch));
  if (proposed) return dispatch::ProposalResult::kAccepted;
  Event("proposal_refused", Severity::kWarning)
      .With("code", static_cast<int>(proposed.error().code))
      .With("reason", proposed.error().message);
  switch (proposed.error().code) {
    case ResultCode::kNotLeader:
      return dispatch::ProposalResult::kNotLeader;
    case ResultCode::kOutOfRange:
      return dispatch::ProposalResult::kTooLarge;
    default:
      return dispatch::ProposalResult::kBusy;
  }
}

void CellCore::SendStart(const dispatch::StartOrder& order) {
  workers_.SendStart(order, [this, order](const dispatch::OrderReply& reply) {
    coordinator_->OnStartReply(order, reply);
  });
}

void CellCore::SendStop(const dispatch::StopOrder& order) {
  workers_.SendStop(order, [this, order](const dispatch::OrderReply& reply) {
    coordinator_->OnStopReply(order, reply);
  });
}

void CellCore::SendHold(const dispatch::HoldOrder& order) {
  workers_.SendHold(order, [this, order](const dispatch::HoldReply& reply) {
    coordinator_->OnHoldReply(order, reply);
  });
}

void CellCore::QueryAdvisor(const NodeId& caller, const dispatch::AdvisorQuery& query) {
  const auto done = [this, caller, query](const dispatch::AdvisorReply& reply) {
    coordinator_->OnAdvisorReply(caller, query, reply);
  };
  if (caller == peers_.self()) return advisor_.Query(query, done);
  peers_.ClientFor(caller).Call(kQueryAdvisorMethod, wire::Encode(query), kAdvisorTimeout,
                                [done, caller](const Result<std::string>& result) {
                                  const auto reply =
                                      result ? wire::Decode<dispatch::AdvisorReply>(*result)
                                             : tl::make_unexpected(result.error());
                                  if (!reply) {
                                    Event("advice_failed", Severity::kWarning)
                                        .With("caller", caller)
                                        .With("reason", reply.error().message);
                                  }
                                  done(reply.value_or(dispatch::AdvisorReply()));
                                });
}

void CellCore::OnJob(const JobCall& call, const Respond& respond) {
  const job::CellConfig& config = state_.config();
  if (config.version == job::ConfigVersion()) return ReplyToJobCall(respond, ResultCode::kNoLeader);
  const job::QueueSettings* queue = config.FindByPath(call.host, call.path);
  const std::string rest = queue == nullptr ? "" : call.path.substr(queue->path_prefix.size());
  if (queue == nullptr || (!rest.empty() && !IsJobId(rest)) ||
      (rest.empty() && call.operation != JobOperation::kQuery)) {
    // A newer leader may have added the queue, so the leadership is confirmed before kNotFound.
    return coordinator_->ConfirmLeadership([respond](ResultCode code) {
      ReplyToJobCall(respond, code == ResultCode::kOk ? ResultCode::kNotFound : code);
    });
  }
  if (rest.empty()) {
    JobReply reply;
    reply.is_queue = 1;
    reply.pending = coordinator_->PendingCount(queue->id);
    return ReplyToJobCall(respond, ResultCode::kOk, reply);
  }
  const job::JobId id(rest);
  if (call.operation == JobOperation::kSubmit) return OnSubmit(*queue, id, call, respond);
  if (call.operation == JobOperation::kCancel) return OnCancel(id, respond);
  OnQuery(id, respond);
}

void CellCore::OnSubmit(const job::QueueSettings& queue, const job::JobId& id, const JobCall& call,
                        const Respond& respond) {
  const auto spec = wire::Decode<job::JobSpec>(call.spec);
  if (!spec) return respond(tl::make_unexpected(spec.error()));
  coordinator_->Submit(id, queue, *spec, [respond](const dispatch::SubmitResult& result) {
    JobReply reply;
    reply.retry_after = result.retry_after;
    ReplyToJobCall(respond, result.code, reply);
  });
}

void CellCore::OnQuery(const job::JobId& id, const Respond& respond) {
  const job::Job* job = state_.Find(id);
  JobReply reply;
  if (job != nullptr) {
    reply.phase = job->phase;
    return ReplyToJobCall(respond, ResultCode::kOk, reply);
  }
  coordinator_->ConfirmLeadership([this, id, respond](ResultCode code) {
    if (code != ResultCode::kOk) return ReplyToJobCall(respond, code);
    // The job may have been accepted during the confirmation.
    const job::Job* found = state_.Find(id);
    JobReply confirmed;
    if (found != nullptr) confirmed.phase = found->phase;
    ReplyToJobCall(respond, found == nullptr ? ResultCode::kJobUnknown : ResultCode::kOk,
                   confirmed);
  });
}

void CellCore::OnCancel(const job::JobId& id, const Respond& respond) {
  coordinator_->Cancel(id, [respond](ResultCode code) {
    ReplyToJobCall(respond, code == ResultCode::kNotFound ? ResultCode::kJobUnknown : code);
  });
}

void CellCore::OnHeartbeat(const Heartbeat& heartbeat, const Respond& respond) {
  coordinator_->RegisterAdvisorClient(heartbeat.node);
  HeartbeatReply reply;
  reply.leader = peers_.self();
  for (const raft::Member& it : group_->Status().configuration.members) {
    reply.members.push_back(it.replica.node);
  }
  respond(wire::Encode(reply));
}

void CellCore::OnReport(const job::WorkerReport& report, const Respond& respond) {
  coordinator_->OnWorkerReport(report,
                               [respond](ResultCode code) { ReplyWithCode(respond, code); });
}

void CellCore::OnDeregisterWorker(const DeregisterWorker& call, const Respond& respond) {
  coordinator_->OnWorkerLeave(call.worker,
                              [respond](ResultCode code) { ReplyWithCode(respond, code); });
}

void CellCore::OnPutConfig(const job::CellConfig& config, const Respond& respond) {
  if (const std::size_t size = wire::Encode(config).size(); size > kMaxConfigBytes) {
    Event("config_too_large", Severity::kWarning).With("bytes", size);
    return ReplyWithCode(respond, ResultCode::kBodyTooLarge);
  }
  coordinator_->PutConfig(config, [respond](ResultCode code) { ReplyWithCode(respond, code); });
}

void CellCore::OnGetConfig(const ConfigQuery& /*query*/, const Respond& respond) {
  coordinator_->ConfirmLeadership([this, respond](ResultCode code) {
    if (code != ResultCode::kOk) return respond(Fail(code, ""));
    ConfigReply reply;
    reply.document = state_.config().document;
    if (reply.document.empty()) reply.code = static_cast<std::int32_t>(ResultCode::kNoLeader);
    respond(wire::Encode(reply));
  });
}

}  // namespace parsleyline::cell
