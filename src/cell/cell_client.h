#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/messages.h"
#include "cell/peers.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace parsleyline::cell {

/// RPC client of the cell's leader, used by every process. Finds the leader through the seed
/// processes, follows leader changes, and retries calls that got no reply; every method that it
/// calls is idempotent.
class CellClient {
 public:
  CellClient(boost::asio::io_context& io, Peers& peers, std::vector<NodeId> seeds);
  ~CellClient();

  /// Reply body or error. `may_have_run` is true if an attempt other than the one that was replied
  /// to may have taken effect, or may still do so. A reply that the call has no effect is then not
  /// final.
  struct CallResult {
    Result<std::string> body;
    bool may_have_run = false;
  };
  using CallDone = std::function<void(CallResult)>;

  /// Calls a method of the leader, for at most `time_limit`.
  void Call(const std::string& method, std::string body, Milliseconds time_limit, CallDone done);

  /// Starts the periodic heartbeats to the leader, whose replies update the list of members.
  void Start();
  /// Replaces the seed processes, which are tried along with the members while the leader is
  /// unknown.
  void SetSeeds(std::vector<NodeId> seeds);
  /// Whether the leader has replied within the last `within`, so that callers can be served.
  bool IsConnected(Milliseconds within) const;
  /// Returns the last known leader, or an empty id.
  NodeId Leader() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::cell
