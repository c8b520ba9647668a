#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "dispatch/messages.h"
#include "job/cell_config.h"
#include "job/cell_state.h"

// Messages between the processes of a cell.
namespace parsleyline::cell {

enum class JobVerb : std::uint8_t { kSubmit = 0, kState = 1, kCancel = 2 };
constexpr std::uint8_t MaxValue(JobVerb /*type*/) { return 2; }

/// What a caller wants of a job or a queue. The leader finds the queue, because only it is certain
/// to know the newest configuration.
struct JobCall {
  JobVerb verb = JobVerb::kState;
  std::string host;
  /// Prefix of the queue followed by the id of the job; without an id it names the queue.
  std::string path;
  /// Encoded JobSpec, for kSubmit.
  std::string spec;

  auto Fields() { return std::tie(verb, host, path, spec); }
};

struct JobAnswer {
  /// ResultCode as a number. kOk: done.
  std::int32_t code = 0;
  job::JobPhase phase = job::JobPhase::kQueued;
  /// For a queue: accepted jobs that have not begun.
  std::uint64_t pending = 0;
  /// 1 if the answer is about a queue.
  std::uint32_t is_queue = 0;
  Milliseconds retry_after{0};

  auto Fields() { return std::tie(code, phase, pending, is_queue, retry_after); }
};

/// A process tells the leader that it lives.
struct Presence {
  NodeId node;

  auto Fields() { return std::tie(node); }
};

/// What the leader tells a process in return.
struct CellView {
  NodeId leader;
  /// The processes that replicate the log.
  std::vector<NodeId> members;

  auto Fields() { return std::tie(leader, members); }
};

struct Leave {
  WorkerId worker;

  auto Fields() { return std::tie(worker); }
};

/// Answer without content.
struct Done {
  std::int32_t code = 0;

  auto Fields() { return std::tie(code); }
};

struct ConfigQuery {
  std::uint32_t unused = 0;

  auto Fields() { return std::tie(unused); }
};

struct ConfigAnswer {
  std::int32_t code = 0;
  std::string document;

  auto Fields() { return std::tie(code, document); }
};

/// Raft message with its sender.
struct RaftEnvelope {
  NodeId from;
  std::string message;

  auto Fields() { return std::tie(from, message); }
};

/// Methods of the calls above.
inline constexpr char kJobMethod[] = "cell.job";
inline constexpr char kPresenceMethod[] = "cell.presence";
inline constexpr char kReportMethod[] = "cell.report";
inline constexpr char kLeaveMethod[] = "cell.leave";
inline constexpr char kPutConfigMethod[] = "cell.put_config";
inline constexpr char kGetConfigMethod[] = "cell.get_config";
inline constexpr char kAdviseMethod[] = "cell.advise";
inline constexpr char kRaftMethod[] = "cell.raft";

}  // namespace parsleyline::cell
