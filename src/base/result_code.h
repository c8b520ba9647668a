#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace parsleyline {

/// Result codes that callers, operators and logs see. Numbers are never reused.
/// docs/error-codes.md lists them; ErrorCodesTest compares it with AllResultCodes().
enum class ResultCode : int {
  kOk = 0,

  // 1000: the request is invalid.
  kMalformedJson = 1000,
  kMissingField = 1001,
  kWrongType = 1002,
  kOutOfRange = 1003,
  kUnknownField = 1004,
  kUnknownKind = 1005,
  kUnknownTeam = 1006,
  kBodyTooLarge = 1007,
  kHeaderTooLarge = 1008,
  kRequestTimeout = 1009,
  kNotFound = 1010,
  kMethodNotAllowed = 1011,
  kMalformedHttp = 1012,
  kJobUnknown = 1013,

  // 2000: the request was rejected and did not run.
  kQueueFull = 2000,
  kWaitTooLong = 2001,
  kCanNeverFit = 2002,
  kQuotaExceeded = 2003,
  kKeyConflict = 2004,
  kDeadlineExceeded = 2005,
  kCancelled = 2006,
  kShuttingDown = 2007,
  kNoLeader = 2008,
  kDomainUnreachable = 2009,
  kOverloaded = 2010,

  // 3000: the request ran or may have run.
  kTaskFailed = 3000,
  kOutcomeUnknown = 3001,
  kWorkerLost = 3002,
  kLeaseExpired = 3003,

  // 4000: settings.
  kRevisionConflict = 4000,
  kNotSubtreeOwner = 4001,
  kInvalidSettings = 4002,
  kOperationConflict = 4003,

  // 5000: communication between processes.
  kConnectionFailed = 5000,
  kConnectionClosed = 5001,
  kConnectionSilent = 5002,
  kMalformedMessage = 5003,
  kNotLeader = 5004,
  kCallTimeout = 5005,
  kCallOutdated = 5006,

  // 6000: durable state.
  kStorageFailed = 6000,
  kStorageCorrupt = 6001,
  kStorageFull = 6002,

  // 9000: defects in this program.
  kInternal = 9000,
};

/// Name, HTTP status and meaning of a result code.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  /// Status of an HTTP response with this code.
  int http_status;
  std::string_view meaning;
};

/// Returns every result code in ascending order.
const std::vector<ResultCodeInfo>& AllResultCodes();

/// Returns the entry of `code`, or that of kInternal if the code is unknown.
const ResultCodeInfo& Describe(ResultCode code);

/// A result code with a message that says what happened or what the caller must change.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Returns a failed Result with `code` and `message`.
inline tl::unexpected<Error> Fail(ResultCode code, std::string message) {
  return tl::make_unexpected(Error{code, std::move(message)});
}

}  // namespace parsleyline
