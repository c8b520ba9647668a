#include "tests/dispatch/load_profiles.h"

namespace parsleyline::dispatch {

LoadClass ShortJobs(double rate) {
  LoadClass load_class;
  load_class.queue = "checks";
  load_class.priority = 0;
  load_class.jobs_per_second = rate;
  load_class.mean_tasks = 2;
  load_class.mean_millicores = 5000;
  load_class.mean_duration_ms = 900;
  load_class.slack_factor = 1.5;
  load_class.latency_target_ms = 250;
  load_class.estimate_error = 0.2;
  load_class.advisor_call_ms = 12;
  load_class.advisor_call_ms_per_worker = 0.17;
  load_class.approved_share = 0.7;
  return load_class;
}

LoadClass WideGangs(double rate) {
  LoadClass load_class;
  load_class.queue = "draws";
  load_class.priority = 1;
  load_class.jobs_per_second = rate;
  load_class.gang = true;
  load_class.mean_tasks = 7;
  load_class.mean_millicores = 16'000;
  load_class.mean_duration_ms = 4500;
  load_class.slack_factor = 2.2;
  load_class.advisor_call_ms = 510;
  load_class.advisor_call_ms_per_worker = 7.3;
  load_class.approved_share = 0.3;
  return load_class;
}

LoadClass BatchJobs(double rate) {
  LoadClass load_class;
  load_class.queue = "pairs";
  load_class.priority = 2;
  load_class.jobs_per_second = rate;
  load_class.mean_tasks = 10;
  load_class.mean_millicores = 3900;
  load_class.mean_duration_ms = 3000;
  load_class.slack_factor = 4;
  load_class.latency_target_ms = 3000;
  load_class.advisor_call_ms = 82;
  load_class.advisor_call_ms_per_worker = 1.2;
  load_class.approved_share = 0.45;
  return load_class;
}

LoadSetup OrdinaryDay() {
  LoadSetup setup;
  setup.classes = {ShortJobs(30), WideGangs(1.4), BatchJobs(5)};
  return setup;
}

std::optional<LoadSetup> FindLoadProfile(const std::string& name) {
  LoadSetup setup = OrdinaryDay();
  if (name == "draws") return setup;
  const bool is_grown = name == "draws-grown" || name == "lookups-grown";
  const bool has_lookups = name == "lookups" || name == "lookups-grown";
  if (!is_grown && !has_lookups) return std::nullopt;
  if (has_lookups) {
    setup.worker_millicores = 32'000;
    setup.classes = {ShortJobs(48), WideGangs(1.45), BatchJobs(4.4)};
    setup.classes[0].mean_millicores = 2500;
    setup.classes[0].mean_duration_ms = 600;
    setup.classes[1].mean_millicores = 8000;
    setup.classes[2].mean_millicores = 1900;
  }
  if (is_grown) {
    for (LoadClass& it : setup.classes) it.estimate_error = 0.9;
    setup.workers = 350;
    setup.advisor_clients = 45;
    setup.classes[0].jobs_per_second = has_lookups ? 137 : 88;
    setup.classes[0].mean_tasks = 3;
    setup.classes[0].mean_millicores = has_lookups ? 4500 : 9000;
    setup.classes[1].jobs_per_second = has_lookups ? 6 : 4.8;
    setup.classes[1].mean_tasks = 15;
    setup.classes[1].task_count_spread = 0.8;
    setup.classes[1].mean_millicores = has_lookups ? 9000 : 18'000;
    setup.classes[1].mean_duration_ms = has_lookups ? 4000 : 5000;
    setup.classes[2].jobs_per_second = has_lookups ? 9.9 : 7.9;
    setup.classes[2].mean_tasks = 24;
    setup.classes[2].mean_millicores = has_lookups ? 3300 : 6600;
  }
  return setup;
}

}  // namespace parsleyline::dispatch
