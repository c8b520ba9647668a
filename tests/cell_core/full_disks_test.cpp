#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "tests/cell_core/core_cluster.h"

namespace parsleyline::cell {
namespace {

constexpr Milliseconds kAnswerLimit{5000};

}  // namespace

class FullDisksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FullDisksTest);
  CPPUNIT_TEST(Disks_FullOneAfterAnother_ChangesAreAcknowledged);
  CPPUNIT_TEST(PutConfig_LargeDocument_IsAcknowledged);
  CPPUNIT_TEST(Stop_DiskRefusesStart_Ends);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a cell that refuses changes after the disk of each replica was full for a while.
  void Disks_FullOneAfterAnother_ChangesAreAcknowledged() {
    for (const int cores : {3, 4}) {
      CoreCluster cluster(cores);
      std::uint64_t version = 1;
      CPPUNIT_ASSERT(ResultCode::kOk ==
                     cluster.PutConfig(CoreCluster::Config(version), Milliseconds(15'000)));
      for (int i = 0; i < 2 * cores; ++i) {
        const int full = i < cores ? i : std::max(0, cluster.Leader());
        cluster.disk(full).full = true;
        cluster.Run(Milliseconds(1000));
        const std::string what = std::to_string(cores) + " cores, disk " + std::to_string(full);
        CPPUNIT_ASSERT_MESSAGE(
            what + " full",
            ResultCode::kOk == cluster.PutConfig(CoreCluster::Config(++version), kAnswerLimit));
        cluster.Run(Milliseconds(2000));
        cluster.disk(full).full = false;
        CPPUNIT_ASSERT_MESSAGE(
            what + " free again",
            ResultCode::kOk == cluster.PutConfig(CoreCluster::Config(++version), kAnswerLimit));
        CPPUNIT_ASSERT_MESSAGE(what + " has caught up",
                               cluster.RunUntil(
                                   [&] {
                                     return cluster.core(full).state().config().version ==
                                            job::ConfigVersion(version);
                                   },
                                   kAnswerLimit));
      }
    }
  }

  // Guards against a configuration that exceeds the size of a Raft message and that the leader then
  // proposes again for ever, together with all later changes.
  void PutConfig_LargeDocument_IsAcknowledged() {
    CoreCluster cluster(3);
    CPPUNIT_ASSERT(ResultCode::kOk ==
                   cluster.PutConfig(CoreCluster::Config(1), Milliseconds(15'000)));
    std::uint64_t version = 1;
    for (const std::size_t bytes : {1'500'000, 4 << 20}) {
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(bytes),
          ResultCode::kOk ==
              cluster.PutConfig(CoreCluster::Config(++version, bytes), kAnswerLimit));
      CPPUNIT_ASSERT(ResultCode::kOk ==
                     cluster.PutConfig(CoreCluster::Config(++version), kAnswerLimit));
    }
    const std::size_t too_large = (8 << 20) - 32'000;
    CPPUNIT_ASSERT(ResultCode::kBodyTooLarge ==
                   cluster.PutConfig(CoreCluster::Config(++version, too_large), kAnswerLimit));
    CPPUNIT_ASSERT(ResultCode::kOk ==
                   cluster.PutConfig(CoreCluster::Config(++version), kAnswerLimit));
  }

  // Guards against a crash when a process is stopped while its log cannot be opened.
  void Stop_DiskRefusesStart_Ends() {
    CoreCluster cluster(3);
    CPPUNIT_ASSERT(ResultCode::kOk ==
                   cluster.PutConfig(CoreCluster::Config(1), Milliseconds(15'000)));
    const int leader = cluster.Leader();
    cluster.disk(leader).full = true;
    cluster.PutConfig(CoreCluster::Config(2), kAnswerLimit);
    cluster.Run(Milliseconds(1500));
    bool stopped = false;
    cluster.core(leader).Stop([&stopped] { stopped = true; });
    CPPUNIT_ASSERT(cluster.RunUntil([&stopped] { return stopped; }, kAnswerLimit));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FullDisksTest);

}  // namespace parsleyline::cell
