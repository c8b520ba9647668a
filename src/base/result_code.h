#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace parsleyline {

/// Numbered results that callers, operators and logs see. Numbers are never reused.
/// docs/error-codes.md lists them; the test ErrorCodes holds both equal.
enum class ResultCode : int {
  kOk = 0,

  // 1000: the request itself is wrong.
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

  // 2000: the request was refused and did not run.
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

  // 6000: durable state.
  kStorageFailed = 6000,
  kStorageCorrupt = 6001,
  kStorageFull = 6002,

  // 9000: defects.
  kInternal = 9000,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  /// HTTP status that callers see with this code.
  int http_status;
  std::string_view meaning;
};

/// Returns every result code in ascending order.
const std::vector<ResultCodeInfo>& AllResultCodes();

/// Returns the table row of `code`.
const ResultCodeInfo& Describe(ResultCode code);

/// A result code with a sentence that says what to change or what happened.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Shorthand for the error branch of a Result.
inline tl::unexpected<Error> Fail(ResultCode code, std::string message) {
  return tl::make_unexpected(Error{code, std::move(message)});
}

}  // namespace parsleyline
