#include "raft/voter_layout.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

namespace parsleyline::raft {
namespace {

std::vector<DomainNodes> Domains(const std::vector<int>& sizes) {
  std::vector<DomainNodes> domains;
  for (std::size_t d = 0; d < sizes.size(); ++d) {
    const std::string name = "domain" + std::to_string(d);
    domains.push_back({DomainId(name), {}});
    for (int n = 0; n < sizes[d]; ++n) {
      domains.back().nodes.emplace_back(name + "-" + std::to_string(n));
    }
  }
  return domains;
}

std::size_t CountIn(const DomainNodes& domain, const std::vector<NodeId>& voters) {
  return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&](const auto& id) {
    return std::find(domain.nodes.begin(), domain.nodes.end(), id) != domain.nodes.end();
  }));
}

void CheckLayout(const std::vector<int>& sizes, RemoteVoters remote) {
  const auto domains = Domains(sizes);
  const auto layout = ChooseVoters(domains, remote);
  CPPUNIT_ASSERT(layout.has_value());
  CPPUNIT_ASSERT_EQUAL(domains.size(), layout->domains.size());
  std::map<NodeId, int> groups;
  for (std::size_t d = 0; d < domains.size(); ++d) {
    const DomainVoters& voters = layout->domains[d];
    const std::size_t total = voters.local.size() + voters.remote.size();
    const std::size_t majority = total / 2 + 1;
    CPPUNIT_ASSERT_EQUAL(voters.local.size(), CountIn(domains[d], voters.local));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountIn(domains[d], voters.remote));
    // A disconnected domain has a majority. A connected one has a majority without any one VM.
    CPPUNIT_ASSERT(voters.local.size() >= majority);
    CPPUNIT_ASSERT(total - 1 >= majority);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, total % 2);
    for (const auto& id : voters.local) ++groups[id];
    for (const auto& id : voters.remote) ++groups[id];
  }
  // The settings group survives the loss of any domain, and of any two VMs.
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, layout->settings.size());
  for (const auto& domain : domains) {
    CPPUNIT_ASSERT(layout->settings.size() - CountIn(domain, layout->settings) >= 3);
  }
  for (const auto& id : layout->settings) ++groups[id];
  for (const auto& [id, count] : groups) CPPUNIT_ASSERT(count <= 4);
}

}  // namespace

class VoterLayoutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VoterLayoutTest);
  CPPUNIT_TEST(Layout_ThreeDomains_KeepsMajorities);
  CPPUNIT_TEST(Layout_FourDomains_KeepsMajorities);
  CPPUNIT_TEST(Layout_TooFewNodes_IsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a domain that stops when it is disconnected or loses one VM.
  void Layout_ThreeDomains_KeepsMajorities() {
    for (const RemoteVoters remote : {RemoteVoters::kNone, RemoteVoters::kTwo}) {
      CheckLayout({3, 3, 2}, remote);
      CheckLayout({3, 3, 3}, remote);
    }
  }

  void Layout_FourDomains_KeepsMajorities() {
    for (const RemoteVoters remote : {RemoteVoters::kNone, RemoteVoters::kTwo}) {
      CheckLayout({2, 2, 2, 2}, remote);
      CheckLayout({3, 2, 2, 2}, remote);
    }
  }

  // Guards against a layout that seems valid but does not survive the loss of a VM.
  void Layout_TooFewNodes_IsRejected() {
    CPPUNIT_ASSERT(!ChooseVoters(Domains({1, 3, 3}), RemoteVoters::kNone).has_value());
    CPPUNIT_ASSERT(!ChooseVoters(Domains({2}), RemoteVoters::kNone).has_value());
    auto repeated = Domains({2, 2, 2});
    repeated[1].nodes[0] = repeated[0].nodes[0];
    CPPUNIT_ASSERT(!ChooseVoters(repeated, RemoteVoters::kNone).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VoterLayoutTest);

}  // namespace parsleyline::raft
