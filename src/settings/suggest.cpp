#include "settings/suggest.h"

#include <algorithm>
#include <numeric>

namespace parsleyline::settings {
namespace {

// No key is longer, and computing the distance takes time proportional to the product of both
// lengths.
constexpr std::size_t kMaxNameLength = 64;

/// Returns the optimal string alignment distance: the number of insertions, deletions, replacements
/// and transpositions of adjacent characters.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> before_last(b.size() + 1);
  std::vector<std::size_t> last(b.size() + 1);
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(last.begin(), last.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = last[j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
      row[j] = std::min({last[j] + 1, row[j - 1] + 1, replaced});
      if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1]) {
        row[j] = std::min(row[j], before_last[j - 2] + 1);
      }
    }
    std::swap(before_last, last);
    std::swap(last, row);
  }
  return last[b.size()];
}

}  // namespace

std::optional<std::string_view> ClosestName(std::string_view name,
                                            const std::vector<std::string_view>& candidates) {
  if (name.empty() || name.size() > kMaxNameLength) return std::nullopt;
  // At most a third of the characters may differ; a larger limit suggests unrelated words.
  std::size_t best = std::max<std::size_t>(1, name.size() / 3) + 1;
  std::optional<std::string_view> closest;
  for (const std::string_view candidate : candidates) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance >= best) continue;
    best = distance;
    closest = candidate;
  }
  return closest;
}

std::string DidYouMean(std::string_view name, const std::vector<std::string_view>& candidates) {
  const auto closest = ClosestName(name, candidates);
  return closest ? "; did you mean \"" + std::string(*closest) + "\"?" : "";
}

}  // namespace parsleyline::settings
