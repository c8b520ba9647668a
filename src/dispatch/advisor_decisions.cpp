#include "dispatch/advisor_decisions.h"

#include <algorithm>

namespace parsleyline::dispatch {

AdvisorDecisions::Decision AdvisorDecisions::DecisionFor(std::uint32_t slot) const {
  const auto it = entries_.find(slot);
  return it == entries_.end() ? Decision::kUnknown : it->second.decision;
}

std::string AdvisorDecisions::UsableTicket(std::uint32_t slot, TimePoint now) const {
  if (TicketValidity(slot, now) <= Duration(0)) return {};
  return entries_.at(slot).ticket;
}

Duration AdvisorDecisions::TicketValidity(std::uint32_t slot, TimePoint now) const {
  const auto it = entries_.find(slot);
  if (it == entries_.end() || it->second.ticket.empty()) return Duration(0);
  return std::max<Duration>(it->second.ticket_expiry - kTicketExpiryMargin - now, Duration(0));
}

void AdvisorDecisions::RecordReply(const std::vector<QueriedWorker>& queried,
                                   const AdvisorReply& reply, TimePoint now) {
  if (reply.answered == 0) return;
  std::map<WorkerId, const std::string*> tickets;
  for (const Approval& it : reply.approvals) tickets[it.worker] = &it.ticket;
  for (const QueriedWorker& it : queried) {
    Entry& entry = entries_[it.slot];
    const auto ticket = tickets.find(it.worker);
    if (ticket == tickets.end()) {
      entry.decision = Decision::kRejected;
      entry.ticket.clear();
      continue;
    }
    entry.decision = Decision::kApproved;
    entry.ticket = *ticket->second;
    entry.ticket_expiry = now + reply.ticket_validity;
    const auto at = std::lower_bound(approved_.begin(), approved_.end(), it.slot);
    if (at == approved_.end() || *at != it.slot) approved_.insert(at, it.slot);
  }
}

void AdvisorDecisions::RemoveTicket(std::uint32_t slot) {
  const auto it = entries_.find(slot);
  if (it != entries_.end()) it->second.ticket.clear();
}

}  // namespace parsleyline::dispatch
