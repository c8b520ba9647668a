#include "job/cell_config.h"

namespace parsleyline::job {

const QueueSettings* CellConfig::FindByPath(const std::string& host,
                                            const std::string& path) const {
  const QueueSettings* best = nullptr;
  for (const QueueSettings& it : queues) {
    if (it.host != host || path.compare(0, it.path_prefix.size(), it.path_prefix) != 0) continue;
    if (best == nullptr || it.path_prefix.size() > best->path_prefix.size()) best = &it;
  }
  return best;
}

const QueueSettings* CellConfig::Find(const QueueId& id) const {
  const auto it = positions_.find(id);
  return it == positions_.end() ? nullptr : &queues[it->second];
}

void CellConfig::BuildIndex() {
  positions_.clear();
  for (std::size_t i = 0; i < queues.size(); ++i) positions_[queues[i].id] = i;
}

}  // namespace parsleyline::job
