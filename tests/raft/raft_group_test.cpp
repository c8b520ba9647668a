#include "raft/raft_group.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "base/event_log.h"
#include "tests/raft/memory_file_system.h"
#include "tests/raft/test_folder.h"

namespace parsleyline::raft {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);

bool WaitFor(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

class RecordingMachine : public StateMachine {
 public:
  void Apply(LogIndex, std::string_view command) override {
    overlaps += busy.exchange(true) ? 1 : 0;
    {
      const std::lock_guard lock(mutex);
      text += std::string(command) + ";";
    }
    busy = false;
  }
  std::string TakeSnapshot() override { return Text(); }
  Result<void> Restore(std::string_view snapshot) override {
    const std::lock_guard lock(mutex);
    text = snapshot;
    return {};
  }
  void OnRoleChange(Role new_role, Term) override { role = new_role; }
  std::string Text() const {
    const std::lock_guard lock(mutex);
    return text;
  }

  void Clear() {
    const std::lock_guard lock(mutex);
    text.clear();
  }

  std::atomic<Role> role{Role::kFollower};
  std::atomic<bool> busy{false};
  std::atomic<int> overlaps{0};

 private:
  mutable std::mutex mutex;
  std::string text;
};

// Three replicas in one process, each with its own files.
class Cluster {
 public:
  struct Replica : PeerSender {
    void Send(const NodeId& to, std::string bytes) override { cluster->Deliver(node, to, bytes); }
    Cluster* cluster = nullptr;
    NodeId node;
    RecordingMachine machine;
    std::shared_ptr<RaftGroup> group;
  };

  Cluster() : work_guard_(io_.get_executor()) {
    SetMinimumSeverity(Severity::kError);
    for (int i = 0; i < 3; ++i) threads_.emplace_back([this] { io_.run(); });
  }
  ~Cluster() {
    work_guard_.reset();
    io_.stop();
    for (auto& thread : threads_) thread.join();
  }

  void Start(const std::string& name, RaftOptions options = {}, FileSystem* files = nullptr) {
    ReplicaOptions replica_options;
    replica_options.group_name = "test";
    replica_options.node = NodeId(name);
    replica_options.folder = folder.path() + "/" + name;
    replica_options.segment_bytes = 65536;
    replica_options.file_system = files;
    replica_options.on_failure = [this](const Error& error) { failure_code = error.code; };
    replica_options.node_options = {options, {NodeId("a"), NodeId("b"), NodeId("c")}};
    auto replica = std::make_unique<Replica>();
    replica->cluster = this;
    replica->node = replica_options.node;
    replica->group = std::make_shared<RaftGroup>(io_, replica_options, replica->machine, *replica);
    const auto group = replica->group;
    Replica* started = replica.get();
    {
      const std::lock_guard lock(mutex_);
      replaced_.push_back(std::move(replicas_[name]));
      replicas_[name] = std::move(replica);
    }
    CPPUNIT_ASSERT(started->group->Start().has_value());
  }

  void Stop(const std::string& name) {
    std::atomic<bool> done{false};
    (*this)[name].group->Stop([&done] { done = true; });
    CPPUNIT_ASSERT(WaitFor([&done] { return done.load(); }));
    Remove(name);
  }

  void Remove(const std::string& name) {
    const std::lock_guard lock(mutex_);
    replicas_[name]->group.reset();
  }

  Replica& operator[](const std::string& name) {
    const std::lock_guard lock(mutex_);
    return *replicas_[name];
  }

  // Waits until one of the running replicas is the leader, and returns it.
  Replica* Leader() {
    Replica* leader = nullptr;
    CPPUNIT_ASSERT(WaitFor([this, &leader] {
      const std::lock_guard lock(mutex_);
      for (auto& [name, replica] : replicas_) {
        if (replica->group != nullptr && replica->machine.role == Role::kLeader) {
          leader = replica.get();
        }
      }
      return leader != nullptr;
    }));
    return leader;
  }

  std::string Propose(int from, int to) {
    std::string expected;
    for (int i = from; i < to; ++i) {
      CPPUNIT_ASSERT(
          WaitFor([this, i] { return Leader()->group->Propose(std::to_string(i)).has_value(); }));
      expected += std::to_string(i) + ";";
    }
    return expected;
  }

  bool WaitUntilAllHave(const std::string& text) {
    return WaitFor([this, &text] {
      const std::lock_guard lock(mutex_);
      for (auto& [name, replica] : replicas_) {
        if (replica->group != nullptr && replica->machine.Text() != text) return false;
      }
      return true;
    });
  }

  TestFolder folder;
  std::atomic<ResultCode> failure_code{ResultCode::kOk};

 private:
  void Deliver(const NodeId& from, const NodeId& to, const std::string& bytes) {
    std::shared_ptr<RaftGroup> group;
    {
      const std::lock_guard lock(mutex_);
      const auto it = replicas_.find(to.value());
      if (it != replicas_.end()) group = it->second->group;
    }
    if (group != nullptr) group->Receive(from, bytes);
  }

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Replica>> replaced_;
};

}  // namespace

class RaftGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftGroupTest);
  CPPUNIT_TEST(Propose_ThreeReplicas_AllApplyInOrder);
  CPPUNIT_TEST(Stop_Leader_TransfersLeadershipAndCatchesUpAfterRestart);
  CPPUNIT_TEST(Start_AfterDiskLoss_RejoinsWithNewIdentity);
  CPPUNIT_TEST(Sync_Failing_StopsReplicaAndGroupContinues);
  CPPUNIT_TEST(Compaction_ManyCommands_BoundsMemoryAndFiles);
  CPPUNIT_TEST(Validate_BadOptions_NamesTheOption);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lost, reordered or overlapping calls to Apply().
  void Propose_ThreeReplicas_AllApplyInOrder() {
    Cluster cluster;
    for (const char* name : {"a", "b", "c"}) cluster.Start(name);
    CPPUNIT_ASSERT(cluster.WaitUntilAllHave(cluster.Propose(0, 1000)));
    for (const char* name : {"a", "b", "c"}) {
      CPPUNIT_ASSERT_EQUAL(0, cluster[name].machine.overlaps.load());
    }
  }

  // Guards against a planned stop after which the group waits for an election timeout, and against
  // commands that are lost in the restart.
  void Stop_Leader_TransfersLeadershipAndCatchesUpAfterRestart() {
    RaftOptions options;
    options.compaction_threshold_bytes = 16384;
    Cluster cluster;
    for (const char* name : {"a", "b", "c"}) cluster.Start(name, options);
    std::string expected = cluster.Propose(0, 500);
    const std::string first = cluster.Leader()->node.value();
    const auto begin = std::chrono::steady_clock::now();
    cluster.Stop(first);
    CPPUNIT_ASSERT(cluster.Leader()->node.value() != first);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < options.election_timeout_min);
    expected += cluster.Propose(500, 1000);
    cluster.Start(first, options);
    CPPUNIT_ASSERT(cluster.WaitUntilAllHave(expected));
  }

  // Guards against a replica that keeps its identity although its disk was replaced, or that is
  // never added to the group again.
  void Start_AfterDiskLoss_RejoinsWithNewIdentity() {
    Cluster cluster;
    for (const char* name : {"a", "b", "c"}) cluster.Start(name);
    std::string expected = cluster.Propose(0, 100);
    const ReplicaId old = cluster["b"].group->Status().self;
    cluster.Stop("b");
    std::filesystem::remove_all(cluster.folder.path() + "/b");
    cluster.Start("b");
    const ReplicaId fresh = cluster["b"].group->Status().self;
    CPPUNIT_ASSERT(fresh.identity != old.identity);
    CPPUNIT_ASSERT(WaitFor([&] {
      const Configuration configuration = cluster.Leader()->group->Status().configuration;
      return configuration.IsVoter(fresh) && configuration.Find(old) == nullptr;
    }));
    expected += cluster.Propose(100, 200);
    CPPUNIT_ASSERT(cluster.WaitUntilAllHave(expected));
  }

  // Guards against a replica that continues after a failed sync, or that stops the whole group.
  void Sync_Failing_StopsReplicaAndGroupContinues() {
    MemoryFileSystem disk;
    Cluster cluster;
    cluster.Start("a", {}, &disk);
    cluster.Start("b");
    cluster.Start("c");
    std::string expected = cluster.Propose(0, 50);
    CPPUNIT_ASSERT(cluster.WaitUntilAllHave(expected));
    disk.faults->sync_fails = true;
    CPPUNIT_ASSERT(WaitFor([&cluster] {
      cluster["b"].group->Propose("x");
      cluster["c"].group->Propose("x");
      cluster["a"].group->Propose("x");
      return cluster.failure_code == ResultCode::kStorageFailed;
    }));
    CPPUNIT_ASSERT(cluster["a"].group->Propose("y").error().code == ResultCode::kNotLeader);
    cluster.Stop("a");
    cluster.Propose(50, 60);
    CPPUNIT_ASSERT(WaitFor([&cluster] {
      const std::string text = cluster["b"].machine.Text();
      return text.ends_with("59;") && text == cluster["c"].machine.Text();
    }));
    CPPUNIT_ASSERT(cluster["b"].machine.Text().starts_with(expected));
  }

  // Guards against memory and files that grow with the number of commands.
  void Compaction_ManyCommands_BoundsMemoryAndFiles() {
    RaftOptions options;
    options.compaction_threshold_bytes = 65536;
    Cluster cluster;
    for (const char* name : {"a", "b", "c"}) cluster.Start(name, options);
    for (int i = 0; i < 20; ++i) {
      cluster.Propose(0, 1000);
      for (const char* name : {"a", "b", "c"}) cluster[name].machine.Clear();
    }
    for (const char* name : {"a", "b", "c"}) {
      CPPUNIT_ASSERT(WaitFor([&] {
        const NodeStatus status = cluster[name].group->Status();
        return status.last_index >= LogIndex(20000) &&
               status.last_index - status.first_index_in_memory < 3000;
      }));
      std::uintmax_t bytes = 0;
      const auto folder = cluster.folder.path() + "/" + name;
      CPPUNIT_ASSERT(WaitFor([&] {
        bytes = 0;
        for (const auto& file : std::filesystem::directory_iterator(folder)) {
          std::error_code ec;
          const auto size = file.file_size(ec);
          if (!ec) bytes += size;
        }
        return bytes < 400000;
      }));
    }
  }

  // Guards against options that make the group unstable.
  void Validate_BadOptions_NamesTheOption() {
    RaftOptions options;
    CPPUNIT_ASSERT(options.Validate().has_value());
    options.election_timeout_min = Milliseconds(100);
    CPPUNIT_ASSERT(options.Validate().error().message.starts_with("election_timeout_min"));
    options = {};
    options.max_in_flight_bytes = 1;
    CPPUNIT_ASSERT(options.Validate().error().message.starts_with("max_in_flight_bytes"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftGroupTest);

}  // namespace parsleyline::raft
