#include "raft/voter_layout.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace parsleyline::raft {
namespace {

constexpr std::size_t kMaxLocalVoters = 3;
constexpr std::size_t kMinLocalVoters = 2;
// Five voters still have a majority if a second voter fails before the first one is replaced.
constexpr std::size_t kMaxSettingsVoters = 5;
constexpr std::size_t kMinSettingsVoters = 3;
constexpr std::size_t kMinDomainsForMaxSettingsVoters = 3;

/// Chooses VMs as voters, preferring those that are voters in the fewest groups.
class VoterPicker {
 public:
  explicit VoterPicker(const std::vector<DomainNodes>& domains) : domains_(domains) {}

  /// Returns a VM of `domain` that is not yet in `voters`, or std::nullopt if there is none.
  std::optional<NodeId> PickFrom(const DomainNodes& domain, const std::vector<NodeId>& voters) {
    const NodeId* best = nullptr;
    for (const NodeId& node : domain.nodes) {
      if (std::find(voters.begin(), voters.end(), node) != voters.end()) continue;
      if (best == nullptr || LoadRank(node) < LoadRank(*best)) best = &node;
    }
    if (best == nullptr) return std::nullopt;
    ++group_counts_[*best];
    return *best;
  }

  /// Returns a VM outside the domain `home` that is not yet in `voters`, from a domain with as few
  /// of `voters` as possible, or std::nullopt if there is none.
  std::optional<NodeId> PickRemote(const DomainId& home, const std::vector<NodeId>& voters) {
    const NodeId* best = nullptr;
    std::pair<std::size_t, std::pair<int, NodeId>> best_rank;
    for (const DomainNodes& domain : domains_) {
      if (domain.domain == home) continue;
      const std::size_t voters_in_domain = CountIn(domain, voters);
      for (const NodeId& node : domain.nodes) {
        if (std::find(voters.begin(), voters.end(), node) != voters.end()) continue;
        auto rank = std::pair(voters_in_domain, LoadRank(node));
        if (best != nullptr && rank >= best_rank) continue;
        best = &node;
        best_rank = std::move(rank);
      }
    }
    if (best == nullptr) return std::nullopt;
    ++group_counts_[*best];
    return *best;
  }

 private:
  static std::size_t CountIn(const DomainNodes& domain, const std::vector<NodeId>& voters) {
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [&domain](const NodeId& voter) {
          return std::find(domain.nodes.begin(), domain.nodes.end(), voter) != domain.nodes.end();
        }));
  }
  std::pair<int, NodeId> LoadRank(const NodeId& node) const {
    const auto it = group_counts_.find(node);
    return {it != group_counts_.end() ? it->second : 0, node};
  }

  const std::vector<DomainNodes>& domains_;
  std::map<NodeId, int> group_counts_;
};

Result<void> ValidateDomains(const std::vector<DomainNodes>& domains) {
  std::set<NodeId> nodes;
  std::set<DomainId> names;
  for (const DomainNodes& domain : domains) {
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
  if (nodes.size() < kMinSettingsVoters) {
    return Fail(ResultCode::kOutOfRange, "at least three VMs with disks are needed");
  }
  return {};
}

DomainVoters ChooseLocalVoters(const DomainNodes& domain, VoterPicker* picker) {
  DomainVoters voters{domain.domain, {}, {}};
  while (voters.local.size() < std::min(kMaxLocalVoters, domain.nodes.size())) {
    voters.local.push_back(*picker->PickFrom(domain, voters.local));
  }
  return voters;
}

void AddRemoteVoters(DomainVoters* voters, RemoteVoters remote, VoterPicker* picker) {
  std::size_t count = remote == RemoteVoters::kTwo ? 2 : 0;
  // With more than one remote voter, two local voters would not be a majority.
  if (voters->local.size() == kMinLocalVoters) count = 1;
  while (voters->remote.size() < count) {
    auto node = picker->PickRemote(voters->domain, voters->remote);
    if (!node) break;
    voters->remote.push_back(std::move(*node));
  }
  // A fourth voter would not let the group survive another loss, but each commit would need one
  // more reply.
  if (count == 2 && voters->remote.size() == 1) voters->remote.clear();
}

std::vector<NodeId> ChooseSettingsVoters(const std::vector<DomainNodes>& domains,
                                         VoterPicker* picker) {
  std::size_t total = 0;
  for (const DomainNodes& domain : domains) total += domain.nodes.size();
  const bool use_maximum =
      domains.size() >= kMinDomainsForMaxSettingsVoters && total >= kMaxSettingsVoters;
  const std::size_t count = use_maximum ? kMaxSettingsVoters : kMinSettingsVoters;
  std::vector<NodeId> voters;
  // With no home domain, each voter is chosen from a domain with the fewest voters so far.
  while (voters.size() < count) voters.push_back(*picker->PickRemote(DomainId(), voters));
  return voters;
}

}  // namespace

Result<VoterLayout> ChooseVoters(const std::vector<DomainNodes>& domains, RemoteVoters remote) {
  if (auto valid = ValidateDomains(domains); !valid) return tl::make_unexpected(valid.error());
  VoterPicker picker(domains);
  VoterLayout layout;
  for (const DomainNodes& domain : domains) {
    layout.domains.push_back(ChooseLocalVoters(domain, &picker));
  }
  for (DomainVoters& voters : layout.domains) AddRemoteVoters(&voters, remote, &picker);
  layout.settings = ChooseSettingsVoters(domains, &picker);
  return layout;
}

}  // namespace parsleyline::raft
