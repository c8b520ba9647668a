#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"
#include "queue/fair_queue.h"
#include "settings/describe.h"

namespace parsleyline::config_tree {

/// One fault of a settings tree.
struct SchemaError {
  /// JSON path of the faulty node.
  std::string path;
  /// The value, and what is allowed.
  std::string message;
};

/// Checks a whole settings tree and returns every fault at once. Unknown keys are faults.
///
///   {"teams": {"<team>": {"weight": 1..1000, "cpu_quota_millis": 0.., "accelerator_quota": 0..}},
///    "kinds": {"service"|"batch"|"gang": {"floor_permille": 0..1000, "max_queued": 1..1000000,
///              "max_expected_wait_ms": 1..86400000}}}
///
/// The floors of all kinds together are at most 1000; a kind without one counts with its default.
std::vector<SchemaError> CheckTree(std::string_view json_text);

/// Reads the policy of the queues from a tree that passed CheckTree().
Result<queue::QueuePolicy> ReadQueuePolicy(std::string_view json_text);

/// Every key of a tree, for the documentation.
std::vector<settings::OptionRow> DescribeTree();

}  // namespace parsleyline::config_tree
