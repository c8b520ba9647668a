#include "raft/voter_layout.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace parsleyline::raft {
namespace {

constexpr std::size_t kLocalVoters = 3;
constexpr std::size_t kMinLocalVoters = 2;
// Five voters still have a majority if a second one fails before the first one is replaced.
constexpr std::size_t kManySettingsVoters = 5;
constexpr std::size_t kFewSettingsVoters = 3;
constexpr std::size_t kMinDomainsForManyVoters = 3;

/// Chooses VMs as voters, preferring those that are voters in the fewest groups.
class Picker {
 public:
  explicit Picker(const std::vector<DomainDisks>& domains) : domains_(domains) {}

  /// Returns a VM of `domain` that is not yet in `voters`, or nothing if there is none.
  std::optional<NodeId> PickFrom(const DomainDisks& domain, const std::vector<NodeId>& voters) {
    const NodeId* best = nullptr;
    for (const NodeId& node : domain.nodes) {
      if (std::find(voters.begin(), voters.end(), node) != voters.end()) continue;
      if (best == nullptr || Rank(node) < Rank(*best)) best = &node;
    }
    if (best == nullptr) return std::nullopt;
    ++groups_[*best];
    return *best;
  }

  /// Returns a VM outside the domain `home` that is not yet in `voters`, from a domain with as few
  /// of `voters` as possible, or nothing if there is none.
  std::optional<NodeId> PickRemote(const DomainId& home, const std::vector<NodeId>& voters) {
    const NodeId* best = nullptr;
    std::pair<std::size_t, std::pair<int, NodeId>> best_rank;
    for (const DomainDisks& domain : domains_) {
      if (domain.domain == home) continue;
      const std::size_t present = CountIn(domain, voters);
      for (const NodeId& node : domain.nodes) {
        if (std::find(voters.begin(), voters.end(), node) != voters.end()) continue;
        auto rank = std::pair(present, Rank(node));
        if (best != nullptr && rank >= best_rank) continue;
        best = &node;
        best_rank = std::move(rank);
      }
    }
    if (best == nullptr) return std::nullopt;
    ++groups_[*best];
    return *best;
  }

 private:
  static std::size_t CountIn(const DomainDisks& domain, const std::vector<NodeId>& voters) {
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [&domain](const NodeId& voter) {
          return std::find(domain.nodes.begin(), domain.nodes.end(), voter) != domain.nodes.end();
        }));
  }
  std::pair<int, NodeId> Rank(const NodeId& node) const {
    const auto it = groups_.find(node);
    return {it != groups_.end() ? it->second : 0, node};
  }

  const std::vector<DomainDisks>& domains_;
  std::map<NodeId, int> groups_;
};

Result<void> Check(const std::vector<DomainDisks>& domains) {
  std::set<NodeId> nodes;
  std::set<DomainId> names;
  for (const DomainDisks& domain : domains) {
    const std::string& name = domain.domain.value();
    if (!names.insert(domain.domain).second) {
      return Fail(ResultCode::kOutOfRange, "domain " + name + " is listed twice");
    }
    if (domain.nodes.size() < kMinLocalVoters) {
      return Fail(ResultCode::kOutOfRange, "domain " + name + " needs at least two VMs with disks");
    }
    for (const NodeId& node : domain.nodes) {
      if (nodes.insert(node).second) continue;
      return Fail(ResultCode::kOutOfRange, "VM " + node.value() + " is listed twice");
    }
  }
  if (nodes.size() < kFewSettingsVoters) {
    return Fail(ResultCode::kOutOfRange, "at least three VMs with disks are needed");
  }
  return {};
}

DomainVoters LocalVoters(const DomainDisks& domain, Picker* picker) {
  DomainVoters voters{domain.domain, {}, {}};
  while (voters.local.size() < std::min(kLocalVoters, domain.nodes.size())) {
    voters.local.push_back(*picker->PickFrom(domain, voters.local));
  }
  return voters;
}

void AddRemoteVoters(DomainVoters* voters, RemoteVoters remote, Picker* picker) {
  std::size_t wanted = remote == RemoteVoters::kTwo ? 2 : 0;
  // With more than one remote voter, two local voters would not be a majority.
  if (voters->local.size() == kMinLocalVoters) wanted = 1;
  while (voters->remote.size() < wanted) {
    auto node = picker->PickRemote(voters->domain, voters->remote);
    if (!node) break;
    voters->remote.push_back(std::move(*node));
  }
  // A fourth voter would not let the group survive another loss, but each commit would need one
  // more reply.
  if (wanted == 2 && voters->remote.size() == 1) voters->remote.clear();
}

std::vector<NodeId> SettingsVoters(const std::vector<DomainDisks>& domains, Picker* picker) {
  std::size_t total = 0;
  for (const DomainDisks& domain : domains) total += domain.nodes.size();
  const bool many = domains.size() >= kMinDomainsForManyVoters && total >= kManySettingsVoters;
  const std::size_t wanted = many ? kManySettingsVoters : kFewSettingsVoters;
  std::vector<NodeId> voters;
  // With no home domain, each voter is chosen from a domain with the fewest voters so far.
  while (voters.size() < wanted) voters.push_back(*picker->PickRemote(DomainId(), voters));
  return voters;
}

}  // namespace

Result<VoterLayout> ChooseVoters(const std::vector<DomainDisks>& domains, RemoteVoters remote) {
  if (auto valid = Check(domains); !valid) return tl::make_unexpected(valid.error());
  Picker picker(domains);
  VoterLayout layout;
  for (const DomainDisks& domain : domains) {
    layout.domains.push_back(LocalVoters(domain, &picker));
  }
  for (DomainVoters& voters : layout.domains) AddRemoteVoters(&voters, remote, &picker);
  layout.settings = SettingsVoters(domains, &picker);
  return layout;
}

}  // namespace parsleyline::raft
