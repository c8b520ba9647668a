#include "job/batch_split.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace parsleyline::job {
namespace {

// Calls `function` with each list of `first` and the same list of `second`, in the order in which
// the lists are applied.
template <typename Function>
void ForEachList(CommandBatch* first, CommandBatch* second, Function function) {
  function(&first->silences, &second->silences);
  function(&first->returned_incarnations, &second->returned_incarnations);
  function(&first->crashes, &second->crashes);
  function(&first->ended_incarnations, &second->ended_incarnations);
  function(&first->reports, &second->reports);
  function(&first->submits, &second->submits);
  function(&first->ends, &second->ends);
  function(&first->cancels, &second->cancels);
  function(&first->starts, &second->starts);
  function(&first->purge.jobs, &second->purge.jobs);
}

}  // namespace

CommandBatch SplitOff(CommandBatch* batch) {
  CommandBatch rest;
  const std::size_t configs = batch->config.version == ConfigVersion() ? 0 : 1;
  std::size_t count = configs;
  ForEachList(batch, &rest, [&count](auto* list, auto*) { count += list->size(); });
  if (count < 2) return rest;
  std::size_t kept = count / 2 - configs;
  ForEachList(batch, &rest, [&kept](auto* list, auto* moved) {
    const std::size_t n = std::min(kept, list->size());
    const auto middle = list->begin() + static_cast<std::ptrdiff_t>(n);
    moved->assign(std::make_move_iterator(middle), std::make_move_iterator(list->end()));
    list->erase(middle, list->end());
    kept -= n;
  });
  return rest;
}

void Append(CommandBatch* batch, CommandBatch later) {
  ForEachList(batch, &later, [](auto* list, auto* appended) {
    list->insert(list->end(), std::make_move_iterator(appended->begin()),
                 std::make_move_iterator(appended->end()));
  });
}

}  // namespace parsleyline::job
