#include "config_tree/tree_json.h"

#include <algorithm>
#include <utility>

namespace parsleyline::config_tree {
namespace {

// Sufficient for the schema, which has three levels and names of at most 64 characters.
constexpr std::size_t kMaxPathBytes = 256;

constexpr std::string_view kTeams = "teams";

}  // namespace

Result<Path> ParsePath(std::string_view text) {
  Path path;
  if (text.empty() || text == "/") return path;
  const bool is_printable =
      std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
  if (text.size() > kMaxPathBytes || text.front() != '/' || !is_printable) {
    return Fail(ResultCode::kInvalidSettings,
                "path " + settings::Quoted(text) + " is invalid; allowed: \"/\" or segments of " +
                    "printable ASCII that each follow a \"/\", together at most " +
                    std::to_string(kMaxPathBytes) + " bytes");
  }
  std::size_t begin = 1;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find('/', begin), text.size());
    if (end == begin) {
      return Fail(ResultCode::kInvalidSettings,
                  "path " + settings::Quoted(text) + " has an empty segment");
    }
    path.emplace_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return path;
}

bool MayEdit(const TeamId& author, const Path& path) {
  if (author.value() == kOperatorAuthor) return true;
  return path.size() >= 2 && path[0] == kTeams && path[1] == author.value();
}

const Json* FindNode(const Json& tree, const Path& path) {
  const Json* node = &tree;
  for (const std::string& segment : path) {
    if (!node->is_object()) return nullptr;
    const auto it = node->find(segment);
    if (it == node->end()) return nullptr;
    node = &*it;
  }
  return node;
}

Result<void> SetNode(const Path& path, Json value, Json* tree) {
  Json* node = tree;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (!node->is_object()) {
      return Fail(ResultCode::kInvalidSettings,
                  PathText(Path(path.begin(), path.begin() + static_cast<std::ptrdiff_t>(i))) +
                      " is " + settings::DescribeValue(*node) + "; it has no keys");
    }
    const bool is_last = i + 1 == path.size();
    node = &node->emplace(path[i], is_last ? Json() : Json::object()).first.value();
  }
  *node = std::move(value);
  return {};
}

Result<void> RemoveNode(const Path& path, Json* tree) {
  if (path.empty()) {
    return Fail(ResultCode::kInvalidSettings, "the whole tree cannot be removed");
  }
  const Path parent(path.begin(), path.end() - 1);
  if (FindNode(*tree, path) == nullptr) {
    return Fail(ResultCode::kNotFound, "there is no " + PathText(path));
  }
  Json* node = tree;
  for (const std::string& segment : parent) node = &(*node)[segment];
  node->erase(path.back());
  return {};
}

std::string PathText(const Path& path) {
  std::string text;
  for (const std::string& segment : path) text.append("/").append(segment);
  return text.empty() ? "/" : text;
}

}  // namespace parsleyline::config_tree
