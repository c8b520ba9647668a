#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "entry/entry_context.h"
#include "http/server.h"
#include "transport/rpc.h"
#include "wire/messages.h"

namespace parsleyline::entry {

/// Name of the header with the caller's idempotency key, in lower case.
inline constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";

/// Forwards requests whose home is another failure domain to an entry daemon there. Only requests
/// with an idempotency key and cancellations are forwarded, so a request may be forwarded again
/// when an entry daemon stops or is lost.
class Forwarder {
 public:
  Forwarder(EntryContext& context, const transport::RpcOptions& rpc_options)
      : context_(context), rpc_options_(rpc_options) {}

  void Forward(const DomainId& home, const http::Request& request, http::ResponseCallback respond);

 private:
  struct ForwardedCall;
  using ForwardedCallPtr = std::shared_ptr<ForwardedCall>;

  void ListEntries(const ForwardedCallPtr& call);
  void CallNextEntry(const ForwardedCallPtr& call);
  void OnReply(const ForwardedCallPtr& call, const Result<std::string>& reply);
  void RetryLater(const ForwardedCallPtr& call, const Error& error);
  std::shared_ptr<transport::RpcClient> ClientFor(const std::string& address);

  EntryContext& context_;
  const transport::RpcOptions rpc_options_;
  std::mutex mutex_;
  /// Connections to entry daemons of other domains, by address.
  std::unordered_map<std::string, std::shared_ptr<transport::RpcClient>> clients_;
  std::atomic<std::size_t> next_entry_{0};
};

}  // namespace parsleyline::entry
