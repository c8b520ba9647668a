#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config_tree/config_tree.h"

namespace parsleyline::config_tree {
namespace {

using Json = nlohmann::json;

/// What the model expects of an edit whose author and revision are right.
enum class Content { kValid, kInvalid, kFloor, kRemoval };

struct Candidate {
  const char* path;
  const char* value;
  Content content;
};

constexpr Candidate kCandidates[] = {
    {"/teams/suva", R"({"weight": 3})", Content::kValid},
    {"/teams/suva/weight", "7", Content::kValid},
    {"/teams/suva/weight", " 9 ", Content::kValid},
    {"/teams/labasa/cpu_quota_millis", "0", Content::kValid},
    {"/teams/labasa", "{}", Content::kValid},
    {"/teams/labasa", "", Content::kRemoval},
    {"/teams/suva/weight", "", Content::kRemoval},
    {"/kinds/batch", "", Content::kRemoval},
    {"/teams", "", Content::kRemoval},
    {"/kinds/batch/floor_permille", "600", Content::kFloor},
    {"/kinds/gang/floor_permille", "350", Content::kFloor},
    {"/kinds/service/floor_permille", "50", Content::kFloor},
    {"/teams/suva/weight", "0", Content::kInvalid},
    {"/teams/suva/weight", "1.5", Content::kInvalid},
    {"/teams/suva/weihgt", "1", Content::kInvalid},
    {"/teams/suva/weight/x", "1", Content::kInvalid},
    {"/teams/suva", "{\"weight\": ", Content::kInvalid},
    {"/teams/suva", R"({"weight": 1, "weight": 2})", Content::kInvalid},
    {"/teams/Suva", "{}", Content::kInvalid},
    {"/teams/operator", "{}", Content::kInvalid},
    {"/teams//weight", "1", Content::kInvalid},
    {"teams/suva", "{}", Content::kInvalid},
    {"/teams/su\xffva", "{}", Content::kInvalid},
    {"/", "[]", Content::kInvalid},
    {"/", "", Content::kInvalid},
};

/// One step: a new edit, a resend of an earlier one, or a restart from a snapshot.
struct Step {
  unsigned action = 0;
  unsigned candidate = 0;
  unsigned author = 0;
  unsigned operation = 0;
  int revision_offset = 0;
};

/// Unbounded, naive restatement of the rules.
struct Model {
  Json tree = Json::parse(R"({"teams": {}, "kinds": {}})");
  std::uint64_t revision = 0;
  std::map<std::string, std::pair<wire::SettingsEdit, wire::SettingsEditReply>> replies;

  bool FloorsFit(const Json& changed) const {
    int sum = 0;
    for (const char* kind : {"service", "batch", "gang"}) {
      const auto path = Json::json_pointer(std::string("/kinds/") + kind + "/floor_permille");
      sum += changed.contains(path) ? changed.at(path).get<int>() : 100;
    }
    return sum <= 1000;
  }

  ResultCode Evaluate(const wire::SettingsEdit& edit, const Candidate& candidate, Json* changed) {
    const std::string& author = edit.author.value();
    const std::string path = edit.path;
    const bool malformed = path[0] != '/' || path.find("//") != std::string::npos ||
                           path.find('\xff') != std::string::npos;
    if (malformed) return ResultCode::kInvalidSettings;
    const std::string own = "/teams/" + author;
    if (author != "operator" && path != own && path.rfind(own + "/", 0) != 0) {
      return ResultCode::kNotSubtreeOwner;
    }
    if (edit.expected.value() != revision) return ResultCode::kRevisionConflict;
    if (candidate.content == Content::kInvalid) return ResultCode::kInvalidSettings;
    const Json::json_pointer pointer(path);
    if (candidate.content == Content::kRemoval) {
      if (!changed->contains(pointer)) return ResultCode::kNotFound;
      changed->at(pointer.parent_pointer()).erase(pointer.back());
      return ResultCode::kOk;
    }
    (*changed)[pointer] = Json::parse(edit.value);
    return FloorsFit(*changed) ? ResultCode::kOk : ResultCode::kInvalidSettings;
  }
};

Json WithoutSubtreeOf(const std::string& author, const std::string& text) {
  Json tree = Json::parse(text);
  if (author == "operator") return {};
  if (tree.contains("teams")) {
    tree["teams"].erase(author);
    if (tree["teams"].empty()) tree.erase("teams");
  }
  return tree;
}

bool SameContent(const wire::SettingsEdit& a, const wire::SettingsEdit& b) {
  const auto canonical = [](const std::string& text) {
    const Json value = Json::parse(text, nullptr, false);
    return value.is_discarded() ? text : value.dump();
  };
  return a.author == b.author && a.expected == b.expected && a.path == b.path &&
         canonical(a.value) == canonical(b.value);
}

/// Applies steps to the real tree and to the model and compares after each one.
class Race {
 public:
  void Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      if (step.action == 0) {
        Restart();
      } else if (step.action <= 4 && !sent_.empty()) {
        const auto& [edit, candidate] = sent_[step.operation % sent_.size()];
        Submit(edit, *candidate);
      } else {
        SubmitNew(step);
      }
    }
  }

 private:
  void Restart() {
    const std::string snapshot = tree_->TakeSnapshot();
    auto restored = std::make_unique<ConfigTree>();
    RC_ASSERT(restored->Restore(snapshot).has_value());
    RC_ASSERT(restored->TakeSnapshot() == snapshot);
    RC_ASSERT(!restored->Restore(snapshot.substr(0, snapshot.size() / 2)).has_value());
    RC_ASSERT(restored->TakeSnapshot() == snapshot);
    tree_ = std::move(restored);
  }

  void SubmitNew(const Step& step) {
    constexpr const char* kAuthors[] = {"operator", "operator", "suva", "labasa", "Nobody"};
    const Candidate& candidate = kCandidates[step.candidate % std::size(kCandidates)];
    wire::SettingsEdit edit;
    // Few ids, so that some are used for two edits.
    edit.operation = OperationId("op-" + std::to_string(step.operation));
    edit.author = TeamId(kAuthors[step.author % std::size(kAuthors)]);
    edit.expected = Revision(model_.revision + static_cast<std::uint64_t>(step.revision_offset));
    edit.path = candidate.path;
    edit.value = candidate.value;
    edit.when_seconds = sent_.size();
    sent_.emplace_back(edit, &candidate);
    Submit(edit, candidate);
  }

  void Submit(const wire::SettingsEdit& edit, const Candidate& candidate) {
    const std::string before = tree_->ToJson();
    const Revision old_revision = tree_->revision();
    const wire::SettingsEditReply reply = tree_->Apply(edit);
    const auto known = model_.replies.find(edit.operation.value());
    if (known != model_.replies.end()) {
      const auto& [first, first_reply] = known->second;
      if (SameContent(first, edit)) {
        RC_ASSERT(reply.code == first_reply.code);
        RC_ASSERT(reply.message == first_reply.message);
        RC_ASSERT(reply.revision == first_reply.revision);
      } else {
        RC_ASSERT(reply.code == ResultCode::kOperationConflict);
      }
    } else {
      Json changed = model_.tree;
      const ResultCode expected = model_.Evaluate(edit, candidate, &changed);
      RC_ASSERT(static_cast<int>(reply.code) == static_cast<int>(expected));
      if (expected == ResultCode::kOk) {
        model_.tree = changed;
        ++model_.revision;
        RC_ASSERT(winners_.emplace(reply.revision, edit.operation).second);
      }
      RC_ASSERT(reply.revision == Revision(model_.revision));
      model_.replies.emplace(edit.operation.value(), std::pair(edit, reply));
    }
    RC_ASSERT(tree_->revision() >= old_revision);
    RC_ASSERT(tree_->revision() == Revision(model_.revision));
    RC_ASSERT(tree_->ToJson() == model_.tree.dump());
    RC_ASSERT(tree_->History(Revision(0)).rows.size() == model_.revision);
    RC_ASSERT(WithoutSubtreeOf(edit.author.value(), before) ==
              WithoutSubtreeOf(edit.author.value(), tree_->ToJson()));
  }

  std::unique_ptr<ConfigTree> tree_ = std::make_unique<ConfigTree>();
  Model model_;
  std::vector<std::pair<wire::SettingsEdit, const Candidate*>> sent_;
  std::map<Revision, OperationId> winners_;
};

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::action, rc::gen::inRange(0U, 20U)),
      rc::gen::set(&Step::candidate, rc::gen::inRange(0U, unsigned{std::size(kCandidates)})),
      rc::gen::set(&Step::author, rc::gen::inRange(0U, 5U)),
      rc::gen::set(&Step::operation, rc::gen::inRange(0U, 200U)),
      rc::gen::set(&Step::revision_offset,
                   rc::gen::weightedElement<int>({{8, 0}, {2, -1}, {1, 1}})));
}

}  // namespace

class ConfigTreeFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigTreeFuzzTest);
  CPPUNIT_TEST(Apply_RandomRacesResendsAndRestarts_MatchesModel);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second winner of a revision, a resend that is applied twice, an edit outside
  // the author's subtree, and state that a snapshot loses.
  void Apply_RandomRacesResendsAndRestarts_MatchesModel() {
    CPPUNIT_ASSERT(rc::check("settings tree against model", [] {
      Race().Run(*rc::gen::scale(2.0, rc::gen::container<std::vector<Step>>(AnyStep())));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTreeFuzzTest);

}  // namespace parsleyline::config_tree
