#include "config_tree/config_tree.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

#include "config_tree/tree_schema.h"
#include "settings/describe.h"

namespace parsleyline::config_tree {
namespace {

wire::SettingsEdit Edit(const std::string& operation, std::uint64_t expected,
                        const std::string& path, const std::string& value,
                        const std::string& author = "operator") {
  return {OperationId(operation), TeamId(author), Revision(expected), path, value, 0};
}

std::string Faults(std::string_view text) {
  std::string lines;
  for (const SchemaError& error : CheckTree(text)) {
    lines += error.path + ": " + error.message + "\n";
  }
  return lines;
}

/// Applies `n` accepted edits, each of which sets the weight of a team.
void ApplyMany(ConfigTree* tree, std::size_t n) {
  for (std::size_t i = 0; i < n; ++i) {
    const std::uint64_t revision = tree->revision().value();
    const auto reply = tree->Apply(Edit("bulk-" + std::to_string(revision), revision,
                                        "/teams/suva/weight", std::to_string(1 + i % 1000)));
    CPPUNIT_ASSERT(reply.code == ResultCode::kOk);
  }
}

}  // namespace

class ConfigTreeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigTreeTest);
  CPPUNIT_TEST(Tree_Unedited_IsEmptyAtRevisionZero);
  CPPUNIT_TEST(Apply_SameExpectedRevision_SecondIsRejectedWithRevision);
  CPPUNIT_TEST(Apply_RepeatedAtAnotherTime_ReturnsFirstReply);
  CPPUNIT_TEST(Apply_RejectedFutureRevision_StaysRejectedWhenRepeated);
  CPPUNIT_TEST(Apply_ManyRejectedEdits_KeepsRepliesToAccepted);
  CPPUNIT_TEST(Apply_MoreEditsThanLimit_LimitsRepliesAndHistory);
  CPPUNIT_TEST(Apply_InvalidOperationId_IsRejected);
  CPPUNIT_TEST(History_AfterEdits_ReturnsOperationAndPreviousValue);
  CPPUNIT_TEST(Get_Paths_ReturnNodesOrNotFound);
  CPPUNIT_TEST(Restore_InvalidBytes_IsRejected);
  CPPUNIT_TEST(CheckTree_ManyErrors_ReportsAll);
  CPPUNIT_TEST(CheckTree_FloorsWithDefaults_AreAddedUp);
  CPPUNIT_TEST(ReadQueuePolicy_FullTree_FillsEveryField);
  CPPUNIT_TEST(Documentation_ComparedWithKeys_IsEqual);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against replicas that start with different trees.
  void Tree_Unedited_IsEmptyAtRevisionZero() {
    const ConfigTree tree;
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"kinds":{},"teams":{}})"), tree.ToJson());
    CPPUNIT_ASSERT_EQUAL(Revision(0), tree.revision());
  }

  // Guards against telling two operators that their edits were accepted although one overwrote the
  // other.
  void Apply_SameExpectedRevision_SecondIsRejectedWithRevision() {
    ConfigTree tree;
    CPPUNIT_ASSERT(tree.Apply(Edit("a", 0, "/teams/suva/weight", "2")).code == ResultCode::kOk);
    const auto rejected = tree.Apply(Edit("b", 0, "/teams/suva/weight", "3"));
    CPPUNIT_ASSERT(rejected.code == ResultCode::kRevisionConflict);
    CPPUNIT_ASSERT_EQUAL(Revision(1), rejected.revision);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *tree.Get("/teams/suva/weight"));
  }

  // Guards against treating a repeated edit as a different one, because it came through another
  // entry daemon and has another time.
  void Apply_RepeatedAtAnotherTime_ReturnsFirstReply() {
    ConfigTree tree;
    auto edit = Edit("a", 0, "/teams/suva", R"({"weight": 2, "cpu_quota_millis": 5})");
    tree.Apply(edit);
    ApplyMany(&tree, 3);
    edit.edit_time_seconds = 99;
    edit.value = R"({"cpu_quota_millis":5,"weight":2})";
    const auto again = tree.Apply(edit);
    CPPUNIT_ASSERT(again.code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(Revision(1), again.revision);
    CPPUNIT_ASSERT_EQUAL(Revision(4), tree.revision());
  }

  // Guards against accepting a repeated edit after its author was told that it was rejected.
  void Apply_RejectedFutureRevision_StaysRejectedWhenRepeated() {
    ConfigTree tree;
    const auto edit = Edit("early", 1, "/teams/labasa", "{}");
    CPPUNIT_ASSERT(tree.Apply(edit).code == ResultCode::kRevisionConflict);
    ApplyMany(&tree, 1);
    CPPUNIT_ASSERT(tree.Apply(edit).code == ResultCode::kRevisionConflict);
    CPPUNIT_ASSERT(!tree.Get("/teams/labasa"));
  }

  // Guards against an author whose rejected edits evict the replies to another author's edits.
  void Apply_ManyRejectedEdits_KeepsRepliesToAccepted() {
    ConfigTree tree;
    const auto edit = Edit("kept", 0, "/teams/suva", "{}");
    tree.Apply(edit);
    for (std::size_t i = 0; i < 2 * kMaxAcceptedReplies; ++i) {
      tree.Apply(Edit("bad-" + std::to_string(i), 0, "/teams/suva", "{}", "suva"));
    }
    CPPUNIT_ASSERT_EQUAL(Revision(1), tree.Apply(edit).revision);
    CPPUNIT_ASSERT(tree.Apply(edit).code == ResultCode::kOk);
  }

  // Guards against memory and snapshots that grow with the number of edits.
  void Apply_MoreEditsThanLimit_LimitsRepliesAndHistory() {
    ConfigTree tree(10);
    const auto first = Edit("first", 0, "/teams/suva", "{}");
    tree.Apply(first);
    ApplyMany(&tree, kMaxAcceptedReplies - 1);
    CPPUNIT_ASSERT(tree.Apply(first).code == ResultCode::kOk);
    const std::size_t full = tree.TakeSnapshot().size();
    ApplyMany(&tree, kMaxAcceptedReplies);
    CPPUNIT_ASSERT(tree.Apply(first).code == ResultCode::kRevisionConflict);
    CPPUNIT_ASSERT(tree.TakeSnapshot().size() < full + full / 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, tree.History(Revision(0)).rows.size());
    CPPUNIT_ASSERT_EQUAL(tree.revision(), tree.History(Revision(0)).rows.back().revision);
  }

  // Guards against operation ids that cannot be used on a command line or that break log lines.
  void Apply_InvalidOperationId_IsRejected() {
    ConfigTree tree;
    for (const std::string& id : {std::string(), std::string("a b"), std::string(129, 'x')}) {
      CPPUNIT_ASSERT(tree.Apply(Edit(id, 0, "/teams/suva", "{}")).code ==
                     ResultCode::kInvalidSettings);
    }
  }

  // Guards against a history without the operation or the previous value of a change.
  void History_AfterEdits_ReturnsOperationAndPreviousValue() {
    ConfigTree tree;
    tree.Apply(Edit("a", 0, "/teams/suva/weight", "2", "suva"));
    tree.Apply(Edit("b", 1, "/teams/suva/weight", "3"));
    const auto rows = tree.History(Revision(1)).rows;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
    CPPUNIT_ASSERT_EQUAL(Revision(2), rows[0].revision);
    CPPUNIT_ASSERT_EQUAL(OperationId("b"), rows[0].edit.operation);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), rows[0].previous_value);
    CPPUNIT_ASSERT_EQUAL(std::string(), tree.History(Revision(0)).rows[0].previous_value);
  }

  // Guards against reading nodes that do not exist, such as a child of a number.
  void Get_Paths_ReturnNodesOrNotFound() {
    ConfigTree tree;
    tree.Apply(Edit("a", 0, "/teams/suva/weight", "2"));
    CPPUNIT_ASSERT_EQUAL(tree.ToJson(), *tree.Get("/"));
    CPPUNIT_ASSERT_EQUAL(tree.ToJson(), *tree.Get(""));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"weight":2})"), *tree.Get("/teams/suva"));
    CPPUNIT_ASSERT(tree.Get("/teams/suva/weight/x").error().code == ResultCode::kNotFound);
    CPPUNIT_ASSERT(tree.Get("teams").error().code == ResultCode::kInvalidSettings);
  }

  // Guards against starting from data that is not a snapshot.
  void Restore_InvalidBytes_IsRejected() {
    ConfigTree tree;
    CPPUNIT_ASSERT(tree.Restore("").error().code == ResultCode::kStorageCorrupt);
    CPPUNIT_ASSERT(tree.Restore("\x93\x01\x02\x03").error().code == ResultCode::kStorageCorrupt);
  }

  // Guards against a check that stops early or accepts unknown keys.
  void CheckTree_ManyErrors_ReportsAll() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("/team: is not a known key; did you mean \"teams\"?\n"
                    "/teams/operator: is no name of a team; allowed: 1 to 64 characters of a-z "
                    "0-9 - _ ., but not \"operator\", \".\" and \"..\"\n"
                    "/teams/suva/wieght: is not a known key; did you mean \"weight\"?\n"
                    "/teams/suva/accelerator_quota: is -1; allowed: integer from 0 to "
                    "1000000000000\n"
                    "/kinds/gangs: is not a known key; did you mean \"gang\"?\n"
                    "/kinds/batch: is 4; allowed: an object\n"),
        Faults(R"({"team": 1, "teams": {"operator": {},
                   "suva": {"wieght": 1, "accelerator_quota": -1}},
                   "kinds": {"gangs": {}, "batch": 4}})"));
    CPPUNIT_ASSERT_EQUAL(std::string("/: is an array; allowed: an object\n"), Faults("[]"));
    CPPUNIT_ASSERT(Faults("{").rfind("/: is not valid JSON", 0) == 0);
  }

  // Guards against floors that add up to more than the whole fleet.
  void CheckTree_FloorsWithDefaults_AreAddedUp() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Faults(R"({"kinds": {"service": {"floor_permille": 800}}})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("/kinds: has floors of 1001 permille together, counting the default of 100 "
                    "for each kind without one; allowed: at most 1000\n"),
        Faults(R"({"kinds": {"service": {"floor_permille": 801}}})"));
  }

  // Guards against a key that is checked but not passed on to the queues.
  void ReadQueuePolicy_FullTree_FillsEveryField() {
    const auto policy = ReadQueuePolicy(R"({"teams": {"suva": {"weight": 5,
        "cpu_quota_millis": 64000, "accelerator_quota": 2}, "labasa": {}},
        "kinds": {"gang": {"floor_permille": 50, "max_queued": 7, "max_expected_wait_ms": 9}}})");
    const queue::TeamPolicy& suva = policy->teams.at(TeamId("suva"));
    CPPUNIT_ASSERT_EQUAL(5U, suva.weight);
    CPPUNIT_ASSERT(suva.cpu_quota == MilliCpu(64000));
    CPPUNIT_ASSERT(suva.accelerator_quota == Accelerators(2));
    CPPUNIT_ASSERT_EQUAL(1U, policy->teams.at(TeamId("labasa")).weight);
    const queue::KindPolicy& gang = policy->kinds.at(static_cast<std::size_t>(Kind::kGang));
    CPPUNIT_ASSERT_EQUAL(50U, gang.floor_permille);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, gang.max_queued);
    CPPUNIT_ASSERT(gang.max_expected_wait == Milliseconds(9));
    CPPUNIT_ASSERT(ReadQueuePolicy("[]").error().code == ResultCode::kInvalidSettings);
  }

  // Guards against a key or a limit that differs from the documentation.
  void Documentation_ComparedWithKeys_IsEqual() {
    std::ifstream file(std::string(PARSLEYLINE_SOURCE_DIR) + "/docs/settings-tree.md");
    std::ostringstream document;
    document << file.rdbuf();
    const std::string text = document.str();
    CPPUNIT_ASSERT(text.find(settings::MarkdownTable(DescribeTree())) != std::string::npos);
    CPPUNIT_ASSERT(text.find(std::to_string(kMaxAcceptedReplies)) != std::string::npos);
    CPPUNIT_ASSERT(text.find(std::to_string(kMaxRejectedReplies)) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTreeTest);

}  // namespace parsleyline::config_tree
