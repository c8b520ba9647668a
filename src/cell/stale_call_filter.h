#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/clock.h"
#include "cell/messages.h"

namespace parsleyline::cell {

/// Recognizes calls that arrive after their client has given them up. A network that holds back the
/// bytes of an old connection, or a server that was paused, can deliver such a call after the reply
/// to a later attempt.
class StaleCallFilter {
 public:
  /// Records a received call. Returns false if its client has sent a call with a higher epoch, so
  /// that this one must not be carried out.
  bool Admit(const CallOrigin& origin, TimePoint now);

  std::size_t ClientCount() const { return clients_.size(); }

 private:
  struct Client {
    std::uint64_t epoch = 0;
    TimePoint last_call;
  };

  std::map<std::uint64_t, Client> clients_;
  TimePoint next_removal_;
};

}  // namespace parsleyline::cell
