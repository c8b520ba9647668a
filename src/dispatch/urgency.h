#pragma once

#include <cstdint>
#include <tuple>

#include "base/clock.h"
#include "dispatch/duration_model.h"
#include "dispatch/policy.h"
#include "job/cell_config.h"
#include "job/job_book.h"

namespace parsleyline::dispatch {

/// Workers named in a usual call of the advisor; its time counts towards the chain of a job.
inline constexpr std::int64_t kUsualAdviceWorkers = 30;
/// A job that ends within this many times its objective still counts, for less.
inline constexpr int kLateFactor = 3;

/// Returns the time that one call of the advisor takes.
Duration AdviceTime(const job::AdvisorSettings& advisor, std::int64_t workers);

/// Returns the time that the longest chain of dependent steps of `occurrence` still takes on
/// workers that are free, with one call of the advisor for each step that has not begun.
Duration RemainingChain(const job::JobSpec& spec, const job::OccurrenceState& occurrence,
                        const job::QueueSettings& queue, const DurationModel& durations);
/// Returns the longest chain of a job before it begins.
Duration WholeChain(const job::JobSpec& spec, const job::QueueSettings& queue,
                    const DurationModel& durations);

/// Returns the time after the submission at which a job stops counting in full.
Duration Objective(const job::JobSpec& spec, const job::QueueSettings& queue,
                   const DurationModel& durations);

/// What a job can still reach.
enum class Prospect : std::uint8_t { kInTime = 0, kLate = 1, kLost = 2 };

/// Order of waiting work; less goes first. Answers a load above capacity: work that can still
/// meet its objective goes before work that cannot, so that the backlog of the hopeless does not
/// make the rest late too. Among equals the priority of the queue decides, then the least slack.
struct Urgency {
  Prospect prospect = Prospect::kInTime;
  std::uint32_t priority = 0;
  Duration slack{0};

  auto operator<=>(const Urgency&) const = default;
};

Urgency UrgencyOf(TimePoint now, TimePoint accepted, Duration objective, Duration remaining,
                  std::uint32_t priority);

/// Returns the urgency as the order `order` sees it. The orders other than kProspect are baselines.
Urgency Ordered(const Urgency& urgency, WaitingOrder order, TimePoint accepted);

}  // namespace parsleyline::dispatch
