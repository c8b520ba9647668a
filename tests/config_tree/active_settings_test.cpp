#include "config_tree/active_settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "config_tree/snapshot_file.h"

namespace parsleyline::config_tree {
namespace {

constexpr TimePoint kStart{};

std::string TreeOf(std::uint64_t revision) {
  return R"({"teams":{"suva":{"weight":)" + std::to_string(1 + revision % 1000) + "}}}";
}

wire::SettingsSnapshot Snapshot(std::uint64_t revision, Milliseconds age = Milliseconds(0)) {
  return {Revision(revision), TreeOf(revision), age};
}

/// A store in memory that outlives the follower and fails on demand.
struct Disk {
  std::optional<wire::SettingsSnapshot> stored;
  bool fails = false;
  int saves = 0;
};

class FakeStore : public SnapshotStore {
 public:
  explicit FakeStore(Disk* disk) : disk_(disk) {}
  Result<void> Save(const wire::SettingsSnapshot& snapshot) override {
    ++disk_->saves;
    if (disk_->fails) return Fail(ResultCode::kStorageFull, "test");
    disk_->stored = snapshot;
    return {};
  }
  Result<std::optional<wire::SettingsSnapshot>> Load() override { return disk_->stored; }

 private:
  Disk* disk_;
};

std::unique_ptr<ActiveSettings> Start(Disk* disk) {
  auto follower = std::make_unique<ActiveSettings>(std::make_unique<FakeStore>(disk));
  CPPUNIT_ASSERT(follower->Load().has_value());
  return follower;
}

}  // namespace

class ActiveSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ActiveSettingsTest);
  CPPUNIT_TEST(Accept_RandomOrderAndRestarts_NeverGoesBack);
  CPPUNIT_TEST(Accept_InvalidTree_KeepsLastAndRemembersRevision);
  CPPUNIT_TEST(Accept_NewRevision_IsSavedBeforeSubscribersSeeIt);
  CPPUNIT_TEST(Accept_SaveFails_IsInForceAndSavedLater);
  CPPUNIT_TEST(Age_AfterContacts_CountsFromTheFreshest);
  CPPUNIT_TEST(File_SavedAndDamaged_IsLoadedOrRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a lagging replica or a restart that brings back old settings.
  void Accept_RandomOrderAndRestarts_NeverGoesBack() {
    CPPUNIT_ASSERT(rc::check("revisions in force", [](const std::vector<std::uint8_t>& input) {
      Disk disk;
      auto follower = Start(&disk);
      std::uint64_t highest = 0;
      for (const std::uint8_t number : input) {
        if (number % 8 == 0) follower = Start(&disk);
        const UpdateResult accepted = follower->Update(Snapshot(number), kStart);
        RC_ASSERT((accepted == UpdateResult::kApplied) == (number > highest));
        highest = std::max<std::uint64_t>(highest, number);
        const auto view = follower->Current(kStart);
        RC_ASSERT(view.revision == Revision(highest));
        RC_ASSERT(highest == 0 || *view.tree == TreeOf(highest));
      }
    }));
  }

  // Guards against a process that puts a faulty tree in force, or an older one after it.
  void Accept_InvalidTree_KeepsLastAndRemembersRevision() {
    ActiveSettings follower;
    CPPUNIT_ASSERT(follower.Update(Snapshot(5), kStart) == UpdateResult::kApplied);
    CPPUNIT_ASSERT(follower.Update({Revision(9), "{\"x\": 1}"}, kStart) == UpdateResult::kInvalid);
    CPPUNIT_ASSERT(follower.Update({Revision(9), ""}, kStart) == UpdateResult::kInvalid);
    CPPUNIT_ASSERT(follower.Update({Revision(5), "{}"}, kStart) == UpdateResult::kOlder);
    CPPUNIT_ASSERT(follower.Update(Snapshot(8), kStart) == UpdateResult::kOlder);
    CPPUNIT_ASSERT_EQUAL(Revision(5), follower.Current(kStart).revision);
    CPPUNIT_ASSERT(follower.Update(Snapshot(9), kStart) == UpdateResult::kApplied);
    CPPUNIT_ASSERT(follower.Update({Revision(9), "{}"}, kStart) == UpdateResult::kInvalid);
  }

  // Guards against a revision that was in force and is gone after a crash.
  void Accept_NewRevision_IsSavedBeforeSubscribersSeeIt() {
    Disk disk;
    const auto follower = Start(&disk);
    std::vector<std::uint64_t> seen;
    follower->Subscribe([&](Revision revision, const std::string& tree) {
      seen.push_back(revision.value());
      if (revision == Revision(0)) return;
      CPPUNIT_ASSERT(disk.stored && disk.stored->revision == revision);
      CPPUNIT_ASSERT_EQUAL(TreeOf(revision.value()), tree);
      CPPUNIT_ASSERT_EQUAL(revision, follower->Current(kStart).revision);
    });
    for (const std::uint64_t revision : {3, 2, 3, 7}) follower->Update(Snapshot(revision), kStart);
    CPPUNIT_ASSERT((seen == std::vector<std::uint64_t>{0, 3, 7}));
    CPPUNIT_ASSERT_EQUAL(2, disk.saves);
  }

  // Guards against a full disk that stops a settings change, or that is never retried.
  void Accept_SaveFails_IsInForceAndSavedLater() {
    Disk disk;
    const auto follower = Start(&disk);
    disk.fails = true;
    CPPUNIT_ASSERT(follower->Update(Snapshot(4), kStart) == UpdateResult::kApplied);
    CPPUNIT_ASSERT(!disk.stored);
    disk.fails = false;
    CPPUNIT_ASSERT(follower->Update({Revision(4), ""}, kStart) == UpdateResult::kUnchanged);
    CPPUNIT_ASSERT(disk.stored && disk.stored->tree == TreeOf(4));
  }

  // Guards against an age that looks fresh because a lagging or partitioned replica answered.
  void Age_AfterContacts_CountsFromTheFreshest() {
    const auto at = [](int ms) { return kStart + Milliseconds(ms); };
    ActiveSettings follower;
    CPPUNIT_ASSERT(!follower.Current(kStart).age);
    follower.Update(Snapshot(2, Milliseconds(300)), at(1000));
    CPPUNIT_ASSERT(follower.Current(at(1500)).age == Milliseconds(800));
    follower.Update({Revision(1), ""}, at(1500));
    follower.Update({Revision(2), "", Milliseconds(5000)}, at(1500));
    CPPUNIT_ASSERT(follower.Current(at(1500)).age == Milliseconds(800));
    follower.Update({Revision(2), ""}, at(1500));
    CPPUNIT_ASSERT(follower.Current(at(1510)).age == Milliseconds(10));
  }

  // Guards against a torn or damaged file that is taken for settings.
  void File_SavedAndDamaged_IsLoadedOrRefused() {
    const std::string folder = std::string(PARSLEYLINE_BINARY_DIR) + "/follower_test_data";
    std::filesystem::remove_all(folder);
    SnapshotFile file(folder);
    CPPUNIT_ASSERT(!file.Load()->has_value());
    CPPUNIT_ASSERT(file.Save(Snapshot(6)).has_value());
    CPPUNIT_ASSERT(file.Save(Snapshot(7)).has_value());
    CPPUNIT_ASSERT_EQUAL(TreeOf(7), (*file.Load())->tree);
    const std::string path = folder + "/settings.snapshot";
    CPPUNIT_ASSERT(!std::filesystem::exists(path + ".tmp"));
    std::fstream bytes(path, std::ios::in | std::ios::out | std::ios::binary);
    bytes.seekp(12).put('#');
    bytes.close();
    CPPUNIT_ASSERT(file.Load().error().code == ResultCode::kStorageCorrupt);
    std::filesystem::resize_file(path, 9);
    CPPUNIT_ASSERT(file.Load().error().code == ResultCode::kStorageCorrupt);
    SnapshotFile beneath_file(path);
    CPPUNIT_ASSERT(beneath_file.Save(Snapshot(8)).error().code == ResultCode::kStorageFailed);
    std::filesystem::remove_all(folder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActiveSettingsTest);

}  // namespace parsleyline::config_tree
