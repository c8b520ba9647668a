#include "config_tree/tree_schema.h"

#include <algorithm>
#include <utility>

#include "config_tree/tree_json.h"
#include "settings/option.h"
#include "settings/suggest.h"

namespace parsleyline::config_tree {
namespace {

using queue::KindPolicy;
using queue::QueuePolicy;
using queue::TeamPolicy;
using settings::Faults;
using settings::Number;
using settings::OptionTable;

constexpr std::int64_t kDayMs = 86'400'000;
// Larger than any fleet, and small enough that sums over all teams fit into 64 bits.
constexpr std::int64_t kMaxQuota = 1'000'000'000'000;
constexpr std::uint32_t kWholePermille = 1000;

const OptionTable<TeamPolicy>& TeamOptions() {
  static const OptionTable<TeamPolicy> kTable = {
      Number("weight", &TeamPolicy::weight, {"", 1, 1000}, "Relative share of the team."),
      Number("cpu_quota_millis", &TeamPolicy::cpu_quota, {"cores/1000", 0, kMaxQuota},
             "Most processors that running tasks may hold; 0 means no limit."),
      Number("accelerator_quota", &TeamPolicy::accelerator_quota, {"", 0, kMaxQuota},
             "Most accelerators that running tasks may hold; 0 means no limit."),
  };
  return kTable;
}

const OptionTable<KindPolicy>& KindOptions() {
  static const OptionTable<KindPolicy> kTable = {
      Number("floor_permille", &KindPolicy::floor_permille, {"1/1000", 0, kWholePermille},
             "Part of the fleet that the kind gets at least while it has demand."),
      Number("max_queued", &KindPolicy::max_queued, {"", 1, 1'000'000},
             "Queued requests of one team and kind."),
      Number("max_expected_wait_ms", &KindPolicy::max_expected_wait, {"ms", 1, kDayMs},
             "A request whose expected wait is longer is refused."),
  };
  return kTable;
}

/// Returns the child `key` if it is an object. Adds an error if it has another type.
const Json* ObjectChild(const Json& tree, const char* key, Faults* faults) {
  const auto it = tree.find(key);
  if (it == tree.end()) return nullptr;
  if (it->is_object()) return &*it;
  faults->push_back(
      {std::string("/") + key, "is " + settings::DescribeValue(*it) + "; allowed: an object"});
  return nullptr;
}

/// Returns whether a team may have this name. "." and ".." are not allowed, because HTTP clients
/// remove such segments from paths.
bool IsTeamName(const std::string& name) {
  return settings::IsName(name) && name != kOperatorAuthor && name != "." && name != "..";
}

void ReadTeams(const Json& teams, QueuePolicy* policy, Faults* faults) {
  for (const auto& item : teams.items()) {
    if (!IsTeamName(item.key())) {
      faults->push_back(
          {"/teams/" + item.key(),
           "is no name of a team; allowed: " + std::string(AllowedText(settings::TextRule::kName)) +
               ", but not \"operator\", \".\" and \"..\""});
      continue;
    }
    settings::ReadObject(item.value(), "/teams/" + item.key(), TeamOptions(),
                         &policy->teams[TeamId(item.key())], faults);
  }
}

void ReadKinds(const Json& kinds, QueuePolicy* policy, Faults* faults) {
  std::vector<std::string_view> known_keys;
  known_keys.reserve(kAllKinds.size());
  for (const Kind kind : kAllKinds) known_keys.push_back(KindName(kind));
  settings::CheckKeys(kinds, "/kinds", known_keys, faults);
  for (const auto& item : kinds.items()) {
    const auto kind = ParseKind(item.key());
    if (!kind) continue;
    settings::ReadObject(item.value(), "/kinds/" + item.key(), KindOptions(),
                         &policy->kinds.at(static_cast<std::size_t>(*kind)), faults);
  }
}

/// Checks the sum of the floors of all kinds, including the default for kinds that the tree does
/// not set.
void CheckFloors(const QueuePolicy& policy, Faults* faults) {
  std::uint32_t sum = 0;
  for (const KindPolicy& kind : policy.kinds) sum += kind.floor_permille;
  if (sum <= kWholePermille) return;
  faults->push_back({"/kinds", "has floors of " + std::to_string(sum) +
                                   " permille together, counting the default of " +
                                   std::to_string(KindPolicy{}.floor_permille) +
                                   " for each kind without one; allowed: at most 1000"});
}

QueuePolicy ReadTree(const Json& tree, Faults* faults) {
  QueuePolicy policy;
  if (!tree.is_object()) {
    faults->push_back({"/", "is " + settings::DescribeValue(tree) + "; allowed: an object"});
    return policy;
  }
  settings::CheckKeys(tree, "", {"teams", "kinds"}, faults);
  if (const Json* teams = ObjectChild(tree, "teams", faults)) ReadTeams(*teams, &policy, faults);
  if (const Json* kinds = ObjectChild(tree, "kinds", faults)) ReadKinds(*kinds, &policy, faults);
  CheckFloors(policy, faults);
  return policy;
}

}  // namespace

Faults CheckTreeJson(const Json& tree) {
  Faults faults;
  ReadTree(tree, &faults);
  return faults;
}

std::vector<SchemaError> CheckTree(std::string_view json_text) {
  const auto tree = settings::ParseJson(json_text);
  const Faults faults = tree ? CheckTreeJson(*tree) : tree.error();
  std::vector<SchemaError> rows;
  rows.reserve(faults.size());
  for (const settings::Fault& fault : faults) {
    rows.push_back({fault.path.empty() ? "/" : fault.path, fault.message});
  }
  return rows;
}

Result<QueuePolicy> ReadQueuePolicy(std::string_view json_text) {
  const auto tree = settings::ParseJson(json_text);
  Faults faults = tree ? Faults() : tree.error();
  QueuePolicy policy = tree ? ReadTree(*tree, &faults) : QueuePolicy();
  if (faults.empty()) return policy;
  return Fail(ResultCode::kInvalidSettings, faults[0].path + " " + faults[0].message);
}

std::vector<settings::OptionRow> DescribeTree() {
  std::vector<settings::OptionRow> rows;
  settings::DocumentTable(TeamOptions(), "/teams/<team>/", &rows);
  settings::DocumentTable(KindOptions(), "/kinds/<kind>/", &rows);
  return rows;
}

}  // namespace parsleyline::config_tree
