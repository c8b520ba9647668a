#include "entry/flow_table.h"

namespace parsleyline::entry {

FlowTable::FindResult FlowTable::FindOrAdd(
    const RequestId& id, const std::function<std::shared_ptr<RequestFlow>()>& make) {
  Shard& shard = ShardOf(id);
  const std::lock_guard lock(shard.mutex);
  const auto it = shard.flows.find(id);
  if (it != shard.flows.end()) return {it->second, false};
  auto flow = make();
  shard.flows.emplace(id, flow);
  ++size_;
  return {std::move(flow), true};
}

void FlowTable::Remove(const RequestId& id) {
  Shard& shard = ShardOf(id);
  std::shared_ptr<RequestFlow> removed;
  {
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.flows.find(id);
    if (it == shard.flows.end()) return;
    removed = std::move(it->second);
    shard.flows.erase(it);
  }
  --size_;
}

}  // namespace parsleyline::entry
