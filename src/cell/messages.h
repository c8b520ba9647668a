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

// RPC messages between the processes of a cell. Members are encoded in the order of Fields().
namespace parsleyline::cell {

/// Client of the leader that sends a call.
struct CallOrigin {
  /// Random number of the client.
  std::uint64_t client = 0;
  /// Increases whenever an attempt of the client remains without a reply, so that attempts that
  /// were sent before are told from those that were sent after it.
  std::uint64_t epoch = 0;

  auto Fields() { return std::tie(client, epoch); }
};

/// Call of a method of the leader.
struct LeaderCall {
  CallOrigin origin;
  /// 1 if an earlier attempt of the same call may have taken effect. The leader then confirms its
  /// leadership first, so that its reply covers what earlier leaders recorded.
  std::uint32_t is_retry = 0;
  /// Encoded message of the method.
  std::string body;

  auto Fields() { return std::tie(origin, is_retry, body); }
};

enum class JobOperation : std::uint8_t { kSubmit = 0, kQuery = 1, kCancel = 2 };
constexpr std::uint8_t MaxValue(JobOperation /*type*/) { return 2; }

/// A caller's operation on a job or a queue. The leader resolves the queue, because only it is sure
/// to have the latest configuration.
struct JobCall {
  JobOperation operation = JobOperation::kQuery;
  std::string host;
  /// Path prefix of the queue, followed by the job id unless the call is about the queue itself.
  std::string path;
  /// Encoded JobSpec, for kSubmit.
  std::string spec;

  auto Fields() { return std::tie(operation, host, path, spec); }
};

struct JobReply {
  /// ResultCode as a number.
  std::int32_t code = 0;
  job::JobPhase phase = job::JobPhase::kQueued;
  /// For a queue: accepted jobs that have not started.
  std::uint64_t pending = 0;
  /// 1 if the reply is about a queue.
  std::uint32_t is_queue = 0;
  /// Suggested delay before a rejected job is submitted again; 0 for none.
  Milliseconds retry_after{0};

  auto Fields() { return std::tie(code, phase, pending, is_queue, retry_after); }
};

/// Heartbeat of a process to the leader.
struct Heartbeat {
  NodeId node;

  auto Fields() { return std::tie(node); }
};

/// Reply to a heartbeat.
struct HeartbeatReply {
  NodeId leader;
  /// Processes that hold a replica of the Raft log.
  std::vector<NodeId> members;

  auto Fields() { return std::tie(leader, members); }
};

/// Deregisters a worker that leaves and has ended all its runs.
struct DeregisterWorker {
  WorkerId worker;

  auto Fields() { return std::tie(worker); }
};

/// Reply that has a result code only.
struct StatusReply {
  /// ResultCode as a number.
  std::int32_t code = 0;

  auto Fields() { return std::tie(code); }
};

/// Asks for the configuration in force.
struct ConfigQuery {
  std::uint32_t unused = 0;

  auto Fields() { return std::tie(unused); }
};

struct ConfigReply {
  /// ResultCode as a number.
  std::int32_t code = 0;
  /// The configuration as the operator sent it.
  std::string document;

  auto Fields() { return std::tie(code, document); }
};

/// Raft message with its sender.
struct RaftEnvelope {
  NodeId from;
  std::string message;

  auto Fields() { return std::tie(from, message); }
};

/// Names of the RPC methods.
inline constexpr char kJobMethod[] = "cell.job";
inline constexpr char kHeartbeatMethod[] = "cell.presence";
inline constexpr char kReportMethod[] = "cell.report";
inline constexpr char kDeregisterWorkerMethod[] = "cell.leave";
inline constexpr char kPutConfigMethod[] = "cell.put_config";
inline constexpr char kGetConfigMethod[] = "cell.get_config";
inline constexpr char kQueryAdvisorMethod[] = "cell.advise";
inline constexpr char kRaftMethod[] = "cell.raft";

}  // namespace parsleyline::cell
