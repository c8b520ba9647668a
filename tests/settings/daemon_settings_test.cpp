#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

#include "settings/describe.h"
#include "settings/entry_settings.h"
#include "settings/scheduler_settings.h"

namespace parsleyline::settings {
namespace {

constexpr const char* kEntry = R"({"node": "e1", "domain": "suva",
  "http": {"ip": "127.0.0.1", "port": 8080}, "rpc": {"ip": "::1", "port": 0},
  "schedulers": [{"node": "s1", "domain": "suva", "ip": "127.0.0.1", "port": 9000}],
  "domains": ["suva", "lautoka"]%})";

constexpr const char* kScheduler = R"({"node": "s1", "domain": "suva",
  "rpc": {"ip": "127.0.0.1", "port": 9000}, "http": {"ip": "127.0.0.1", "port": 9001},
  "data_folder": "data", "domains": ["suva"],
  "schedulers": [{"node": "s1", "domain": "suva", "ip": "127.0.0.1", "port": 9000}],
  "groups": [{"name": "domain:suva", "voters": ["s1"]}, {"name": "settings", "voters": ["s1"]}]%})";

std::string With(std::string text, const std::string& more) {
  return text.replace(text.find('%'), 1, more);
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return With(text.replace(text.find(from), from.size(), to), "");
}

std::string EntryErrors(const std::string& text) {
  const auto settings = ParseEntrySettings(text);
  return settings ? "" : FaultLines(settings.error());
}

std::string SchedulerErrors(const std::string& text) {
  const auto settings = ParseSchedulerSettings(text);
  return settings ? "" : FaultLines(settings.error());
}

}  // namespace

class DaemonSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonSettingsTest);
  CPPUNIT_TEST(Entry_RequiredKeysOnly_HasDefaults);
  CPPUNIT_TEST(Entry_ManyErrors_ReportsAllAtOnce);
  CPPUNIT_TEST(Entry_MisspelledKey_IsRejectedWithSuggestion);
  CPPUNIT_TEST(Entry_DuplicateKey_IsRejected);
  CPPUNIT_TEST(Entry_DeepNesting_IsRejected);
  CPPUNIT_TEST(Entry_SchedulerOfUnlistedDomain_IsRejected);
  CPPUNIT_TEST(Scheduler_KeysOfEachType_AreRead);
  CPPUNIT_TEST(Scheduler_BadGroups_ReportsEach);
  CPPUNIT_TEST(Scheduler_ContradictingTimings_AreRejected);
  CPPUNIT_TEST(Scheduler_NotInItsOwnList_IsRejected);
  CPPUNIT_TEST(File_Unreadable_SaysWhy);
  CPPUNIT_TEST(Page_ComparedWithDocument_IsEqual);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a default in the struct that the option table or a later change alters.
  void Entry_RequiredKeysOnly_HasDefaults() {
    const auto settings = ParseEntrySettings(With(kEntry, ""));
    CPPUNIT_ASSERT_EQUAL(std::string(), EntryErrors(With(kEntry, "")));
    CPPUNIT_ASSERT_EQUAL(std::string("suva"), settings->domain.value());
    CPPUNIT_ASSERT(settings->http == (Listener{"127.0.0.1", 8080}));
    CPPUNIT_ASSERT(settings->schedulers.at(0) ==
                   (SchedulerAddress{NodeId("s1"), DomainId("suva"), "127.0.0.1", 9000}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings->domains.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{262144}, settings->max_body_bytes);
    CPPUNIT_ASSERT(settings->heartbeat_interval == Milliseconds(200));
  }

  // Guards against a check that stops at the first error or accepts a value outside its range.
  void Entry_ManyErrors_ReportsAllAtOnce() {
    const std::string errors = EntryErrors(
        R"({"node": "E 1", "domain": "suva", "http": {"ip": "localhost", "port": 65536},
            "rpc": 7, "schedulers": [], "domains": ["suva"], "threads": 1.0,
            "idle_timeout_ms": 18446744073709551615, "max_connections": "9\n"})");
    CPPUNIT_ASSERT_EQUAL(
        std::string("/node: is \"E 1\"; allowed: 1 to 64 characters of a-z 0-9 - _ .\n"
                    "/http/ip: is \"localhost\"; allowed: IPv4 or IPv6 address\n"
                    "/http/port: is 65536; allowed: integer from 0 to 65535\n"
                    "/rpc: is 7; allowed: an object\n"
                    "/schedulers: is an empty array; allowed: an array of at least 1\n"
                    "/threads: is 1.0; allowed: integer from 1 to 256\n"
                    "/idle_timeout_ms: is 18446744073709551615; allowed: integer from 1 to "
                    "86400000, in ms\n"
                    "/max_connections: is \"9\\x0a\"; allowed: integer from 1 to 1000000\n"),
        errors);
  }

  // Guards against a misspelled key that is ignored, so that the default silently applies.
  void Entry_MisspelledKey_IsRejectedWithSuggestion() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("/call_timeuot_ms: is not a known key; did you mean \"call_timeout_ms\"?\n"
                    "/colour: is not a known key\n"),
        EntryErrors(With(kEntry, R"(, "call_timeuot_ms": 5, "colour": 1)")));
  }

  // Guards against a duplicate key, of which the JSON parser would silently keep only the last
  // value.
  void Entry_DuplicateKey_IsRejected() {
    const std::string text = Replaced(kEntry, R"("port": 9000)", R"("port": 9000, "port": 1)");
    CPPUNIT_ASSERT_EQUAL(
        std::string("/schedulers/0/port: appears twice; allowed: once in an object\n"),
        EntryErrors(text));
  }

  // Guards against a stack overflow: the JSON library copies and prints recursively.
  void Entry_DeepNesting_IsRejected() {
    const std::string deep(1'000'000, '[');
    const std::string close(deep.size(), ']');
    const std::string errors = EntryErrors(With(kEntry, ", \"threads\": " + deep + close));
    CPPUNIT_ASSERT(errors.find("is nested too deeply; allowed: 32 levels\n") != std::string::npos);
  }

  // Guards against an entry daemon that has schedulers of a domain to which it routes no requests.
  void Entry_SchedulerOfUnlistedDomain_IsRejected() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("/domain: is \"suva\"; allowed: a name listed in /domains; did you mean "
                    "\"suvo\"?\n/schedulers/0/domain: is \"suva\"; allowed: a name listed in "
                    "/domains; did you mean \"suvo\"?\n"),
        EntryErrors(Replaced(kEntry, R"(["suva", "lautoka"])", R"(["suvo", "lautoka"])")));
  }

  // Guards against an option whose row points to the wrong member.
  void Scheduler_KeysOfEachType_AreRead() {
    const std::string text = With(kScheduler, R"(, "election_max_ms": 900, "lease_gang_ms": 7000,
        "ledger_max_entries": 9, "placement": {"probation_failures": 8, "probe_interval_ms": 20})");
    CPPUNIT_ASSERT_EQUAL(std::string(), SchedulerErrors(text));
    const auto settings = ParseSchedulerSettings(text);
    CPPUNIT_ASSERT(settings->election_max == Milliseconds(900));
    CPPUNIT_ASSERT(settings->lease_gang == Milliseconds(7000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, settings->ledger_max_entries);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, settings->placement.probation_failures);
    CPPUNIT_ASSERT(settings->placement.probe_interval == Milliseconds(20));
    CPPUNIT_ASSERT(settings->groups.at(0) ==
                   (RaftGroup{"domain:suva", DomainId("suva"), {NodeId("s1")}}));
    CPPUNIT_ASSERT(settings->groups.at(1) == (RaftGroup{"settings", DomainId(), {NodeId("s1")}}));
  }

  // Guards against a replica that starts with unknown or duplicate voters, or with missing or
  // unknown groups.
  void Scheduler_BadGroups_ReportsEach() {
    const std::string text =
        Replaced(kScheduler, R"({"name": "domain:suva", "voters": ["s1"]}, {"name": "settings")",
                 R"({"name": "domain:suva", "domain": "labasa", "voters": ["s1", "s2", "s1"]},
           {"name": "domain:nadi", "voters": ["s1"]}, {"name": "setings")");
    CPPUNIT_ASSERT_EQUAL(
        std::string("/groups/0/domain: is \"labasa\"; allowed: the domain in the name of the "
                    "group\n/groups/0/voters/2: is \"s1\" a second time; allowed: once\n"
                    "/groups/0/voters/1: is \"s2\"; allowed: a name listed in /schedulers; did "
                    "you mean \"s1\"?\n/groups/1/name: is \"nadi\"; allowed: a name listed in "
                    "/domains\n/groups/2/name: is \"setings\"; allowed: \"settings\" or "
                    "\"domain:<domain>\"\n/groups: has 0 groups called \"settings\"; allowed: "
                    "one for each domain and one called \"settings\"\n"),
        SchedulerErrors(text));
  }

  // Guards against timeouts so short that followers start elections although the leader is healthy.
  void Scheduler_ContradictingTimings_AreRejected() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("/election_min_ms: is 300; allowed: at least twice heartbeat_ms, 800\n"
                    "/election_max_ms: is 300; allowed: more than election_min_ms, 300\n"),
        SchedulerErrors(With(kScheduler, R"(, "heartbeat_ms": 400, "election_max_ms": 300)")));
  }

  // Guards against a scheduler that its peers do not list, or list in another domain.
  void Scheduler_NotInItsOwnList_IsRejected() {
    CPPUNIT_ASSERT_EQUAL(std::string("/node: is \"s9\"; allowed: a node listed in /schedulers\n"),
                         SchedulerErrors(Replaced(kScheduler, R"("s1")", R"("s9")")));
  }

  // Guards against a daemon that starts with defaults because its file is missing.
  void File_Unreadable_SaysWhy() {
    const auto settings = LoadEntrySettings("/nonexistent/file");
    CPPUNIT_ASSERT(!settings);
    CPPUNIT_ASSERT_EQUAL(std::string("file \"/nonexistent/file\" cannot be read: No such file or "
                                     "directory"),
                         settings.error().at(0).message);
  }

  // Guards against a key that is added or changed without its row in docs/settings.md.
  void Page_ComparedWithDocument_IsEqual() {
    std::ifstream file(std::string(PARSLEYLINE_SOURCE_DIR) + "/docs/settings.md");
    std::ostringstream document;
    document << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL(document.str(), SettingsPage());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonSettingsTest);

}  // namespace parsleyline::settings
