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

/// What an edit does if its author and revision are correct.
enum class Content {
  /// Sets a valid value.
  kValid,
  /// Sets an invalid value or has an invalid path.
  kInvalid,
  /// Sets a floor, which is valid depending on the floors of the other kinds.
  kFloor,
  /// Removes a node.
  kRemoval,
};

/// Path and value of an edit that a step may submit.
struct EditCase {
  const char* path;
  const char* value;
  Content content;
};

constexpr EditCase kEditCases[] = {
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

/// One step of a test run: a new edit, a repeated earlier edit, or a restart from a snapshot.
struct Step {
  unsigned action = 0;
  unsigned edit_case = 0;
  unsigned author = 0;
  unsigned operation = 0;
  int revision_offset = 0;
};

/// A simple implementation of the same rules that keeps all replies.
struct Model {
  Json tree = Json::parse(R"({"teams": {}, "kinds": {}})");
  std::uint64_t revision = 0;
  std::map<std::string, std::pair<wire::SettingsEdit, wire::SettingsEditReply>> replies;

  bool FloorsAreValid(const Json& changed) const {
    int sum = 0;
    for (const char* kind : {"service", "batch", "gang"}) {
      const auto path = Json::json_pointer(std::string("/kinds/") + kind + "/floor_permille");
      sum += changed.contains(path) ? changed.at(path).get<int>() : 100;
    }
    return sum <= 1000;
  }

  ResultCode Evaluate(const wire::SettingsEdit& edit, const EditCase& edit_case, Json* changed) {
    const std::string& author = edit.author.value();
    const std::string path = edit.path;
    const bool malformed = path[0] != '/' || path.find("//") != std::string::npos ||
                           path.find('\xff') != std::string::npos;
    if (malformed) return ResultCode::kInvalidSettings;
    const std::string own = "/teams/" + author;
    if (author != "operator" && path != own && path.rfind(own + "/", 0) != 0) {
      return ResultCode::kNotSubtreeOwner;
    }
    if (edit.expected_revision.value() != revision) return ResultCode::kRevisionConflict;
    if (edit_case.content == Content::kInvalid) return ResultCode::kInvalidSettings;
    const Json::json_pointer pointer(path);
    if (edit_case.content == Content::kRemoval) {
      if (!changed->contains(pointer)) return ResultCode::kNotFound;
      changed->at(pointer.parent_pointer()).erase(pointer.back());
      return ResultCode::kOk;
    }
    (*changed)[pointer] = Json::parse(edit.value);
    return FloorsAreValid(*changed) ? ResultCode::kOk : ResultCode::kInvalidSettings;
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
  return a.author == b.author && a.expected_revision == b.expected_revision && a.path == b.path &&
         canonical(a.value) == canonical(b.value);
}

/// Applies steps to a ConfigTree and to the model, and compares them after each step.
class ModelComparison {
 public:
  void Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      if (step.action == 0) {
        Restart();
      } else if (step.action <= 4 && !submitted_.empty()) {
        const auto& [edit, edit_case] = submitted_[step.operation % submitted_.size()];
        Submit(edit, *edit_case);
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
    const EditCase& edit_case = kEditCases[step.edit_case % std::size(kEditCases)];
    wire::SettingsEdit edit;
    // Only a few ids, so that some of them are used for two different edits.
    edit.operation = OperationId("op-" + std::to_string(step.operation));
    edit.author = TeamId(kAuthors[step.author % std::size(kAuthors)]);
    edit.expected_revision =
        Revision(model_.revision + static_cast<std::uint64_t>(step.revision_offset));
    edit.path = edit_case.path;
    edit.value = edit_case.value;
    edit.edit_time_seconds = submitted_.size();
    submitted_.emplace_back(edit, &edit_case);
    Submit(edit, edit_case);
  }

  void Submit(const wire::SettingsEdit& edit, const EditCase& edit_case) {
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
      const ResultCode expected = model_.Evaluate(edit, edit_case, &changed);
      RC_ASSERT(static_cast<int>(reply.code) == static_cast<int>(expected));
      if (expected == ResultCode::kOk) {
        model_.tree = changed;
        ++model_.revision;
        RC_ASSERT(accepted_operations_.emplace(reply.revision, edit.operation).second);
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
  std::vector<std::pair<wire::SettingsEdit, const EditCase*>> submitted_;
  std::map<Revision, OperationId> accepted_operations_;
};

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::action, rc::gen::inRange(0U, 20U)),
      rc::gen::set(&Step::edit_case, rc::gen::inRange(0U, unsigned{std::size(kEditCases)})),
      rc::gen::set(&Step::author, rc::gen::inRange(0U, 5U)),
      rc::gen::set(&Step::operation, rc::gen::inRange(0U, 200U)),
      rc::gen::set(&Step::revision_offset,
                   rc::gen::weightedElement<int>({{8, 0}, {2, -1}, {1, 1}})));
}

}  // namespace

class ConfigTreeFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigTreeFuzzTest);
  CPPUNIT_TEST(Apply_RandomEditsRepeatsAndRestarts_MatchesModel);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two accepted edits that expect the same revision, a repeated edit that is
  // applied twice, an edit outside the author's subtree, and state that is missing in a snapshot.
  void Apply_RandomEditsRepeatsAndRestarts_MatchesModel() {
    CPPUNIT_ASSERT(rc::check("settings tree against model", [] {
      ModelComparison().Run(*rc::gen::scale(2.0, rc::gen::container<std::vector<Step>>(AnyStep())));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTreeFuzzTest);

}  // namespace parsleyline::config_tree
