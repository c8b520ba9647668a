#include <nlohmann/json.hpp>

#include "http/server.h"

namespace parsleyline::http {

Response ErrorResponse(const Error& error) {
  const ResultCodeInfo& info = Describe(error.code);
  nlohmann::ordered_json detail;
  detail["code"] = static_cast<int>(error.code);
  detail["name"] = info.name;
  detail["message"] = error.message;
  nlohmann::ordered_json body;
  body["error"] = std::move(detail);
  Response response;
  response.status = info.http_status;
  // Invalid UTF-8 is replaced: a message may contain arbitrary bytes that the peer sent.
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace parsleyline::http
