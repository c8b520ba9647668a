#pragma once

#include <functional>
#include <string>
#include <utility>

#include "base/result_code.h"
#include "transport/rpc.h"
#include "wire/codec.h"

namespace parsleyline::scheduler {

/// Registers an asynchronous handler of `method`: it replies by calling its second argument, during
/// the call or later.
template <typename Request, typename Response>
void RegisterAsyncHandler(
    transport::RpcServer& server, const std::string& method,
    std::function<void(Request, std::function<void(Result<Response>)>)> handler) {
  server.RegisterHandler(
      method, [handler = std::move(handler)](transport::RpcRequest call,
                                             transport::RpcResponseCallback reply) {
        auto request = wire::Decode<Request>(call.body);
        if (!request) return reply(tl::make_unexpected(request.error()));
        handler(std::move(*request), [reply = std::move(reply)](Result<Response> response) {
          reply(response.map([](const Response& message) { return wire::Encode(message); }));
        });
      });
}

/// Registers a synchronous handler of `method`: it returns its reply.
template <typename Request, typename Response>
void RegisterSyncHandler(transport::RpcServer& server, const std::string& method,
                         std::function<Result<Response>(Request)> handler) {
  RegisterAsyncHandler<Request, Response>(
      server, method,
      [handler = std::move(handler)](Request request, std::function<void(Result<Response>)> reply) {
        reply(handler(std::move(request)));
      });
}

}  // namespace parsleyline::scheduler
