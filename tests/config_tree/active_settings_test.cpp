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

/// State of a FakeStore, which outlives the ActiveSettings that use the store.
struct StoredSettings {
  std::optional<wire::SettingsSnapshot> snapshot;
  bool save_fails = false;
  int save_count = 0;
};

class FakeStore : public SnapshotStore {
 public:
  explicit FakeStore(StoredSettings* stored_settings) : stored_settings_(stored_settings) {}
  Result<void> Save(const wire::SettingsSnapshot& snapshot) override {
    ++stored_settings_->save_count;
    if (stored_settings_->save_fails) return Fail(ResultCode::kStorageFull, "test");
    stored_settings_->snapshot = snapshot;
    return {};
  }
  Result<std::optional<wire::SettingsSnapshot>> Load() override {
    return stored_settings_->snapshot;
  }

 private:
  StoredSettings* stored_settings_;
};

std::unique_ptr<ActiveSettings> Start(StoredSettings* stored_settings) {
  auto settings = std::make_unique<ActiveSettings>(std::make_unique<FakeStore>(stored_settings));
  CPPUNIT_ASSERT(settings->Load().has_value());
  return settings;
}

}  // namespace

class ActiveSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ActiveSettingsTest);
  CPPUNIT_TEST(Update_RandomOrderAndRestarts_NeverReturnsToOlder);
  CPPUNIT_TEST(Update_InvalidTree_KeepsActiveAndRecordsRevision);
  CPPUNIT_TEST(Update_NewRevision_IsSavedBeforeSubscribersAreCalled);
  CPPUNIT_TEST(Update_SaveFails_IsActiveAndSavedLater);
  CPPUNIT_TEST(Age_AfterContacts_IsTimeSinceLatestConfirmation);
  CPPUNIT_TEST(File_SavedAndDamaged_IsLoadedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against returning to old settings after a restart or a reply from a lagging replica.
  void Update_RandomOrderAndRestarts_NeverReturnsToOlder() {
    CPPUNIT_ASSERT(rc::check("active revisions", [](const std::vector<std::uint8_t>& input) {
      StoredSettings stored_settings;
      auto settings = Start(&stored_settings);
      std::uint64_t highest = 0;
      for (const std::uint8_t number : input) {
        if (number % 8 == 0) settings = Start(&stored_settings);
        const UpdateResult result = settings->Update(Snapshot(number), kStart);
        RC_ASSERT((result == UpdateResult::kApplied) == (number > highest));
        highest = std::max<std::uint64_t>(highest, number);
        const auto view = settings->Current(kStart);
        RC_ASSERT(view.revision == Revision(highest));
        RC_ASSERT(highest == 0 || *view.tree == TreeOf(highest));
      }
    }));
  }

  // Guards against activating an invalid tree, or an older one after it.
  void Update_InvalidTree_KeepsActiveAndRecordsRevision() {
    ActiveSettings settings;
    CPPUNIT_ASSERT(settings.Update(Snapshot(5), kStart) == UpdateResult::kApplied);
    CPPUNIT_ASSERT(settings.Update({Revision(9), "{\"x\": 1}"}, kStart) == UpdateResult::kInvalid);
    CPPUNIT_ASSERT(settings.Update({Revision(9), ""}, kStart) == UpdateResult::kInvalid);
    CPPUNIT_ASSERT(settings.Update({Revision(5), "{}"}, kStart) == UpdateResult::kOlder);
    CPPUNIT_ASSERT(settings.Update(Snapshot(8), kStart) == UpdateResult::kOlder);
    CPPUNIT_ASSERT_EQUAL(Revision(5), settings.Current(kStart).revision);
    CPPUNIT_ASSERT(settings.Update(Snapshot(9), kStart) == UpdateResult::kApplied);
    CPPUNIT_ASSERT(settings.Update({Revision(9), "{}"}, kStart) == UpdateResult::kInvalid);
  }

  // Guards against losing an active revision in a crash.
  void Update_NewRevision_IsSavedBeforeSubscribersAreCalled() {
    StoredSettings stored_settings;
    const auto settings = Start(&stored_settings);
    std::vector<std::uint64_t> seen;
    settings->Subscribe([&](Revision revision, const std::string& tree) {
      seen.push_back(revision.value());
      if (revision == Revision(0)) return;
      CPPUNIT_ASSERT(stored_settings.snapshot && stored_settings.snapshot->revision == revision);
      CPPUNIT_ASSERT_EQUAL(TreeOf(revision.value()), tree);
      CPPUNIT_ASSERT_EQUAL(revision, settings->Current(kStart).revision);
    });
    for (const std::uint64_t revision : {3, 2, 3, 7}) settings->Update(Snapshot(revision), kStart);
    CPPUNIT_ASSERT((seen == std::vector<std::uint64_t>{0, 3, 7}));
    CPPUNIT_ASSERT_EQUAL(2, stored_settings.save_count);
  }

  // Guards against a full disk that prevents a change of the settings, or after which saving is
  // never retried.
  void Update_SaveFails_IsActiveAndSavedLater() {
    StoredSettings stored_settings;
    const auto settings = Start(&stored_settings);
    stored_settings.save_fails = true;
    CPPUNIT_ASSERT(settings->Update(Snapshot(4), kStart) == UpdateResult::kApplied);
    CPPUNIT_ASSERT(!stored_settings.snapshot);
    stored_settings.save_fails = false;
    CPPUNIT_ASSERT(settings->Update({Revision(4), ""}, kStart) == UpdateResult::kUnchanged);
    CPPUNIT_ASSERT(stored_settings.snapshot && stored_settings.snapshot->tree == TreeOf(4));
  }

  // Guards against an age that is too low because a lagging or partitioned replica replied.
  void Age_AfterContacts_IsTimeSinceLatestConfirmation() {
    const auto at = [](int ms) { return kStart + Milliseconds(ms); };
    ActiveSettings settings;
    CPPUNIT_ASSERT(!settings.Current(kStart).age);
    settings.Update(Snapshot(2, Milliseconds(300)), at(1000));
    CPPUNIT_ASSERT(settings.Current(at(1500)).age == Milliseconds(800));
    settings.Update({Revision(1), ""}, at(1500));
    settings.Update({Revision(2), "", Milliseconds(5000)}, at(1500));
    CPPUNIT_ASSERT(settings.Current(at(1500)).age == Milliseconds(800));
    settings.Update({Revision(2), ""}, at(1500));
    CPPUNIT_ASSERT(settings.Current(at(1510)).age == Milliseconds(10));
  }

  // Guards against loading settings from an incomplete or damaged file.
  void File_SavedAndDamaged_IsLoadedOrRejected() {
    const std::string folder = std::string(PARSLEYLINE_BINARY_DIR) + "/active_settings_test_data";
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
    SnapshotFile folder_is_file(path);
    CPPUNIT_ASSERT(folder_is_file.Save(Snapshot(8)).error().code == ResultCode::kStorageFailed);
    std::filesystem::remove_all(folder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActiveSettingsTest);

}  // namespace parsleyline::config_tree
