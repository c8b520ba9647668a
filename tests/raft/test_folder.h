#pragma once

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace parsleyline::raft {

/// A temporary folder that is removed when the object is destroyed.
class TestFolder {
 public:
  TestFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "raft-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TestFolder() { std::filesystem::remove_all(path_); }
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace parsleyline::raft
