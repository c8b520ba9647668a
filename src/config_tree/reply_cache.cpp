#include "config_tree/reply_cache.h"

#include <xxhash.h>

#include <string>
#include <utility>

#include "config_tree/tree_json.h"
#include "wire/codec.h"

namespace parsleyline::config_tree {

EditDigest DigestOf(const wire::SettingsEdit& edit) {
  wire::SettingsEdit content = edit;
  content.operation = OperationId();
  content.edit_time_seconds = 0;
  if (const auto value = settings::ParseJson(edit.value)) content.value = value->dump();
  const std::string bytes = wire::Encode(content);
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

const KnownOperation* ReplyCache::Find(const OperationId& operation) const {
  const auto it = positions_.find(operation);
  return it == positions_.end() ? nullptr : &order_.at(it->second - removed_);
}

void ReplyCache::Add(KnownOperation known) {
  positions_[known.operation] = removed_ + order_.size();
  order_.push_back(std::move(known));
  if (order_.size() <= limit_) return;
  positions_.erase(order_.front().operation);
  order_.pop_front();
  ++removed_;
}

}  // namespace parsleyline::config_tree
