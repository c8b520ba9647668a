#include "raft/raft_types.h"

#include <algorithm>

namespace parsleyline::raft {

std::ostream& operator<<(std::ostream& out, const ReplicaId& id) {
  return out << id.node << '/' << std::hex << id.identity << std::dec;
}

const Member* Configuration::Find(const ReplicaId& replica) const {
  const auto it = std::find_if(members.begin(), members.end(),
                               [&replica](const Member& m) { return m.replica == replica; });
  return it != members.end() ? &*it : nullptr;
}

bool Configuration::HasNode(const NodeId& node) const {
  return std::any_of(members.begin(), members.end(),
                     [&node](const Member& m) { return m.replica.node == node; });
}

bool Configuration::IsVoter(const ReplicaId& replica) const {
  const Member* member = Find(replica);
  return member != nullptr && member->membership == Membership::kVoter;
}

std::size_t Configuration::VoterCount() const {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const Member& m) { return m.membership == Membership::kVoter; }));
}

}  // namespace parsleyline::raft
