#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyline::settings {

/// Returns the candidate with the smallest edit distance to `name`, if one is close enough.
std::optional<std::string_view> ClosestName(std::string_view name,
                                            const std::vector<std::string_view>& candidates);

/// Returns the suffix `; did you mean "x"?` for a message, or "" if no candidate is close enough.
std::string DidYouMean(std::string_view name, const std::vector<std::string_view>& candidates);

}  // namespace parsleyline::settings
