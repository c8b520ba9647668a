#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "config_tree/active_settings.h"
#include "config_tree/config_tree.h"
#include "config_tree/snapshot_file.h"
#include "wire/codec.h"

// Measures the settings tree with 140 teams: edits, snapshots, and updates of the active settings.
namespace parsleyline::config_tree {
namespace {

using WallClock = std::chrono::steady_clock;

constexpr std::size_t kTeams = 140;
constexpr std::size_t kUpdates = 1000;

double MicrosSince(WallClock::time_point start) {
  return std::chrono::duration<double, std::micro>(WallClock::now() - start).count();
}

wire::SettingsEdit MakeEdit(std::size_t n, Revision expected) {
  const std::string team = "team-" + std::to_string(n % kTeams);
  wire::SettingsEdit edit;
  edit.operation = OperationId("cli-0123456789abcdef0123456789abcdef-" + std::to_string(n));
  edit.author = TeamId(n % 2 == 0 ? team : "operator");
  edit.expected_revision = expected;
  edit.path = "/teams/" + team + (n < kTeams ? "" : "/weight");
  edit.value = n < kTeams ? R"({"weight": 3, "cpu_quota_millis": 640000, "accelerator_quota": 8})"
                          : std::to_string(1 + n % 1000);
  edit.edit_time_seconds = 1'764'838'800 + n;
  return edit;
}

void Require(bool condition, const char* what) {
  if (condition) return;
  std::fprintf(stderr, "failed: %s\n", what);
  std::exit(EXIT_FAILURE);
}

struct EditTimes {
  std::vector<double> micros;
  std::size_t bytes = 0;
};

EditTimes ApplyEdits(ConfigTree* tree, std::size_t edits) {
  EditTimes times;
  times.micros.reserve(edits);
  for (std::size_t i = 0; i < edits; ++i) {
    const wire::SettingsEdit edit = MakeEdit(tree->revision().value(), tree->revision());
    times.bytes += wire::Encode(edit).size();
    const auto start = WallClock::now();
    const auto reply = tree->Apply(edit);
    times.micros.push_back(MicrosSince(start));
    Require(reply.code == ResultCode::kOk, "edit is accepted");
  }
  std::sort(times.micros.begin(), times.micros.end());
  return times;
}

void MeasureTree(std::size_t edits) {
  ConfigTree tree;
  ApplyEdits(&tree, kTeams);
  EditTimes times = ApplyEdits(&tree, edits);
  double total = 0;
  for (const double micros : times.micros) total += micros;
  auto start = WallClock::now();
  const std::string snapshot = tree.TakeSnapshot();
  const double take = MicrosSince(start);
  ConfigTree restored;
  start = WallClock::now();
  Require(restored.Restore(snapshot).has_value(), "snapshot is restored");
  const double restore = MicrosSince(start);
  Require(restored.ToJson() == tree.ToJson(), "restored tree is equal");
  std::printf(
      "edits=%zu total_ms=%.1f edit_us_mean=%.1f edit_us_p99=%.1f edit_us_max=%.1f "
      "bytes_per_edit=%.0f tree_bytes=%zu snapshot_bytes=%zu take_ms=%.2f restore_ms=%.2f\n",
      edits, total / 1000, total / static_cast<double>(edits), times.micros[edits * 99 / 100],
      times.micros.back(), static_cast<double>(times.bytes) / static_cast<double>(edits),
      tree.ToJson().size(), snapshot.size(), take / 1000, restore / 1000);
}

/// Measures updates of the active settings with each revision, with or without a store.
void MeasureActiveSettings(const char* name, std::unique_ptr<SnapshotStore> store) {
  ConfigTree tree;
  ApplyEdits(&tree, kTeams);
  ActiveSettings settings(std::move(store));
  double total = 0;
  for (std::size_t i = 0; i < kUpdates; ++i) {
    ApplyEdits(&tree, 1);
    const wire::SettingsSnapshot snapshot{tree.revision(), tree.ToJson(), Milliseconds(0)};
    const auto start = WallClock::now();
    Require(settings.Update(snapshot, start) == UpdateResult::kApplied, "revision is applied");
    total += MicrosSince(start);
  }
  std::printf("follower=%s changes=%zu total_ms=%.1f change_us_mean=%.1f\n", name, kUpdates,
              total / 1000, total / kUpdates);
}

}  // namespace
}  // namespace parsleyline::config_tree

// Usage: bench_config_tree FOLDER. The active settings are stored below FOLDER.
int main(int argc, char** argv) {
  using parsleyline::config_tree::MeasureActiveSettings;
  using parsleyline::config_tree::MeasureTree;
  using parsleyline::config_tree::SnapshotFile;
  if (argc != 2) {
    std::fprintf(stderr, "usage: bench_config_tree FOLDER\n");
    return EXIT_FAILURE;
  }
  parsleyline::SetMinimumSeverity(parsleyline::Severity::kError);
  for (const std::size_t edits : {1000, 19000}) MeasureTree(edits);
  MeasureActiveSettings("memory", nullptr);
  const std::string folder = std::string(argv[1]) + "/bench_config_tree_data";
  MeasureActiveSettings("file", std::make_unique<SnapshotFile>(folder));
  std::filesystem::remove_all(folder);
  return EXIT_SUCCESS;
}
