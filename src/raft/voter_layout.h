#pragma once

#include <vector>

#include "base/ids.h"
#include "base/result_code.h"

namespace parsleyline::raft {

/// The VMs of one failure domain that have a disk and can therefore be voters.
struct DomainNodes {
  DomainId domain;
  std::vector<NodeId> nodes;
};

/// Whether a group with three local voters also has two voters in other domains. With remote voters
/// the group survives the loss of two VMs while its domain is connected to the others. Without them
/// it survives the loss of one VM at any time, even while its domain is disconnected.
enum class RemoteVoters { kNone, kTwo };

/// The voters of the group of one domain.
struct DomainVoters {
  DomainId domain;
  /// Voters in the domain itself.
  std::vector<NodeId> local;
  /// Voters in other domains.
  std::vector<NodeId> remote;
};

/// The voters of all groups.
struct VoterLayout {
  std::vector<DomainVoters> domains;
  /// The voters of the settings group.
  std::vector<NodeId> settings;
};

/// Chooses the voters of the group of each domain and of the settings group, so that
/// - the local voters are a majority of the group of their domain, so a disconnected domain keeps
///   working;
/// - every group survives the loss of one VM while the domains are connected;
/// - the settings group survives the loss of any domain if there are three or more domains;
/// - the groups are distributed evenly over the VMs.
/// A domain with three or more VMs gets three local voters, a domain with two VMs two local voters
/// and a remote one. The result depends only on the arguments. Fails with kOutOfRange if a domain
/// has fewer than two VMs, if there are fewer than three VMs, or if a domain or VM is listed twice.
Result<VoterLayout> ChooseVoters(const std::vector<DomainNodes>& domains, RemoteVoters remote);

}  // namespace parsleyline::raft
