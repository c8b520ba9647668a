#include "scheduler/lease_table.h"

#include <algorithm>

namespace parsleyline::scheduler {

void LeaseTable::Start(FencingToken token, const WorkerId& worker, Milliseconds duration,
                       TimePoint now) {
  const TimePoint expiry = now + duration + clock_margin_;
  leases_[token] = {worker, duration, expiry, expiry + duration, 0};
  tokens_by_worker_[worker].insert(token);
}

void LeaseTable::Remove(FencingToken token) {
  const auto it = leases_.find(token);
  if (it == leases_.end()) return;
  const auto worker = tokens_by_worker_.find(it->second.worker);
  if (worker != tokens_by_worker_.end()) {
    worker->second.erase(token);
    if (worker->second.empty()) tokens_by_worker_.erase(worker);
  }
  leases_.erase(it);
}

LeaseTable::LeaseUpdate LeaseTable::RecordAnnouncement(const WorkerId& worker,
                                                       const std::vector<FencingToken>& running,
                                                       std::uint64_t seen, TimePoint now) {
  LeaseUpdate update;
  update.reply_number = ++last_reply_number_;
  for (const FencingToken token : running) {
    const auto it = leases_.find(token);
    if (it == leases_.end() || it->second.worker != worker) {
      update.unknown.push_back(token);
      update.stop.push_back(token);
    } else if (it->second.stop_reply_number != 0) {
      it->second.expiry_if_silent = now + it->second.duration + clock_margin_;
      update.stop.push_back(token);
    } else {
      it->second.expiry = now + it->second.duration + clock_margin_;
      it->second.expiry_if_silent = it->second.expiry;
      update.renewed.push_back(token);
    }
  }

  const auto own = tokens_by_worker_.find(worker);
  if (own == tokens_by_worker_.end()) return update;
  for (const FencingToken token : own->second) {
    Lease& lease = leases_.at(token);
    const bool reported = std::find(running.begin(), running.end(), token) != running.end();
    if (reported) continue;
    lease.expiry_if_silent = now + lease.duration + lease.duration + clock_margin_;
    if (now < lease.expiry) continue;
    if (lease.stop_reply_number != 0 && seen >= lease.stop_reply_number) {
      update.ended.push_back(token);
      continue;
    }
    if (lease.stop_reply_number == 0) lease.stop_reply_number = update.reply_number;
    update.stop.push_back(token);
  }
  return update;
}

std::vector<FencingToken> LeaseTable::FindExpired(
    TimePoint now, const std::function<bool(const WorkerId&)>& is_silent) {
  std::vector<FencingToken> expired;
  for (const auto& [token, lease] : leases_) {
    if (now >= lease.expiry_if_silent && is_silent(lease.worker)) expired.push_back(token);
  }
  return expired;
}

}  // namespace parsleyline::scheduler
