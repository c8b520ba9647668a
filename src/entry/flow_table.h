#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "base/ids.h"
#include "entry/request_flow.h"

namespace parsleyline::entry {

/// Requests in flight in this process, by id. Sharded, with one lock for each shard.
class FlowTable {
 public:
  struct FindResult {
    std::shared_ptr<RequestFlow> flow;
    /// Whether the flow is new.
    bool added = false;
  };
  /// Returns the flow of `id`, or adds the one that `make` returns.
  FindResult FindOrAdd(const RequestId& id,
                       const std::function<std::shared_ptr<RequestFlow>()>& make);

  void Remove(const RequestId& id);

  std::size_t size() const { return size_; }

 private:
  static constexpr std::size_t kShards = 16;
  struct Shard {
    std::mutex mutex;
    std::unordered_map<RequestId, std::shared_ptr<RequestFlow>> flows;
  };

  Shard& ShardOf(const RequestId& id) { return shards_[std::hash<RequestId>{}(id) % kShards]; }

  std::array<Shard, kShards> shards_;
  std::atomic<std::size_t> size_{0};
};

}  // namespace parsleyline::entry
