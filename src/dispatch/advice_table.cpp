#include "dispatch/advice_table.h"

#include <algorithm>

namespace parsleyline::dispatch {

StepAdvice::Verdict StepAdvice::VerdictOf(const job::WorkerLifetime& worker) const {
  const auto it = entries_.find(worker.worker);
  if (it == entries_.end()) return Verdict::kUnknown;
  // A worker that was started again may be of another kind.
  return it->second.born == worker.born ? it->second.verdict : Verdict::kUnknown;
}

std::string StepAdvice::TicketFor(const job::WorkerLifetime& worker, TimePoint now) const {
  if (TicketLife(worker, now) <= Duration(0)) return {};
  return entries_.at(worker.worker).ticket;
}

Duration StepAdvice::TicketLife(const job::WorkerLifetime& worker, TimePoint now) const {
  const auto it = entries_.find(worker.worker);
  const bool held =
      it != entries_.end() && it->second.born == worker.born && !it->second.ticket.empty();
  if (!held) return Duration(0);
  return std::max<Duration>(it->second.valid_until - kTicketMargin - now, Duration(0));
}

void StepAdvice::Note(const std::vector<job::WorkerLifetime>& asked, const AdviceReply& reply,
                      TimePoint now) {
  if (reply.answered == 0) return;
  for (const job::WorkerLifetime& it : asked) {
    const auto approval = std::find_if(reply.approvals.begin(), reply.approvals.end(),
                                       [&it](const Approval& a) { return a.worker == it.worker; });
    Entry& entry = entries_[it.worker];
    entry.born = it.born;
    if (approval == reply.approvals.end()) {
      entry.verdict = Verdict::kRefused;
      entry.ticket.clear();
      continue;
    }
    entry.verdict = Verdict::kApproved;
    entry.ticket = approval->ticket;
    entry.valid_until = now + reply.valid;
  }
}

void StepAdvice::DropTicket(const job::WorkerLifetime& worker) {
  const auto it = entries_.find(worker.worker);
  if (it != entries_.end()) it->second.ticket.clear();
}

}  // namespace parsleyline::dispatch
