#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/messages.h"

namespace parsleyline::dispatch {

/// A ticket is not used in the last part of its validity, because the order is under way then.
inline constexpr Milliseconds kTicketMargin{250};

/// What the advisor has said about the workers of one step. Which workers are approved never
/// changes; the tickets run out.
class StepAdvice {
 public:
  enum class Verdict : std::uint8_t { kUnknown, kApproved, kRefused };

  Verdict VerdictOf(const job::WorkerLifetime& worker) const;
  /// Returns the ticket for a worker if it may be used now, or an empty string.
  std::string TicketFor(const job::WorkerLifetime& worker, TimePoint now) const;

  /// Returns how long the ticket for a worker may still be used; 0 if there is none.
  Duration TicketLife(const job::WorkerLifetime& worker, TimePoint now) const;

  /// Notes the answer to a query about `asked`, which was received at `now`.
  void Note(const std::vector<job::WorkerLifetime>& asked, const AdviceReply& reply, TimePoint now);
  /// Forgets a ticket that a worker has refused.
  void DropTicket(const job::WorkerLifetime& worker);

  std::size_t KnownCount() const { return entries_.size(); }

 private:
  struct Entry {
    Verdict verdict = Verdict::kUnknown;
    job::UnixMillis born;
    std::string ticket;
    TimePoint valid_until;
  };
  std::map<WorkerId, Entry> entries_;
};

}  // namespace parsleyline::dispatch
