#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace parsleyline::testing {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Names one task as the workers see it.
struct TaskName {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskName&) const = default;
};

std::ostream& operator<<(std::ostream& out, const TaskName& task);

/// One step as the caller handed it in, with what the emulated tasks do.
struct StepSheet {
  std::uint32_t tasks = 1;
  std::int64_t cpu = 1000;
  std::int64_t memory_mb = 256;
  std::chrono::milliseconds work{500};
  /// The step before it must be done first.
  bool after_previous = false;
  bool gang = false;
  /// Every run of the step's tasks fails.
  bool hopeless = false;
};

/// One job as the caller handed it in.
struct JobSheet {
  std::string payload;
  std::uint32_t attempts = 3;
  std::vector<StepSheet> steps;
};

/// Judges the promises towards callers from what callers and workers see, and keeps each breach as
/// one line. Not thread-safe.
class RunOracle {
 public:
  /// The caller is about to hand the job in.
  void NoteJob(const std::string& job, JobSheet sheet);
  void NoteAccepted(const std::string& job);
  /// The caller was told that the job has not run and never will, at its last attempt.
  void NoteRejected(const std::string& job);
  void NoteCancelled(const std::string& job);
  /// The caller was told that the job is complete.
  void NoteComplete(const std::string& job);
  /// The caller was told that the job has failed.
  void NoteFailed(const std::string& job);

  void Began(const TaskName& task, std::uint64_t run, const std::string& payload);
  /// A run is over. `done` if the task has done its work.
  void Ended(const TaskName& task, std::uint64_t run, bool done, bool failed);
  /// The worker may forget the end of a run: the system has taken note of it.
  void EndNoted(const TaskName& task, bool done, bool failed);

  void Breach(const std::string& rule, const std::string& text);

  const JobSheet* Find(const std::string& job) const;
  const std::vector<std::string>& breaches() const { return breaches_; }
  /// Accepted jobs whose end no caller has seen.
  std::vector<std::string> Unfinished() const;
  std::size_t accepted_count() const { return accepted_.size(); }
  std::size_t rejected_count() const { return rejected_.size(); }
  std::size_t ended_count() const { return ended_.size(); }
  std::size_t started_count() const { return started_count_; }

 private:
  struct Task {
    std::set<std::uint64_t> running;
    std::uint32_t failures = 0;
    bool done = false;
    /// The same, as far as the system has taken note of it.
    std::uint32_t failures_noted = 0;
    bool done_noted = false;
  };

  bool IsStepDone(const std::string& job, std::uint32_t step) const;

  std::map<std::string, JobSheet> jobs_;
  std::set<std::string> accepted_;
  std::set<std::string> rejected_;
  std::set<std::string> ended_;
  std::map<TaskName, Task> tasks_;
  std::vector<std::string> breaches_;
  std::size_t started_count_ = 0;
};

}  // namespace parsleyline::testing
