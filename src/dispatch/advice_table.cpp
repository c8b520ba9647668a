#include "dispatch/advice_table.h"

#include <algorithm>

namespace parsleyline::dispatch {

StepAdvice::Verdict StepAdvice::VerdictOf(std::uint32_t slot) const {
  const auto it = entries_.find(slot);
  return it == entries_.end() ? Verdict::kUnknown : it->second.verdict;
}

std::string StepAdvice::TicketFor(std::uint32_t slot, TimePoint now) const {
  if (TicketLife(slot, now) <= Duration(0)) return {};
  return entries_.at(slot).ticket;
}

Duration StepAdvice::TicketLife(std::uint32_t slot, TimePoint now) const {
  const auto it = entries_.find(slot);
  if (it == entries_.end() || it->second.ticket.empty()) return Duration(0);
  return std::max<Duration>(it->second.valid_until - kTicketMargin - now, Duration(0));
}

void StepAdvice::Note(const std::vector<AskedWorker>& asked, const AdvisorReply& reply,
                      TimePoint now) {
  if (reply.answered == 0) return;
  std::map<WorkerId, const std::string*> tickets;
  for (const Approval& it : reply.approvals) tickets[it.worker] = &it.ticket;
  for (const AskedWorker& it : asked) {
    Entry& entry = entries_[it.slot];
    const auto ticket = tickets.find(it.worker);
    if (ticket == tickets.end()) {
      entry.verdict = Verdict::kRefused;
      entry.ticket.clear();
      continue;
    }
    entry.verdict = Verdict::kApproved;
    entry.ticket = *ticket->second;
    entry.valid_until = now + reply.ticket_validity;
    const auto at = std::lower_bound(approved_.begin(), approved_.end(), it.slot);
    if (at == approved_.end() || *at != it.slot) approved_.insert(at, it.slot);
  }
}

void StepAdvice::DropTicket(std::uint32_t slot) {
  const auto it = entries_.find(slot);
  if (it != entries_.end()) it->second.ticket.clear();
}

}  // namespace parsleyline::dispatch
