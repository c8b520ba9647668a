#include "review/standin/proxy.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace parsleyline::review {
namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr int kPollMs = 5;
constexpr Ms kConnectTimeout{1000};

}  // namespace

Proxy::Proxy(const Address& listen, const Address& to) : to_(to), listener_(Listen(listen)) {
  if (listener_ >= 0) acceptor_ = std::thread([this] { Accept(); });
}

Proxy::~Proxy() {
  stopping_ = true;
  if (listener_ >= 0) {
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
  }
  for (Link& it : links_) it.thread.join();
}

void Proxy::Cut() {
  const std::lock_guard lock(mutex_);
  for (Link& it : links_) it.old = true;
  delivers_ = false;
  cut_ = true;
}

void Proxy::Heal() { cut_ = false; }

void Proxy::Deliver() { delivers_ = true; }

void Proxy::Accept() {
  while (!stopping_) {
    const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      if (stopping_ || errno == EINVAL) return;
      continue;
    }
    const std::lock_guard lock(mutex_);
    links_.push_back({connection, -1, false, {}});
    Link* link = &links_.back();
    link->thread = std::thread([this, link] { Forward(link); });
  }
}

// Forwards bytes in both directions. While they are held up, nothing is read, so that the bytes
// stay in the sockets, and the sender can close the connection behind them.
void Proxy::Forward(Link* link) {
  while (!stopping_ && (cut_ || (link->old && !delivers_)))
    std::this_thread::sleep_for(Ms(kPollMs));
  link->to = Connect(to_, kConnectTimeout);
  pollfd ends[] = {{link->from, POLLIN, 0}, {link->to, POLLIN, 0}};
  bool open = link->to >= 0;
  while (open && !stopping_) {
    if (cut_ || (link->old && !delivers_)) {
      std::this_thread::sleep_for(Ms(kPollMs));
      continue;
    }
    if (poll(ends, 2, kPollMs) <= 0) continue;
    for (int i = 0; i < 2 && open; ++i) {
      if ((ends[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
      char bytes[kReadBytes];
      const ssize_t n = recv(ends[i].fd, bytes, sizeof(bytes), 0);
      open = n > 0 && SendAll(ends[1 - i].fd, std::string(bytes, static_cast<std::size_t>(n)));
    }
  }
  close(link->from);
  if (link->to >= 0) close(link->to);
}

}  // namespace parsleyline::review
