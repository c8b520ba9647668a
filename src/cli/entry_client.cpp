#include "cli/entry_client.h"

#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace parsleyline::cli {
namespace {

std::string AddressText(const EntryAddress& entry) {
  const bool is_v6 = entry.ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + entry.ip + "]" : entry.ip) + ":" + std::to_string(entry.port);
}

/// Returns the result code in the body of an error response, or kOk if there is none.
ResultCode ErrorCodeOf(const http::ClientResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
    return ResultCode::kOk;
  }
  const auto code = body["error"].find("code");
  if (code == body["error"].end() || !code->is_number_integer()) return ResultCode::kOk;
  return static_cast<ResultCode>(code->get<int>());
}

/// Returns whether `code` is a rejection by the entry itself. It does not tell whether the same
/// request took effect through another entry.
bool IsLocalRejection(ResultCode code) {
  return code == ResultCode::kShuttingDown || code == ResultCode::kNoLeader ||
         code == ResultCode::kDomainUnreachable || code == ResultCode::kOverloaded;
}

}  // namespace

EntryClient::EntryClient(Transport& transport, std::vector<EntryAddress> entries,
                         Milliseconds timeout, std::ostream& err)
    : transport_(transport), entries_(std::move(entries)), timeout_(timeout), err_(err) {}

Answer EntryClient::Send(const http::ClientRequest& request, RetrySafety retry_safety) {
  Answer answer;
  for (const EntryAddress& entry : entries_) {
    http::ClientResult result = transport_.Send(entry, request, timeout_);
    if (result) {
      const ResultCode code = ErrorCodeOf(*result);
      const bool outcome_unknown = answer.status == SendStatus::kUnknown && IsLocalRejection(code);
      if (!outcome_unknown) answer = {SendStatus::kAnswered, std::move(*result)};
      if (!outcome_unknown && code != ResultCode::kShuttingDown) return answer;
      err_ << "entry " << AddressText(entry) << ": rejected the request: " << Describe(code).name
           << "\n";
      continue;
    }
    err_ << "entry " << AddressText(entry) << ": " << result.error().error.message << "\n";
    if (result.error().sent == http::Sent::kNo) continue;
    answer = {SendStatus::kUnknown, {}};
    if (retry_safety == RetrySafety::kUnsafe) return answer;
  }
  return answer;
}

Result<EntryAddress> ParseEntry(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  boost::system::error_code ec;
  boost::asio::ip::make_address(std::string(ip), ec);
  std::uint16_t port = 0;
  const std::string_view digits =
      colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec || error != std::errc() || end != digits.data() + digits.size() || port == 0) {
    return Fail(ResultCode::kOutOfRange, "entry \"" + std::string(text) +
                                             "\" is invalid; allowed: ip:port, such as "
                                             "127.0.0.1:8080 or [::1]:8080");
  }
  return EntryAddress{std::string(ip), port};
}

std::string EncodePath(std::string_view path) {
  constexpr char kHex[] = "0123456789ABCDEF";
  constexpr std::string_view kPlain = "-_.~/";
  std::string encoded;
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kPlain.find(c) != std::string_view::npos) {
      encoded.push_back(c);
    } else {
      encoded.append("%").append(1, kHex[byte >> 4U]).append(1, kHex[byte & 15U]);
    }
  }
  return encoded;
}

}  // namespace parsleyline::cli
