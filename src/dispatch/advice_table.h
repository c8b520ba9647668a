#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/messages.h"

namespace parsleyline::dispatch {

/// A ticket is not used in the last part of its validity, because the order is under way then.
inline constexpr Milliseconds kTicketMargin{250};

/// A worker that the advisor was asked about.
struct AskedWorker {
  WorkerId worker;
  /// Slot of the lifetime that was meant.
  std::uint32_t slot = 0;
};

/// What the advisor has said about the workers of one step, by the slot of the worker's lifetime.
/// Which workers are approved never changes; the tickets run out.
class StepAdvice {
 public:
  enum class Verdict : std::uint8_t { kUnknown, kApproved, kRefused };

  Verdict VerdictOf(std::uint32_t slot) const;
  /// Returns the ticket for a worker if it may be used now, or an empty string.
  std::string TicketFor(std::uint32_t slot, TimePoint now) const;
  /// Returns how long the ticket for a worker may still be used; 0 if there is none.
  Duration TicketLife(std::uint32_t slot, TimePoint now) const;
  /// The slots of approved workers, in ascending order.
  const std::vector<std::uint32_t>& approved() const { return approved_; }

  /// Notes the answer to a query about `asked`, which was received at `now`.
  void Note(const std::vector<AskedWorker>& asked, const AdviceReply& reply, TimePoint now);
  /// Forgets a ticket that a worker has refused.
  void DropTicket(std::uint32_t slot);

  std::size_t KnownCount() const { return entries_.size(); }

 private:
  struct Entry {
    Verdict verdict = Verdict::kUnknown;
    std::string ticket;
    TimePoint valid_until;
  };
  std::map<std::uint32_t, Entry> entries_;
  std::vector<std::uint32_t> approved_;
};

}  // namespace parsleyline::dispatch
