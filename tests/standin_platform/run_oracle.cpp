#include "tests/standin_platform/run_oracle.h"

#include <sstream>
#include <utility>

namespace parsleyline::testing {

std::ostream& operator<<(std::ostream& out, const TaskName& task) {
  return out << task.job << '.' << task.step << '.' << task.index;
}

void RunOracle::NoteJob(const std::string& job, JobSheet sheet) {
  jobs_.emplace(job, std::move(sheet));
}

void RunOracle::NoteAccepted(const std::string& job) { accepted_.insert(job); }

void RunOracle::NoteRejected(const std::string& job) {
  rejected_.insert(job);
  const auto first = tasks_.lower_bound({job, 0, 0});
  if (first != tasks_.end() && first->first.job == job) Breach("REFUSED", job + " had begun");
}

void RunOracle::NoteCancelled(const std::string& job) { ended_.insert(job); }

void RunOracle::NoteComplete(const std::string& job) {
  ended_.insert(job);
  const auto sheet = jobs_.find(job);
  if (sheet == jobs_.end()) return Breach("MIXED", job + " is unknown and said to be complete");
  for (std::uint32_t i = 0; i < sheet->second.steps.size(); ++i) {
    if (!IsStepDone(job, i)) Breach("MIXED", job + " is said to be complete and is not");
  }
}

void RunOracle::NoteFailed(const std::string& job) {
  ended_.insert(job);
  const auto sheet = jobs_.find(job);
  if (sheet == jobs_.end()) return Breach("MIXED", job + " is unknown and said to have failed");
  std::map<std::uint32_t, std::uint32_t> gang_failures;
  for (auto it = tasks_.lower_bound({job, 0, 0}); it != tasks_.end() && it->first.job == job;
       ++it) {
    const bool gang = sheet->second.steps[it->first.step].gang;
    std::uint32_t failures = it->second.failures;
    if (gang) failures = gang_failures[it->first.step] += failures;
    if (failures >= sheet->second.attempts) return;
  }
  Breach("LOST", job + " is said to have failed with attempts left");
}

bool RunOracle::IsStepDone(const std::string& job, std::uint32_t step) const {
  const StepSheet& sheet = jobs_.at(job).steps[step];
  for (std::uint32_t i = 0; i < sheet.tasks; ++i) {
    const auto task = tasks_.find({job, step, i});
    const bool done = task != tasks_.end() && task->second.done;
    if (sheet.gang && done) return true;
    if (!sheet.gang && !done) return false;
  }
  return !sheet.gang;
}

void RunOracle::Began(const TaskName& task, std::uint64_t run, const std::string& payload) {
  ++started_count_;
  std::ostringstream name;
  name << task << " run " << run;
  const auto sheet = jobs_.find(task.job);
  if (sheet == jobs_.end() || task.step >= sheet->second.steps.size() ||
      task.index >= sheet->second.steps[task.step].tasks) {
    return Breach("UNASKED", name.str() + " was never handed in");
  }
  if (sheet->second.payload != payload) Breach("UNASKED", name.str() + " has another payload");
  if (rejected_.contains(task.job)) Breach("REFUSED", name.str() + " began after the rejection");
  if (task.step > 0 && sheet->second.steps[task.step].after_previous &&
      !IsStepDone(task.job, task.step - 1)) {
    Breach("ORDER", name.str() + " began before the step that it waits for was done");
  }
  Task& state = tasks_[task];
  if (!state.running.empty()) Breach("TWICE", name.str() + " began beside another run");
  if (state.done_noted) Breach("TWICE", name.str() + " began after its task was done");
  if (state.failures_noted >= sheet->second.attempts) {
    Breach("BUDGET", name.str() + " began after all attempts had failed");
  }
  state.running.insert(run);
}

void RunOracle::Ended(const TaskName& task, std::uint64_t run, bool done, bool failed) {
  Task& state = tasks_[task];
  state.running.erase(run);
  state.done = state.done || done;
  if (failed) ++state.failures;
}

void RunOracle::EndNoted(const TaskName& task, bool done, bool failed) {
  Task& state = tasks_[task];
  state.done_noted = state.done_noted || done;
  if (failed) ++state.failures_noted;
}

void RunOracle::Breach(const std::string& rule, const std::string& text) {
  breaches_.push_back(rule + ": " + text);
}

const JobSheet* RunOracle::Find(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::vector<std::string> RunOracle::Unfinished() const {
  std::vector<std::string> jobs;
  for (const std::string& it : accepted_) {
    if (!ended_.contains(it)) jobs.push_back(it);
  }
  return jobs;
}

}  // namespace parsleyline::testing
