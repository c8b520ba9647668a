#include "entry/request_ids.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace parsleyline::entry {

class RequestIdsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestIdsTest);
  CPPUNIT_TEST(ForKey_DomainsInOtherOrder_GivesSameIdAndHome);
  CPPUNIT_TEST(ForKey_OtherTeamOrKey_GivesOtherId);
  CPPUNIT_TEST(ForKey_ManyKeys_UsesEveryDomain);
  CPPUNIT_TEST(New_EachTime_IsUniqueAndNamesHome);
  CPPUNIT_TEST(HomeOf_UnknownDomain_IsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against entry daemons that derive different ids because their settings list the domains
  // in another order.
  void ForKey_DomainsInOtherOrder_GivesSameIdAndHome() {
    const RequestIds other({kNorth, kLautoka, kSuva});
    for (const char* key : {"1", "2", "order-17", ""}) {
      const RequestId id = ids_.ForKey(TeamId("t"), key);
      CPPUNIT_ASSERT(id == other.ForKey(TeamId("t"), key));
      CPPUNIT_ASSERT(ids_.HomeOf(id).has_value() && ids_.HomeOf(id) == other.HomeOf(id));
    }
  }

  // Guards against two requests that get the same id and so share a record.
  void ForKey_OtherTeamOrKey_GivesOtherId() {
    CPPUNIT_ASSERT(ids_.ForKey(TeamId("a"), "k") != ids_.ForKey(TeamId("b"), "k"));
    CPPUNIT_ASSERT(ids_.ForKey(TeamId("a"), "k") != ids_.ForKey(TeamId("a"), "l"));
    // The boundary between team and key is part of the hash.
    CPPUNIT_ASSERT(ids_.ForKey(TeamId("ab"), "c") != ids_.ForKey(TeamId("a"), "bc"));
  }

  // Guards against a hash that assigns all keys to one domain.
  void ForKey_ManyKeys_UsesEveryDomain() {
    std::set<DomainId> homes;
    for (int i = 0; i < 100; ++i) {
      homes.insert(*ids_.HomeOf(ids_.ForKey(TeamId("t"), std::to_string(i))));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, homes.size());
  }

  // Guards against ids that are issued twice or name another home domain.
  void New_EachTime_IsUniqueAndNamesHome() {
    std::set<RequestId> seen;
    for (int i = 0; i < 1000; ++i) {
      const RequestId id = ids_.New(kNorth);
      CPPUNIT_ASSERT(ids_.HomeOf(id) == kNorth);
      CPPUNIT_ASSERT(seen.insert(id).second);
    }
  }

  // Guards against requests to a home domain that does not exist, by ids that callers make up.
  void HomeOf_UnknownDomain_IsNothing() {
    for (const char* id : {"", "-", "suva", "apia-r1", "-r1", "north-r1"}) {
      CPPUNIT_ASSERT_MESSAGE(id, !ids_.HomeOf(RequestId(id)).has_value());
    }
  }

 private:
  const DomainId kSuva{"suva"};
  const DomainId kLautoka{"lautoka"};
  // Has a dash, which also separates the parts of an id.
  const DomainId kNorth{"vanua-north"};
  const RequestIds ids_{{kSuva, kLautoka, kNorth}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestIdsTest);

}  // namespace parsleyline::entry
