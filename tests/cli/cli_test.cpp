#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "cli/command.h"
#include "tests/cli/fake_cell.h"

namespace parsleyline::cli {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUsage = 2;
constexpr int kNoEntry = 3;
constexpr int kUnknown = 4;

const std::vector<std::string> kSubmit = {"submit",  "--team",           "suva",         "--kind",
                                          "service", "--cpu-millis=500", "--memory-mib", "256"};

std::vector<std::string> Plus(std::vector<std::string> args, const std::vector<std::string>& more) {
  args.insert(args.end(), more.begin(), more.end());
  return args;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string WriteFile(const std::string& name, const std::string& text) {
  const std::string path = std::string(PARSLEYLINE_BINARY_DIR) + "/" + name;
  std::ofstream(path) << text;
  return path;
}

}  // namespace

class CliTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CliTest);
  CPPUNIT_TEST(Submit_Flags_SendsRequestAndPrintsOutcome);
  CPPUNIT_TEST(Submit_FileAndFlags_FlagsWin);
  CPPUNIT_TEST(Submit_FirstEntryDown_UsesNext);
  CPPUNIT_TEST(Submit_AnswerLost_IsResentOnlyWithKey);
  CPPUNIT_TEST(Requests_EachOutcome_HasItsExitCode);
  CPPUNIT_TEST(Reads_NoEntryAnswers_ExitThree);
  CPPUNIT_TEST(Workers_Table_ShowsNestedFields);
  CPPUNIT_TEST(Drain_NameWithSlash_IsEncoded);
  CPPUNIT_TEST(SettingsSet_CurrentRevision_IsPrintedForResend);
  CPPUNIT_TEST(SettingsSet_LostRace_ExitsOne);
  CPPUNIT_TEST(SettingsSet_AnswerUnknown_CanBeResentByHand);
  CPPUNIT_TEST(SettingsSet_RandomFailures_ExitCodeIsTrue);
  CPPUNIT_TEST(SettingsHistory_Table_ShowsWhoAndWhat);
  CPPUNIT_TEST(SettingsDiff_RandomEdits_MatchesTrees);
  CPPUNIT_TEST(SettingsDiff_RevisionsOutOfReach_AreRefused);
  CPPUNIT_TEST(SettingsCheck_Files_ReportsFaultsWithoutEntry);
  CPPUNIT_TEST(Usage_Mistakes_AreExplainedAndNothingIsSent);
  CPPUNIT_TEST(Help_EveryCommand_HasExamples);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against flags that are lost or land in the wrong field.
  void Submit_Flags_SendsRequestAndPrintsOutcome() {
    FakeCell cell;
    cell.answer.body = R"({"request_id": "suva-1", "outcome": "done", "answers": [{"a": 1}]})";
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run(Plus(kSubmit, {"--idempotent", "--payload", "[1,2]"})));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"idempotent":true,"kind":"service","payload":[1,2],)"
                    R"("resources":{"cpu_millis":500,"memory_mib":256},"team":"suva"})"),
        cell.requests.at(0).body);
    CPPUNIT_ASSERT_EQUAL(std::string("KEY         VALUE\nrequest_id  suva-1\noutcome     done\n"
                                     "answer.0    {\"a\":1}\n"),
                         cell.out);
  }

  // Guards against a file whose fields silently override what was typed.
  void Submit_FileAndFlags_FlagsWin() {
    FakeCell cell;
    cell.answer.body = R"({"outcome": "done"})";
    const std::string file = R"({"team": "nadi", "kind": "batch",
                                 "resources": {"cpu_millis": 1, "memory_mib": 1}})";
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"submit", "--file", "-", "--kind", "gang"}, file));
    const auto body = FakeCell::Json::parse(cell.requests.at(0).body);
    CPPUNIT_ASSERT(body["team"] == "nadi" && body["kind"] == "gang");
  }

  // Guards against an operator who is cut off by the first of several entries.
  void Submit_FirstEntryDown_UsesNext() {
    for (const EntryState state : {EntryState::kRefusesConnections, EntryState::kStopping}) {
      FakeCell cell;
      cell.answer.body = R"({"outcome": "done"})";
      cell.entries[1] = state;
      CPPUNIT_ASSERT_EQUAL(kDone, cell.Run(kSubmit));
      CPPUNIT_ASSERT(Contains(cell.err, "entry 127.0.0.1:1: "));
    }
  }

  // Guards against work that is not idempotent and runs twice.
  void Submit_AnswerLost_IsResentOnlyWithKey() {
    FakeCell cell;
    cell.answer.body = R"({"outcome": "done"})";
    cell.entries[1] = EntryState::kLosesAnswers;
    CPPUNIT_ASSERT_EQUAL(kUnknown, cell.Run(kSubmit));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.requests.size());
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run(Plus(kSubmit, {"--key", "k-1"})));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cell.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::string("k-1"), cell.requests[2].headers.at("idempotency-key"));
  }

  // Guards against scripts that take a failed or uncertain request for a success.
  void Requests_EachOutcome_HasItsExitCode() {
    struct Case {
      const char* outcome;
      int status, submit, get, cancel;
    };
    for (const Case& it :
         {Case{"done", 200, kDone, kDone, kFailed}, Case{"running", 200, kDone, kDone, kDone},
          Case{"rejected", 429, kFailed, kFailed, kDone},
          Case{"failed", 502, kFailed, kFailed, kDone},
          Case{"unknown", 504, kUnknown, kUnknown, kUnknown}}) {
      FakeCell cell;
      cell.answer = {it.status, {}, R"({"outcome": ")" + std::string(it.outcome) + "\"}"};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.outcome, it.submit, cell.Run(kSubmit));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.outcome, it.get, cell.Run({"get", "suva-1"}));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.outcome, it.cancel, cell.Run({"cancel", "suva-1"}));
    }
    FakeCell cell;
    cell.answer = {404, {}, R"({"error": {"code": 1010, "name": "not_found", "message": "m"}})"};
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"get", "suva-1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("error 1010 not_found: m\n"), cell.err);
    cell.answer = {502, {}, "<html>"};
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"queues"}));
  }

  // Guards against reads that report an unknown outcome, which has no meaning for them.
  void Reads_NoEntryAnswers_ExitThree() {
    FakeCell cell;
    cell.entries = {{1, EntryState::kRefusesConnections}, {2, EntryState::kLosesAnswers}};
    for (const char* verb : {"workers", "queues", "status"}) {
      CPPUNIT_ASSERT_EQUAL(kNoEntry, cell.Run({verb}));
    }
    CPPUNIT_ASSERT_EQUAL(kNoEntry, cell.Run({"get", "suva-1"}));
    CPPUNIT_ASSERT_EQUAL(kNoEntry, cell.Run({"settings", "get"}));
  }

  // Guards against columns that stay empty because their fields are nested.
  void Workers_Table_ShowsNestedFields() {
    FakeCell cell;
    cell.answer.body = R"({"workers": [{"worker": "w1", "rack": "r1", "address": "127.0.0.1:9",
        "state": "ready", "running": 2, "capacity": {"cpu_millis": 64000, "memory_mib": 9,
        "slots": 8}, "charged": {"cpu_millis": 500, "memory_mib": 3}}]})";
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"workers"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("WORKER  STATE  RACK  ADDRESS      RUNNING  SLOTS  CPU_USED  CPU    MIB_USED"
                    "  MIB\nw1      ready  r1    127.0.0.1:9  2        8      500       64000  3  "
                    "       9\n"),
        cell.out);
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"workers", "--output", "json"}));
    CPPUNIT_ASSERT(FakeCell::Json::parse(cell.out) == FakeCell::Json::parse(cell.answer.body));
  }

  // Guards against a name that reaches another resource.
  void Drain_NameWithSlash_IsEncoded() {
    FakeCell cell;
    cell.answer.body = R"({"worker": "w 1", "state": "draining"})";
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"drain", "w 1?x"}));
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/workers/w%201%3Fx/drain"), cell.requests.at(0).target);
    CPPUNIT_ASSERT_EQUAL(std::string("worker w 1 is draining\n"), cell.out);
  }

  // Guards against an edit that cannot be sent again because its id was never shown.
  void SettingsSet_CurrentRevision_IsPrintedForResend() {
    FakeCell cell;
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"settings", "set", "/teams/suva",
                                          R"({"weight":2,"cpu_quota_millis":5})"}));
    CPPUNIT_ASSERT_EQUAL(std::string("/teams/suva is set at revision 1\n"), cell.out);
    CPPUNIT_ASSERT(Contains(cell.err, "add --operation cli-1 --expected-revision 0\n"));
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"settings", "get", "/teams/suva/weight"}));
    CPPUNIT_ASSERT_EQUAL(std::string("2\n"), cell.out);
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"settings", "unset", "/teams/suva", "--output=json"}));
    CPPUNIT_ASSERT(FakeCell::Json::parse(cell.out) ==
                   FakeCell::Json::parse(R"({"operation": "cli-2", "revision": 2})"));
    CPPUNIT_ASSERT(Contains(cell.err, "add --operation cli-2 --expected-revision 1\n"));
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"settings", "get", "/teams/suva"}));
  }

  // Guards against an operator who believes in an edit that lost or was not allowed.
  void SettingsSet_LostRace_ExitsOne() {
    FakeCell cell;
    cell.Run({"settings", "set", "/teams/suva/weight", "2"});
    CPPUNIT_ASSERT_EQUAL(
        kFailed, cell.Run({"settings", "set", "/teams/suva", "{}", "--expected-revision", "0"}));
    CPPUNIT_ASSERT(Contains(cell.err, "error 4000 revision_conflict: "));
    CPPUNIT_ASSERT_EQUAL(kFailed,
                         cell.Run({"settings", "set", "/teams/suva", "{}", "--author", "labasa"}));
    CPPUNIT_ASSERT(Contains(cell.err, "error 4001 not_subtree_owner: "));
  }

  // Guards against printed options with which the resend is another edit.
  void SettingsSet_AnswerUnknown_CanBeResentByHand() {
    FakeCell cell;
    cell.entries = {{1, EntryState::kLosesAnswers}, {2, EntryState::kLosesRequests}};
    const std::vector<std::string> edit = {
        "settings", "set", "/teams/suva", "{}", "--expected-revision", "0", "--operation", "op-7"};
    CPPUNIT_ASSERT_EQUAL(kUnknown, cell.Run(edit));
    CPPUNIT_ASSERT(Contains(cell.err, "--operation op-7 --expected-revision 0"));
    cell.entries.clear();
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run(edit));
    CPPUNIT_ASSERT_EQUAL(std::string("/teams/suva is set at revision 1\n"), cell.out);
    CPPUNIT_ASSERT_EQUAL(Revision(1), cell.tree.revision());
  }

  // Guards against an exit code that contradicts what happened, and against a second application.
  void SettingsSet_RandomFailures_ExitCodeIsTrue() {
    CPPUNIT_ASSERT(rc::check("exit code of an edit", [] {
      FakeCell cell;
      const auto any_state = rc::gen::element(EntryState::kUp, EntryState::kRefusesConnections,
                                              EntryState::kLosesAnswers, EntryState::kLosesRequests,
                                              EntryState::kStopping);
      for (const std::uint16_t port : {1, 2}) cell.entries[port] = *any_state;
      const bool is_valid = *rc::gen::arbitrary<bool>();
      const int exit = cell.Run({"settings", "set", "/teams/suva/weight", is_valid ? "5" : "0",
                                 "--expected-revision", "0"});
      const auto applied = cell.tree.revision().value();
      RC_ASSERT(applied <= 1U);
      if (exit == kDone) RC_ASSERT(applied == 1U);
      if (exit == kFailed || exit == kNoEntry) RC_ASSERT(applied == 0U);
      RC_ASSERT(exit != kWrongUsage);
      const bool is_up =
          cell.entries[1] == EntryState::kUp ||
          (cell.entries[2] == EntryState::kUp && cell.entries[1] != EntryState::kLeaderless);
      if (is_up) RC_ASSERT(exit == (is_valid ? kDone : kFailed));
    }));
  }

  // Guards against a history that hides who made an edit or what it replaced.
  void SettingsHistory_Table_ShowsWhoAndWhat() {
    FakeCell cell;
    cell.Run({"settings", "set", "/teams/suva/weight", "2", "--author", "suva"});
    cell.Run({"settings", "unset", "/teams/suva/weight"});
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"settings", "history", "--from", "1"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("REVISION  WHEN                  AUTHOR    OPERATION  PATH                "
                    "PREVIOUS  VALUE\n2         2025-12-04T09:00:00Z  operator  cli-2      "
                    "/teams/suva/weight  2         -\n"),
        cell.out);
  }

  // Guards against a diff that misses a change or invents one.
  void SettingsDiff_RandomEdits_MatchesTrees() {
    CPPUNIT_ASSERT(rc::check("diff between two revisions", [] {
      FakeCell cell;
      std::vector<std::string> trees = {cell.tree.ToJson()};
      const auto weights = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
      for (const int weight : weights) {
        const std::string team = weight % 2 == 0 ? "/teams/suva" : "/teams/nadi";
        const std::string value = R"({"weight": )" + std::to_string(weight) + "}";
        cell.Run(weight > 0 ? std::vector<std::string>{"settings", "set", team, value}
                            : std::vector<std::string>{"settings", "unset", team});
        if (cell.tree.revision() == Revision(trees.size())) trees.push_back(cell.tree.ToJson());
      }
      const auto to = *rc::gen::inRange<std::size_t>(0, trees.size());
      const auto from = *rc::gen::inRange<std::size_t>(0, to + 1);
      RC_ASSERT(cell.Run({"settings", "diff", std::to_string(from), std::to_string(to), "--output",
                          "json"}) == kDone);
      const FakeCell::Json printed = FakeCell::Json::parse(cell.out);
      const FakeCell::Json before = FakeCell::Json::parse(trees[from]).flatten();
      const FakeCell::Json after = FakeCell::Json::parse(trees[to]).flatten();
      FakeCell::Json wanted = FakeCell::Json::array();
      for (const char* path : {"/teams", "/teams/nadi/weight", "/teams/suva/weight"}) {
        const auto leaf = [path](const FakeCell::Json& leaves) {
          const auto value = leaves.value(path, FakeCell::Json());
          return value.is_null() ? FakeCell::Json::object() : value;
        };
        FakeCell::Json row = {{"path", path}};
        if (before.contains(path)) row["from"] = leaf(before);
        if (after.contains(path)) row["to"] = leaf(after);
        const bool is_changed =
            before.contains(path) != after.contains(path) || leaf(before) != leaf(after);
        if (is_changed) wanted.push_back(row);
      }
      RC_ASSERT(printed["differences"] == wanted);
    }));
  }

  // Guards against a diff that is silently computed from an incomplete history.
  void SettingsDiff_RevisionsOutOfReach_AreRefused() {
    FakeCell cell;
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"settings", "diff", "0", "1"}));
    CPPUNIT_ASSERT(Contains(cell.err, "revision 1 does not exist; the current one is 0"));
    for (int i = 0; i < 2002; ++i) {
      cell.tree.Apply({OperationId("o" + std::to_string(i)), TeamId("suva"), cell.tree.revision(),
                       "/teams/suva/weight", "1", 0});
    }
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"settings", "diff", "1", "2002"}));
    CPPUNIT_ASSERT(Contains(cell.err, "the history goes back only to revision 2\n"));
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"settings", "diff", "2", "2002"}));
  }

  // Guards against a check that needs a running cell or that accepts a faulty file.
  void SettingsCheck_Files_ReportsFaultsWithoutEntry() {
    FakeCell cell;
    cell.entries = {{1, EntryState::kRefusesConnections}, {2, EntryState::kRefusesConnections}};
    const std::string good = WriteFile("cli_good.json", R"({"teams": {"suva": {"weight": 2}}})");
    const std::string bad = WriteFile("cli_bad.json", R"({"teams": {"suva": {"wieght": 2}}})");
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"settings", "check", good}));
    CPPUNIT_ASSERT_EQUAL(std::string("valid\n"), cell.out);
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"settings", "check", bad, "--output", "json"}));
    CPPUNIT_ASSERT_EQUAL(std::string("/teams/suva/wieght"),
                         FakeCell::Json::parse(cell.out)["faults"][0]["path"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"settings", "check", "--entry", good}));
    CPPUNIT_ASSERT(Contains(cell.out, "/rpc: is missing; it is required\n"));
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"settings", "check", "--scheduler", good}));
    CPPUNIT_ASSERT(Contains(cell.out, "/groups: is missing; it is required\n"));
    CPPUNIT_ASSERT_EQUAL(kFailed, cell.Run({"settings", "check", "/nonexistent"}));
    std::filesystem::remove(good);
    std::filesystem::remove(bad);
  }

  // Guards against a mistyped command that does something else or gives no hint.
  void Usage_Mistakes_AreExplainedAndNothingIsSent() {
    const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
        {{}, "Usage: parsleyline"},
        {{"wokrers"}, "\"wokrers\" is no command; did you mean \"workers\"?"},
        {{"settings"}, "\"settings\" needs a verb"},
        {{"settings", "histroy"}, "did you mean \"settings history\"?"},
        {{"get"}, "ID is missing"},
        {{"get", "a", "b"}, "\"b\" is one argument too many"},
        {{"get", "a", "--outptu", "json"}, "did you mean \"--output\"?"},
        {{"get", "a", "--output", "jsno"}, "did you mean \"json\"?"},
        {{"get", "a", "--timeout", "0"}, "--timeout is 0; allowed: 1 to"},
        {{"get", "a", "--timeout", "1s"}, "1s"},
        {{"get", "a", "--entry", "host:80"}, "entry \"host:80\" is invalid; allowed: ip:port"},
        {{"get", "a", "--entry", "127.0.0.1"}, "is invalid"},
        {{"submit", "--team", "suva"}, "--kind is missing"},
        {Plus(kSubmit, {"--kind", "sevrice"}), "did you mean \"service\"?"},
        {Plus(kSubmit, {"--payload", "{"}), "--payload is no valid JSON"},
        {{"submit", "--file", "/nonexistent"}, "cannot be read"},
        {{"settings", "set", "teams", "1"}, "path \"teams\" is invalid"},
        {{"settings", "set", "/teams", "x"}, "VALUE is no valid JSON"},
        {{"settings", "diff", "2", "1"}, "FROM and TO are revisions"},
        {{"settings", "check", "--entry", "--scheduler", "f"}, "exclude each other"},
    };
    for (const auto& [args, message] : cases) {
      FakeCell cell;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, kWrongUsage, cell.Run(args));
      CPPUNIT_ASSERT_MESSAGE(message + " not in: " + cell.err, Contains(cell.err, message));
      CPPUNIT_ASSERT(cell.requests.empty());
    }
  }

  // Guards against a command that is missing from the help or the page, or has no example.
  void Help_EveryCommand_HasExamples() {
    std::ifstream file(std::string(PARSLEYLINE_SOURCE_DIR) + "/docs/cli.md");
    std::ostringstream page;
    page << file.rdbuf();
    FakeCell cell;
    CPPUNIT_ASSERT_EQUAL(kDone, cell.Run({"--help"}));
    const std::string overview = cell.out;
    for (const Command& command : AllCommands()) {
      const std::string name(command.name);
      CPPUNIT_ASSERT_MESSAGE(name, Contains(overview, "\n  " + name));
      CPPUNIT_ASSERT_MESSAGE(name, Contains(page.str(), "`" + name));
      std::vector<std::string> args;
      std::istringstream words(name);
      for (std::string word; words >> word;) args.push_back(word);
      CPPUNIT_ASSERT_EQUAL(kDone, cell.Run(Plus(args, {"--help"})));
      CPPUNIT_ASSERT_MESSAGE(name, Contains(cell.out, "Examples:\n  parsleyline " + name));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CliTest);

}  // namespace parsleyline::cli
