#include "tests/dispatch/load_profiles.h"

namespace parsleyline::dispatch {

LoadClass Checks(double rate) {
  LoadClass kind;
  kind.queue = "checks";
  kind.priority = 0;
  kind.rate = rate;
  kind.mean_tasks = 2;
  kind.mean_cpu = 5000;
  kind.mean_ms = 900;
  kind.slack_factor = 1.5;
  kind.latency_target_ms = 250;
  kind.estimate_error = 0.2;
  kind.advice_ms = 12;
  kind.advice_ms_per_worker = 0.17;
  kind.approved = 0.7;
  return kind;
}

LoadClass Draws(double rate) {
  LoadClass kind;
  kind.queue = "draws";
  kind.priority = 1;
  kind.rate = rate;
  kind.gang = true;
  kind.mean_tasks = 7;
  kind.mean_cpu = 16'000;
  kind.mean_ms = 4500;
  kind.slack_factor = 2.2;
  kind.advice_ms = 510;
  kind.advice_ms_per_worker = 7.3;
  kind.approved = 0.3;
  return kind;
}

LoadClass Pairs(double rate) {
  LoadClass kind;
  kind.queue = "pairs";
  kind.priority = 2;
  kind.rate = rate;
  kind.mean_tasks = 10;
  kind.mean_cpu = 3900;
  kind.mean_ms = 3000;
  kind.slack_factor = 4;
  kind.latency_target_ms = 3000;
  kind.advice_ms = 82;
  kind.advice_ms_per_worker = 1.2;
  kind.approved = 0.45;
  return kind;
}

LoadSetup DayOfTheDraws() {
  LoadSetup setup;
  setup.classes = {Checks(30), Draws(1.4), Pairs(5)};
  return setup;
}

std::optional<LoadSetup> ProfileOf(const std::string& name) {
  LoadSetup setup = DayOfTheDraws();
  if (name == "draws") return setup;
  const bool grown = name == "draws-grown" || name == "lookups-grown";
  const bool lookups = name == "lookups" || name == "lookups-grown";
  if (!grown && !lookups) return std::nullopt;
  if (lookups) {
    setup.worker_cpu = 32'000;
    setup.classes = {Checks(48), Draws(1.45), Pairs(4.4)};
    setup.classes[0].mean_cpu = 2500;
    setup.classes[0].mean_ms = 600;
    setup.classes[1].mean_cpu = 8000;
    setup.classes[2].mean_cpu = 1900;
  }
  if (grown) {
    for (LoadClass& it : setup.classes) it.estimate_error = 0.9;
    setup.workers = 350;
    setup.callers = 45;
    setup.classes[0].rate = lookups ? 137 : 88;
    setup.classes[0].mean_tasks = 3;
    setup.classes[0].mean_cpu = lookups ? 4500 : 9000;
    setup.classes[1].rate = lookups ? 6 : 4.8;
    setup.classes[1].mean_tasks = 15;
    setup.classes[1].width_spread = 0.8;
    setup.classes[1].mean_cpu = lookups ? 9000 : 18'000;
    setup.classes[1].mean_ms = lookups ? 4000 : 5000;
    setup.classes[2].rate = lookups ? 9.9 : 7.9;
    setup.classes[2].mean_tasks = 24;
    setup.classes[2].mean_cpu = lookups ? 3300 : 6600;
  }
  return setup;
}

}  // namespace parsleyline::dispatch
