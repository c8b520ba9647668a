#include "runtime/raft_host.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "wire/codec.h"
#include "wire/codec_impl.h"
#include "wire/methods.h"

namespace parsleyline::runtime {

/// Raft message with its sender.
struct RaftEnvelope {
  NodeId from;
  std::string message;

  auto Fields() { return std::tie(from, message); }
};

}  // namespace parsleyline::runtime

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::runtime::RaftEnvelope);

namespace parsleyline::runtime {
namespace {

// Timeout of the RPC that carries a Raft message. A message that is not delivered by then is
// dropped.
constexpr Milliseconds kMessageTimeout{1000};

std::string FolderName(const std::string& group) {
  std::string name = group;
  std::replace(name.begin(), name.end(), ':', '-');
  return name;
}

/// Sends the messages of one group over the RPC clients of the host.
class RpcPeerSender : public raft::PeerSender {
 public:
  using Clients = std::map<NodeId, std::unique_ptr<transport::RpcClient>>;

  RpcPeerSender(std::string method, NodeId self, Clients& clients)
      : method_(std::move(method)), self_(std::move(self)), clients_(clients) {}

  void Send(const NodeId& to, std::string bytes) override {
    const auto it = clients_.find(to);
    if (it == clients_.end()) return;
    it->second->Call(method_, wire::Encode(RaftEnvelope{self_, std::move(bytes)}), kMessageTimeout,
                     [](const Result<std::string>&) {});
  }

 private:
  const std::string method_;
  const NodeId self_;
  Clients& clients_;
};

}  // namespace

struct RaftHost::Impl {
  struct HostedReplica {
    std::string name;
    std::unique_ptr<RpcPeerSender> sender;
    std::unique_ptr<raft::RaftGroup> group;
  };

  Impl(boost::asio::io_context& context, const settings::SchedulerSettings& scheduler_settings,
       std::function<void()> failure)
      : io(context), settings(scheduler_settings), on_failure(std::move(failure)) {
    transport::RpcOptions options;
    options.ping_interval = settings.ping_interval;
    options.ping_timeout = settings.ping_timeout;
    for (const settings::SchedulerAddress& it : settings.schedulers) {
      if (it.node == settings.node) continue;
      clients[it.node] = std::make_unique<transport::RpcClient>(io, it.ip, it.port, options);
    }
  }

  raft::ReplicaOptions MakeReplicaOptions(const settings::RaftGroup& group) const {
    raft::ReplicaOptions options;
    options.group_name = group.name;
    options.node = settings.node;
    options.folder = settings.data_folder + "/" + FolderName(group.name);
    options.node_options.raft.heartbeat = settings.heartbeat;
    options.node_options.raft.election_timeout_min = settings.election_min;
    options.node_options.raft.election_timeout_max = settings.election_max;
    options.node_options.raft.compaction_threshold_bytes = settings.compaction_bytes;
    options.node_options.initial_voters = group.voters;
    options.on_failure = [this](const Error& error) {
      Event("storage_failed", Severity::kError)
          .With("code", static_cast<int>(error.code))
          .With("reason", error.message);
      on_failure();
    };
    return options;
  }

  boost::asio::io_context& io;
  const settings::SchedulerSettings& settings;
  std::function<void()> on_failure;
  RpcPeerSender::Clients clients;
  std::vector<HostedReplica> replicas;
};

RaftHost::RaftHost(boost::asio::io_context& io, const settings::SchedulerSettings& settings,
                   std::function<void()> on_failure)
    : impl_(std::make_unique<Impl>(io, settings, std::move(on_failure))) {}

RaftHost::~RaftHost() = default;

raft::RaftGroup& RaftHost::AddGroup(const settings::RaftGroup& group, raft::StateMachine& machine,
                                    transport::RpcServer& server) {
  const std::string method = wire::ScopedMethod(group.name, wire::kRaftMethod);
  Impl::HostedReplica hosted;
  hosted.name = group.name;
  hosted.sender = std::make_unique<RpcPeerSender>(method, impl_->settings.node, impl_->clients);
  hosted.group = std::make_unique<raft::RaftGroup>(impl_->io, impl_->MakeReplicaOptions(group),
                                                   machine, *hosted.sender);
  raft::RaftGroup& added = *hosted.group;
  server.RegisterHandler(method, [&added](const transport::RpcRequest& call,
                                          const transport::RpcResponseCallback& respond) {
    auto envelope = wire::Decode<RaftEnvelope>(call.body);
    if (!envelope) return respond(tl::make_unexpected(envelope.error()));
    added.Receive(envelope->from, std::move(envelope->message));
    respond(std::string());
  });
  impl_->replicas.push_back(std::move(hosted));
  return added;
}

void RaftHost::AddMetrics(MetricsPage* page) const {
  const auto gauge = [this, page](const char* name, const char* help, auto read) {
    for (const auto& it : impl_->replicas) {
      page->AddGauge(name, help, "group", it.name, [group = it.group.get(), read] {
        const raft::NodeStatus status = group->Status();
        return static_cast<double>(read(status.members));
      });
    }
  };
  using Members = std::vector<raft::MemberStatus>;
  gauge("parsleyline_raft_members_not_ready",
        "Members that are silent, behind or not promoted yet; 0 unless leading.",
        [](const Members& members) {
          return std::count_if(members.begin(), members.end(), [](const raft::MemberStatus& it) {
            return it.obstacle != raft::MemberObstacle::kNone &&
                   it.obstacle != raft::MemberObstacle::kSpare;
          });
        });
  gauge("parsleyline_raft_max_lag_entries",
        "Committed entries that the slowest member lacks; 0 unless leading.",
        [](const Members& members) {
          std::uint64_t lag = 0;
          for (const raft::MemberStatus& it : members) lag = std::max(lag, it.lag_entries);
          return lag;
        });
}

Result<void> RaftHost::Start() {
  for (auto& it : impl_->replicas) {
    if (auto started = it.group->Start(); !started) return started;
  }
  return {};
}

void RaftHost::Stop(std::function<void()> done) {
  auto running = std::make_shared<std::atomic<std::size_t>>(impl_->replicas.size());
  if (impl_->replicas.empty()) return done();
  for (auto& it : impl_->replicas) {
    it.group->Stop([running, done] {
      if (--*running == 0) done();
    });
  }
}

}  // namespace parsleyline::runtime
