#include "config_tree/reply_cache.h"

#include <xxhash.h>

#include <string>
#include <utility>

#include "config_tree/tree_json.h"
#include "wire/codec.h"

namespace parsleyline::config_tree {

EditDigest ComputeDigest(const wire::SettingsEdit& edit) {
  wire::SettingsEdit content = edit;
  content.operation = OperationId();
  content.edit_time_seconds = 0;
  if (const auto value = settings::ParseJson(edit.value)) content.value = value->dump();
  const std::string bytes = wire::Encode(content);
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

const CachedReply* ReplyCache::Find(const OperationId& operation) const {
  const auto it = positions_.find(operation);
  return it == positions_.end() ? nullptr : &replies_.at(it->second - evicted_);
}

void ReplyCache::Add(CachedReply cached) {
  positions_[cached.operation] = evicted_ + replies_.size();
  replies_.push_back(std::move(cached));
  if (replies_.size() <= limit_) return;
  positions_.erase(replies_.front().operation);
  replies_.pop_front();
  ++evicted_;
}

}  // namespace parsleyline::config_tree
