#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

#include "base/event_log.h"
#include "tests/dispatch/load_profiles.h"
#include "tests/dispatch/load_simulation.h"

namespace parsleyline::dispatch {
namespace {

LoadResult Play(LoadSetup setup, Policy policy) {
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

/// Replays of the worst loads: each shows a baseline losing on the load that a decision answers.
class WorstLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorstLoadTest);
  CPPUNIT_TEST(OrdinaryDay_AllKinds_AreServed);
  CPPUNIT_TEST(GangsAmongSmallTasks_Reservation_ServesMoreGangs);
  CPPUNIT_TEST(ManyGangsOfAllWidths_WidestReserve_ServesMore);
  CPPUNIT_TEST(BurstOfAllKinds_Prospect_ServesMoreThanArrivalOrder);
  CPPUNIT_TEST(Flood_Door_RejectsWhatWouldBeLost);
  CPPUNIT_TEST(FailingWorkers_Quarantine_SparesAttempts);
  CPPUNIT_TEST(HangingWorkers_Standstill_MovesTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OrdinaryDay_AllKinds_AreServed() {
    const LoadResult result = Play(DayOfTheDraws(), {});
    CheckRules(result);
    for (const auto& [name, it] : result.classes) {
      CPPUNIT_ASSERT_MESSAGE(name, it.InTimeShare() > 0.8);
    }
  }

  // Wide gangs among many small tasks, which fill each hole before the next one opens.
  void GangsAmongSmallTasks_Reservation_ServesMoreGangs() {
    LoadSetup setup = DayOfTheDraws();
    setup.classes = {Checks(30), Draws(1.0), Pairs(11)};
    const LoadResult reserved = Play(setup, {});
    Policy by_chance;
    by_chance.gang_rule = GangRule::kWaitForCapacity;
    const LoadResult chance = Play(setup, by_chance);
    CheckRules(reserved);
    CPPUNIT_ASSERT(reserved.classes.at("draws").in_time > chance.classes.at("draws").in_time);
  }

  // A grown site in a burst: dozens of gangs of very unlike width wait at once. Room that is kept
  // for each of them stands idle while everything waits; kept for the widest only, it serves more.
  void ManyGangsOfAllWidths_WidestReserve_ServesMore() {
    LoadSetup setup = *ProfileOf("draws-grown");
    for (LoadClass& it : setup.classes) {
      it.burst = 1.6;
      it.burst_at_ms = 5000;
      it.burst_ms = 6000;
    }
    Policy all_reserve;
    all_reserve.max_reserved_permille = 700;
    all_reserve.gang_slack_deduction_per_task = Milliseconds(0);
    std::uint32_t in_time = 0;
    std::uint32_t in_time_before = 0;
    std::uint32_t wide = 0;
    std::uint32_t wide_before = 0;
    for (setup.seed = 1; setup.seed <= 3; ++setup.seed) {
      const LoadResult now = Play(setup, {});
      const LoadResult before = Play(setup, all_reserve);
      CheckRules(now);
      in_time += InTime(now);
      in_time_before += InTime(before);
      wide += now.wide.at("draws").in_time;
      wide_before += before.wide.at("draws").in_time;
    }
    CPPUNIT_ASSERT(in_time > in_time_before);
    CPPUNIT_ASSERT(wide > wide_before);
  }

  // Twice the load that the fleet holds for six seconds.
  void BurstOfAllKinds_Prospect_ServesMoreThanArrivalOrder() {
    const LoadResult prospect = Play(Burst(), {});
    Policy arrival;
    arrival.order = SchedulingOrder::kFifo;
    const LoadResult by_arrival = Play(Burst(), arrival);
    CheckRules(prospect);
    CPPUNIT_ASSERT(InTime(prospect) > InTime(by_arrival));
  }

  // Far more batch work than can ever count: callers must hear it at the door.
  void Flood_Door_RejectsWhatWouldBeLost() {
    LoadSetup setup = DayOfTheDraws();
    setup.classes = {Checks(30), Draws(1), Pairs(120)};
    setup.length_ms = 12'000;
    const LoadResult door = Play(setup, {});
    Policy open;
    open.admission_rule = AdmissionRule::kAcceptAll;
    const LoadResult accepted = Play(setup, open);
    CheckRules(door);
    CPPUNIT_ASSERT(Lost(door) * 2 < Lost(accepted));
    // A rejected job might have been in time after all; at most one for five that hear it early.
    CPPUNIT_ASSERT(InTime(door) * 5 + Lost(accepted) >= InTime(accepted) * 5 + Lost(door));
  }

  // Workers that accept every start and fail it: a job must not lose its attempts there.
  void FailingWorkers_Quarantine_SparesAttempts() {
    LoadSetup setup = DayOfTheDraws();
    setup.failing_workers = 5;
    const LoadResult result = Play(setup, {});
    CheckRules(result);
    std::uint32_t failed = 0;
    std::uint32_t submitted = 0;
    for (const auto& [name, it] : result.classes) {
      failed += it.failed;
      submitted += it.submitted;
    }
    CPPUNIT_ASSERT(failed * 20 < submitted);
  }

  // Workers that answer as if all were well while their tasks stand still.
  void HangingWorkers_Standstill_MovesTasks() {
    LoadSetup setup = DayOfTheDraws();
    setup.hanging_workers = 5;
    const LoadResult result = Play(setup, {});
    CheckRules(result);
    CPPUNIT_ASSERT(result.classes.at("pairs").InTimeShare() > 0.6);
  }

 private:
  static LoadSetup Burst() {
    LoadSetup setup = DayOfTheDraws();
    for (LoadClass& it : setup.classes) {
      it.burst = 2.2;
      it.burst_at_ms = 5000;
      it.burst_ms = 6000;
    }
    return setup;
  }

  static void CheckRules(const LoadResult& result) {
    CPPUNIT_ASSERT(result.overcharged <= 0);
    CPPUNIT_ASSERT_EQUAL(0U, result.double_runs);
  }

  static std::uint32_t InTime(const LoadResult& result) {
    std::uint32_t count = 0;
    for (const auto& [name, it] : result.classes) count += it.in_time;
    return count;
  }

  static std::uint32_t Lost(const LoadResult& result) {
    std::uint32_t count = 0;
    for (const auto& [name, it] : result.classes) count += it.Lost();
    return count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorstLoadTest);

}  // namespace parsleyline::dispatch
