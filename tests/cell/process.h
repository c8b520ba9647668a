#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace parsleyline::cell {

/// A child process whose output goes to a log file. The destructor kills it.
class Process {
 public:
  Process(std::vector<std::string> command, std::string log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Waits for the end and returns the exit status, or -1 if a signal ended the process.
  int Wait();
  /// Tells without waiting whether the process has ended by itself.
  bool HasEnded();
  /// Kills the process, as the loss of its VM would.
  void Kill();
  bool running() const { return pid_ > 0; }

 private:
  std::vector<std::string> command_;
  std::string log_file_;
  pid_t pid_ = 0;
};

}  // namespace parsleyline::cell
