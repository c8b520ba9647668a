#include "base/result_code.h"

#include <algorithm>

namespace parsleyline {

const std::vector<ResultCodeInfo>& AllResultCodes() {
  using enum ResultCode;
  static const std::vector<ResultCodeInfo> kTable = {
      {kOk, "ok", 200, "The call succeeded."},
      {kMalformedJson, "malformed_json", 400, "The body is not valid JSON."},
      {kMissingField, "missing_field", 400, "A required field is absent."},
      {kWrongType, "wrong_type", 400, "A field has the wrong JSON type."},
      {kOutOfRange, "out_of_range", 400, "A value is outside the allowed range."},
      {kUnknownField, "unknown_field", 400, "A field is not known."},
      {kUnknownKind, "unknown_kind", 400, "The kind is not service, batch or gang."},
      {kUnknownTeam, "unknown_team", 403, "The team has no subtree in the settings."},
      {kBodyTooLarge, "body_too_large", 413, "The body exceeds the limit."},
      {kHeaderTooLarge, "header_too_large", 431, "The header exceeds the limit."},
      {kRequestTimeout, "request_timeout", 408, "The request did not arrive in time."},
      {kNotFound, "not_found", 404, "The named object does not exist."},
      {kMethodNotAllowed, "method_not_allowed", 405, "The path does not support the method."},
      {kMalformedHttp, "malformed_http", 400, "The bytes are not a valid HTTP request."},
      {kJobUnknown, "job_unknown", 410, "There is no job of that name."},
      {kQueueFull, "queue_full", 429, "Not run: the queue of the team and kind is full."},
      {kWaitTooLong, "wait_too_long", 429, "Not run: the expected wait exceeds the bound."},
      {kCanNeverFit, "can_never_fit", 422, "Not run: no known worker can hold the task."},
      {kQuotaExceeded, "quota_exceeded", 429, "Not run: the team's quota does not allow it."},
      {kKeyConflict, "key_conflict", 409, "Not run: the key was used with another body."},
      {kDeadlineExceeded, "deadline_exceeded", 504, "Not run: the deadline passed in the queue."},
      {kCancelled, "cancelled", 409, "Not run: the request was cancelled."},
      {kShuttingDown, "shutting_down", 503, "Not run: the process is stopping."},
      {kNoLeader, "no_leader", 503, "Not run: the home domain has no leader at present."},
      {kDomainUnreachable, "domain_unreachable", 503, "Not run: the home domain is unreachable."},
      {kOverloaded, "overloaded", 503, "Not run: a limit of the process was reached."},
      {kTaskFailed, "task_failed", 502, "The task ran and failed."},
      {kOutcomeUnknown, "outcome_unknown", 504, "The task may have run; ask again by id."},
      {kWorkerLost, "worker_lost", 502, "The worker was lost while the task ran."},
      {kLeaseExpired, "lease_expired", 502, "The lease of the task ran out."},
      {kRevisionConflict, "revision_conflict", 409, "The settings have another revision."},
      {kNotSubtreeOwner, "not_subtree_owner", 403, "The team does not own the subtree."},
      {kInvalidSettings, "invalid_settings", 422, "The settings fail validation."},
      {kOperationConflict, "operation_conflict", 409,
       "The operation id was used with another edit."},
      {kConnectionFailed, "connection_failed", 503, "The connection could not be opened."},
      {kConnectionClosed, "connection_closed", 503, "The connection was closed."},
      {kConnectionSilent, "connection_silent", 503, "The connection stopped answering pings."},
      {kMalformedMessage, "malformed_message", 400, "A message between processes is invalid."},
      {kNotLeader, "not_leader", 503, "The replica is not the leader."},
      {kCallTimeout, "call_timeout", 504, "The call was not answered in time."},
      {kCallOutdated, "call_outdated", 503, "The client had given the call up when it arrived."},
      {kStorageFailed, "storage_failed", 500, "A write or sync failed."},
      {kStorageCorrupt, "storage_corrupt", 500, "A stored record is damaged."},
      {kStorageFull, "storage_full", 500, "The disk is full."},
      {kInternal, "internal", 500, "A defect; the message says where."},
  };
  return kTable;
}

const ResultCodeInfo& Describe(ResultCode code) {
  const auto& table = AllResultCodes();
  const auto it = std::find_if(table.begin(), table.end(),
                               [code](const ResultCodeInfo& info) { return info.code == code; });
  return it != table.end() ? *it : table.back();
}

}  // namespace parsleyline
