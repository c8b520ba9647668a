#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "review/standin/net.h"
#include "review/standin/record.h"

namespace parsleyline::review {

/// A TCP proxy whose link can be cut for a while. Bytes that were sent during the cut arrive later,
/// as they do when the kernel of the sender sends them again.
class Proxy {
 public:
  Proxy(const Address& listen, const Address& to);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  bool IsListening() const { return listener_ >= 0; }
  /// Holds up all bytes, and new connections.
  void Cut();
  /// Lets new connections through. Bytes of the old ones are held up until Deliver().
  void Heal();
  /// Delivers what was held up.
  void Deliver();

 private:
  struct Link {
    int from = -1;
    int to = -1;
    bool old = false;
    std::thread thread;
  };

  void Accept();
  void Forward(Link* link);

  const Address to_;
  const int listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> delivers_{true};
  std::mutex mutex_;
  std::list<Link> links_;
  std::thread acceptor_;
};

}  // namespace parsleyline::review
