#include "review/standin/record.h"

#include <cstdio>

namespace parsleyline::review {

Record::Record(const std::string& path) : file_(path, std::ios::trunc) {}

Ms Record::Now() const { return std::chrono::duration_cast<Ms>(Clock::now() - start_); }

void Record::Add(const std::string& text) {
  const std::lock_guard lock(mutex_);
  char time[24];
  std::snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(Now().count()) / 1000);
  file_ << time << text << std::endl;
}

}  // namespace parsleyline::review
