#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/io_threads.h"
#include "transport/rpc.h"

namespace parsleyline::transport {

using testing::IoThreads;
using testing::kTestTimeout;
using testing::WaitUntil;

inline constexpr char kLoopback[] = "127.0.0.1";
/// Timeout of calls that are expected to succeed.
inline constexpr Milliseconds kDefaultCallTimeout{15000};

/// Records the results of several calls and how often each call completed.
class CallResults {
 public:
  explicit CallResults(std::size_t calls) : results_(calls), counts_(calls, 0) {}

  /// Returns the callback of call `index`.
  std::function<void(Result<std::string>)> Callback(std::size_t index) {
    return [this, index](Result<std::string> result) {
      const std::lock_guard lock(mutex_);
      results_[index] = std::move(result);
      ++counts_[index];
      ++total_;
      changed_.notify_all();
    };
  }
  /// Waits until all calls have completed. Returns false after kTestTimeout.
  bool WaitForAll() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kTestTimeout, [this] { return total_ >= results_.size(); });
  }
  /// Returns the last result of call `index`.
  Result<std::string> at(std::size_t index) {
    const std::lock_guard lock(mutex_);
    return results_[index];
  }
  /// Returns whether each call has completed exactly once so far.
  bool EachCompletedOnce() {
    const std::lock_guard lock(mutex_);
    for (const int count : counts_) {
      if (count != 1) return false;
    }
    return true;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Result<std::string>> results_;
  std::vector<int> counts_;
  std::size_t total_ = 0;
};

/// Makes one call and waits for its result.
inline Result<std::string> CallAndWait(RpcClient& client, const std::string& method,
                                       std::string body,
                                       Milliseconds timeout = kDefaultCallTimeout) {
  auto answers = std::make_shared<CallResults>(1);
  client.Call(method, std::move(body), timeout,
              [answers](Result<std::string> result) { answers->Callback(0)(std::move(result)); });
  if (!answers->WaitForAll()) {
    return Fail(ResultCode::kInternal, "the call did not complete within the test timeout");
  }
  return answers->at(0);
}

/// Checks that `result` is an error with the code `expected`.
inline void CheckCode(ResultCode expected, const Result<std::string>& result,
                      const CppUnit::SourceLine& line) {
  const int actual = result ? 0 : static_cast<int>(result.error().code);
  CppUnit::assertEquals(static_cast<int>(expected), actual, line,
                        result ? "the call succeeded" : result.error().message);
}

#define ASSERT_CODE(expected, result) CheckCode((expected), (result), CPPUNIT_SOURCELINE())

}  // namespace parsleyline::transport
