#include "config_tree/config_tree.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "config_tree/reply_cache.h"
#include "config_tree/tree_json.h"
#include "config_tree/tree_state.h"
#include "wire/codec.h"

namespace parsleyline::config_tree {
namespace {

constexpr std::size_t kMaxOperationBytes = 128;
// Replies with many faults would fill snapshots.
constexpr std::size_t kMaxMessageBytes = 500;

constexpr const char* kTeams = "teams";

/// Tells whether `path` is a team or below one.
bool IsWithinTeam(const Path& path) { return path.size() >= 2 && path[0] == kTeams; }

Json EmptyTree() { return {{kTeams, Json::object()}, {"kinds", Json::object()}}; }

/// Operation ids appear in logs, in JSON and on command lines.
bool IsOperationId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxOperationBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

Error InvalidSettings(const settings::Faults& faults) {
  std::string message;
  for (const settings::Fault& fault : faults) {
    if (!message.empty()) message += "; ";
    message += (fault.path.empty() ? "value" : fault.path) + " " + fault.message;
  }
  if (message.size() > kMaxMessageBytes) {
    message = std::to_string(faults.size()) + " faults, the first: " + faults[0].path + " " +
              faults[0].message;
  }
  return {ResultCode::kInvalidSettings, message};
}

}  // namespace

struct ConfigTree::Impl {
  explicit Impl(std::size_t limit) : history_limit(limit) {}

  /// Reply to an operation id that was used before; null for a new one.
  const KnownOperation* FindKnown(const OperationId& operation) const {
    const KnownOperation* known = accepted.Find(operation);
    return known != nullptr ? known : refused.Find(operation);
  }

  wire::SettingsEditReply Refuse(const Error& error) const {
    return {error.code, error.message, revision};
  }

  /// Checks the right to edit and the expected revision; returns the path of the edit.
  Result<Path> Authorize(const wire::SettingsEdit& edit) const;

  /// Returns the part of the tree that an edit at `path` can change, as a valid tree: one team or
  /// everything. With 140 teams, copying and checking everything took 200 us per edit, one team
  /// takes 5 us.
  Json PartFor(const Path& path) const;

  /// Returns that part as it is after the edit.
  Result<Json> Edited(const wire::SettingsEdit& edit, const Path& path) const;

  /// Puts an edited part back and makes a new revision.
  void Accept(const wire::SettingsEdit& edit, const Path& path, Json part);

  std::size_t history_limit;
  Json tree = EmptyTree();
  Revision revision;
  std::deque<wire::SettingsHistoryRow> history;
  ReplyCache accepted{kKeptAcceptedReplies};
  ReplyCache refused{kKeptRefusedReplies};
};

Result<Path> ConfigTree::Impl::Authorize(const wire::SettingsEdit& edit) const {
  auto path = ParsePath(edit.path);
  if (!path) return path;
  if (!MayEdit(edit.author, *path)) {
    return Fail(ResultCode::kNotSubtreeOwner, "author " + settings::Quoted(edit.author.value()) +
                                                  " may not edit " + settings::Quoted(edit.path) +
                                                  "; a team may edit only /teams/<team>");
  }
  if (edit.expected != revision) {
    return Fail(ResultCode::kRevisionConflict,
                "the edit expects revision " + std::to_string(edit.expected.value()) +
                    ", the current one is " + std::to_string(revision.value()));
  }
  return path;
}

Json ConfigTree::Impl::PartFor(const Path& path) const {
  if (!IsWithinTeam(path)) return tree;
  Json part = {{kTeams, Json::object()}};
  const Json* team = FindNode(tree, {path[0], path[1]});
  if (team != nullptr) part[kTeams][path[1]] = *team;
  return part;
}

Result<Json> ConfigTree::Impl::Edited(const wire::SettingsEdit& edit, const Path& path) const {
  Json edited = PartFor(path);
  Result<void> changed;
  if (edit.value.empty()) {
    changed = RemoveNode(path, &edited);
  } else {
    auto value = settings::ParseJson(edit.value);
    if (!value) return tl::make_unexpected(InvalidSettings(value.error()));
    changed = SetNode(path, std::move(*value), &edited);
  }
  if (!changed) return tl::make_unexpected(changed.error());
  const settings::Faults faults = CheckTreeJson(edited);
  if (!faults.empty()) return tl::make_unexpected(InvalidSettings(faults));
  return edited;
}

void ConfigTree::Impl::Accept(const wire::SettingsEdit& edit, const Path& path, Json part) {
  const Json* previous = FindNode(tree, path);
  revision = Revision(revision.value() + 1);
  history.push_back({revision, edit, previous != nullptr ? previous->dump() : ""});
  if (history.size() > history_limit) history.pop_front();
  if (!IsWithinTeam(path)) {
    tree = std::move(part);
  } else if (part[kTeams].contains(path[1])) {
    tree[kTeams][path[1]] = std::move(part[kTeams][path[1]]);
  } else {
    tree[kTeams].erase(path[1]);
  }
}

ConfigTree::ConfigTree(std::size_t history_limit) : impl_(std::make_unique<Impl>(history_limit)) {}

ConfigTree::~ConfigTree() = default;

wire::SettingsEditReply ConfigTree::Apply(const wire::SettingsEdit& edit) {
  if (!IsOperationId(edit.operation.value())) {
    return impl_->Refuse({ResultCode::kInvalidSettings,
                          "operation id " + settings::Quoted(edit.operation.value()) +
                              " is invalid; allowed: 1 to 128 printable ASCII characters"});
  }
  const EditDigest digest = DigestOf(edit);
  if (const KnownOperation* known = impl_->FindKnown(edit.operation)) {
    if (known->digest == digest) return known->reply;
    return impl_->Refuse({ResultCode::kOperationConflict,
                          "operation id " + settings::Quoted(edit.operation.value()) +
                              " was used with another edit"});
  }
  const auto path = impl_->Authorize(edit);
  auto edited = path ? impl_->Edited(edit, *path) : tl::make_unexpected(path.error());
  if (!edited) {
    wire::SettingsEditReply reply = impl_->Refuse(edited.error());
    impl_->refused.Add({edit.operation, digest, reply});
    return reply;
  }
  impl_->Accept(edit, *path, std::move(*edited));
  wire::SettingsEditReply reply{ResultCode::kOk, "", impl_->revision};
  impl_->accepted.Add({edit.operation, digest, reply});
  return reply;
}

Revision ConfigTree::revision() const { return impl_->revision; }

std::string ConfigTree::ToJson() const { return impl_->tree.dump(); }

Result<std::string> ConfigTree::Get(std::string_view path) const {
  const auto parsed = ParsePath(path);
  if (!parsed) return tl::make_unexpected(parsed.error());
  const Json* node = FindNode(impl_->tree, *parsed);
  if (node == nullptr) {
    return Fail(ResultCode::kNotFound, "there is no " + settings::Quoted(path));
  }
  return node->dump();
}

wire::SettingsHistory ConfigTree::History(Revision from) const {
  const auto first =
      std::find_if(impl_->history.begin(), impl_->history.end(),
                   [from](const wire::SettingsHistoryRow& row) { return row.revision > from; });
  return {{first, impl_->history.end()}};
}

std::string ConfigTree::TakeSnapshot() const {
  TreeState state;
  state.revision = impl_->revision;
  state.tree = impl_->tree.dump();
  state.history.assign(impl_->history.begin(), impl_->history.end());
  state.accepted = impl_->accepted.Rows();
  state.refused = impl_->refused.Rows();
  return wire::Encode(state);
}

Result<void> ConfigTree::Restore(std::string_view snapshot) {
  auto state = wire::Decode<TreeState>(snapshot);
  if (!state || state->format != TreeState::kFormat) {
    return Fail(ResultCode::kStorageCorrupt,
                "the snapshot of the settings tree cannot be read: " +
                    (state ? "unknown format" : state.error().message));
  }
  auto tree = settings::ParseJson(state->tree);
  if (!tree || !tree->is_object()) {
    return Fail(ResultCode::kStorageCorrupt, "the snapshot holds no settings tree");
  }
  auto restored = std::make_unique<Impl>(impl_->history_limit);
  restored->tree = std::move(*tree);
  restored->revision = state->revision;
  restored->history.assign(state->history.begin(), state->history.end());
  while (restored->history.size() > restored->history_limit) restored->history.pop_front();
  for (KnownOperation& known : state->accepted) restored->accepted.Add(std::move(known));
  for (KnownOperation& known : state->refused) restored->refused.Add(std::move(known));
  impl_ = std::move(restored);
  return {};
}

}  // namespace parsleyline::config_tree
