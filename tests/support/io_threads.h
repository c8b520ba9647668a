#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

namespace parsleyline::testing {

/// Upper bound of each wait in a test; far longer than a wait takes.
inline constexpr std::chrono::seconds kTestTimeout{20};

/// An io_context that several threads run until the destructor stops it and joins them.
class IoThreads {
 public:
  explicit IoThreads(int threads = 2) : work_(io_.get_executor()) {
    for (int i = 0; i < threads; ++i) threads_.emplace_back([this] { io_.run(); });
  }
  ~IoThreads() {
    work_.reset();
    io_.stop();
    for (auto& thread : threads_) thread.join();
  }
  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::vector<std::thread> threads_;
};

/// Polls `condition` until it holds. Returns false if it does not within kTestTimeout.
inline bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

}  // namespace parsleyline::testing
