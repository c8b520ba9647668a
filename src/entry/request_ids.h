#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace parsleyline::entry {

/// Generates request ids, which contain their home domain.
class RequestIds {
 public:
  /// `domains` are all failure domains of the cell, the same at every entry daemon, in any order.
  explicit RequestIds(std::vector<DomainId> domains);

  /// Returns a new random id whose home is `home`.
  RequestId New(const DomainId& home) const;

  /// Returns the id for a caller's idempotency key. The same team and key give the same id, and
  /// with it the same home domain, at every entry daemon.
  RequestId ForKey(const TeamId& team, std::string_view key) const;

  /// Returns the home domain of an id, or nothing if the id contains no known domain.
  std::optional<DomainId> HomeOf(const RequestId& id) const;

 private:
  std::vector<DomainId> domains_;
};

}  // namespace parsleyline::entry
