#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "settings/json_text.h"

// To be included only by .cpp files of this folder, because nlohmann-json is slow to compile.
namespace parsleyline::config_tree {

using settings::Json;

/// Name of the author who may edit the whole tree. No team may have this name.
inline constexpr std::string_view kOperatorAuthor = "operator";

/// Segments of a path such as "/teams/suva/weight"; none for the whole tree.
using Path = std::vector<std::string>;

/// Splits a path into its segments. "" and "/" denote the whole tree.
Result<Path> ParsePath(std::string_view text);

/// Returns whether `author` may edit the node at `path`.
bool MayEdit(const TeamId& author, const Path& path);

/// Returns the node at `path`, or null if there is none.
const Json* FindNode(const Json& tree, const Path& path);

/// Sets the node at `path` to `value` and creates missing objects above it. Fails if a node above
/// it is not an object. After a failure the tree may contain a part of the change.
Result<void> SetNode(const Path& path, Json value, Json* tree);

/// Removes the node at `path`. Fails if there is none.
Result<void> RemoveNode(const Path& path, Json* tree);

/// Checks a parsed tree, see CheckTree().
settings::Faults CheckTreeJson(const Json& tree);

/// Returns `path` as text, with "/" for the whole tree.
std::string PathText(const Path& path);

}  // namespace parsleyline::config_tree
