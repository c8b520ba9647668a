#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

#include "base/event_log.h"
#include "tests/dispatch/load_profiles.h"
#include "tests/dispatch/load_simulation.h"

namespace parsleyline::dispatch {
namespace {

LoadResult Simulate(LoadSetup setup, Policy policy) {
  if (std::getenv("SIM_LOG") == nullptr) SetMinimumSeverity(Severity::kError);
  setup.policy = policy;
  const LoadResult result = LoadSimulation(std::move(setup)).Run();
  SetMinimumSeverity(Severity::kInfo);
  for (const auto& [name, it] : result.classes) {
    std::cout << "\n  " << name << ": submitted " << it.submitted << " in time " << it.in_time
              << " late " << it.late << " rejected " << it.rejected << " failed " << it.failed;
  }
  std::cout << "\n  wasted core-seconds " << result.wasted_core_seconds << std::endl;
  return result;
}

}  // namespace

/// Simulates heavy loads, and compares scheduling decisions with a baseline on a load for which the
/// decision is made.
class LoadReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadReplayTest);
  CPPUNIT_TEST(OrdinaryDay_AllKinds_AreServed);
  CPPUNIT_TEST(GangsAmongSmallTasks_Reservation_ServesMoreGangs);
  CPPUNIT_TEST(ManyGangsOfAllWidths_WidestReserve_ServesMoreWork);
  CPPUNIT_TEST(BurstOfAllKinds_RankOrder_ServesMoreThanFifo);
  CPPUNIT_TEST(Flood_Admission_RejectsJobsThatWouldExpire);
  CPPUNIT_TEST(FailingWorkers_Quarantine_SparesAttempts);
  CPPUNIT_TEST(HangingWorkers_StallDetection_MigratesTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OrdinaryDay_AllKinds_AreServed() {
    const LoadResult result = Simulate(OrdinaryDay(), {});
    CheckInvariants(result);
    for (const auto& [name, it] : result.classes) {
      CPPUNIT_ASSERT_MESSAGE(name, it.InTimeShare() > 0.8);
    }
  }

  // Without reservations, many small tasks use all free capacity before a wide gang fits.
  void GangsAmongSmallTasks_Reservation_ServesMoreGangs() {
    LoadSetup setup = OrdinaryDay();
    setup.classes = {ShortJobs(30), WideGangs(1.0), BatchJobs(11)};
    const LoadResult reserved = Simulate(setup, {});
    Policy by_chance;
    by_chance.gang_rule = GangRule::kWaitForCapacity;
    const LoadResult unreserved = Simulate(setup, by_chance);
    CheckInvariants(reserved);
    CPPUNIT_ASSERT(reserved.classes.at("draws").in_time > unreserved.classes.at("draws").in_time);
  }

  // In a burst at a large site, dozens of gangs with very different numbers of tasks wait at once.
  // Capacity reserved for all of them is idle while other work waits; reservations only for the
  // widest gangs serve more jobs.
  void ManyGangsOfAllWidths_WidestReserve_ServesMoreWork() {
    LoadSetup setup = *FindLoadProfile("draws-grown");
    for (LoadClass& it : setup.classes) {
      it.burst_factor = 1.6;
      it.burst_at_ms = 5000;
      it.burst_ms = 6000;
    }
    Policy all_reserve;
    all_reserve.max_reserved_permille = 700;
    all_reserve.gang_slack_deduction_per_task = Milliseconds(0);
    std::uint32_t in_time = 0;
    std::uint32_t in_time_all = 0;
    std::uint32_t wide = 0;
    std::uint32_t wide_all = 0;
    for (setup.seed = 1; setup.seed <= 3; ++setup.seed) {
      const LoadResult widest_only = Simulate(setup, {});
      const LoadResult all = Simulate(setup, all_reserve);
      CheckInvariants(widest_only);
      in_time += InTime(widest_only);
      in_time_all += InTime(all);
      wide += widest_only.wide_classes.at("draws").in_time;
      wide_all += all.wide_classes.at("draws").in_time;
    }
    CPPUNIT_ASSERT(in_time > in_time_all);
    CPPUNIT_ASSERT(wide > wide_all);
  }

  // For six seconds, the load is twice the capacity of the workers.
  void BurstOfAllKinds_RankOrder_ServesMoreThanFifo() {
    const LoadResult by_rank = Simulate(Burst(), {});
    Policy fifo;
    fifo.order = SchedulingOrder::kFifo;
    const LoadResult by_arrival = Simulate(Burst(), fifo);
    CheckInvariants(by_rank);
    CPPUNIT_ASSERT(InTime(by_rank) > InTime(by_arrival));
  }

  // Under a flood of batch jobs, admission control must reject jobs that would expire.
  void Flood_Admission_RejectsJobsThatWouldExpire() {
    LoadSetup setup = OrdinaryDay();
    setup.classes = {ShortJobs(30), WideGangs(1), BatchJobs(120)};
    setup.length_ms = 12'000;
    const LoadResult controlled = Simulate(setup, {});
    Policy accept_all;
    accept_all.admission_rule = AdmissionRule::kAcceptAll;
    const LoadResult accepted = Simulate(setup, accept_all);
    CheckInvariants(controlled);
    CPPUNIT_ASSERT(Expired(controlled) * 2 < Expired(accepted));
    // Admission control may reject jobs that would have ended in time, but at most one for each
    // five expired jobs that it prevents.
    CPPUNIT_ASSERT(InTime(controlled) * 5 + Expired(accepted) >=
                   InTime(accepted) * 5 + Expired(controlled));
  }

  // Some workers accept every start and fail the task. Jobs must not use up their attempts there.
  void FailingWorkers_Quarantine_SparesAttempts() {
    LoadSetup setup = OrdinaryDay();
    setup.failing_workers = 5;
    const LoadResult result = Simulate(setup, {});
    CheckInvariants(result);
    std::uint32_t failed = 0;
    std::uint32_t submitted = 0;
    for (const auto& [name, it] : result.classes) {
      failed += it.failed;
      submitted += it.submitted;
    }
    CPPUNIT_ASSERT(failed * 20 < submitted);
  }

  // Some workers answer normally while their tasks make no progress.
  void HangingWorkers_StallDetection_MigratesTasks() {
    LoadSetup setup = OrdinaryDay();
    setup.hanging_workers = 5;
    const LoadResult result = Simulate(setup, {});
    CheckInvariants(result);
    CPPUNIT_ASSERT(result.classes.at("pairs").InTimeShare() > 0.6);
  }

 private:
  static LoadSetup Burst() {
    LoadSetup setup = OrdinaryDay();
    for (LoadClass& it : setup.classes) {
      it.burst_factor = 2.2;
      it.burst_at_ms = 5000;
      it.burst_ms = 6000;
    }
    return setup;
  }

  static void CheckInvariants(const LoadResult& result) {
    CPPUNIT_ASSERT(result.max_overcharge_millicores <= 0);
    CPPUNIT_ASSERT_EQUAL(0U, result.double_runs);
  }

  static std::uint32_t InTime(const LoadResult& result) {
    std::uint32_t count = 0;
    for (const auto& [name, it] : result.classes) count += it.in_time;
    return count;
  }

  static std::uint32_t Expired(const LoadResult& result) {
    std::uint32_t count = 0;
    for (const auto& [name, it] : result.classes) count += it.Expired();
    return count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReplayTest);

}  // namespace parsleyline::dispatch
