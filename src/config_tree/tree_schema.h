#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"
#include "queue/fair_queue.h"
#include "settings/describe.h"

namespace parsleyline::config_tree {

/// An error in a settings tree.
struct SchemaError {
  /// JSON path of the invalid node.
  std::string path;
  /// Describes the value and what is allowed.
  std::string message;
};

/// Checks a whole settings tree and returns all errors. Unknown keys are errors.
///
///   {"teams": {"<team>": {"weight": 1..1000, "cpu_quota_millis": 0.., "accelerator_quota": 0..}},
///    "kinds": {"service"|"batch"|"gang": {"floor_permille": 0..1000, "max_queued": 1..1000000,
///              "max_expected_wait_ms": 1..86400000}}}
///
/// The sum of "floor_permille" over all kinds must not exceed 1000. A kind that does not set it
/// counts with the default.
std::vector<SchemaError> CheckTree(std::string_view json_text);

/// Reads the policy of the queues from a tree. Fails with kInvalidSettings if CheckTree() finds
/// errors.
Result<queue::QueuePolicy> ReadQueuePolicy(std::string_view json_text);

/// Returns a description of every key of a settings tree for the documentation.
std::vector<settings::OptionRow> DescribeTree();

}  // namespace parsleyline::config_tree
