#include "cli/http_transport.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

namespace parsleyline::cli {
namespace {

// Largest response body. A list of 20,000 workers takes about 6 MiB.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20U;

}  // namespace

http::ClientResult HttpTransport::Send(const EntryAddress& entry, http::ClientRequest request,
                                       Milliseconds timeout) {
  boost::asio::io_context io;
  http::ClientOptions options;
  options.max_body_bytes = kMaxBodyBytes;
  http::Client client(io, entry.ip, entry.port, options);
  std::optional<http::ClientResult> result;
  client.Send(std::move(request), timeout,
              [&result](http::ClientResult received) { result = std::move(received); });
  while (!result && io.run_one() > 0) {
  }
  client.Close();
  io.run();
  if (result) return std::move(*result);
  return tl::make_unexpected(http::ClientFailure{
      {ResultCode::kInternal, "the HTTP client finished without a result"}, http::Sent::kMaybe});
}

}  // namespace parsleyline::cli
