#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace parsleyline::testing {

/// Calls `action` on a thread of `io` after `time`.
inline void RunAfter(boost::asio::io_context& io, std::chrono::milliseconds time,
                     std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, time);
  timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& ec) {
    if (!ec) action();
  });
}

}  // namespace parsleyline::testing
