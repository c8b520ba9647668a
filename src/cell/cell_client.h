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

/// Calls the leader of the cell from any process. Finds it from a few known processes, follows it
/// when it changes, and repeats calls that were not answered: all calls are idempotent.
class CellClient {
 public:
  CellClient(boost::asio::io_context& io, Peers& peers, std::vector<NodeId> seeds);
  ~CellClient();

  /// Result of a call: the body, or the reason for which there is none. `may_have_run` is true if a
  /// process may have received the call.
  struct Answer {
    Result<std::string> body;
    bool may_have_run = false;
  };
  using AnswerDone = std::function<void(Answer)>;

  /// Calls a method of the leader, for at most `time_limit`.
  void Call(const std::string& method, std::string body, Milliseconds time_limit, AnswerDone done);

  /// Begins to tell the leader about this process; keeps the view of the cell fresh.
  void Start();
  /// Replaces the processes that are asked when no other is known.
  void SetSeeds(std::vector<NodeId> seeds);
  /// Time since the leader answered last; tells whether callers can be served.
  bool IsConnected(Milliseconds within) const;
  NodeId Leader() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace parsleyline::cell
