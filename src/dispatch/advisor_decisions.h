#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/messages.h"

namespace parsleyline::dispatch {

/// A ticket is not used this shortly before it expires, because it could expire while the start
/// order is in flight.
inline constexpr Milliseconds kTicketExpiryMargin{250};

/// A worker that an advisor call names.
struct QueriedWorker {
  WorkerId worker;
  /// Slot of the worker's incarnation when the call was sent.
  std::uint32_t slot = 0;
};

/// The advisor's decisions about the workers of one step, by worker slot. A decision about a worker
/// never changes, but the ticket of an approved worker expires.
class AdvisorDecisions {
 public:
  enum class Decision : std::uint8_t { kUnknown, kApproved, kRejected };

  /// Returns kUnknown for workers that the advisor was not asked about.
  Decision DecisionFor(std::uint32_t slot) const;
  /// Returns the ticket for a worker if it is usable now, otherwise an empty string.
  std::string UsableTicket(std::uint32_t slot, TimePoint now) const;
  /// Returns for how long the ticket for a worker is still usable; 0 if there is none.
  Duration TicketValidity(std::uint32_t slot, TimePoint now) const;
  /// Slots of the approved workers, in ascending order.
  const std::vector<std::uint32_t>& approved() const { return approved_; }

  /// Records the reply to a call about `queried` that was received at `now`. Workers without an
  /// approval in the reply are rejected.
  void RecordReply(const std::vector<QueriedWorker>& queried, const AdvisorReply& reply,
                   TimePoint now);
  /// Removes a ticket that the worker did not accept.
  void RemoveTicket(std::uint32_t slot);

  /// Returns how many workers have been approved or rejected.
  std::size_t DecidedCount() const { return entries_.size(); }

 private:
  struct Entry {
    Decision decision = Decision::kUnknown;
    std::string ticket;
    TimePoint ticket_expiry;
  };
  std::map<std::uint32_t, Entry> entries_;
  std::vector<std::uint32_t> approved_;
};

}  // namespace parsleyline::dispatch
