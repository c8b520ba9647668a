#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <string>

#include "base/event_log.h"
#include "tests/dispatch/load_profiles.h"
#include "tests/dispatch/load_simulation.h"

// Simulates seeded loads on the coordinator in virtual time and compares policies.
namespace parsleyline::dispatch {
namespace {

struct NamedPolicy {
  const char* name;
  Policy policy;
};

const NamedPolicy kPolicies[] = {
    {"in-use", {}},
    {"arrival", {.order = SchedulingOrder::kFifo}},
    {"priority", {.order = SchedulingOrder::kPriority}},
    {"open-door", {.admission_rule = AdmissionRule::kAcceptAll}},
    {"gangs-by-slack", {.gang_slack_deduction_per_task = Milliseconds(0)}},
    {"gangs-reserve-most", {.max_reserved_permille = 700}},
    {"gangs-by-chance", {.gang_rule = GangRule::kWaitForCapacity}},
};

void Print(const std::string& name, const LoadResult& result, double seconds) {
  std::cout << name << ": processor " << std::fixed << std::setprecision(2) << seconds
            << " s, starts " << result.starts << ", "
            << seconds * 1e6 / std::max<std::uint64_t>(result.starts, 1) << " us a start, wasted "
            << result.wasted_core_seconds << " core-s\n";
  for (const auto& [kind, it] : result.classes) {
    std::cout << "  " << std::setw(8) << kind << " submitted " << it.submitted << " in time "
              << it.in_time << " late " << it.late << " rejected " << it.rejected << " failed "
              << it.failed << " lost " << it.Expired() << "\n";
  }
  for (const auto& [kind, it] : result.wide_classes) {
    std::cout << "  wide " << std::setw(8) << kind << " submitted " << it.submitted << " in time "
              << it.in_time << " late " << it.late << "\n";
  }
}

int Main(int argc, char** argv) {
  cxxopts::Options options("bench_jobs", "Replays loads against the job scheduler.");
  options.add_options()("profile", "draws, lookups, draws-grown or lookups-grown",
                        cxxopts::value<std::string>()->default_value("draws"))(
      "policy", "one of the policies, or all", cxxopts::value<std::string>()->default_value("all"))(
      "burst", "times the rate from 5 s to 11 s", cxxopts::value<double>()->default_value("1"))(
      "seed", "seed of the load", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "help", "print this text");
  const auto arguments = options.parse(argc, argv);
  const auto setup = FindLoadProfile(arguments["profile"].as<std::string>());
  if (arguments.count("help") != 0 || !setup) {
    std::cout << options.help();
    return setup ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  if (std::getenv("SIM_LOG") == nullptr) SetMinimumSeverity(Severity::kError);
  for (const NamedPolicy& it : kPolicies) {
    const std::string policy_name = arguments["policy"].as<std::string>();
    if (policy_name != "all" && policy_name != it.name) continue;
    LoadSetup load = *setup;
    load.seed = arguments["seed"].as<std::uint64_t>();
    load.policy = it.policy;
    for (LoadClass& load_class : load.classes) {
      load_class.burst_factor = arguments["burst"].as<double>();
      load_class.burst_at_ms = 5000;
      load_class.burst_ms = 6000;
    }
    const std::clock_t begin = std::clock();
    const LoadResult result = LoadSimulation(load).Run();
    Print(it.name, result, static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace parsleyline::dispatch

int main(int argc, char** argv) { return parsleyline::dispatch::Main(argc, argv); }
