#include "job/cell_config.h"

#include <algorithm>

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
  const auto it =
      std::find_if(queues.begin(), queues.end(), [&id](const auto& q) { return q.id == id; });
  return it == queues.end() ? nullptr : &*it;
}

}  // namespace parsleyline::job
