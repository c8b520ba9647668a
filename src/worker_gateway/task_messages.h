#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "entry/worker_gateway.h"
#include "http/client.h"

namespace parsleyline::entry::internal {

/// Builds the body of POST /v1/tasks.
std::string DispatchBody(const TaskDispatch& dispatch);

/// Whether a response to POST /v1/tasks has the token, request and attempt of `dispatch`.
bool IsResponseToDispatch(const http::ClientResponse& response, const TaskDispatch& dispatch);

/// Converts the result of POST /v1/tasks, whose response IsResponseToDispatch has accepted.
TaskResult ToTaskResult(const http::ClientResult& result);

/// Converts a report about `token`; kUnreachable unless it is valid and about this token.
TokenReport ToTokenReport(const http::ClientResult& result, FencingToken token);

/// Returns the incarnation in the response to a ping.
std::optional<std::uint64_t> ToIncarnation(const http::ClientResult& result);

}  // namespace parsleyline::entry::internal
