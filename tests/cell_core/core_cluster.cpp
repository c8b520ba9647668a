#include "tests/cell_core/core_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>

#include "base/event_log.h"
#include "wire/codec.h"

namespace parsleyline::cell {
namespace {

constexpr int kInitialVoters = 3;

std::uint16_t FreePort(boost::asio::io_context& io) {
  using boost::asio::ip::tcp;
  return tcp::acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
}

NodeId Address(int i) { return NodeId("127.0.0." + std::to_string(i + 1)); }

}  // namespace

CoreCluster::CoreCluster(int count) {
  SetMinimumSeverity(Severity::kError);
  std::vector<NodeId> seeds;
  for (int i = 0; i < std::min(count, kInitialVoters); ++i) seeds.push_back(Address(i));
  const std::uint16_t port = FreePort(io_);
  for (int i = 0; i < count; ++i) {
    auto node = std::make_unique<Node>(io_, Address(i), port);
    CoreSettings settings;
    settings.node = Address(i);
    settings.data_folder = folder_.path() + "/" + std::to_string(i);
    settings.seeds = seeds;
    settings.bootstrap = i < kInitialVoters;
    settings.file_system = &node->disk;
    node->core = std::make_unique<CellCore>(io_, settings, node->peers, workers_, workers_);
    node->core->RegisterMethods(node->server);
    CPPUNIT_ASSERT(node->core->Start().has_value());
    CPPUNIT_ASSERT(node->server.Listen(Address(i).value(), port).has_value());
    nodes_.push_back(std::move(node));
  }
  client_peers_ = std::make_unique<Peers>(io_, NodeId("127.0.0.100"), port);
  client_ = std::make_unique<CellClient>(io_, *client_peers_, seeds);
  client_->Start();
}

CoreCluster::~CoreCluster() = default;

void CoreCluster::Run(Milliseconds time) { io_.run_for(time); }

bool CoreCluster::RunUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    io_.run_one_for(Milliseconds(5));
  }
  return true;
}

int CoreCluster::Leader() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->core->IsLeader()) return static_cast<int>(i);
  }
  return -1;
}

ResultCode CoreCluster::PutConfig(const job::CellConfig& config, Milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < deadline) {
    auto code = std::make_shared<std::optional<ResultCode>>();
    client_->Call(kPutConfigMethod, wire::Encode(config), Milliseconds(2000),
                  [code](const CellClient::CallResult& result) {
                    const auto reply = result.body ? wire::Decode<StatusReply>(*result.body)
                                                   : tl::make_unexpected(result.body.error());
                    *code = reply ? static_cast<ResultCode>(reply->code) : reply.error().code;
                  });
    RunUntil([&code] { return code->has_value(); }, Milliseconds(3000));
    const ResultCode answer = code->value_or(ResultCode::kNoLeader);
    if (answer == ResultCode::kOk || answer == ResultCode::kBodyTooLarge) return answer;
  }
  return ResultCode::kNoLeader;
}

job::CellConfig CoreCluster::Config(std::uint64_t version, std::size_t bytes) {
  job::CellConfig config;
  config.version = job::ConfigVersion(version);
  config.document = std::string(bytes, 'c');
  return config;
}

}  // namespace parsleyline::cell
