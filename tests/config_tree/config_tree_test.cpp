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
  for (const SchemaError& fault : CheckTree(text))
    lines += fault.path + ": " + fault.message + "\n";
  return lines;
}

/// Sets the weight of a team `n` times, starting at the current revision.
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
  CPPUNIT_TEST(Apply_EqualRevisions_FirstWinsAndLoserLearnsRevision);
  CPPUNIT_TEST(Apply_ResendAtAnotherTime_GetsFirstReply);
  CPPUNIT_TEST(Apply_RefusedFutureRevision_StaysRefusedWhenResent);
  CPPUNIT_TEST(Apply_FloodOfRefusedEdits_KeepsRepliesToAccepted);
  CPPUNIT_TEST(Apply_MoreEditsThanKept_BoundsRepliesAndHistory);
  CPPUNIT_TEST(Apply_BadOperationId_IsRefused);
  CPPUNIT_TEST(History_AfterEdits_TellsAuthorAndPrevious);
  CPPUNIT_TEST(Get_Paths_ReturnNodesOrNotFound);
  CPPUNIT_TEST(Restore_ForeignBytes_IsRefused);
  CPPUNIT_TEST(CheckTree_ManyFaults_ReportsAllAtOnce);
  CPPUNIT_TEST(CheckTree_FloorsWithDefaults_CountTogether);
  CPPUNIT_TEST(ReadQueuePolicy_FullTree_FillsEveryField);
  CPPUNIT_TEST(Document_ComparedWithKeys_IsEqual);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against replicas that start with different trees.
  void Tree_Unedited_IsEmptyAtRevisionZero() {
    const ConfigTree tree;
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"kinds":{},"teams":{}})"), tree.ToJson());
    CPPUNIT_ASSERT_EQUAL(Revision(0), tree.revision());
  }

  // Guards against two operators who both believe that their edit is in force.
  void Apply_EqualRevisions_FirstWinsAndLoserLearnsRevision() {
    ConfigTree tree;
    CPPUNIT_ASSERT(tree.Apply(Edit("a", 0, "/teams/suva/weight", "2")).code == ResultCode::kOk);
    const auto loser = tree.Apply(Edit("b", 0, "/teams/suva/weight", "3"));
    CPPUNIT_ASSERT(loser.code == ResultCode::kRevisionConflict);
    CPPUNIT_ASSERT_EQUAL(Revision(1), loser.revision);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *tree.Get("/teams/suva/weight"));
  }

  // Guards against a resend through another entry, with another time, that counts as another edit.
  void Apply_ResendAtAnotherTime_GetsFirstReply() {
    ConfigTree tree;
    auto edit = Edit("a", 0, "/teams/suva", R"({"weight": 2, "cpu_quota_millis": 5})");
    tree.Apply(edit);
    ApplyMany(&tree, 3);
    edit.when_seconds = 99;
    edit.value = R"({"cpu_quota_millis":5,"weight":2})";
    const auto again = tree.Apply(edit);
    CPPUNIT_ASSERT(again.code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(Revision(1), again.revision);
    CPPUNIT_ASSERT_EQUAL(Revision(4), tree.revision());
  }

  // Guards against an edit that takes effect after its author was told that it was refused.
  void Apply_RefusedFutureRevision_StaysRefusedWhenResent() {
    ConfigTree tree;
    const auto edit = Edit("early", 1, "/teams/labasa", "{}");
    CPPUNIT_ASSERT(tree.Apply(edit).code == ResultCode::kRevisionConflict);
    ApplyMany(&tree, 1);
    CPPUNIT_ASSERT(tree.Apply(edit).code == ResultCode::kRevisionConflict);
    CPPUNIT_ASSERT(!tree.Get("/teams/labasa"));
  }

  // Guards against one author whose refused edits make the tree forget another author's reply.
  void Apply_FloodOfRefusedEdits_KeepsRepliesToAccepted() {
    ConfigTree tree;
    const auto edit = Edit("kept", 0, "/teams/suva", "{}");
    tree.Apply(edit);
    for (std::size_t i = 0; i < 2 * kKeptAcceptedReplies; ++i) {
      tree.Apply(Edit("bad-" + std::to_string(i), 0, "/teams/suva", "{}", "suva"));
    }
    CPPUNIT_ASSERT_EQUAL(Revision(1), tree.Apply(edit).revision);
    CPPUNIT_ASSERT(tree.Apply(edit).code == ResultCode::kOk);
  }

  // Guards against memory and snapshots that grow with every edit ever made.
  void Apply_MoreEditsThanKept_BoundsRepliesAndHistory() {
    ConfigTree tree(10);
    const auto first = Edit("first", 0, "/teams/suva", "{}");
    tree.Apply(first);
    ApplyMany(&tree, kKeptAcceptedReplies - 1);
    CPPUNIT_ASSERT(tree.Apply(first).code == ResultCode::kOk);
    const std::size_t full = tree.TakeSnapshot().size();
    ApplyMany(&tree, kKeptAcceptedReplies);
    CPPUNIT_ASSERT(tree.Apply(first).code == ResultCode::kRevisionConflict);
    CPPUNIT_ASSERT(tree.TakeSnapshot().size() < full + full / 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, tree.History(Revision(0)).rows.size());
    CPPUNIT_ASSERT_EQUAL(tree.revision(), tree.History(Revision(0)).rows.back().revision);
  }

  // Guards against ids that cannot be typed again or that break log lines.
  void Apply_BadOperationId_IsRefused() {
    ConfigTree tree;
    for (const std::string& id : {std::string(), std::string("a b"), std::string(129, 'x')}) {
      CPPUNIT_ASSERT(tree.Apply(Edit(id, 0, "/teams/suva", "{}")).code ==
                     ResultCode::kInvalidSettings);
    }
  }

  // Guards against a history that cannot tell who changed what.
  void History_AfterEdits_TellsAuthorAndPrevious() {
    ConfigTree tree;
    tree.Apply(Edit("a", 0, "/teams/suva/weight", "2", "suva"));
    tree.Apply(Edit("b", 1, "/teams/suva/weight", "3"));
    const auto rows = tree.History(Revision(1)).rows;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
    CPPUNIT_ASSERT_EQUAL(Revision(2), rows[0].revision);
    CPPUNIT_ASSERT_EQUAL(OperationId("b"), rows[0].edit.operation);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), rows[0].previous);
    CPPUNIT_ASSERT_EQUAL(std::string(), tree.History(Revision(0)).rows[0].previous);
  }

  // Guards against a read that invents a node or reads through a number.
  void Get_Paths_ReturnNodesOrNotFound() {
    ConfigTree tree;
    tree.Apply(Edit("a", 0, "/teams/suva/weight", "2"));
    CPPUNIT_ASSERT_EQUAL(tree.ToJson(), *tree.Get("/"));
    CPPUNIT_ASSERT_EQUAL(tree.ToJson(), *tree.Get(""));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"weight":2})"), *tree.Get("/teams/suva"));
    CPPUNIT_ASSERT(tree.Get("/teams/suva/weight/x").error().code == ResultCode::kNotFound);
    CPPUNIT_ASSERT(tree.Get("teams").error().code == ResultCode::kInvalidSettings);
  }

  // Guards against a replica that starts with a snapshot that is none.
  void Restore_ForeignBytes_IsRefused() {
    ConfigTree tree;
    CPPUNIT_ASSERT(tree.Restore("").error().code == ResultCode::kStorageCorrupt);
    CPPUNIT_ASSERT(tree.Restore("\x93\x01\x02\x03").error().code == ResultCode::kStorageCorrupt);
  }

  // Guards against a check that stops early or accepts unknown keys.
  void CheckTree_ManyFaults_ReportsAllAtOnce() {
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

  // Guards against floors that promise more than the whole fleet.
  void CheckTree_FloorsWithDefaults_CountTogether() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Faults(R"({"kinds": {"service": {"floor_permille": 800}}})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("/kinds: has floors of 1001 permille together, counting the default of 100 "
                    "for each kind without one; allowed: at most 1000\n"),
        Faults(R"({"kinds": {"service": {"floor_permille": 801}}})"));
  }

  // Guards against a key that is checked but never reaches the queues.
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

  // Guards against a key or a bound that changes without its line in the documentation.
  void Document_ComparedWithKeys_IsEqual() {
    std::ifstream file(std::string(PARSLEYLINE_SOURCE_DIR) + "/docs/settings-tree.md");
    std::ostringstream document;
    document << file.rdbuf();
    const std::string text = document.str();
    CPPUNIT_ASSERT(text.find(settings::MarkdownTable(DescribeTree())) != std::string::npos);
    CPPUNIT_ASSERT(text.find(std::to_string(kKeptAcceptedReplies)) != std::string::npos);
    CPPUNIT_ASSERT(text.find(std::to_string(kKeptRefusedReplies)) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTreeTest);

}  // namespace parsleyline::config_tree
